"""Loss and recovery of zones: limits on the capacity that a director may plan with."""

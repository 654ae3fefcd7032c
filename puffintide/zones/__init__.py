"""Loss and recovery of zones: limits to the capacity that a director plans with."""

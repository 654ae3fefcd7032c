"""Tuned constants of the zone plan."""

from __future__ import annotations

# Loss of a zone; fractions of its usual servers, by weight.
LOST_BELOW_FRACTION = 0.3  # a zone with less is lost
REGAINED_FROM_FRACTION = 0.35  # and is there again from this fraction on
HEALTHY_FROM_FRACTION = 0.75
MISSING_SERVER_RETENTION_S = 600.0  # a server that was removed without draining counts as missing for so long

# Recovery ramp of servers that return warm.
RAMP_START_FRACTION = 0.2  # of their capacity
RAMP_PER_S = 0.08  # fraction of capacity; small, so that slices do not move in one wave
RAMP_UP_MAX_LOAD = 0.8  # mean load up to which the ramp goes on
RAMP_DOWN_MIN_LOAD = 0.95  # and above which it goes back
MAX_STEP_S = 1.0  # a longer time between decisions counts as this

# Flapping.
HOLD_DOWN_S = 10.0  # before the return of a zone that was lost again; doubled by each further loss
HOLD_DOWN_MAX_S = 120.0
FLAP_WINDOW_S = 300.0  # losses within this time count as flapping

# Network paths.
OBSERVATION_EXPIRY_S = 5.0  # older observations of paths and reports are ignored
PATH_FAULT_FRACTION = 0.3  # failed attempts from which a path is faulty
PATH_AVERAGE_MAX_ATTEMPTS = 30  # attempts of a report above which it weighs no more
PATH_AVERAGE_MEMORY = 10  # attempts times seconds
MIN_REPORT_INTERVAL_S = 0.1

# Usual load.
USUAL_LOAD_MEMORY_S = 10.0
USUAL_LOAD_SETTLING_S = 8.0  # all zones healthy for so long before it is learned
DECISION_PERIOD_S = 0.25

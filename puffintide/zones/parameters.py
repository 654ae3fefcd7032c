"""Constants of the zone plan."""

from __future__ import annotations

# Loss of a zone. Fractions are of the weight of the zone's usual servers.
LOST_BELOW_FRACTION = 0.3  # A zone with a smaller available fraction is lost.
REGAINED_FROM_FRACTION = 0.35  # A lost zone is regained at this fraction or above.
HEALTHY_FROM_FRACTION = 0.75  # A zone with a smaller available fraction is degraded.
MISSING_SERVER_RETENTION_S = 600.0  # Time for which a server removed without draining counts as missing.

# Recovery ramp of servers that return with warm caches.
RAMP_START_FRACTION = 0.2  # Fraction of its capacity that a server starts the ramp with.
RAMP_PER_S = 0.08  # Fraction of capacity per second. It is small so that slices do not all move at once.
RAMP_UP_MAX_LOAD = 0.8  # Mean load up to which the ramp advances.
RAMP_DOWN_MIN_LOAD = 0.95  # Mean load above which the ramp goes back.
MAX_STEP_S = 1.0  # Upper bound on the time between two decisions that one ramp step accounts for.

# Flapping.
HOLD_DOWN_S = 10.0  # Hold-down after the second loss of a zone; each further loss doubles it.
HOLD_DOWN_MAX_S = 120.0  # Upper bound on the hold-down.
FLAP_WINDOW_S = 300.0  # Time after which a loss no longer counts as flapping.

# Network paths.
OBSERVATION_EXPIRY_S = 5.0  # Older path observations and load reports are ignored.
PATH_FAULT_FRACTION = 0.3  # A path with a larger fraction of failed attempts is faulty.
PATH_AVERAGE_MAX_ATTEMPTS = 30  # Upper bound on the weight of one report in the average, in attempts.
PATH_AVERAGE_TIME_CONSTANT = 10  # Time constant of the average, in attempts times seconds.
MIN_REPORT_INTERVAL_S = 0.1  # Shorter report intervals count as this long in the average.

# Usual load.
USUAL_LOAD_TIME_CONSTANT_S = 10.0  # Time constant of the average.
USUAL_LOAD_MIN_HEALTHY_S = 8.0  # All zones must be healthy for this long before usual loads are averaged.
DECISION_PERIOD_S = 0.25  # Period of plan updates that the average of usual loads assumes.

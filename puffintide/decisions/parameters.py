"""Tuning constants of the decision modules.

Read them as `parameters.NAME`, so that a value that is replaced in this module takes effect everywhere.
Loads, utilizations and capacities are fractions: a server at load 1 is fully used.
"""

from __future__ import annotations

# Rounds.
ROUND_PERIOD_S = 0.25  # Period of rounds, which assess health and may send urgent changes.
PUBLISH_PERIOD_S = 1.0  # Time between batches of ordinary changes.
ORDINARY_DELAY_MAX_S = 4.0  # Maximum time by which urgent changes delay ordinary ones.
LIST_RETRY_DELAY_S = 0.5  # Delay before the endpoint list is requested again after it could not be read.

# Averages.
AVERAGE_TIME_CONSTANT_S = 3.0  # Time constant of request rates and reported loads.
# Time constant of capacity and of other assigners' load, which vary slowly.
SLOW_AVERAGE_TIME_CONSTANT_S = 8.0
AVERAGE_MIN_INTERVAL_S = 0.1  # Shortest interval that a sample is weighted with.
# A report of failures is weighted with its interval times its attempts, divided by this number.
FAILURE_AVERAGE_ATTEMPTS = 3
REPORT_EXPIRY_CYCLES = 3  # Report cycles after which a rate that was not reported again counts as 0.
# Report cycles after a start before ordinary changes are sent and load is shed. The average of the capacity
# per listed weight also waits for as many cycles after a change of ownership.
SETTLING_REPORT_CYCLES = 2.0

# Load and capacity.
IDLE_LOAD = 0.15  # Load below which load and service time say little about the capacity.
SATURATED_LOAD = 0.8  # Load above which the service time includes queueing.
CAPACITY_JUMP_RATIO = 1.6  # A sample that differs by this factor is averaged with a short time constant.
ASSUMED_MEDIAN_LOAD = 0.5  # Load assumed for the median server if no loads are reported.
# Number of latest health checks from which the in-flight count of a saturated server is estimated.
MAX_RECORDED_HEALTH_CHECKS = 200
MIN_RECORDED_HEALTH_CHECKS = 40  # Number of recorded health checks that this estimate requires.
# A reported load is overridden if the own requests in flight exceed the reported number times this ratio,
# plus the margin.
UNDERSTATED_IN_FLIGHT_RATIO = 3
UNDERSTATED_IN_FLIGHT_MARGIN = 3  # Number of requests.

# Placement.
OVERLOAD_UTILIZATION = 0.85  # Fraction of capacity above which a server sheds slices.
ALTERNATE_MAX_UTILIZATION = 0.75  # Fraction of capacity up to which an alternate takes slices.
RETURN_UTILIZATION = 0.65  # A moved slice returns only if its default server stays below this utilization.
MAX_UTILIZATION = 1.0  # Fraction of capacity up to which a server keeps a slice that is already on it.
# Fraction of capacity up to which a slice is too small to be worth a move.
MIN_MOVED_SLICE_UTILIZATION = 0.005
# A slice above this fraction of its server's capacity is split over several servers.
SPLIT_UTILIZATION = 0.45
MERGE_RATIO = 0.55  # Multiple of SPLIT_UTILIZATION below which a split slice is merged.
MAX_SERVERS_PER_SLICE = 4
CACHE_MISS_COST = 1.7  # Load per request of a slice on a server that has not cached its keys.
WARMING_CACHE_MISS_COST = 1.5  # Load per request of a slice on a server that is warming up.
WARMING_SAFE_FRACTION = 0.5  # Safe load of a warming server, as a fraction of the load at which it collapses.
HOT_KEY_SURGE = 1.5  # Load that a newly hot key adds, as a multiple of a warm server's capacity.
# Number of slices that an assigner's quota of a server must hold for capacity to be divided evenly.
MIN_SLICES_PER_QUOTA = 2.0
SEVERE_OVERLOAD_UTILIZATION = 2  # Utilization above which a server may fill others up to MAX_UTILIZATION.
SEVERE_OVERLOAD_FAILURE_FRACTION = 0.4  # Fraction of failed attempts that such a server must exceed.
NO_QUEUE_FAILURE_FRACTION = 0.005  # Fraction of failed attempts below which a server may be free of queueing.
STANDBY_WEIGHT = 0.004  # Weight of a standby entry, which gives proxies a server for retries.

# Health.
HEALTH_CHECK_PERIOD_S = 0.8  # Time between two health checks of a server.
# A check counts as delayed above this multiple of the server's shortest one.
DELAYED_HEALTH_CHECK_RATIO = 1.25
UNRESPONSIVE_AFTER_S = 2.0  # Time without a successful response after which a server may be suspected.
UNRESPONSIVE_REPORT_PERIODS = 1.5  # The same time in report periods; the longer of the two applies.
UNHEALTHY_THRESHOLD = 3  # Consecutive failed health checks after which a server may be suspected.
HEALTHY_THRESHOLD = 2  # Consecutive successful health checks that end an ejection.
SUSPECT_FAILURE_FRACTION = 0.85  # Fraction of failed attempts above which a server may be suspected.
# If a larger fraction of servers is suspected, the cause is common and none is ejected.
MAX_EJECTION_FRACTION = 0.6
# Fraction of delayed checks above which the network path to a zone is the cause.
UNRELIABLE_ZONE_FRACTION = 0.9
RELIABLE_ZONE_FRACTION = 0.5  # Fraction of delayed checks that at least one other zone must stay below.
# Usable fraction of a server's capacity at each recovery level; a server at the first level is ejected.
RECOVERY_LEVELS = (0.0, 0.15, 0.4, 1.0)
MAX_RECOVERY_LEVEL = len(RECOVERY_LEVELS) - 1
# Time without faults per level; without health checks, each ejection doubles it at level 0.
RECOVERY_STEP_S = 2.0
MAX_RECOVERY_DOUBLINGS = 4  # Number of ejections after which the time no longer doubles.
REMOVED_SERVER_RETENTION_S = 600.0  # Time after which a removed server that is in no table is forgotten.

# Admission.
ADMISSION_START_UTILIZATION = 0.9  # Demand divided by capacity above which load shedding starts.
ADMISSION_TARGET_UTILIZATION = 0.75  # Value that load shedding reduces it to.
MIN_ADMISSION_FRACTION = 0.2  # Smallest fraction of a request class that is admitted.
MIN_ADMISSION_CHANGE = 0.08  # Smaller changes of a fraction are not sent.
# Fraction of capacity added per unit of load below the target. Clients resend rejected requests, so demand
# appears too high while load is shed.
RESENT_REQUESTS_FACTOR = 2.0

# Publication.
# Time during which a moved slice does not move back; exceeds AVERAGE_TIME_CONSTANT_S.
RETURN_COOLDOWN_S = 4.0
ORDINARY_CHANNEL_FRACTION = 0.5  # Fraction of the channel's capacity that ordinary changes may fill.
MAX_CHANNEL_FRACTION = 0.95  # Fraction of the channel's capacity that all changes may fill.
# Entries per proxy, in addition to a header, that urgent changes leave free for the next withdrawals.
RESERVED_ENTRIES_PER_PROXY = 15
RESERVED_CHANNEL_DIVISOR = 3  # Urgent changes leave at most the channel's capacity divided by this free.
# A message is lost if the channel, at this fraction of its speed, would have sent its whole capacity since.
LOST_MESSAGE_SPEED_FRACTION = 0.2
RESERVED_MESSAGES_URGENT = 1  # Messages of the window that urgent changes leave unused.
RESERVED_MESSAGES_ORDINARY = 5  # Messages of the window that ordinary changes leave unused.
WEIGHT_TOLERANCE = 1e-6  # Weights that differ by no more than this are equal.

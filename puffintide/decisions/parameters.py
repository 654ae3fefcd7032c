"""Tuned constants of the decision modules.

Read them as `parameters.NAME`, so that a value that is replaced here takes effect everywhere. Loads and capacities
are fractions: a server at load 1 does all that it can do.
"""

from __future__ import annotations

# The order of a round.
ROUND_PERIOD_S = 0.25  # health is judged and urgent changes may be sent this often
PUBLISH_PERIOD_S = 1.0  # between batches of ordinary changes
ORDINARY_DELAY_MAX_S = 4.0  # urgent changes delay ordinary ones by no more
LIST_RETRY_DELAY_S = 0.5  # after the endpoint list could not be read

# Averages.
AVERAGE_MEMORY_S = 3.0  # request rates, reported load
SLOW_AVERAGE_MEMORY_S = 8.0  # capacity and other assigners' load, which change slowly
AVERAGE_MIN_INTERVAL_S = 0.1  # a sample counts as at least this long
FAILURE_AVERAGE_ATTEMPTS = 3  # attempts that weigh as much as one second of the interval
REPORT_EXPIRY_CYCLES = 3  # report cycles after which a rate that was not reported again counts as 0
SETTLING_REPORT_CYCLES = 2.0  # after a start, before capacities and ordinary changes are trusted

# Load and capacity.
IDLE_LOAD = 0.15  # below this, load and service time say little about the capacity
SATURATED_LOAD = 0.8  # above this, the service time includes queueing
CAPACITY_JUMP_RATIO = 1.6  # a reading that differs by this factor is averaged quickly
USUAL_LOAD = 0.5  # of the median server, where nothing reports load
MAX_RECORDED_HEALTH_CHECKS = 200  # the latest, from which the in-flight count of a full server is estimated
MIN_RECORDED_HEALTH_CHECKS = 40
DISBELIEVED_IN_FLIGHT_RATIO = (
    3  # own requests in flight over the reported count from which a report is disbelieved
)
DISBELIEVED_IN_FLIGHT_MARGIN = 3  # requests

# Placement.
OVERLOAD_UTILIZATION = 0.85  # fraction of capacity above which a server sheds slices
ALTERNATE_MAX_UTILIZATION = 0.75  # fraction of capacity up to which an alternate takes slices
RETURN_UTILIZATION = 0.65  # a moved slice returns only if its default server stays below this
MAX_UTILIZATION = 1.0  # fraction of capacity up to which a server keeps a slice that it has already
MIN_MOVED_SLICE_UTILIZATION = 0.005  # of the capacity; a smaller slice is not worth a move
SPLIT_UTILIZATION = 0.45  # a slice above this fraction of its server's capacity is spread
MERGE_RATIO = 0.55  # of SPLIT_UTILIZATION, below which a spread slice is no longer spread
MAX_SERVERS_PER_SLICE = 4
CACHE_MISS_COST = 1.7  # work per request of a slice at a server that has not cached its keys
WARMING_CACHE_MISS_COST = 1.5  # the same at a server that is warming up
WARMING_SAFE_FRACTION = 0.5  # of the load at which a server that is warming up fails
HOT_KEY_SURGE = 1.5  # load that a key brings when it becomes hot, in capacities of a warm server
MIN_SLICES_PER_QUOTA = 2.0  # slices that an assigner's quota of a server must hold to divide capacity evenly
OVERWHELMED_UTILIZATION = 2  # planned load over capacity from which a server may shed to fuller ones
OVERWHELMED_FAILURE_FRACTION = 0.4  # failed attempts of such a server
NO_QUEUE_FAILURE_FRACTION = 0.005  # failed attempts up to which a server may count as free of queueing
STANDBY_WEIGHT = 0.004  # of the second entry, to which a proxy can retry

# Health.
HEALTH_CHECK_PERIOD_S = 0.8
DELAYED_HEALTH_CHECK_RATIO = (
    1.25  # elapsed time over the shortest seen, above which a health check had to wait
)
UNRESPONSIVE_AFTER_S = 2.0  # time without a successful response before a server is suspected
UNRESPONSIVE_REPORT_PERIODS = 1.5  # the same in report periods; the longer counts
UNHEALTHY_THRESHOLD = 3  # consecutive failed health checks
HEALTHY_THRESHOLD = 2  # consecutive successful ones that end an ejection
SUSPECT_FAILURE_FRACTION = 0.85  # failed attempts from which a server is suspected
MAX_EJECTION_FRACTION = 0.6  # if more servers are suspected the cause is common and none is ejected
UNRELIABLE_ZONE_FRACTION = 0.9  # delayed health checks of a zone above which its network path is to blame
RELIABLE_ZONE_FRACTION = 0.5  # delayed health checks that another zone must stay below
RECOVERY_LEVELS = (0.0, 0.15, 0.4, 1.0)  # fractions of capacity; the first is ejected
MAX_RECOVERY_LEVEL = len(RECOVERY_LEVELS) - 1
RECOVERY_STEP_S = 2.0  # time without faults for each level; doubled by each ejection without health checks
MAX_RECOVERY_DOUBLINGS = 4
REMOVED_SERVER_RETENTION_S = 600.0  # after which a server that was removed and is in no table is forgotten

# Admission.
ADMISSION_START_UTILIZATION = 0.9  # demand over capacity above which load is shed
ADMISSION_TARGET_UTILIZATION = 0.75  # and the value that it is reduced to
MIN_ADMISSION_FRACTION = 0.2  # of a request class
MIN_ADMISSION_CHANGE = 0.08  # smaller changes are not sent
RESENT_REQUESTS_FACTOR = 2.0  # capacity added per fraction of load below the target, as clients resend

# Publication.
RETURN_COOLDOWN_S = 4.0  # time in which a slice does not move back; longer than AVERAGE_MEMORY_S
ORDINARY_CHANNEL_FRACTION = 0.5  # of the channel's capacity that ordinary changes may fill
MAX_CHANNEL_FRACTION = 0.95  # and that all changes may fill
RESERVED_ENTRIES_PER_PROXY = 15  # beside a header, left free by urgent changes for the next withdrawals
RESERVED_CHANNEL_DIVISOR = 3  # of its capacity: the most that is left free
LOST_MESSAGE_SPEED_FRACTION = (
    0.2  # a message is lost if the channel had sent all at this fraction of its speed
)
RESERVED_MESSAGES_URGENT = 1  # messages of the window that urgent changes leave unused
RESERVED_MESSAGES_ORDINARY = 5
WEIGHT_TOLERANCE = 1e-6  # weights that differ by less are equal

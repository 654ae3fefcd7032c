"""What a director knows of servers, slices and proxies: typed records, and questions about readiness and warm-up.

Times are seconds on the assigner's clock, rates are per second, loads and fractions are from 0 to 1.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from puffintide.decisions import parameters
from puffintide.decisions.averages import AverageRate
from puffintide.decisions.events import Endpoint, EndpointStatus
from puffintide.decisions.settings import Settings


def _rates() -> defaultdict[int, AverageRate]:
    return defaultdict(AverageRate)


@dataclass(slots=True)
class ServerState:
    """A server: its endpoint, what was reported of it, and what was concluded."""

    endpoint: Endpoint
    known_since_s: float  # when it was first listed, or restarted
    successes: defaultdict[int, AverageRate] = field(default_factory=_rates)  # responses, by proxy zone
    own_in_flight: defaultdict[int, AverageRate] = field(default_factory=_rates)  # requests, by proxy zone
    failure_fraction: float | None = None  # of attempts
    load: float | None = None
    in_flight: float | None = None  # reported average
    last_in_flight: float = 0.0  # reported last
    shortest_health_check_s: float = math.inf
    service_time_s: float | None = None
    capacity_per_s: float | None = None  # when warm and healthy
    relative_speed: float = 1.0  # against servers of its size
    other_assigners_load: float | None = None  # requests per second
    last_success_s: float = 0.0
    next_health_check_s: float = 0.0
    is_delayed: bool = False  # the last health check took long or failed
    consecutive_checks: int = 0  # health checks that succeeded; negative: that failed
    recovery_level: int = parameters.MAX_RECOVERY_LEVEL
    recovery_level_since_s: float = 0.0
    ejections: int = 0
    unavailable_since_s: float | None = None  # when it was first known to drain or to be removed
    is_leaving: bool = (
        False  # another assigner, whose list is more recent, reported that it drains or was removed
    )

    @property
    def server_id(self) -> int:
        """The server's id."""
        return self.endpoint.server_id

    @property
    def is_ready(self) -> bool:
        """Whether it may be in tables, as far as lists say."""
        return self.endpoint.status == EndpointStatus.READY and not self.is_leaving

    @property
    def is_fully_recovered(self) -> bool:
        """Whether it is at the end of its recovery ramp."""
        return self.recovery_level == parameters.MAX_RECOVERY_LEVEL


@dataclass(slots=True)
class SliceState:
    """A slice that this assigner owns: its table, where it was placed, and its requests."""

    default_server: int | None = None
    weights: dict[int, float] = field(default_factory=dict)  # the table as the store has it
    request_rates: defaultdict[int, AverageRate] = field(default_factory=_rates)  # by request class
    assigned_servers: list[int] = field(default_factory=list)  # those that share it evenly
    previous_servers: list[int] = field(default_factory=list)  # those before the last move
    moved_at_s: float = -math.inf


@dataclass(slots=True)
class FleetState:
    """All that a director knows, shared by its parts; each field is written by the part that is named."""

    settings: Settings
    servers: dict[int, ServerState] = field(default_factory=dict)
    slices: dict[int, SliceState] = field(default_factory=dict)
    proxies: set[int] = field(default_factory=set)  # connected ones
    now_s: float = -math.inf
    last_report_s: float = -math.inf  # when a proxy last reported anything
    first_report_s: float = math.inf
    ownership_changed_s: float = 0.0  # when a slice was last granted or revoked
    slice_revoked_s: float = -math.inf
    capacity_limits: dict[int, float] = field(default_factory=dict)  # below 1, from a zone plan
    unreliable_zones: set[int] = field(default_factory=set)  # by health: the path to them is slow, not they
    recorded_checks: deque[tuple[float, bool]] = field(  # in flight per listed weight; whether delayed
        default_factory=lambda: deque(maxlen=parameters.MAX_RECORDED_HEALTH_CHECKS)
    )
    withdrawn_servers: set[int] = field(default_factory=set)  # by publication: out of all tables
    admission_fractions: dict[int, float] = field(default_factory=dict)  # by admission: of each class
    urgent_change_pending: bool = False  # something happened that must not wait for the next ordinary batch
    admission_update_pending: bool = False  # admission fractions must be sent
    withdrawals_resend_pending: bool = False  # a proxy connected that knows of no withdrawals

    def is_ready(self, server_id: int) -> bool:
        """Whether a server may be in tables, as far as lists say."""
        server = self.servers.get(server_id)
        return server is not None and server.is_ready

    def ready_servers(self) -> list[ServerState]:
        """The servers that are ready, by id."""
        return [server for _, server in sorted(self.servers.items()) if server.is_ready]

    def warm_up_fraction(self, server_id: int) -> float:
        """The least fraction of its capacity that a server can have by now, since its start (slow start)."""
        started_at_s = self.servers[server_id].endpoint.started_at_s
        settings = self.settings
        if started_at_s <= 0 or settings.slow_start_duration_s <= 0:
            return 1.0
        progress = max(0.0, self.now_s - started_at_s) / settings.slow_start_duration_s
        minimum = settings.slow_start_min_fraction
        return min(1.0, minimum + (1 - minimum) * progress)

    def is_warm(self, server_id: int) -> bool:
        """Whether a server has all of its capacity."""
        return self.warm_up_fraction(server_id) >= 1

    def request_rate(self, slice_state: SliceState) -> float:
        """Requests per second that are admitted; reports count the rejected ones, too."""
        fractions = self.admission_fractions
        return sum(
            rate.per_second * fractions.get(class_index, 1.0)
            for class_index, rate in sorted(slice_state.request_rates.items())
        )

    def owned_fraction(self) -> float:
        """The fraction of all slices that this assigner owns."""
        return len(self.slices) / max(1, self.settings.slice_count)

    def report_cycle_s(self) -> float:
        """The time in which everything is reported once, as reports of many slices and servers take turns."""
        settings = self.settings
        slice_entries = len(self.slices) * len(settings.request_classes)
        server_entries = len(self.servers) * max(1, settings.zone_count)
        entries_per_s = max(settings.report_entries_per_s, 1.0)
        return max(settings.report_period_s, (slice_entries + server_entries) / entries_per_s)

    def rate_expiry_s(self) -> float:
        """The time after which a rate that was not reported again counts as 0."""
        return max(2 * parameters.AVERAGE_MEMORY_S, parameters.REPORT_EXPIRY_CYCLES * self.report_cycle_s())

    def recent_rate(self, rates: Mapping[int, AverageRate]) -> float:
        """The sum of the rates that have not expired."""
        expiry_s = self.rate_expiry_s()
        return sum(rate.per_second for rate in rates.values() if self.now_s - rate.updated_at_s < expiry_s)

    def is_settling(self) -> bool:
        """Whether the first report is too recent for everything to have been reported."""
        settling_s = parameters.SETTLING_REPORT_CYCLES * self.report_cycle_s()
        return self.now_s - self.first_report_s < settling_s

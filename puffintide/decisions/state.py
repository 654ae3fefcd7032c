"""State of the fleet that a director keeps: servers, slices and proxies.

Times are seconds on the assigner's clock, rates are per second, and loads and fractions are from 0 to 1.
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
from puffintide.decisions.withdrawal_holders import WithdrawalHolders


def _new_rates() -> defaultdict[int, AverageRate]:
    return defaultdict(AverageRate)


@dataclass(slots=True)
class ServerState:
    """State of a server: its endpoint, the values reported for it, and the estimates made from them."""

    endpoint: Endpoint
    known_since_s: float  # Time when it was first listed or last restarted.
    successes: defaultdict[int, AverageRate] = field(default_factory=_new_rates)  # Responses, by proxy zone.
    # Own requests in flight, by proxy zone.
    own_in_flight: defaultdict[int, AverageRate] = field(default_factory=_new_rates)
    failure_fraction: float | None = None  # Fraction of failed attempts.
    load: float | None = None
    in_flight: float | None = None  # Average of the reported values.
    last_in_flight: float = 0.0  # Last reported value.
    shortest_health_check_s: float = math.inf
    service_time_s: float | None = None
    capacity_per_s: float | None = None  # Capacity when warm and healthy.
    relative_speed: float = 1.0  # Averaged ratio of the median service time to its own.
    other_assigners_load: float | None = None  # Requests per second.
    last_success_s: float = 0.0
    next_health_check_s: float = 0.0
    is_delayed: bool = False  # Whether the last health check was slow or failed.
    consecutive_checks: int = 0  # Successful health checks in a row; negative for failed ones.
    recovery_level: int = parameters.MAX_RECOVERY_LEVEL
    recovery_level_since_s: float = 0.0
    ejections: int = 0
    unavailable_since_s: float | None = None  # Time when it was first known to drain or be removed.
    # Whether another assigner, whose endpoint list is more recent, reported that it drains or was removed.
    is_leaving: bool = False

    @property
    def server_id(self) -> int:
        """Return the server's id."""
        return self.endpoint.server_id

    @property
    def is_ready(self) -> bool:
        """Return whether it may be in tables according to endpoint lists."""
        return self.endpoint.status == EndpointStatus.READY and not self.is_leaving

    @property
    def is_fully_recovered(self) -> bool:
        """Return whether it is at the end of its recovery ramp."""
        return self.recovery_level == parameters.MAX_RECOVERY_LEVEL


@dataclass(slots=True)
class SliceState:
    """State of a slice that this assigner owns: its table, placement and request rates."""

    default_server: int | None = None
    weights: dict[int, float] = field(default_factory=dict)  # The table in the store.
    request_rates: defaultdict[int, AverageRate] = field(default_factory=_new_rates)  # Keyed by class index.
    assigned_servers: list[int] = field(default_factory=list)  # They share it evenly.
    previous_servers: list[int] = field(default_factory=list)  # Those before the last move.
    moved_at_s: float = -math.inf


@dataclass(slots=True)
class FleetState:
    """State that the parts of a director share.

    Where a comment names a module, only that module writes the field.
    """

    settings: Settings
    servers: dict[int, ServerState] = field(default_factory=dict)
    slices: dict[int, SliceState] = field(default_factory=dict)
    proxies: set[int] = field(default_factory=set)  # Ids of connected proxies.
    now_s: float = -math.inf
    last_report_s: float = -math.inf  # Time of the last load report.
    first_report_s: float = math.inf
    ownership_changed_s: float = 0.0  # Time of the last grant or revocation of a slice.
    slice_revoked_s: float = -math.inf
    capacity_limits: dict[int, float] = field(default_factory=dict)  # Fractions below 1, from the zone plan.
    # Written by health: zones with a slow network path, whose servers are not the cause of delayed checks.
    unreliable_zones: set[int] = field(default_factory=set)
    # Latest health checks: requests in flight per unit of listed weight, and whether the check was delayed.
    recorded_checks: deque[tuple[float, bool]] = field(
        default_factory=lambda: deque(maxlen=parameters.MAX_RECORDED_HEALTH_CHECKS)
    )
    withdrawn_servers: set[int] = field(default_factory=set)  # Written by withdrawals: out of all tables.
    withdrawal_holders: WithdrawalHolders = field(default_factory=WithdrawalHolders)
    # Written by admission, keyed by request class.
    admission_fractions: dict[int, float] = field(default_factory=dict)
    urgent_change_pending: bool = False  # A change must not wait for the next ordinary batch.
    admission_update_pending: bool = False  # Admission fractions must be sent.
    withdrawals_resend_pending: bool = False  # A proxy connected that has no withdrawals yet.

    def is_ready(self, server_id: int) -> bool:
        """Return whether a server may be in tables according to endpoint lists."""
        server = self.servers.get(server_id)
        return server is not None and server.is_ready

    def ready_servers(self) -> list[ServerState]:
        """Return the ready servers, sorted by id."""
        return [server for _, server in sorted(self.servers.items()) if server.is_ready]

    def warm_up_fraction(self, server_id: int) -> float:
        """Return the smallest fraction of its capacity that a server can have by now (slow start)."""
        started_at_s = self.servers[server_id].endpoint.started_at_s
        settings = self.settings
        if started_at_s <= 0 or settings.slow_start_duration_s <= 0:
            return 1.0
        progress = max(0.0, self.now_s - started_at_s) / settings.slow_start_duration_s
        minimum = settings.slow_start_min_fraction
        return min(1.0, minimum + (1 - minimum) * progress)

    def is_warm(self, server_id: int) -> bool:
        """Return whether a server has reached its full capacity."""
        return self.warm_up_fraction(server_id) >= 1

    def request_rate(self, slice_state: SliceState) -> float:
        """Return the admitted requests per second of a slice; reported rates include rejected requests."""
        fractions = self.admission_fractions
        return sum(
            rate.per_second * fractions.get(class_index, 1.0)
            for class_index, rate in sorted(slice_state.request_rates.items())
        )

    def owned_fraction(self) -> float:
        """Return the fraction of all slices that this assigner owns."""
        return len(self.slices) / max(1, self.settings.slice_count)

    def report_cycle_s(self) -> float:
        """Return the time in which every slice and server is reported once.

        Reports are limited in their rate of entries, so those of many slices and servers take turns.
        """
        settings = self.settings
        slice_entries = len(self.slices) * len(settings.request_classes)
        server_entries = len(self.servers) * max(1, settings.zone_count)
        entries_per_s = max(settings.report_entries_per_s, 1.0)
        return max(settings.report_period_s, (slice_entries + server_entries) / entries_per_s)

    def rate_expiry_s(self) -> float:
        """Return the time after which a rate that was not reported again counts as 0."""
        return max(
            2 * parameters.AVERAGE_TIME_CONSTANT_S, parameters.REPORT_EXPIRY_CYCLES * self.report_cycle_s()
        )

    def recent_rate(self, rates: Mapping[int, AverageRate]) -> float:
        """Return the sum of the rates that have not expired."""
        expiry_s = self.rate_expiry_s()
        return sum(rate.per_second for rate in rates.values() if self.now_s - rate.updated_at_s < expiry_s)

    def is_settling(self) -> bool:
        """Return whether the first report is too recent for all slices and servers to have been reported."""
        settling_s = parameters.SETTLING_REPORT_CYCLES * self.report_cycle_s()
        return self.now_s - self.first_report_s < settling_s

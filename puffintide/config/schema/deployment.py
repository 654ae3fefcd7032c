"""Defines the sections that describe a deployment. Times are in seconds, rates are per second."""

from __future__ import annotations

from typing import Literal

from pydantic import Field, model_validator

from puffintide.config.schema.types import Addresses, Count, Fraction, Names, NonNegative, Positive, Section
from puffintide.decisions.settings import RepeatSafety

LOAD_VALUE_NAMES = frozenset({"rif", "q", "busy", "lat_ms", "rate", "fail_rate"})


class Deployment(Section):
    """[deployment]: settings that all processes of a deployment share."""

    name: str = "default"
    zones: Names = Field(default=["a"], min_length=1, max_length=255)
    assigners: Count = 1
    proxies: Count
    slices: int = Field(ge=1, le=65534)
    single_writer: bool = False
    warm_keys: bool = False  # Whether servers are faster on keys that they have seen recently.
    # Retry mode that applies where no assigner has set one.
    retry_default: int = Field(default=0, ge=0, le=3)
    retry_wait_aims: NonNegative = 1.0  # Wait before a retry, in multiples of the latency objective.
    # Number of consecutive failures after which a proxy ejects a server; 0 means never.
    shun_after: int = Field(default=0, ge=0)
    shun_s: NonNegative = 5.0  # Time for which a server stays ejected, in seconds.
    admit: Literal["fraction", "silent"] = "silent"  # Admission mode of the proxies.
    pick: Literal["rotate", "random", "p2c"] = "rotate"  # Load balancing policy of the proxies.
    # Maximum time that a request is queued while its slice has no server, in seconds.
    hold_s: NonNegative = 0.2
    refuse_again_s: NonNegative = 0.5  # Value of Retry-After in rejections, in seconds.


class ChannelSection(Section):
    """[channel]: rate, capacity and delay of the channel from each assigner to its proxies."""

    lines_per_s: Positive = 12000.0  # Rate of the channel, in weight entries per second.
    head_lines: NonNegative = 12.0  # Cost of a message in addition to its entries, in weight entries.
    # Maximum number of entries that wait in the channel.
    limit: float = Field(default=18000.0, gt=0, le=65536)
    delay_s: NonNegative = 0.2
    delay_max_s: NonNegative = 0.8
    # Maximum number of messages to one proxy within messages_span_s; 0 means no limit.
    messages_most: int = Field(default=0, ge=0)
    messages_span_s: Positive = 10.0


class ReportSection(Section):
    """[reports]: period, rate and values of usage and load reports."""

    period_s: Positive = 0.5
    lines_per_s: Positive = 300.0
    names: Names = Field(default=[])

    @model_validator(mode="after")
    def _check_names(self) -> ReportSection:
        unknown = sorted(set(self.names) - LOAD_VALUE_NAMES)
        if unknown:
            raise ValueError(
                f"names = {', '.join(self.names)!r}: unknown {', '.join(unknown)}; "
                f"allowed: {', '.join(sorted(LOAD_VALUE_NAMES))}"
            )
        return self


class ListSection(Section):
    """[list]: how the endpoint list is watched."""

    asked: bool = False  # Whether watch events are sent only to those who requested them.


class ProbeSection(Section):
    """[probes]: health checks of servers."""

    allowed: bool = False
    timeout_s: Positive = 0.4


class Rules(Section):
    """[rules]: limits of the rules that an audit checks."""

    # Time after the notice of a server's loss in which requests may still be sent to it.
    drain_grace_s: Positive = 2.0
    cold_from: Fraction = 0.25  # Fraction of its capacity that a server has when it starts.
    warm_within_s: NonNegative = 10.0  # Duration of a server's slow start, in seconds.
    fall_multiple: Positive = 3.0  # Load divided by capacity at which a server in slow start collapses.
    fall_s: Positive = 1.5  # Time for which that load must last, in seconds.
    bare_s: Positive = 5.0  # Maximum time that a slice may be without a server, in seconds.


class StoreSection(Section):
    """[charge]: ownership of slices, and how often proxies read the store."""

    # Time from the loss of an assigner until its slices get another owner, in seconds.
    takeover_s: Positive = 2.5
    # Time for which a proxy still accepts writes after it lost the owner, in seconds.
    write_lease_s: Positive = 1.5
    # Maximum rate of slices that return to their default owner or that an operator migrates, per second.
    moves_per_s: Positive = 200.0
    reread_s: Positive = 1.0  # Time from a proxy's first reading of the store to its second, in seconds.
    refresh_s: Positive = 5.0  # Interval of the later readings, each of what has changed, in seconds.


class ZonesSection(Section):
    """[zones]: how the loss and the return of a zone are handled. See docs/zones.md."""

    plan: bool = True  # Whether the loss and the return of zones are planned for.
    spill: Fraction = 0.8  # Fraction of a zone's headroom that the slices of other zones may use.


class ZoneSection(Section):
    """[zone NAME]: order in which other zones take the load of a zone."""

    near: Names = Field(default=[])  # Zones that are preferred to all others, nearest first.


class PeersSection(Section):
    """[peers]: streams between assigners. Without this section they exchange nothing.

    See docs/replication.md.
    """

    addresses: Addresses = Field(default=[])  # Addresses of all assigners, in the order of their ids.
    every_s: Positive = 0.5  # Interval of the messages to other assigners, in seconds.
    rows_per_s: Positive = 20000.0  # Maximum rate of rows to one peer, per second.
    # Maximum time that a start waits for the replicas of the others, in seconds.
    catch_up_s: NonNegative = 2.0


class ClassSection(Section):
    """[class NAME]: properties of a request class."""

    share: Fraction = 1.0  # Share of the requests, relative to the other classes; used in scenarios only.
    effect: RepeatSafety = RepeatSafety.IDEMPOTENT  # Whether a request may be executed twice.
    group: Literal["all", "zone", "cell"] = "all"  # Servers that share idempotency keys.
    window_s: NonNegative = 0.0  # Time for which these servers remember an idempotency key, in seconds.
    aim_s: Positive  # Latency objective, in seconds.
    deadline_s: Positive
    worth: NonNegative = 1.0  # Priority weight of a request.
    # Fraction of the priority weight that counts for a response after the latency objective.
    late_worth: Fraction = 0.2
    own_zone_only: bool = False
    # Mean work of a request at a core of speed 1, in seconds; used by emulators only.
    work_s: Positive = 0.05
    work_cv: NonNegative = 0.5  # Coefficient of variation of that work.

    @model_validator(mode="after")
    def _check_deadline(self) -> ClassSection:
        if self.deadline_s < self.aim_s:
            raise ValueError(f"deadline_s = {self.deadline_s} is below aim_s = {self.aim_s}")
        return self

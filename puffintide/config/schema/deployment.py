"""Sections that describe a deployment. Times are in seconds, rates per second."""

from __future__ import annotations

from typing import Literal

from pydantic import Field, model_validator

from puffintide.config.schema.types import Addresses, Amount, Count, Names, Positive, Section, Share
from puffintide.decisions.settings import RepeatSafety

LOAD_VALUE_NAMES = frozenset({"rif", "q", "busy", "lat_ms", "rate", "fail_rate"})


class Deployment(Section):
    """[deployment]: what all processes of a deployment have in common."""

    name: str = "default"
    zones: Names = Field(default=["a"], min_length=1, max_length=255)
    assigners: Count = 1
    proxies: Count
    slices: int = Field(ge=1, le=65534)
    single_writer: bool = False
    warm_keys: bool = False  # servers work faster on keys that they have seen recently
    retry_default: int = Field(default=0, ge=0, le=3)  # retry mode where no assigner has set one
    retry_wait_aims: Amount = 1.0  # wait before a retry, in latency objectives
    shun_after: int = Field(default=0, ge=0)  # consecutive failures that eject a server; 0: never
    shun_s: Amount = 5.0  # how long it is ejected
    admit: Literal["fraction", "silent"] = "silent"  # admission mode
    pick: Literal["rotate", "random", "p2c"] = "rotate"  # load balancing policy
    hold_s: Amount = 0.2  # how long a request is queued while its slice has no server
    refuse_again_s: Amount = 0.5  # Retry-After of rejections


class ChannelSection(Section):
    """[channel]: the channel from each assigner to its proxies."""

    lines_per_s: Positive = 12000.0  # weight entries
    head_lines: Amount = 12.0  # that each message costs beside its entries
    limit: float = Field(default=18000.0, gt=0, le=65536)  # entries that may wait
    delay_s: Amount = 0.2
    delay_max_s: Amount = 0.8
    messages_most: int = Field(default=0, ge=0)  # to one proxy within messages_span_s; 0: no limit
    messages_span_s: Positive = 10.0


class ReportSection(Section):
    """[reports]: usage and load reports."""

    period_s: Positive = 0.5
    lines_per_s: Positive = 300.0
    names: Names = Field(default=[])

    @model_validator(mode="after")
    def _known(self) -> ReportSection:
        unknown = sorted(set(self.names) - LOAD_VALUE_NAMES)
        if unknown:
            raise ValueError(
                f"names holds {', '.join(unknown)}; allowed: {', '.join(sorted(LOAD_VALUE_NAMES))}"
            )
        return self


class ListSection(Section):
    """[list]: the endpoint list."""

    asked: bool = False  # watch events are sent only to those who requested them


class ProbeSection(Section):
    """[probes]: health checks."""

    allowed: bool = False
    timeout_s: Positive = 0.4


class Rules(Section):
    """[rules]: limits of the rules that an audit checks."""

    drain_grace_s: Positive = 2.0  # after the notice of a loss, requests may still be sent there
    cold_from: Share = 0.25  # of its capacity that a server has when it starts
    warm_within_s: Amount = 10.0  # duration of the slow start
    fall_multiple: Positive = 3.0  # load over capacity at which a server that warms up fails
    fall_s: Positive = 1.5  # for so long
    bare_s: Positive = 5.0  # that a slice may be without a server


class StoreSection(Section):
    """[charge]: ownership of slices, and readings of the store."""

    takeover_s: Positive = 2.5  # after the loss of an assigner its slices get another owner
    write_lease_s: Positive = 1.5  # that proxies still accept writes after they lost the owner
    moves_per_s: Positive = 200.0  # slices that return to their default owner, or that an operator migrates
    reread_s: Positive = 1.0  # after a proxy's first reading of the store it reads once more
    refresh_s: Positive = 5.0  # and then periodically, what has changed


class ZonesSection(Section):
    """[zones]: how the loss and the return of a zone are handled; docs/zones.md."""

    plan: bool = True  # no: zones are not planned for
    spill: Share = 0.8  # of a zone's headroom, what other zones' slices may use


class ZoneSection(Section):
    """[zone NAME]: where a zone's load goes."""

    near: Names = Field(default=[])  # zones that are preferred to others, nearest first


class PeersSection(Section):
    """[peers]: streams between assigners; without it they share nothing. docs/replication.md."""

    addresses: Addresses = Field(default=[])  # of all assigners, in order of id
    every_s: Positive = 0.5
    rows_per_s: Positive = 20000.0  # to one peer
    catch_up_s: Amount = 2.0  # that a start waits for the others' replicas, at most


class ClassSection(Section):
    """[class NAME]: a class of requests."""

    share: Share = 1.0  # of the requests; scenarios only
    effect: RepeatSafety = RepeatSafety.IDEMPOTENT  # whether a request may be executed twice
    group: Literal["all", "zone", "cell"] = "all"  # servers that share idempotency keys
    window_s: Amount = 0.0  # for which they know a key
    aim_s: Positive  # latency objective
    deadline_s: Positive
    worth: Amount = 1.0  # priority weight
    late_worth: Share = 0.2  # part of it for a response after the latency objective
    own_zone_only: bool = False
    work_s: Positive = 0.05  # emulators only: mean work at a core of speed 1
    work_cv: Amount = 0.5  # its coefficient of variation

    @model_validator(mode="after")
    def _ordered(self) -> ClassSection:
        if self.deadline_s < self.aim_s:
            raise ValueError(f"deadline_s {self.deadline_s} is below aim_s {self.aim_s}")
        return self

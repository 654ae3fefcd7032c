"""Defines the sections that describe a scenario and its emulators. Times are in seconds."""

from __future__ import annotations

from pydantic import Field, model_validator

from puffintide.config.schema.types import (
    Count,
    Curve,
    Floats,
    Fraction,
    Ints,
    NonNegative,
    Positive,
    Section,
)

FAULTS = (
    "crash",
    "hang",
    "slow",
    "pauses",
    "report_late",
    "hot_key",
    "heavy_tail",
    "zone_loss",
    "deploy",
    "shrink",
    "grow",
    "balancer_crash",
    "balancer_stop",
    "shared_slow",
    "counter_down",
    "give_up",
    "preempt",
    "slow_link",
    "one_sided",
    "conn_squeeze",
    "false_reports",
    "handshake_slow",
    "mass_restart",
    "shift",
    "store_down",
    "list_down",
    "slow_reader",
    "zone_flap",
    "store_crash",
    "store_lost",
    "store_restored",
    "peer_cut",
    "peer_mess",
)


class Fleet(Section):
    """[fleet]: the emulated servers.

    The values of a list are assigned to the servers in turn.
    """

    servers: Count
    spare: int = Field(default=0, ge=0)  # Number of additional servers that do not run at first.
    cores: Ints = Field(default=[2])
    speed: Floats = Field(default=[1.0])
    slots_per_core: Positive = 2.0
    queue_per_core: NonNegative = 10.0
    cold_from: Fraction = 0.4  # Fraction of its capacity that a server has when it starts.
    warm_s: Positive = 8.0  # Duration of a server's slow start, in seconds.
    # Fraction of a request's work that is saved if its key was seen within cache_s.
    cache_gain: Fraction = 0.0
    cache_s: Positive = 15.0
    cache_keys: Count = 500
    connections: Count = 2000
    handshake_s: NonNegative = 0.002
    probe_s: NonNegative = 0.004
    report_every_s: Positive = 0.8
    report_noise: NonNegative = 0.05
    notice_s: NonNegative = 1.5  # Time until the endpoint list shows a stop, in seconds.
    add_s: NonNegative = 0.7  # Time until the endpoint list shows a start, in seconds.


class Load(Section):
    """[load]: the requests that the emulated clients send."""

    requests_per_s: Positive
    shape: Curve = Field(default=[(0.0, 1.0)])  # Factor of the rate over time.
    keys: Count = 4000
    zipf: NonNegative = 0.8  # Exponent of the popularity of the keys.
    retries: int = Field(default=1, ge=0, le=3)  # Maximum number of retries by a client.
    retry_s: NonNegative = 0.1
    try_share: Fraction = 0.9  # Fraction of the deadline after which an attempt is cancelled.
    honour: Fraction = 0.9  # Fraction of the requests whose client obeys Retry-After.


class Net(Section):
    """[net]: latencies of the emulated network."""

    same_s: NonNegative = 0.0
    cross_s: NonNegative = 0.002
    report_late_s: NonNegative = 0.3
    order_late_s: NonNegative = 0.1
    list_late_s: NonNegative = 0.05


class Day(Section):
    """[day]: name, length and seed of a scenario."""

    name: str
    length_s: Positive = Field(le=3600)
    seed: int = 1
    settle_s: NonNegative = 3.0  # Time before the first request, in seconds.


class Fault(Section):
    """[fault NAME]: a fault and the time at which it occurs."""

    kind: str
    at_s: NonNegative
    for_s: NonNegative = 5.0
    # Ids of the affected servers; empty means a random selection of the fraction `part`.
    servers: Ints = Field(default=[])
    part: Fraction = 0.1
    zone: int = Field(default=0, ge=0)
    size: NonNegative = 2.0  # Factor, fraction, count or seconds, depending on the kind.
    extra: NonNegative = 0.0
    assigners: Ints = Field(default=[])
    # Ids of the assigners on the other side of a peer_cut; empty means all others.
    others: Ints = Field(default=[])
    # Variant of the fault: "refuse", "silent" or "empty" for counter_down, "all" for zone_loss, and "out",
    # "in" or "" for peer_cut.
    way: str = ""

    @model_validator(mode="after")
    def _check_kind(self) -> Fault:
        if self.kind not in FAULTS:
            raise ValueError(f"kind = {self.kind!r} is unknown; allowed: {', '.join(FAULTS)}")
        return self

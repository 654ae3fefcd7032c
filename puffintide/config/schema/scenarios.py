"""Sections that describe a scenario and its emulators. Times are in seconds."""

from __future__ import annotations

from pydantic import Field, model_validator

from puffintide.config.schema.types import Amount, Count, Curve, Floats, Ints, Positive, Section, Share

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
    """[fleet]: the emulated servers; lists are dealt in turn to the servers."""

    servers: Count
    spare: int = Field(default=0, ge=0)  # more that are not running at first
    cores: Ints = Field(default=[2])
    speed: Floats = Field(default=[1.0])
    slots_per_core: Positive = 2.0
    queue_per_core: Amount = 10.0
    cold_from: Share = 0.4  # of its capacity that a server has when it starts
    warm_s: Positive = 8.0  # duration of the slow start
    cache_gain: Share = 0.0  # work saved on keys seen within cache_s
    cache_s: Positive = 15.0
    cache_keys: Count = 500
    connections: Count = 2000
    handshake_s: Amount = 0.002
    probe_s: Amount = 0.004
    report_every_s: Positive = 0.8
    report_noise: Amount = 0.05
    notice_s: Amount = 1.5  # until the list shows a stop
    add_s: Amount = 0.7  # until it shows a start


class Load(Section):
    """[load]: the requests of the clients."""

    requests_per_s: Positive
    shape: Curve = Field(default=[(0.0, 1.0)])  # factor of the rate over time
    keys: Count = 4000
    zipf: Amount = 0.8  # exponent of the keys' popularity
    retries: int = Field(default=1, ge=0, le=3)  # of clients
    retry_s: Amount = 0.1
    try_share: Share = 0.9  # an attempt is cancelled after this part of the deadline
    honour: Share = 0.9  # part of the clients that obey Retry-After


class Net(Section):
    """[net]: latencies of the network."""

    same_s: Amount = 0.0
    cross_s: Amount = 0.002
    report_late_s: Amount = 0.3
    order_late_s: Amount = 0.1
    list_late_s: Amount = 0.05


class Day(Section):
    """[day]: a scenario."""

    name: str
    length_s: Positive = Field(le=3600)
    seed: int = 1
    settle_s: Amount = 3.0  # before the first request


class Fault(Section):
    """[fault NAME]: a fault, and when it happens."""

    kind: str
    at_s: Amount
    for_s: Amount = 5.0
    servers: Ints = Field(default=[])  # which; empty: a random part of them
    part: Share = 0.1
    zone: int = Field(default=0, ge=0)
    size: Amount = 2.0  # factor, count or seconds as the kind has it
    extra: Amount = 0.0
    assigners: Ints = Field(default=[])
    others: Ints = Field(default=[])  # peer_cut: those on the other side; empty: all others
    # counter_down: "refuse", "silent" or "empty"; zone_loss: "all"; peer_cut: "out", "in" or ""
    way: str = ""

    @model_validator(mode="after")
    def _known(self) -> Fault:
        if self.kind not in FAULTS:
            raise ValueError(f"kind {self.kind!r} is unknown; allowed: {', '.join(FAULTS)}")
        return self

"""Messages between assigners and proxies: weights and withdrawals to proxies, usage reports to assigners."""

from __future__ import annotations

import msgspec
from msgspec import field

from puffintide.protocol.messages.base import Message


class WeightEntry(msgspec.Struct, frozen=True, array_like=True):
    """Weight of one server in the table of one slice."""

    slice_id: int
    server_id: int
    weight: float  # Relative to the other servers of the slice; 0 removes the server.
    fencing_token: int = 0  # Fencing token of the slice's ownership.
    address: str = ""  # HOST:PORT of the server; empty if not given.
    zone: int = -1  # Zone of the server; -1 if not given.


class AdmissionLevel(msgspec.Struct, frozen=True, array_like=True):
    """Admitted fraction of requests and retry mode for some request classes of one slice."""

    slice_id: int  # 65535: all slices that the sender owns.
    class_mask: int  # Bit mask with bit class_index set for each class; 0: all classes.
    fraction: float  # Fraction of requests that are admitted; 1 admits all.
    retry_mode: int  # 0 to 3, as listed in docs/wire.md.


class ProxyUpdate(
    Message,
    tag="order",
    frozen=True,
    rename={
        "ordered_at_s": "at",
        "channel_cost": "cost",
        "weights": "lines",
        "cleared_slices": "clear",
        "withdrawn_servers": "out",
        "readmitted_servers": "back",
        "admission_levels": "levels",
        "checkpoint_id": "mark",
        "cleared_tokens": "clear_tokens",
    },
):
    """Set of changes from an assigner that a proxy applies atomically."""

    # Number of the assigner's batch that issued the update, the same at all proxies; 0 if no batch did. It
    # increases by one with each batch, but not every batch issues an update.
    batch: int
    ordered_at_s: float  # Time at which the update was issued, on the assigner's monotonic clock.
    channel_cost: float  # Cost of the update in the channel, in entries, including its fixed overhead.
    weights: list[WeightEntry] = field(default_factory=list)
    # Slices that lose all weights and admission levels before the new weights are set.
    cleared_slices: list[int] = field(default_factory=list)
    # Servers that receive no further attempts until they are readmitted.
    withdrawn_servers: list[int] = field(default_factory=list)
    readmitted_servers: list[int] = field(default_factory=list)
    admission_levels: list[AdmissionLevel] = field(default_factory=list)
    checkpoint_id: int | None = None  # Checkpoint that the proxy confirms with a CheckpointReply.
    # Fencing token of the ownership of each slice in cleared_slices, in the same order; empty if not given.
    cleared_tokens: list[int] = field(default_factory=list)


class CheckpointReply(Message, tag="applied", frozen=True, rename={"checkpoint_id": "mark"}):
    """Confirmation that a proxy has applied the update with this checkpoint and all earlier ones."""

    checkpoint_id: int


class ServerUsage(msgspec.Struct, frozen=True, array_like=True):
    """Counters of one proxy's attempts at one server over the interval of a usage report."""

    server_id: int
    attempts: int
    failed_attempts: int
    success_latency_total_s: float  # Sum of the latencies of the successful attempts.
    load_values: list[float] = []  # Latest load report of the server, in the order of `names` in [reports].


class SliceUsage(msgspec.Struct, frozen=True, array_like=True):
    """Counters of the requests of one class for one slice over the interval of a usage report."""

    slice_id: int  # 0 in a deployment without slices, where it stands for the proxy itself.
    class_index: int
    requests: int
    unanswered: int  # Number of admitted requests without a successful response.


class UsageReport(Message, tag="sums", frozen=True, rename={"interval_s": "span_s"}):
    """Usage counters of a proxy since its last report on this stream.

    Each request and each attempt is counted in exactly one report.
    """

    interval_s: float
    servers: list[ServerUsage] = field(default_factory=list)
    slices: list[SliceUsage] = field(default_factory=list)

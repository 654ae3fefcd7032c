"""Messages between an assigner and a proxy: weights and withdrawals one way, usage the other way."""

from __future__ import annotations

import msgspec
from msgspec import field

from puffintide.protocol.messages.base import Message


class WeightEntry(msgspec.Struct, frozen=True, array_like=True):
    """Sets the weight of one server in the table of one slice."""

    slice_id: int
    server_id: int
    weight: float  # relative to the other servers of the slice; 0 removes the server
    fencing_token: int = 0  # of the slice's ownership
    address: str = ""  # HOST:PORT of the server; empty if not given
    zone: int = -1  # of the server; -1 if not given


class AdmissionLevel(msgspec.Struct, frozen=True, array_like=True):
    """Fraction of the requests of some classes that is admitted to a slice, and how failed attempts are retried."""

    slice_id: int  # 65535: all slices that the sender owns
    class_mask: int  # sum of 2 ** class_index; 0: all classes
    fraction: float  # of requests that is admitted, 1 being all
    retry_mode: int  # 0 to 3, as docs/wire.md lists them


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
    },
):
    """What an assigner changes at one proxy at one time. All of it takes effect together."""

    batch: int  # rises by one with each update of this assigner, the same for all proxies concerned
    ordered_at_s: float  # on the assigner's monotonic clock
    channel_cost: float  # in entries that the update counts for in the channel, its head included
    weights: list[WeightEntry] = field(default_factory=list)
    cleared_slices: list[int] = field(
        default_factory=list
    )  # lose all weights and levels, before the weights are set
    withdrawn_servers: list[int] = field(
        default_factory=list
    )  # get no further attempts until they are readmitted
    readmitted_servers: list[int] = field(default_factory=list)
    admission_levels: list[AdmissionLevel] = field(default_factory=list)
    checkpoint_id: int | None = None  # to be answered with a CheckpointReply


class CheckpointReply(Message, tag="applied", frozen=True, rename={"checkpoint_id": "mark"}):
    """The proxy has applied the update with this checkpoint and all before it."""

    checkpoint_id: int


class ServerUsage(msgspec.Struct, frozen=True, array_like=True):
    """Attempts of one proxy at one server over the interval of a usage report."""

    server_id: int
    attempts: int
    failed_attempts: int
    success_latency_total_s: float  # sum over the successful attempts
    load_values: list[float] = []  # newest load report of the server, in the order of [reports] names


class SliceUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one class for one slice over the interval of a usage report."""

    slice_id: int  # 0, standing for the proxy itself, where the deployment has no slices
    class_index: int
    requests: int
    unanswered: int  # admitted requests without a successful response


class UsageReport(Message, tag="sums", frozen=True, rename={"interval_s": "span_s"}):
    """Usage counters of a proxy since its last report on this stream; each request and attempt counts once."""

    interval_s: float
    servers: list[ServerUsage] = field(default_factory=list)
    slices: list[SliceUsage] = field(default_factory=list)

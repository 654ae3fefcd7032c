"""Decodes batches of the bench into events for the instances. It decides nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from puffintide.bench_adapter.errors import BenchProtocolError
from puffintide.bench_adapter.records import EventCode, RecordReader
from puffintide.decisions.events import (
    CheckpointAcknowledged,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    HealthCheckResult,
    HealthCheckStatus,
    ListUpdateType,
    OwnershipChanged,
    ProxyConnected,
    ProxyDisconnected,
    ServerLoadReport,
    SliceLoadReport,
    StoredWeight,
    TimerFired,
)

LIST_UPDATE_TYPES = {
    0: ListUpdateType.DELTA,
    1: ListUpdateType.CACHED,
    2: ListUpdateType.FAILED,
    3: ListUpdateType.SNAPSHOT,
}
KNOWN_STATUSES = tuple(EndpointStatus)
RECORD_HEADER_BYTES = 3  # code and instance


@dataclass(frozen=True, slots=True)
class Hello:
    """An instance starts."""

    seed: int
    settings: bytes  # JSON


@dataclass(frozen=True, slots=True)
class Exit:
    """An instance was killed."""


InstanceEvent = Event | Hello | Exit


class EventDecoder:
    """Decodes batches, and keeps the server lists that later events refer to by number."""

    def __init__(self) -> None:
        self._server_lists: dict[int, tuple[Endpoint, ...]] = {}
        self._decoders: dict[int, Callable[[RecordReader], InstanceEvent | None]] = {
            EventCode.HELLO: _hello,
            EventCode.ENDPOINT_LIST: self._endpoint_list,
            EventCode.TIMER_FIRED: _timer_fired,
            EventCode.HEALTH_CHECK_RESULT: _health_check_result,
            EventCode.PEER_MESSAGE: _ignored_peer_message,
            EventCode.EXIT: _exit,
            EventCode.PROXY_CONNECTED: _proxy_connected,
            EventCode.PROXY_DISCONNECTED: _proxy_disconnected,
            EventCode.CHECKPOINT_ACKNOWLEDGED: _checkpoint_acknowledged,
            EventCode.SERVER_LOAD_REPORT: _server_load_report,
            EventCode.PROXY_LOAD_REPORT: _ignored_proxy_load_report,
            EventCode.SLICE_LOAD_REPORT: _slice_load_report,
            EventCode.OWNERSHIP_CHANGED: _ownership_changed,
            EventCode.STORED_WEIGHT: _stored_weight,
        }

    def events(self, body: bytes) -> Iterator[tuple[int, InstanceEvent]]:
        """The events of a batch, each with its instance.

        Args:
            body: What follows the batch's clock.

        Raises:
            BenchProtocolError: A record is malformed.
        """
        reader = RecordReader(body)
        while reader.position < len(body):
            start = reader.position
            (code,) = reader.integers("B")
            if code == EventCode.SERVER_LIST:
                self._read_server_list(reader)
                continue
            (instance,) = reader.integers("H")
            decode = self._decoders.get(code)
            if decode is None:
                raise BenchProtocolError(f"unknown event code {code} at byte {start}")
            event = decode(reader)
            if event is not None:
                yield instance, event

    def _read_server_list(self, reader: RecordReader) -> None:
        number, count = reader.integers("II")
        self._server_lists[number] = tuple(_endpoint(reader) for _ in range(count))

    def _endpoint_list(self, reader: RecordReader) -> EndpointListUpdate:
        start = reader.position - RECORD_HEADER_BYTES
        number, version, update_code = reader.integers("IQB")
        update_type = LIST_UPDATE_TYPES.get(update_code)
        if update_type is None:
            raise BenchProtocolError(f"unknown list form {update_code} in the record at byte {start}")
        if update_type == ListUpdateType.FAILED:
            return EndpointListUpdate(update_type, version, ())
        if number not in self._server_lists:
            raise BenchProtocolError(f"list {number} was never sent (record at byte {start})")
        return EndpointListUpdate(update_type, version, self._server_lists[number])


def _endpoint(reader: RecordReader) -> Endpoint:
    start = reader.position
    server_id, zone, server_type, cell, status, weight, started_at_s = reader.fields("IBHHBfd")
    if status not in KNOWN_STATUSES:
        raise BenchProtocolError(f"unknown state {status} of server {server_id} at byte {start}")
    return Endpoint(
        int(server_id),
        int(zone),
        int(server_type),
        int(cell),
        EndpointStatus(int(status)),
        float(weight),
        float(started_at_s),
    )


def _hello(reader: RecordReader) -> Hello:
    seed, size = reader.integers("QI")
    return Hello(seed, reader.bytes_(size))


def _exit(_reader: RecordReader) -> Exit:
    return Exit()


def _timer_fired(reader: RecordReader) -> TimerFired:
    (timer_id,) = reader.integers("I")
    return TimerFired(timer_id)


def _health_check_result(reader: RecordReader) -> HealthCheckResult:
    latency_s, server_id, status = reader.fields("dIH")
    load_values = reader.float_list()
    return HealthCheckResult(int(server_id), HealthCheckStatus(int(status)), float(latency_s), load_values)


def _ignored_peer_message(reader: RecordReader) -> None:
    """The decision module has no use for messages of other instances."""
    _, size = reader.integers("IH")
    reader.bytes_(size)


def _proxy_connected(reader: RecordReader) -> ProxyConnected:
    proxy_id, zone, rate, is_first = reader.fields("HBfB")
    return ProxyConnected(int(proxy_id), int(zone), float(rate), bool(is_first))


def _proxy_disconnected(reader: RecordReader) -> ProxyDisconnected:
    (proxy_id,) = reader.integers("H")
    return ProxyDisconnected(proxy_id)


def _checkpoint_acknowledged(reader: RecordReader) -> CheckpointAcknowledged:
    latency_s, proxy_id, checkpoint_id = reader.fields("dHQ")
    return CheckpointAcknowledged(int(proxy_id), int(checkpoint_id), float(latency_s))


def _server_load_report(reader: RecordReader) -> ServerLoadReport:
    zone, server_id, attempts, failed_attempts, mean_latency_s, interval_s = reader.fields("BIIIdd")
    return ServerLoadReport(
        int(zone),
        int(server_id),
        int(attempts),
        int(failed_attempts),
        float(mean_latency_s),
        float(interval_s),
        reader.float_list(),
    )


def _ignored_proxy_load_report(reader: RecordReader) -> None:
    """The decision module has no use for usage that is not of a slice."""
    reader.fields("HIHId")


def _slice_load_report(reader: RecordReader) -> SliceLoadReport:
    slice_id, class_index, requests, failed, interval_s = reader.fields("HHIId")
    return SliceLoadReport(int(slice_id), int(class_index), int(requests), int(failed), float(interval_s))


def _ownership_changed(reader: RecordReader) -> OwnershipChanged:
    slice_id, is_owner = reader.integers("HB")
    return OwnershipChanged(slice_id, bool(is_owner))


def _stored_weight(reader: RecordReader) -> StoredWeight:
    weight, server_id, slice_id = reader.fields("fIH")
    return StoredWeight(int(slice_id), int(server_id), float(weight))

"""Decoder of the bench's batches into events for the instances. It makes no decisions."""

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
RECORD_HEADER_BYTES = 3  # Size of the event code and the instance number.


@dataclass(frozen=True, slots=True)
class Hello:
    """Starts an instance."""

    seed: int
    settings: bytes  # Settings as JSON.


@dataclass(frozen=True, slots=True)
class Exit:
    """Reports that an instance was killed."""


InstanceEvent = Event | Hello | Exit


class EventDecoder:
    """Decodes batches and keeps the server lists that later events refer to by number."""

    def __init__(self) -> None:
        self._server_lists: dict[int, tuple[Endpoint, ...]] = {}
        self._decoders: dict[int, Callable[[RecordReader], InstanceEvent | None]] = {
            EventCode.HELLO: _decode_hello,
            EventCode.ENDPOINT_LIST: self._decode_endpoint_list,
            EventCode.TIMER_FIRED: _decode_timer_fired,
            EventCode.HEALTH_CHECK_RESULT: _decode_health_check_result,
            EventCode.PEER_MESSAGE: _skip_peer_message,
            EventCode.EXIT: _decode_exit,
            EventCode.PROXY_CONNECTED: _decode_proxy_connected,
            EventCode.PROXY_DISCONNECTED: _decode_proxy_disconnected,
            EventCode.CHECKPOINT_ACKNOWLEDGED: _decode_checkpoint_acknowledged,
            EventCode.SERVER_LOAD_REPORT: _decode_server_load_report,
            EventCode.PROXY_LOAD_REPORT: _skip_proxy_load_report,
            EventCode.SLICE_LOAD_REPORT: _decode_slice_load_report,
            EventCode.OWNERSHIP_CHANGED: _decode_ownership_changed,
            EventCode.STORED_WEIGHT: _decode_stored_weight,
        }

    def decode_batch(self, body: bytes) -> Iterator[tuple[int, InstanceEvent]]:
        """Yield the events of a batch, each with the number of its instance.

        Args:
            body: The bytes that follow the time of the batch.

        Raises:
            BenchProtocolError: A record is malformed.
        """
        reader = RecordReader(body)
        while reader.position < len(body):
            record_start = reader.position
            (code,) = reader.read_integers("B")
            if code == EventCode.SERVER_LIST:
                self._decode_server_list(reader)
                continue
            (instance,) = reader.read_integers("H")
            decode = self._decoders.get(code)
            if decode is None:
                raise BenchProtocolError(
                    f"cannot decode record at byte {record_start}: unknown event code {code}"
                )
            event = decode(reader)
            if event is not None:
                yield instance, event

    def _decode_server_list(self, reader: RecordReader) -> None:
        """Decode a server list and store it under its number."""
        list_number, count = reader.read_integers("II")
        self._server_lists[list_number] = tuple(_decode_endpoint(reader) for _ in range(count))

    def _decode_endpoint_list(self, reader: RecordReader) -> EndpointListUpdate:
        record_start = reader.position - RECORD_HEADER_BYTES
        list_number, version, update_code = reader.read_integers("IQB")
        update_type = LIST_UPDATE_TYPES.get(update_code)
        if update_type is None:
            raise BenchProtocolError(
                f"cannot decode endpoint list update at byte {record_start}: "
                f"unknown update type {update_code}"
            )
        if update_type == ListUpdateType.FAILED:
            return EndpointListUpdate(update_type, version, ())
        if list_number not in self._server_lists:
            raise BenchProtocolError(
                f"cannot decode endpoint list update at byte {record_start}: "
                f"server list {list_number} has not been sent"
            )
        return EndpointListUpdate(update_type, version, self._server_lists[list_number])


def _decode_endpoint(reader: RecordReader) -> Endpoint:
    start = reader.position
    server_id, zone, server_type, cell, status, weight, started_at_s = reader.read_fields("IBHHBfd")
    if status not in KNOWN_STATUSES:
        raise BenchProtocolError(
            f"cannot decode endpoint of server {server_id} at byte {start}: unknown status {status}"
        )
    return Endpoint(
        int(server_id),
        int(zone),
        int(server_type),
        int(cell),
        EndpointStatus(int(status)),
        float(weight),
        float(started_at_s),
    )


def _decode_hello(reader: RecordReader) -> Hello:
    seed, size = reader.read_integers("QI")
    return Hello(seed, reader.read_bytes(size))


def _decode_exit(_reader: RecordReader) -> Exit:
    return Exit()


def _decode_timer_fired(reader: RecordReader) -> TimerFired:
    (timer_id,) = reader.read_integers("I")
    return TimerFired(timer_id)


def _decode_health_check_result(reader: RecordReader) -> HealthCheckResult:
    elapsed_s, server_id, status = reader.read_fields("dIH")
    load_values = reader.read_floats()
    return HealthCheckResult(int(server_id), HealthCheckStatus(int(status)), float(elapsed_s), load_values)


def _skip_peer_message(reader: RecordReader) -> None:
    """Skip a message from another instance; the decision module does not use it."""
    _, size = reader.read_integers("IH")
    reader.read_bytes(size)


def _decode_proxy_connected(reader: RecordReader) -> ProxyConnected:
    proxy_id, zone, request_rate, is_first_connection = reader.read_fields("HBfB")
    return ProxyConnected(int(proxy_id), int(zone), float(request_rate), bool(is_first_connection))


def _decode_proxy_disconnected(reader: RecordReader) -> ProxyDisconnected:
    (proxy_id,) = reader.read_integers("H")
    return ProxyDisconnected(proxy_id)


def _decode_checkpoint_acknowledged(reader: RecordReader) -> CheckpointAcknowledged:
    elapsed_s, proxy_id, checkpoint_id = reader.read_fields("dHQ")
    return CheckpointAcknowledged(int(proxy_id), int(checkpoint_id), float(elapsed_s))


def _decode_server_load_report(reader: RecordReader) -> ServerLoadReport:
    zone, server_id, attempts, failed_attempts, mean_latency_s, interval_s = reader.read_fields("BIIIdd")
    return ServerLoadReport(
        int(zone),
        int(server_id),
        int(attempts),
        int(failed_attempts),
        float(mean_latency_s),
        float(interval_s),
        reader.read_floats(),
    )


def _skip_proxy_load_report(reader: RecordReader) -> None:
    """Skip a proxy's load report that is not about a slice; the decision module does not use it."""
    reader.read_fields("HIHId")


def _decode_slice_load_report(reader: RecordReader) -> SliceLoadReport:
    slice_id, class_index, requests, unanswered, interval_s = reader.read_fields("HHIId")
    return SliceLoadReport(int(slice_id), int(class_index), int(requests), int(unanswered), float(interval_s))


def _decode_ownership_changed(reader: RecordReader) -> OwnershipChanged:
    slice_id, is_granted = reader.read_integers("HB")
    return OwnershipChanged(slice_id, bool(is_granted))


def _decode_stored_weight(reader: RecordReader) -> StoredWeight:
    weight, server_id, slice_id = reader.read_fields("fIH")
    return StoredWeight(int(slice_id), int(server_id), float(weight))

"""Frames of the drill's wire: bytes to events, actions to bytes. It decides nothing."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from puffintide.decisions.actions import (
    Action,
    LogMessage,
    SendCheckpoint,
    SendHealthCheck,
    SetAdmission,
    SetTimer,
    SetWeight,
    SetWithdrawn,
    WatchEndpoints,
)
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


class WireError(Exception):
    """The input does not follow the wire; the text says what and where."""


@dataclass(frozen=True, slots=True)
class Hello:
    """An instance starts: its seed and its settings as JSON text."""

    seed: int
    text: bytes


@dataclass(frozen=True, slots=True)
class Exit:
    """An instance has been killed."""


_LIST_UPDATE_TYPES = {
    0: ListUpdateType.DELTA,
    1: ListUpdateType.CACHED,
    2: ListUpdateType.FAILED,
    3: ListUpdateType.SNAPSHOT,
}
_STRUCTS: dict[str, struct.Struct] = {}


def _struct(layout: str) -> struct.Struct:
    found = _STRUCTS.get(layout)
    if found is None:
        found = _STRUCTS[layout] = struct.Struct("<" + layout)
    return found


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def take(self, layout: str) -> tuple[int | float | bool, ...]:
        packed = _struct(layout)
        end = self.at + packed.size
        if end > len(self.data):
            raise WireError(f"batch ends inside a record at byte {self.at} of {len(self.data)}")
        values: tuple[int | float | bool, ...] = packed.unpack_from(self.data, self.at)
        self.at = end
        return values

    def raw(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise WireError(f"a length of {size} at byte {self.at} runs past the batch of {len(self.data)}")
        self.at += size
        return self.data[self.at - size : self.at]

    def floats(self) -> tuple[float, ...]:
        (count,) = self.take("B")
        return tuple(float(v) for v in self.take(f"{int(count)}f"))


class Decoder:
    """Reads batches; keeps the numbered server lists that later events refer to."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def events(self, body: bytes) -> Iterator[tuple[int, Event | Hello | Exit]]:
        """The events of a batch body (what follows the clock), each with its instance."""
        reader = _Reader(body)
        while reader.at < len(body):
            start = reader.at
            code = reader.take("B")[0]
            if code == 14:
                self._read_list(reader)
                continue
            instance = int(reader.take("H")[0])
            event = self._event(int(code), reader, start)
            if event is not None:
                yield instance, event

    def _read_list(self, r: _Reader) -> None:
        number, rows = (int(v) for v in r.take("II"))
        servers = []
        for _ in range(rows):
            at = r.at
            sid, zone, kind, cell, state, weight, started = r.take("IBHHBfd")
            if state not in tuple(EndpointStatus):
                raise WireError(f"unknown state {state} of server {sid} at byte {at}")
            status = EndpointStatus(int(state))
            servers.append(
                Endpoint(int(sid), int(zone), int(kind), int(cell), status, float(weight), float(started))
            )
        self._lists[number] = tuple(servers)

    def _event(self, code: int, r: _Reader, start: int) -> Event | Hello | Exit | None:
        """None: something that the module has no use for (messages of others like it, usage without slices)."""
        match code:
            case 0:
                seed, size = r.take("QI")
                return Hello(int(seed), r.raw(int(size)))
            case 1:
                number, version, form = (int(v) for v in r.take("IQB"))
                if form not in _LIST_UPDATE_TYPES:
                    raise WireError(f"unknown list form {form} in the record at byte {start}")
                if form != 2 and number not in self._lists:
                    raise WireError(f"list {number} was never sent (record at byte {start})")
                rows = () if form == 2 else self._lists[number]
                return EndpointListUpdate(_LIST_UPDATE_TYPES[form], version, rows)
            case 2:
                return TimerFired(int(r.take("I")[0]))
            case 3:
                took, server, status = r.take("dIH")
                return HealthCheckResult(int(server), HealthCheckStatus(int(status)), float(took), r.floats())
            case 4:
                r.raw(int(r.take("IH")[1]))
                return None
            case 5:
                return Exit()
            case 6:
                proxy, zone, rate, fresh = r.take("HBfB")
                return ProxyConnected(int(proxy), int(zone), float(rate), bool(fresh))
            case 7:
                return ProxyDisconnected(int(r.take("H")[0]))
            case 8:
                took, proxy, stamp = r.take("dHQ")
                return CheckpointAcknowledged(int(proxy), int(stamp), float(took))
            case 9:
                zone, server, tries, failed, mean, span = r.take("BIIIdd")
                return ServerLoadReport(
                    int(zone), int(server), int(tries), int(failed), float(mean), float(span), r.floats()
                )
            case 10:
                r.take("HIHId")
                return None
            case 11:
                table, qos, count, failed, span = r.take("HHIId")
                return SliceLoadReport(int(table), int(qos), int(count), int(failed), float(span))
            case 12:
                table, given = r.take("HB")
                return OwnershipChanged(int(table), bool(given))
            case 13:
                weight, server, table = r.take("fIH")
                return StoredWeight(int(table), int(server), float(weight))
        raise WireError(f"unknown event code {code} at byte {start}")


def _text(code: int, who: int, text: str) -> bytes:
    data = text.encode()[:65535]
    return _struct("BHH").pack(code, who, len(data)) + data


def encode_action(who: int, action: Action) -> bytes:
    """One action as a record."""
    match action:
        case SetWeight(table, server, weight):
            return _struct("BHHIf").pack(71, who, table, server, weight)
        case SetTimer(after_s, name):
            return _struct("BHdI").pack(64, who, after_s, name)
        case SendHealthCheck(server):
            return _struct("BHI").pack(65, who, server)
        case LogMessage(text):
            return _text(67, who, text)
        case WatchEndpoints(on):
            return _struct("BHB").pack(69, who, on)
        case SetWithdrawn(server, out):
            return _struct("BHBI").pack(73, who, out, server)
        case SetAdmission(table, classes, level, retry):
            return _struct("BHHHfB").pack(75, who, table, classes, level, retry)
        case SendCheckpoint(number):
            return _struct("BHQB").pack(76, who, number, False)


def encode_fault(who: int, text: str) -> bytes:
    """The record that says the decision code has failed."""
    return _text(68, who, text)


def frame(records: list[bytes]) -> bytes:
    """A whole reply."""
    body = b"".join(records)
    return _struct("II").pack(len(body), len(records)) + body

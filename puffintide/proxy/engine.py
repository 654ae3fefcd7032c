"""The proxy's course of a request, without I/O: what came in, what goes out. Time is passed in.

Events are method calls; each gives the effects to carry out, in order. due() is to be called at next_due(). A
request ends where it was sent: a change of tables concerns the next one.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field

from puffintide.protocol.messages import (
    AttemptStatus,
    ProxyUpdate,
    SliceOwnership,
    UsageReport,
)
from puffintide.proxy.admit import Gate
from puffintide.proxy.sums import Counter
from puffintide.proxy.tables import FEW, Tables
from puffintide.proxy.tries import TRIES, Kind, Past, further, patience

Ref = Hashable  # the front's name of a request


@dataclass(frozen=True, slots=True)
class Limits:
    """Of one proxy; seconds and counts."""

    slices: int
    kinds: tuple[Kind, ...]
    own_zone: tuple[bool, ...]
    retry_default: int
    retry_wait_aims: float
    shun_after: int
    shun_s: float
    admit: str
    pick: str
    hold_s: float
    again_s: float
    zone: int
    single_writer: bool = False
    write_lease_s: float = 1.5
    held_most: int = 2000
    open_most: int = 20000
    connect_s: float = 0.25
    reserve_s: float = 0.015  # the final answer leaves so long before the client's time is up


@dataclass(frozen=True, slots=True)
class Connect:
    server: int
    address: str


@dataclass(frozen=True, slots=True)
class Send:
    """A try goes to a server whose stream stands."""

    server: int
    key: int  # of the try
    ref: Ref
    request: int
    slice: int
    request_class: int
    number: int
    left_s: float


@dataclass(frozen=True, slots=True)
class Cancel:
    server: int
    key: int


@dataclass(frozen=True, slots=True)
class Finish:
    """The final answer. again_s: when to come back, with a refusal. ran: False when certain that nothing ran."""

    ref: Ref
    status: int
    again_s: float
    ran: bool


@dataclass(frozen=True, slots=True)
class Close:
    """The server's stream, or the attempt at one, is given up."""

    server: int


Effect = Connect | Send | Cancel | Finish | Close


@dataclass(slots=True)
class _Request:
    ref: Ref
    request: int
    slice: int
    request_class: int
    deadline: float
    assigner: int
    number: int = 0
    server: int = -1
    sent_at: float | None = None
    ran_at: float | None = None
    ran_zone: int = -1
    ran_status: int = AttemptStatus.TIMEOUT  # what the client is told of it, where no later try is answered
    only_zone: int = -1
    tried: frozenset[int] = frozenset()
    held: bool = False
    timer: int = 0  # the newest of its timers; older ones are void


@dataclass(slots=True)
class _Server:
    up: bool = False
    waiting: dict[int, None] = field(default_factory=dict)  # tries for whose stream it is waited
    out: dict[int, None] = field(default_factory=dict)  # tries sent


class Engine:
    """like: an engine whose tables, levels and counts this one shares, for another kind of stream."""

    def __init__(self, limits: Limits, draw: Callable[[], float], like: Engine | None = None) -> None:
        self.limits = limits
        own = Tables(
            limits.slices,
            limits.retry_default,
            limits.pick,
            draw,
            limits.zone,
            lambda s: self.out_at(s),
            limits.single_writer,
        )
        self.tables: Tables = like.tables if like is not None else own
        self.gate: Gate = like.gate if like is not None else Gate(limits.admit)
        self.counter: Counter = like.counter if like is not None else Counter()
        self.servers: dict[int, _Server] = {}
        self.requests: dict[int, _Request] = {}
        self.held: dict[int, None] = {}
        self._by_ref: dict[Ref, int] = {}
        self.late_answers = 0  # to tries that were given up
        self._next = 0
        self._timers: list[tuple[float, int, str, int]] = []  # when, which, what, request or server
        self._timer = 0
        self._failed: dict[int, int] = {}  # own failures in a row
        self._shunned: dict[int, float] = {}  # until when
        # By assigner: until when its slices take writes. None before its first order.
        self._writes_until: dict[int, float] = like._writes_until if like else {}

    def out_at(self, server: int) -> int:
        found = self.servers.get(server)
        return len(found.out) if found else 0

    # Tables ---------------------------------------------------------------------------------------

    def order(self, now: float, assigner: int, order: ProxyUpdate) -> list[Effect]:
        self.tables.order(assigner, order)
        self._writes_until[assigner] = math.inf  # steered by it: its slices take writes
        return self.look_again(now, order.admission_levels != [])

    def charges(self, now: float, charges: Iterable[SliceOwnership]) -> list[Effect]:
        for charge in charges:
            self.tables.charge(charge)
        return self.look_again(now)

    def assigner_lost(self, now: float, assigner: int) -> None:
        """Where slices have one writer, its take writes a lease longer, then none until it orders again."""
        until = self._writes_until.get(assigner, 0.0)
        self._writes_until[assigner] = min(until, now + self.limits.write_lease_s)

    def look_again(self, now: float, levels: bool = False) -> list[Effect]:
        """Held requests look once more; a level of 0 stops them."""
        effects: list[Effect] = []
        for key in list(self.held):
            request = self.requests[key]
            if levels and not self._let_in(request.slice, request.request_class, zero_only=True):
                effects += self._finish(now, key, AttemptStatus.SATURATED)
            else:
                del self.held[key]
                request.held = False
                effects += self._place(now, key)
        return effects

    # Requests -------------------------------------------------------------------------------------

    def _let_in(self, number: int, request_class: int, zero_only: bool = False) -> bool:
        level = self.tables.level(number, request_class)
        limited = self.tables.limited(number, request_class)
        if zero_only:
            return self.limits.admit == "silent" or not limited or level > 0
        return self.gate.admits(self.tables.tables[number].assigner, request_class, level, limited)

    def asked(
        self, now: float, ref: Ref, request: int, number: int, request_class: int, left_s: float
    ) -> list[Effect]:
        """A request has come for a slice. left_s: how long its client waits."""
        assigner = self.tables.tables[number].assigner
        self.counter.request(now, assigner, number, request_class)
        deadline = now + left_s - min(self.limits.reserve_s, left_s / 4)
        if len(self.requests) >= self.limits.open_most or not self._let_in(number, request_class):
            return [Finish(ref, AttemptStatus.SATURATED, self.limits.again_s, False)]
        self._next += 1
        self._by_ref[ref] = self._next
        self.requests[self._next] = _Request(ref, request, number, request_class, deadline, assigner)
        return self._place(now, self._next)

    def _may_write(self, now: float, request: _Request) -> bool:
        if not self.limits.single_writer or self.limits.kinds[request.request_class].effect == "repeatable":
            return True
        return now < self._writes_until.get(self.tables.tables[request.slice].assigner, 0.0)

    def writing(self, slices: Iterable[int]) -> bool:
        """Whether a write to any of these slices is at a server."""
        wanted = set(slices)
        return any(
            r.sent_at is not None
            and r.slice in wanted
            and self.limits.kinds[r.request_class].effect != "repeatable"
            for r in self.requests.values()
        )

    def _place(self, now: float, key: int) -> list[Effect]:
        """Picks a server; without one the request is held for a while."""
        request = self.requests[key]
        request.assigner = self.tables.tables[request.slice].assigner
        server = None
        if self._may_write(now, request):
            if self._shunned:
                self._shunned = {s: until for s, until in self._shunned.items() if until > now}
            shunned = frozenset(self._shunned)
            own = self.limits.own_zone[request.request_class]
            server = self.tables.pick(request.slice, request.tried | shunned, own, request.only_zone)
        if server is None or not self.tables.addresses.get(server):
            return self._hold(now, key)
        request.server, request.sent_at = server, None
        found = self.servers.get(server)
        if found is not None and found.up:
            return [self._send(now, key)]
        effects: list[Effect] = []
        if found is None:
            found = self.servers[server] = _Server()
            effects.append(Connect(server, self.tables.addresses[server]))
            self._set_timer(now + self.limits.connect_s, "connect", server)
        found.waiting[key] = None
        request.timer = self._set_timer(request.deadline, "try", key)
        return effects

    def _hold(self, now: float, key: int) -> list[Effect]:
        request = self.requests[key]
        if request.tried or len(self.held) >= self.limits.held_most:
            return self._finish(now, key, AttemptStatus.SATURATED)
        request.held = True
        self.held[key] = None
        request.timer = self._set_timer(min(now + self.limits.hold_s, request.deadline), "hold", key)
        return []

    def _send(self, now: float, key: int) -> Send:
        request = self.requests[key]
        request.sent_at = now
        self.servers[request.server].out[key] = None
        kind = self.limits.kinds[request.request_class]
        mode = self.tables.retry(request.slice, request.request_class)
        until = patience(kind, mode, request.number, self.limits.retry_wait_aims, now, request.deadline)
        request.timer = self._set_timer(until, "try", key)
        return Send(
            request.server,
            key,
            request.ref,
            request.request,
            request.slice,
            request.request_class,
            request.number,
            round(request.deadline - now, 6),
        )

    # Servers --------------------------------------------------------------------------------------

    def server_up(self, now: float, server: int) -> list[Effect]:
        """The server has greeted: what waited for it goes out."""
        found = self.servers.get(server)
        if found is None:
            return [Close(server)]
        found.up = True
        waiting, found.waiting = list(found.waiting), {}
        return [self._send(now, key) for key in waiting if key in self.requests]

    def server_lost(self, now: float, server: int) -> list[Effect]:
        """The stream ended, or never came up. What had been sent may have run, what waited has not."""
        found = self.servers.pop(server, None)
        if found is None:
            return []
        effects: list[Effect] = []
        for key in [*found.out, *found.waiting]:
            if key in self.requests:
                sent = key in found.out
                effects += self._failed_try(
                    now, key, AttemptStatus.RESET if sent else AttemptStatus.UNREACHABLE, proved=not sent
                )
        return effects

    def answered(self, now: float, server: int, key: int, status: int, values: list[float]) -> list[Effect]:
        found = self.servers.get(server)
        if found is None or found.out.pop(key, 0) is not None or key not in self.requests:
            self.late_answers += 1
            return []
        request = self.requests[key]
        if status == AttemptStatus.OK:
            self._failed.pop(server, None)
            took = now - (request.sent_at if request.sent_at is not None else now)
            self.counter.tried(now, request.assigner, server, took, values)
            return self._finish(now, key, AttemptStatus.OK)
        return self._failed_try(
            now,
            key,
            status if status else AttemptStatus.ERROR,
            proved=status == AttemptStatus.SATURATED,
            values=values,
        )

    def never_sent(self, now: float, server: int, key: int) -> list[Effect]:
        """A try could not be written: its own connection was refused, or did not stand in time."""
        found = self.servers.get(server)
        if found is None or found.out.pop(key, 0) is not None or key not in self.requests:
            return []
        return self._failed_try(now, key, AttemptStatus.UNREACHABLE, proved=True)

    def broke(self, now: float, server: int, key: int) -> list[Effect]:
        """A try's own connection ended after something of it was written."""
        found = self.servers.get(server)
        if found is None or found.out.pop(key, 0) is not None or key not in self.requests:
            return []
        return self._failed_try(now, key, AttemptStatus.RESET, proved=False)

    def pin(self, ref: Ref) -> None:
        """No further try: its body can't be sent again, or its answer has begun to go out."""
        key = self._by_ref.get(ref)
        if key is not None:
            self.requests[key].number = max(TRIES.values())

    def _failed_try(
        self, now: float, key: int, status: int, proved: bool, values: list[float] | None = None
    ) -> list[Effect]:
        request = self.requests[key]
        self.counter.tried(now, request.assigner, request.server, None, values or [])
        if not proved and request.ran_at is None:
            request.ran_at = request.sent_at if request.sent_at is not None else now
            request.ran_zone = self.tables.zones.get(request.server, -1)
            request.ran_status = status
        if self.limits.shun_after:
            row = self._failed[request.server] = self._failed.get(request.server, 0) + 1
            if len(self._failed) > 2 * len(self.tables.addresses) + FEW:
                self._failed = {s: n for s, n in self._failed.items() if s in self.tables.addresses}
            if row >= self.limits.shun_after:
                self._shunned[request.server] = now + self.limits.shun_s
        kind = self.limits.kinds[request.request_class]
        mode = self.tables.retry(request.slice, request.request_class)
        past = Past(request.number, proved, request.ran_at, request.ran_zone)
        following = further(kind, mode, past, now, request.deadline)
        if following is None:
            return self._finish(now, key, status)
        del self.requests[key]
        self._next += 1
        request.number += 1
        request.tried |= {request.server}
        request.only_zone, request.server, request.sent_at = following.only_zone, -1, None
        self.requests[self._next] = request
        self._by_ref[request.ref] = self._next
        return self._place(now, self._next)

    def _finish(self, now: float, key: int, status: int) -> list[Effect]:
        request = self.requests.pop(key)
        if request.ran_at is not None and status in (AttemptStatus.SATURATED, AttemptStatus.UNREACHABLE):
            status = request.ran_status  # a refusal says that nothing ran, whatever a later try met
        self._by_ref.pop(request.ref, None)
        self.held.pop(key, None)
        found = self.servers.get(request.server)
        if found is not None:
            found.waiting.pop(key, None)
            found.out.pop(key, None)
        if status != AttemptStatus.OK:
            self.counter.unanswered(now, request.assigner, request.slice, request.request_class)
        refused = status in (AttemptStatus.SATURATED, AttemptStatus.UNREACHABLE)
        ran = status == AttemptStatus.OK or request.ran_at is not None
        return [Finish(request.ref, status, self.limits.again_s if refused else 0.0, ran)]

    def gave_up(self, now: float, ref: Ref) -> list[Effect]:
        """The client went away: what it had out is cancelled, nothing more is tried."""
        key = self._by_ref.get(ref)
        if key is None:
            return []
        request = self.requests[key]
        effects: list[Effect] = []
        if request.sent_at is not None:
            effects.append(Cancel(request.server, key))
            self.counter.tried(now, request.assigner, request.server, None, [])
        self._finish(now, key, AttemptStatus.TIMEOUT)
        return effects

    # Time -----------------------------------------------------------------------------------------

    def _set_timer(self, at: float, what: str, which: int) -> int:
        self._timer += 1
        heapq.heappush(self._timers, (at, self._timer, what, which))
        return self._timer

    def next_due(self) -> float | None:
        while self._timers:
            at, number, what, which = self._timers[0]
            if what == "connect":
                if which in self.servers and not self.servers[which].up:
                    return at
            elif which in self.requests and self.requests[which].timer == number:
                return at
            heapq.heappop(self._timers)
        return None

    def due(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while (at := self.next_due()) is not None and at <= now:
            _, _, what, which = heapq.heappop(self._timers)
            if what == "connect":  # it accepts and stays silent, or does not answer at all
                effects.append(Close(which))
                effects += self.server_lost(now, which)
            elif what == "hold":
                effects += self._finish(now, which, AttemptStatus.SATURATED)
            else:
                effects += self._late(now, which)
        return effects

    def _late(self, now: float, key: int) -> list[Effect]:
        """No answer in time: the try is given up, its answer will count for nothing."""
        request = self.requests[key]
        found = self.servers.get(request.server)
        sent = request.sent_at is not None
        effects: list[Effect] = []
        if found is not None:
            found.waiting.pop(key, None)
            if found.out.pop(key, 0) is None:
                effects.append(Cancel(request.server, key))
        return effects + self._failed_try(
            now, key, AttemptStatus.TIMEOUT if sent else AttemptStatus.UNREACHABLE, proved=not sent
        )

    def take_sums(self, now: float, assigner: int, least_s: float) -> UsageReport | None:
        return self.counter.take(now, assigner, least_s)

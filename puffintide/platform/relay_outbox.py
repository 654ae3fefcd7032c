"""Orders on their way to the relay: which go into the next call, and what each answer means. Sans-I/O.

One reply of the module is one call, and so one message to each proxy. Calls go out one after another. Of each
line, server and level only the newest wish is ever sent: what is sent again after a call that may or may not have
been carried out never puts an older value over a newer one. Whether it was is read from the store's tables first:
sent twice, the lines of a large reply would not fit into the channel.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from puffintide.decisions.actions import (
    ALL_SLICES,
    Action,
    SendCheckpoint,
    SetAdmission,
    SetWeight,
    SetWithdrawn,
)
from puffintide.platform.identifiers import Names

BYTES_MOST = 60_000
WRAP = len('{"orders":[]}')
AGAIN_S, AGAIN_MOST_S = 0.02, 0.5  # pause before a call or reading is made again, doubled up to the second
THROTTLED_S = 0.25  # pace of tries until the run begins
READS_MOST = 5  # looks at what stands that fail, until a call in doubt is sent again without
INVALID_MOST = 3  # times that a call is turned away as none before its orders are given up

Key = tuple[str, int, int]
Tables = Mapping[int, Mapping[str, float]]  # by slice: shares by host


@dataclass(frozen=True, slots=True)
class Order:
    key: Key
    text: bytes
    rank: int  # in a reply that needs several calls: withdrawals, what adds, what takes away, levels, marks
    line: tuple[int, str, float] | None = None  # slice, host and share, of a line


def _text(**fields: object) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def orders(
    actions: Iterable[Action], names: Names, host: Callable[[int], str | None], held: Iterable[int]
) -> tuple[list[Order], list[str]]:
    """The module's actions as orders, and reasons for those that can't be said."""
    out: list[Order] = []
    wrong: list[str] = []
    slices = frozenset(held)
    for action in actions:
        match action:
            case SetWeight(table, server, weight):
                name = host(server)
                if name is None:
                    wrong.append(f"line of slice {table}: server {server} has no name")
                elif table in slices:
                    text = _text(do="SET", group=table, host=name, share=round(weight, 6))
                    rank = 1 if weight > 0 else 2
                    out.append(Order(("line", table, server), text, rank, (table, name, weight)))
            case SetWithdrawn(server, gone):
                name = host(server)
                if name is None:
                    wrong.append(f"withdrawal: server {server} has no name")
                else:
                    text = _text(do="OUT" if gone else "IN", host=name)
                    out.append(Order(("server", server, 0), text, 0 if gone else 3))
            case SetAdmission(table, classes, level, retry):
                fields: dict[str, object] = {"do": "LIMIT"}
                if table != ALL_SLICES:
                    fields["group"] = table
                if classes:
                    fields["for"] = names.classes_of(classes)
                out.append(
                    Order(("level", table, classes), _text(**fields, gate=round(level, 4), again=retry), 4)
                )
            case SendCheckpoint(number):
                out.append(Order(("mark", number, 0), _text(do="SYNC", stamp=number, yes=0), 5))
    return out, wrong


@dataclass(slots=True)
class Call:
    orders: list[Order]
    body: bytes
    void: set[int] = field(default_factory=set)  # slices that left our charge since it went out

    def holds(self, order: Order) -> bool:
        """Whether it may be sent again. A slice that was taken may have been given anew meanwhile, with a table
        that our former lines must not be laid over.
        """
        return order.line is None or order.line[0] not in self.void


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is done after a call or a snapshot: after the pause, a snapshot of what stands or else the next call."""

    pause_s: float = 0.0
    snapshot: bool = False
    event: str = ""  # for the log, with these fields
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(slots=True)
class Outbox:
    """put() orders, next() the call to make now, then answered() with what became of it, and snapshot_read() with
    what stands where that was asked for.
    """

    messages_most: int = 0  # messages that one proxy may be written within span_s; 0: no limit
    span_s: float = 10.0
    _waiting: dict[Key, Order] = field(default_factory=dict)
    _out: Call | None = None
    _sent: deque[float] = field(default_factory=deque)  # calls that were or may have been carried out
    _invalid: int = 0
    _doubted: set[Key] = field(default_factory=set)  # orders that were once not accepted
    _again_s: float = AGAIN_S
    _reads: int = 0
    unsure_calls: int = 0
    dropped: int = 0

    def put(self, new: Iterable[Order]) -> None:
        for order in new:
            self._waiting.pop(order.key, None)
            self._waiting[order.key] = order

    def void(self, number: int) -> None:
        """A slice left our charge: what waits for it is void, and what is out is not sent again."""
        if self._out is not None:
            self._out.void.add(number)
        self._waiting = {k: o for k, o in self._waiting.items() if not (k[0] == "line" and k[1] == number)}

    def servers(self, number: int) -> set[int]:
        """Those that lines of a slice, waiting or out, are for."""
        out = [o.key for o in self._out.orders if self._out.holds(o)] if self._out is not None else []
        return {k[2] for k in [*self._waiting, *out] if k[0] == "line" and k[1] == number}

    def __len__(self) -> int:
        return len(self._waiting) + (len(self._out.orders) if self._out else 0)

    @property
    def busy(self) -> bool:
        return self._out is not None

    def ready_in(self, now: float) -> float | None:
        """Seconds until a call may go out, None when nothing is to be sent or one is out."""
        if self._out is not None or not self._waiting:
            return None
        while self._sent and self._sent[0] <= now - self.span_s:
            self._sent.popleft()
        if self.messages_most and len(self._sent) >= self.messages_most:
            return max(0.0, self._sent[0] + self.span_s - now)
        return 0.0

    def next(self) -> Call:
        """The next call. Guards the limit of bytes: what does not fit goes in an order that is safe in parts."""
        waiting = list(self._waiting.values())
        if sum(len(o.text) + 1 for o in waiting) + WRAP > BYTES_MOST:
            waiting.sort(key=lambda o: o.rank)
        size, chosen = WRAP, []
        for order in waiting:
            size += len(order.text) + 1
            if size > BYTES_MOST:
                break
            chosen.append(order)
        for order in chosen:
            del self._waiting[order.key]
        self._out = Call(chosen, b'{"orders":[' + b",".join(o.text for o in chosen) + b"]}")
        return self._out

    def answered(self, now: float, how: str, status: int, body: bytes) -> Verdict:
        """What became of the call that is out. how: answer, unreachable, broken, silent or unreadable."""
        assert self._out is not None
        size = len(self._out.orders)
        answer = read_answer(status, body, size) if how == "answer" else Answer()
        if answer.accepted is not None:
            self._again_s = AGAIN_S
            bad = self.taken(now, answer.accepted)
            if bad is None:
                return Verdict()
            fields = {"order": bad.text.decode(), "accepted": answer.accepted, "of": size}
            return Verdict(event="order_passed_over", fields=fields)
        if answer.error == "throttled":
            self.restore()
            return Verdict(THROTTLED_S)
        pause, text = self._pause(), body[:120].decode("utf-8", "replace")
        if answer.error == "invalid":
            given_up = self.invalid()
            return Verdict(
                pause, event="call_given_up" if given_up else "", fields={"orders": size, "body": text}
            )
        # Broken, silent, unreadable, or an error that is not known: it may have been carried out or not.
        self.unsure_calls += 1
        read = how != "unreachable" and self.tells
        if read:
            self._reads = 0
        else:
            self.unsure(now, carried=how != "unreachable")
        fields = {"how": how, "status": status, "orders": size, "body": text}
        return Verdict(pause, read, "call_unsure", fields)

    def snapshot_read(self, now: float, tables: Tables | None, whole: bool = True) -> Verdict:
        """What stands after a call in doubt; None: it could not be had. whole: all of it was told, by the
        protocol's own sign; else a pause ended it, and lines may be missing.
        """
        if tables is not None:
            self._again_s = AGAIN_S
            return Verdict(event="call_settled", fields={"carried": self.seen(now, tables, whole)})
        self._reads += 1
        if self._reads < READS_MOST:
            return Verdict(self._pause(), snapshot=True)
        self.unsure(now, carried=True)
        return Verdict(self._pause())

    def _pause(self) -> float:
        pause, self._again_s = self._again_s, min(2 * self._again_s, AGAIN_MOST_S)
        return pause

    def _return(self, call: Call, back: list[Order]) -> None:
        """Orders of a call that are to be sent again, before those that wait, unless a newer wish waits."""
        rest = {o.key: o for o in back if call.holds(o) and o.key not in self._waiting}
        self._waiting = rest | self._waiting

    def _end(self) -> Call:
        call, self._out = self._out, None
        assert call is not None
        return call

    def taken(self, now: float, accepted: int) -> Order | None:
        """The answer. The order after the last accepted is bad: the rest goes on without it. It is sent once more,
        last, as an answer may be wrong in ways that can be read; not accepted again, it is passed over and given
        back.
        """
        call = self._end()
        self._invalid = 0
        if accepted > 0:
            self._sent.append(now)
            self._doubted.difference_update(o.key for o in call.orders[:accepted])
        if accepted >= len(call.orders):
            return None
        bad, rest = call.orders[accepted], call.orders[accepted + 1 :]
        if bad.key not in self._doubted:
            self._doubted.add(bad.key)
            self._return(call, [*rest, bad])
            return None
        self._doubted.discard(bad.key)
        self.dropped += 1
        self._return(call, rest)
        return bad

    def unsure(self, now: float, carried: bool) -> None:
        """No answer that can be read, and nothing that tells more. carried: it may have been carried out."""
        call = self._end()
        if carried:
            self._sent.append(now)
        self._return(call, call.orders)

    @property
    def tells(self) -> bool:
        """Whether the store's tables tell if the call that is out was carried out."""
        return self._out is not None and any(o.line for o in self._out.orders)

    def seen(self, now: float, tables: Tables, whole: bool) -> bool:
        """The tables in charge, seen after the call that is out: it was carried out whole, or not at all. Missing
        tables tell nothing; where all are, it counts as not carried out, as an order must not be lost. Nor does a
        line that is missing tell that it was taken away, unless all was told.
        """
        assert self._out is not None
        call = self._out
        lines = [o.line for o in call.orders if o.line is not None and call.holds(o) and o.line[0] in tables]
        shown = any(share > 0 for *_, share in lines)
        agree = all(abs(tables[t].get(host, 0.0) - share) < 1e-3 for t, host, share in lines)
        done = agree and (shown or (whole and bool(lines)))
        if done:
            self.taken(now, len(call.orders))
        else:
            self.unsure(now, carried=not whole)
        return done

    def invalid(self) -> bool:
        """Turned away as no call. True: its orders are given up, so that they don't block all others."""
        call = self._end()
        self._invalid += 1
        if self._invalid < INVALID_MOST:
            self._return(call, call.orders)
            return False
        self._invalid = 0
        self.dropped += len(call.orders)
        return True

    def restore(self) -> None:
        """Turned away for now: all waits on."""
        call = self._end()
        self._return(call, call.orders)


@dataclass(frozen=True, slots=True)
class Answer:
    """What a call's answer says: accepted orders, or the error's name; neither: it can't be read."""

    accepted: int | None = None
    error: str = ""


def read_answer(status: int | None, body: bytes, sent: int) -> Answer:
    try:
        tree = json.loads(body)
    except (ValueError, RecursionError):
        return Answer()
    if not isinstance(tree, dict):
        return Answer()
    accepted = tree.get("accepted")
    if isinstance(accepted, int) and not isinstance(accepted, bool):
        return Answer(accepted) if 0 <= accepted <= sent and status == 200 else Answer()
    error = tree.get("error")
    if isinstance(error, dict):
        error = error.get("code") or error.get("reason") or error.get("name")
    return Answer(error=error) if isinstance(error, str) else Answer()

"""Moves of slices that have one writer: stop, let writes end, keep, and only then let the next server begin.

Pure: time is passed in. One batch of orders at a time, in order:
  stop   every proxy lets go of the slices' tables; it answers (a mark) once no write of its own is in hand there;
  keep   the store is told, so that whoever takes the slices over knows the new server;
  go     the proxies get the new lines.
A proxy whose stream is gone stops writes by itself after its write lease, and what it had in hand ends with the
longest deadline: it is waited for as long. One that joins takes writes only once it has an order of its own, which
it gets when no move is under way. Writes that outlast patience_s are not waited for, as rule 1 forbids to leave
slices without a server for longer; a server may then still be at work for a client that has given up. What the
module orders beside lines (withdrawals, levels) is never held back.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace

import msgspec

from puffintide.decisions.settings import Settings
from puffintide.protocol.messages import ProxyUpdate, WeightEntry

FIRST_CHECKPOINT_ID = 1 << 20  # the module's own are below 2^16
PATIENCE = 0.8  # of the time that a slice may be without a server, for writes in hand to end
MESSAGES = 2  # to a proxy for each batch, where the module counts one
STOP, KEEP = "stop", "keep"

AddressedUpdates = list[tuple[int, ProxyUpdate]]


@dataclass(slots=True)
class HandoverSteps:
    """What the service does now: messages for the channel, and lines for the store."""

    proxy_updates: AddressedUpdates = field(default_factory=list)
    writes: list[tuple[int, list[WeightEntry]]] = field(default_factory=list)  # batch and lines


@dataclass(slots=True)
class _Move:
    batch: int
    lines: list[WeightEntry]
    later: AddressedUpdates  # what goes along with the lines: the module's mark
    mark: int
    waiting: set[int]  # proxies that have not answered
    until: float = 0.0  # not longer than this
    gone_until: float = 0.0  # nor shorter, for proxies that went away
    stage: str = STOP


class Handover:
    """lease_s: after which a proxy without its assigner takes no writes. longest_s: deadline of any write."""

    def __init__(self, lease_s: float, longest_s: float, patience_s: float, head_lines: float) -> None:
        self.lease_s, self.longest_s, self.patience_s = lease_s, longest_s, patience_s
        self.head_lines = head_lines
        self.moves: deque[_Move] = deque()
        self.mark = FIRST_CHECKPOINT_ID
        self.proxies: set[int] = set()
        self.left_at: dict[int, float] = {}

    # What comes in --------------------------------------------------------------------------------

    def on_proxy_connected(self, now: float, proxy: int) -> HandoverSteps:
        """From its first order on it takes writes: at once, or with the lines of the move that is under way."""
        self.proxies.add(proxy)
        self.left_at.pop(proxy, None)
        if self.moves:
            return HandoverSteps()
        return HandoverSteps(proxy_updates=[(proxy, ProxyUpdate(0, now, self.head_lines))])

    def on_proxy_disconnected(self, now: float, proxy: int) -> HandoverSteps:
        """It is no longer heard; what it has in hand is waited out."""
        self.proxies.discard(proxy)
        self.left_at[proxy] = now
        for move in list(self.moves)[:1]:
            if proxy in move.waiting:
                move.waiting.discard(proxy)
                move.gone_until = max(move.gone_until, now + self.lease_s + self.longest_s)
        return self.advance(now)

    def add_batch(
        self, now: float, batch: int, lines: list[WeightEntry], orders: AddressedUpdates
    ) -> HandoverSteps:
        """A batch of the module. Whatever has no lines goes on at once."""
        steps = HandoverSteps()
        slices = sorted({line.slice_id for line in lines})
        if not slices:
            steps.proxy_updates = orders
            return steps
        beside: dict[int, ProxyUpdate] = {}
        later: AddressedUpdates = []
        for proxy, order in orders:
            rest = msgspec.structs.replace(
                order,
                weights=[],
                cleared_slices=[],
                checkpoint_id=None,
                channel_cost=self.head_lines
                + len(order.withdrawn_servers)
                + len(order.readmitted_servers)
                + len(order.admission_levels),
            )
            if rest.withdrawn_servers or rest.readmitted_servers or rest.admission_levels:
                beside[proxy] = rest
            later.append(
                (
                    proxy,
                    msgspec.structs.replace(
                        order, withdrawn_servers=[], readmitted_servers=[], admission_levels=[]
                    ),
                )
            )
        self.moves.append(_Move(batch, lines, later, 0, set()))
        if len(self.moves) == 1:
            steps.proxy_updates = self._stop(now, beside)
        else:
            steps.proxy_updates = sorted(beside.items())
        return steps

    def on_checkpoint_reply(self, now: float, proxy: int, mark: int) -> HandoverSteps:
        for move in list(self.moves)[:1]:
            if move.mark == mark:
                move.waiting.discard(proxy)
        return self.advance(now)

    def on_write_acknowledged(self, now: float, batch: int) -> HandoverSteps:
        """The store has kept all up to this batch; lines that it refused were taken out before (refused)."""
        steps = HandoverSteps()
        while self.moves and self.moves[0].stage == KEEP and self.moves[0].batch <= batch:
            move = self.moves.popleft()
            later = dict(move.later)
            cost = self.head_lines + len(move.lines)
            for proxy in sorted(self.proxies):  # those that came in between have the same lines
                order = later.get(proxy, ProxyUpdate(move.batch, now, cost))
                made = msgspec.structs.replace(
                    order, batch=move.batch, weights=list(move.lines), channel_cost=cost
                )
                steps.proxy_updates.append((proxy, made))
            if self.moves:
                steps.proxy_updates += self._stop(now)
        return steps

    def drop_slice(self, number: int) -> None:
        """The slice is another's by now: its lines go to nobody."""
        for move in self.moves:
            move.lines = [line for line in move.lines if line.slice_id != number]

    def unacknowledged_writes(self) -> list[tuple[int, list[WeightEntry]]]:
        """What the store has not told to be kept, for when it is back."""
        return [(move.batch, move.lines) for move in list(self.moves)[:1] if move.stage == KEEP]

    def on_token_renewed(self, number: int, token: int) -> None:
        """The slice is ours under a new token, in an unbroken tenure."""
        for move in self.moves:
            move.lines = [_under(line, number, token) for line in move.lines]

    # Time -----------------------------------------------------------------------------------------

    def _stop(self, now: float, beside: dict[int, ProxyUpdate] | None = None) -> AddressedUpdates:
        """Begins with all batches that wait, as one."""
        move = self.moves.popleft()
        while self.moves:
            move = _joined(move, self.moves.popleft())
        self.moves.append(move)
        self.mark += 1
        move.mark, move.waiting = self.mark, set(self.proxies)
        move.until = now + self.patience_s
        recent = [at for at in self.left_at.values() if now - at < self.lease_s + self.longest_s]
        move.gone_until = max((at + self.lease_s + self.longest_s for at in recent), default=0.0)
        slices = sorted({line.slice_id for line in move.lines})
        orders: AddressedUpdates = []
        for proxy in sorted(self.proxies):
            rest = (beside or {}).get(proxy, ProxyUpdate(move.batch, now, self.head_lines))
            cost = rest.channel_cost + len(slices) + 1
            orders.append(
                (
                    proxy,
                    msgspec.structs.replace(
                        rest, cleared_slices=slices, checkpoint_id=move.mark, channel_cost=cost
                    ),
                )
            )
        return orders

    def advance(self, now: float) -> HandoverSteps:
        """To be called now and then while a move is under way."""
        steps = HandoverSteps()
        if self.moves and self.moves[0].stage == STOP:
            move = self.moves[0]
            ended = not move.waiting and now >= move.gone_until
            if ended or now >= move.until:
                move.stage = KEEP
                steps.writes.append((move.batch, move.lines))
        return steps


def handover_for(settings: Settings, lease_s: float) -> Handover | None:
    """None where slices may have several writers."""
    if not settings.single_writer:
        return None
    longest = max(
        (c.deadline_s for c in settings.request_classes if c.repeat_safety != "repeatable"), default=0.0
    )
    return Handover(
        lease_s, longest, min(longest, PATIENCE * settings.max_unserved_s), settings.channel_header_entries
    )


def with_handover_budget(settings: Settings) -> Settings:
    """What the module is told, so that all of a batch's messages stay within messages_most."""
    if not settings.max_messages_per_window:
        return settings
    return replace(
        settings, max_messages_per_window=max(1, (settings.max_messages_per_window - 1) // MESSAGES)
    )


def _joined(first: _Move, second: _Move) -> _Move:
    """Two batches as one: of a slice that both move, the later line counts."""
    again = {line.slice_id for line in second.lines}
    lines = [line for line in first.lines if line.slice_id not in again] + second.lines
    return _Move(second.batch, lines, sorted((dict(first.later) | dict(second.later)).items()), 0, set())


def _under(line: WeightEntry, number: int, token: int) -> WeightEntry:
    return msgspec.structs.replace(line, fencing_token=token) if line.slice_id == number else line

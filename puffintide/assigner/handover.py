"""Migration of slices that have a single writer: no two servers execute writes of a slice at the same time.

No I/O; time is passed in. Migrations happen one at a time, in three stages:

1. Draining: every proxy clears the tables of the slices, and answers a checkpoint once none of its writes is in
   flight there.
2. Storing: the weights are written to the store, so that whoever takes over the slices knows the new servers.
3. The proxies receive the new weights.

A proxy that disconnects stops writing by itself after its write lease, and its writes in flight end with the
longest deadline: it is waited for that long. A proxy that connects takes writes only after its first update, which
it gets when no migration is in progress. Writes that outlast max_drain_s are not waited for, as a slice may not be
without a server for longer; a server may then still execute a write for a client that has given up. Withdrawals and
admission levels are never delayed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum, auto

import msgspec

from puffintide.decisions.settings import RepeatSafety, Settings
from puffintide.protocol.messages import ProxyUpdate, WeightEntry

FIRST_CHECKPOINT_ID = 1 << 20  # the decision module's own are below 2^16
MAX_DRAIN_FRACTION = 0.8  # of the time for which a slice may be without a server
MESSAGES_PER_BATCH = 2  # to each proxy, where the decision module counts one

AddressedUpdates = list[tuple[int, ProxyUpdate]]  # with the proxy's id


@dataclass(slots=True)
class HandoverSteps:
    """What the service does now: updates for the channel, and weights for the store by batch."""

    proxy_updates: AddressedUpdates = field(default_factory=list)
    writes: list[tuple[int, list[WeightEntry]]] = field(default_factory=list)


class _Stage(Enum):
    DRAINING = auto()
    STORING = auto()


@dataclass(slots=True)
class _Migration:
    batch: int
    weights: list[WeightEntry]
    deferred_updates: AddressedUpdates  # sent once the weights are stored
    checkpoint_id: int = 0
    unacknowledged: set[int] = field(default_factory=set)  # proxies that have not answered the checkpoint
    drain_deadline: float = 0.0
    disconnected_drained_at: float = 0.0  # when proxies that disconnected have no more writes in flight
    stage: _Stage = _Stage.DRAINING

    @property
    def slice_ids(self) -> list[int]:
        """The slices that migrate, in order."""
        return sorted({entry.slice_id for entry in self.weights})

    def merged_with(self, later: _Migration) -> _Migration:
        """Both as one: of a slice that both migrate the later weights count."""
        replaced = set(later.slice_ids)
        remaining = [entry for entry in self.weights if entry.slice_id not in replaced]
        updates = sorted((dict(self.deferred_updates) | dict(later.deferred_updates)).items())
        return _Migration(later.batch, remaining + later.weights, updates)


class Handover:
    """The migrations of one assigner.

    Attributes:
        write_lease_s: Time after which a proxy without its assigner takes no writes.
        max_write_deadline_s: Deadline of the longest write.
        max_drain_s: Time for which writes in flight are waited for.
        header_entries: Entries that a message costs on the channel beside its content.
        proxies: Connected proxies.
        migrations: Batches in order; only the first is in progress.
    """

    def __init__(
        self, write_lease_s: float, max_write_deadline_s: float, max_drain_s: float, header_entries: float
    ) -> None:
        self.write_lease_s = write_lease_s
        self.max_write_deadline_s = max_write_deadline_s
        self.max_drain_s = max_drain_s
        self.header_entries = header_entries
        self.proxies: set[int] = set()
        self.migrations: deque[_Migration] = deque()
        self._last_checkpoint_id = FIRST_CHECKPOINT_ID
        self._disconnected_at: dict[int, float] = {}

    # Input ----------------------------------------------------------------------------------------

    def on_proxy_connected(self, now: float, proxy_id: int) -> HandoverSteps:
        """Let a proxy take writes: at once, or with the weights of the migration in progress."""
        self.proxies.add(proxy_id)
        self._disconnected_at.pop(proxy_id, None)
        if self.migrations:
            return HandoverSteps()
        return HandoverSteps(proxy_updates=[(proxy_id, ProxyUpdate(0, now, self.header_entries))])

    def on_proxy_disconnected(self, now: float, proxy_id: int) -> HandoverSteps:
        """Wait out the writes that a disconnected proxy may have in flight."""
        self.proxies.discard(proxy_id)
        self._disconnected_at[proxy_id] = now
        if self.migrations and proxy_id in self.migrations[0].unacknowledged:
            migration = self.migrations[0]
            migration.unacknowledged.discard(proxy_id)
            migration.disconnected_drained_at = max(
                migration.disconnected_drained_at, now + self._disconnected_drain_s
            )
        return self.advance(now)

    def add_batch(
        self, now: float, batch: int, weights: list[WeightEntry], updates: AddressedUpdates
    ) -> HandoverSteps:
        """Add a batch of the decision module; updates without weights are sent at once."""
        if not weights:
            return HandoverSteps(proxy_updates=updates)
        immediate: dict[int, ProxyUpdate] = {}
        deferred: AddressedUpdates = []
        for proxy_id, update in updates:
            if update.withdrawn_servers or update.readmitted_servers or update.admission_levels:
                immediate[proxy_id] = self._immediate_part(update)
            deferred.append((proxy_id, _deferred_part(update)))
        self.migrations.append(_Migration(batch, weights, deferred))
        if len(self.migrations) == 1:
            return HandoverSteps(proxy_updates=self._begin_draining(now, immediate))
        return HandoverSteps(proxy_updates=sorted(immediate.items()))

    def on_checkpoint_reply(self, now: float, proxy_id: int, checkpoint_id: int) -> HandoverSteps:
        """Note that a proxy has none of the migration's writes in flight."""
        if self.migrations and self.migrations[0].checkpoint_id == checkpoint_id:
            self.migrations[0].unacknowledged.discard(proxy_id)
        return self.advance(now)

    def on_write_acknowledged(self, now: float, batch: int) -> HandoverSteps:
        """Complete the migrations that the store has committed, up to a batch.

        Weights that the store rejected have to be removed before (drop_slice).
        """
        steps = HandoverSteps()
        while self.migrations and self._is_stored(self.migrations[0], batch):
            migration = self.migrations.popleft()
            steps.proxy_updates += self._final_updates(now, migration)
            if self.migrations:
                steps.proxy_updates += self._begin_draining(now, {})
        return steps

    def drop_slice(self, slice_id: int) -> None:
        """Discard the weights of a slice that another assigner owns by now."""
        for migration in self.migrations:
            migration.weights = [entry for entry in migration.weights if entry.slice_id != slice_id]

    def unacknowledged_writes(self) -> list[tuple[int, list[WeightEntry]]]:
        """Weights by batch that the store has not committed yet, to be written again after it was unreachable."""
        if self.migrations and self.migrations[0].stage is _Stage.STORING:
            return [(self.migrations[0].batch, self.migrations[0].weights)]
        return []

    def on_token_renewed(self, slice_id: int, fencing_token: int) -> None:
        """Use a new token for a slice, in an unbroken tenure."""
        for migration in self.migrations:
            migration.weights = [_with_token(entry, slice_id, fencing_token) for entry in migration.weights]

    # Time -----------------------------------------------------------------------------------------

    def advance(self, now: float) -> HandoverSteps:
        """End the draining that is complete or out of time; to be called regularly during a migration."""
        steps = HandoverSteps()
        if self.migrations and self.migrations[0].stage is _Stage.DRAINING:
            migration = self.migrations[0]
            drained = not migration.unacknowledged and now >= migration.disconnected_drained_at
            if drained or now >= migration.drain_deadline:
                migration.stage = _Stage.STORING
                steps.writes.append((migration.batch, migration.weights))
        return steps

    # Stages ---------------------------------------------------------------------------------------

    @property
    def _disconnected_drain_s(self) -> float:
        return self.write_lease_s + self.max_write_deadline_s

    def _begin_draining(self, now: float, immediate: dict[int, ProxyUpdate]) -> AddressedUpdates:
        """Begin with all pending batches as one; the immediate parts go along with the request to drain."""
        migration = self._merge_pending()
        self._last_checkpoint_id += 1
        migration.checkpoint_id = self._last_checkpoint_id
        migration.unacknowledged = set(self.proxies)
        migration.drain_deadline = now + self.max_drain_s
        recent = [at for at in self._disconnected_at.values() if now - at < self._disconnected_drain_s]
        migration.disconnected_drained_at = max(
            (at + self._disconnected_drain_s for at in recent), default=0.0
        )
        slice_ids = migration.slice_ids
        updates: AddressedUpdates = []
        for proxy_id in sorted(self.proxies):
            update = immediate.get(proxy_id, ProxyUpdate(migration.batch, now, self.header_entries))
            drain_request = msgspec.structs.replace(
                update,
                cleared_slices=slice_ids,
                checkpoint_id=migration.checkpoint_id,
                channel_cost=update.channel_cost + len(slice_ids) + 1,
            )
            updates.append((proxy_id, drain_request))
        return updates

    def _merge_pending(self) -> _Migration:
        migration = self.migrations.popleft()
        while self.migrations:
            migration = migration.merged_with(self.migrations.popleft())
        self.migrations.append(migration)
        return migration

    @staticmethod
    def _is_stored(migration: _Migration, acknowledged_batch: int) -> bool:
        return migration.stage is _Stage.STORING and migration.batch <= acknowledged_batch

    def _final_updates(self, now: float, migration: _Migration) -> AddressedUpdates:
        """The new weights, also for proxies that connected during the migration."""
        deferred = dict(migration.deferred_updates)
        cost = self.header_entries + len(migration.weights)
        updates: AddressedUpdates = []
        for proxy_id in sorted(self.proxies):
            update = deferred.get(proxy_id, ProxyUpdate(migration.batch, now, cost))
            final = msgspec.structs.replace(
                update, batch=migration.batch, weights=list(migration.weights), channel_cost=cost
            )
            updates.append((proxy_id, final))
        return updates

    def _immediate_part(self, update: ProxyUpdate) -> ProxyUpdate:
        """What of an update is not delayed: withdrawals and admission levels."""
        entry_count = (
            len(update.withdrawn_servers) + len(update.readmitted_servers) + len(update.admission_levels)
        )
        return msgspec.structs.replace(
            update,
            weights=[],
            cleared_slices=[],
            checkpoint_id=None,
            channel_cost=self.header_entries + entry_count,
        )


def _with_token(entry: WeightEntry, slice_id: int, fencing_token: int) -> WeightEntry:
    if entry.slice_id != slice_id:
        return entry
    return msgspec.structs.replace(entry, fencing_token=fencing_token)


def _deferred_part(update: ProxyUpdate) -> ProxyUpdate:
    """What of an update waits for the migration: weights and the checkpoint."""
    return msgspec.structs.replace(update, withdrawn_servers=[], readmitted_servers=[], admission_levels=[])


def handover_for(settings: Settings, write_lease_s: float) -> Handover | None:
    """Return the handover of an assigner; None where slices may have several writers."""
    if not settings.single_writer:
        return None
    max_write_deadline_s = max(
        (
            request_class.deadline_s
            for request_class in settings.request_classes
            if request_class.repeat_safety != RepeatSafety.IDEMPOTENT
        ),
        default=0.0,
    )
    max_drain_s = min(max_write_deadline_s, MAX_DRAIN_FRACTION * settings.max_unserved_s)
    return Handover(write_lease_s, max_write_deadline_s, max_drain_s, settings.channel_header_entries)


def with_handover_budget(settings: Settings) -> Settings:
    """Return settings for the decision module so that all of a batch's messages stay within the limit."""
    if not settings.max_messages_per_window:
        return settings
    budget = (settings.max_messages_per_window - 1) // MESSAGES_PER_BATCH
    return replace(settings, max_messages_per_window=max(1, budget))

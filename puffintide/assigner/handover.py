"""Migration of slices that have a single writer: no two servers execute writes of a slice concurrently.

The module does no I/O, and the caller passes the time. A migration takes three steps:

1. Draining: every proxy clears the tables of the slices. It acknowledges a checkpoint once it has no more
   writes in flight there.
2. Storing: the weights are written to the store, so that an assigner that takes over the slices knows the new
   servers.
3. The proxies receive the new weights.

Migrations drain at the same time, so that no draining server has to wait for another one's slices, and are stored
in the order of their batches. New ones wait while weights are being stored, since that lasts while the store is
unreachable, and slices without a server are worse off than those that still have the former one.

A proxy that disconnects stops accepting writes when its write lease ends, and its writes in flight end
within the longest deadline of a write. Draining waits for the sum of both times, also for proxies that have not
connected since the slices were granted. A proxy that connects during a migration clears its tables as well, and
draining waits for its acknowledgement.

Draining ends after max_drain_s at the latest, as a slice may not be without a server for longer. A server may
then still execute a write for a client that has given up. Withdrawals and admission levels are never delayed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

from puffintide.assigner.migration import AddressedUpdates, Migration, Stage
from puffintide.assigner.proxy_leases import ProxyLeases
from puffintide.protocol.messages import ProxyUpdate, WeightEntry

# Checkpoint ids of handovers are larger than this. Those of the decision module itself are below 2^16.
FIRST_CHECKPOINT_ID = 1 << 20


@dataclass(slots=True)
class HandoverSteps:
    """The next steps of the service.

    Attributes:
        proxy_updates: Updates to send to the proxies.
        writes: Weights to write to the store, with the number of their batch.
    """

    proxy_updates: AddressedUpdates = field(default_factory=list)
    writes: list[tuple[int, list[WeightEntry]]] = field(default_factory=list)


class Handover:
    """Runs the migrations of one assigner.

    Attributes:
        proxy_leases: The connected proxies, and the leases that other proxies may hold.
        max_drain_s: Maximum time to wait for writes in flight, in seconds.
        header_entries: Entries that a message costs on the channel in addition to its content.
        migrations: Migrations in the order of their batches: first those being stored, then those that drain or
            those that wait.
    """

    def __init__(self, proxy_leases: ProxyLeases, max_drain_s: float, header_entries: float) -> None:
        self.proxy_leases = proxy_leases
        self.max_drain_s = max_drain_s
        self.header_entries = header_entries
        self.migrations: deque[Migration] = deque()
        self._last_checkpoint_id = FIRST_CHECKPOINT_ID

    @property
    def proxies(self) -> set[int]:
        """Return the ids of the connected proxies."""
        return self.proxy_leases.connected

    # Input ----------------------------------------------------------------------------------------

    def on_proxy_connected(self, now: float, proxy_id: int) -> HandoverSteps:
        """Add a proxy, which accepts writes after its first update.

        The update is sent at once. It clears the tables of all slices that migrate, and has the checkpoint of the
        first migration. Further updates have the checkpoints of the others.
        """
        self.proxy_leases.on_connected(proxy_id)
        begun = [migration for migration in self.migrations if migration.stage is not Stage.WAITING]
        if not begun:
            return HandoverSteps(proxy_updates=[(proxy_id, ProxyUpdate(0, now, self.header_entries))])
        all_tokens: dict[int, int] = {}
        for migration in begun:
            migration.unacknowledged.add(proxy_id)
            all_tokens |= migration.fencing_tokens
        updates = [ProxyUpdate(migration.batch, now, self.header_entries) for migration in begun]
        requests = [begun[0].drain_request(updates[0], dict(sorted(all_tokens.items())))]
        requests += [
            migration.drain_request(update) for migration, update in zip(begun[1:], updates[1:], strict=True)
        ]
        return HandoverSteps(proxy_updates=[(proxy_id, request) for request in requests])

    def on_proxy_disconnected(self, now: float, proxy_id: int) -> HandoverSteps:
        """Remove a proxy; draining waits until the writes that it may have in flight have ended."""
        self.proxy_leases.on_disconnected(now, proxy_id)
        for migration in self.migrations:
            migration.unacknowledged.discard(proxy_id)
        return self.advance(now)

    def on_slice_granted(self, now: float, slice_id: int, has_server: bool) -> None:
        """Begin a tenure of a slice.

        Args:
            now: The current time, in seconds.
            slice_id: The id of the slice.
            has_server: Whether proxies may send writes to a server under leases of the former owner.
        """
        self.drop_slice(slice_id)
        if has_server:
            self.proxy_leases.on_slice_granted(now, slice_id)

    def add_batch(
        self, now: float, batch: int, weights: list[WeightEntry], updates: AddressedUpdates
    ) -> HandoverSteps:
        """Add a batch of the decision module.

        Args:
            now: The current time, in seconds.
            batch: The number of the batch.
            weights: The weights that the batch changes; without any, the updates are sent at once.
            updates: The updates of the batch, with the ids of their proxies.
        """
        if not weights:
            return HandoverSteps(proxy_updates=updates)
        immediate: dict[int, ProxyUpdate] = {}
        deferred: AddressedUpdates = []
        for proxy_id, update in updates:
            if update.withdrawn_servers or update.readmitted_servers or update.admission_levels:
                immediate[proxy_id] = self._immediate_part(update)
            deferred.append((proxy_id, _deferred_part(update)))
        self._add_migration(Migration(batch, weights, deferred))
        return HandoverSteps(proxy_updates=self._begin_draining(now, immediate))

    def on_checkpoint_reply(self, now: float, proxy_id: int, checkpoint_id: int) -> HandoverSteps:
        """Handle the acknowledgement of a checkpoint by a proxy, which has drained the migrating slices."""
        for migration in self.migrations:
            if migration.checkpoint_id == checkpoint_id:
                migration.unacknowledged.discard(proxy_id)
        return self.advance(now)

    def on_write_acknowledged(self, now: float, batch: int) -> HandoverSteps:
        """Complete the migrations whose weights the store has committed, up to a batch.

        The caller has to remove weights that the store rejected first, with drop_slice.
        """
        steps = HandoverSteps()
        while self.migrations and self._is_stored(self.migrations[0], batch):
            migration = self.migrations.popleft()
            steps.proxy_updates += self._final_updates(now, migration)
        steps.proxy_updates += self._begin_draining(now, {})
        return steps

    def drop_slice(self, slice_id: int) -> None:
        """Remove the weights of a slice, for example when another assigner owns it."""
        for migration in self.migrations:
            migration.drop_slice(slice_id)

    def unacknowledged_writes(self) -> list[tuple[int, list[WeightEntry]]]:
        """Return the weights in the storing stage, which the store has not committed yet, with their batch.

        They are written again after the store was unreachable.
        """
        return [
            (migration.batch, migration.weights)
            for migration in self.migrations
            if migration.stage is Stage.STORING
        ]

    def on_token_renewed(self, slice_id: int, fencing_token: int) -> None:
        """Replace the fencing token in the weights of a slice whose tenure is unbroken."""
        for migration in self.migrations:
            migration.renew_token(slice_id, fencing_token)

    # Time -----------------------------------------------------------------------------------------

    def advance(self, now: float) -> HandoverSteps:
        """Store what is drained or past its deadline; called regularly during a migration."""
        steps = HandoverSteps()
        for migration in self.migrations:
            if migration.stage is Stage.STORING:
                continue
            if migration.stage is Stage.WAITING or not self._may_store(now, migration):
                break
            migration.stage = Stage.STORING
            steps.writes.append((migration.batch, migration.weights))
        return steps

    def _may_store(self, now: float, migration: Migration) -> bool:
        """Return whether no writes of the slices are in flight, or draining has lasted too long."""
        writes_end_at = self.proxy_leases.writes_end_at(migration.fencing_tokens)
        drained = not migration.unacknowledged and now >= writes_end_at
        return drained or now >= migration.drain_deadline

    # Stages ---------------------------------------------------------------------------------------

    def _add_migration(self, migration: Migration) -> None:
        """Append a migration without the slices that drain already, which only get other weights."""
        for earlier in self.migrations:
            if earlier.stage is Stage.DRAINING:
                migration.weights = earlier.replace_weights(migration.weights)
        if self.migrations and not migration.weights:
            self.migrations[-1].merge(migration)
        else:
            self.migrations.append(migration)

    def _begin_draining(self, now: float, immediate: dict[int, ProxyUpdate]) -> AddressedUpdates:
        """Merge all waiting migrations into one, and begin to drain its slices, unless weights are being stored.

        Returns:
            The requests to drain, each together with the part of its proxy's update that is not delayed. Without
            such requests, only these parts.
        """
        migration = self._merge_waiting()
        if migration is None or self.migrations[0].stage is Stage.STORING:
            return sorted(immediate.items())
        self._last_checkpoint_id += 1
        migration.checkpoint_id = self._last_checkpoint_id
        migration.unacknowledged = set(self.proxies)
        migration.drain_deadline = now + self.max_drain_s
        migration.stage = Stage.DRAINING
        updates: AddressedUpdates = []
        for proxy_id in sorted(self.proxies):
            update = immediate.get(proxy_id, ProxyUpdate(migration.batch, now, self.header_entries))
            updates.append((proxy_id, migration.drain_request(update)))
        return updates

    def _merge_waiting(self) -> Migration | None:
        """Replace all waiting migrations by a merged one, and return it; return None if none waits."""
        waiting = [migration for migration in self.migrations if migration.stage is Stage.WAITING]
        for later in waiting[1:]:
            waiting[0].merge(later)
            self.migrations.remove(later)
        return waiting[0] if waiting else None

    @staticmethod
    def _is_stored(migration: Migration, acknowledged_batch: int) -> bool:
        """Return whether the store has committed a migration, given the last batch that it acknowledged."""
        return migration.stage is Stage.STORING and migration.batch <= acknowledged_batch

    def _final_updates(self, now: float, migration: Migration) -> AddressedUpdates:
        """Return updates with the new weights, also for the proxies that connected during the migration."""
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
        """Return the part of an update that is not delayed.

        It consists of withdrawals, readmissions and admission levels.
        """
        entry_count = (
            len(update.withdrawn_servers) + len(update.readmitted_servers) + len(update.admission_levels)
        )
        return msgspec.structs.replace(
            update,
            weights=[],
            cleared_slices=[],
            cleared_tokens=[],
            checkpoint_id=None,
            channel_cost=self.header_entries + entry_count,
        )


def _deferred_part(update: ProxyUpdate) -> ProxyUpdate:
    """Return the part of an update that waits for the migration: its weights and its checkpoint."""
    return msgspec.structs.replace(update, withdrawn_servers=[], readmitted_servers=[], admission_levels=[])

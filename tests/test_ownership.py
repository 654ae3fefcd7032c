"""Tests of the ownership ledger: homes, leases, tenures and restored snapshots."""

from __future__ import annotations

from puffintide.protocol import messages as m
from puffintide.proxy.weight_tables import WeightTables
from puffintide.store.durable_state import ownership_message
from puffintide.store.engine import StoredSlice, StoreSnapshot
from puffintide.store.ownership import OwnershipLedger, OwnershipTransfer

SLICES = 120
ASSIGNERS = 4
TICKS_PER_S = 10


class RunningLedger:
    """Ledger with a simulated clock that counts the owner changes of each slice."""

    def __init__(self) -> None:
        self.ledger = OwnershipLedger(SLICES, ASSIGNERS, 2.0, False, opened_at_s=99.0, max_transfers_per_s=10)
        self.now_s = 100.0
        self.owner_changes = dict.fromkeys(range(SLICES), 0)

    def count(self, transfers: list[OwnershipTransfer]) -> None:
        for transfer in transfers:
            self.owner_changes[transfer.slice_id] += transfer.previous_owner_id != transfer.new_owner_id

    def advance_clock(self, seconds: float) -> list[int]:
        """Advance the clock, and return the number of transfers in each tick."""
        transfer_counts = []
        for _ in range(round(seconds * TICKS_PER_S)):
            self.now_s += 1 / TICKS_PER_S
            transfers = self.ledger.reassign(self.now_s)
            self.count(transfers)
            transfer_counts.append(len(transfers))
        return transfer_counts


def test_slices_return_home_at_a_limited_rate_and_a_rolling_upgrade_moves_each_twice_at_most() -> None:
    running = RunningLedger()
    ledger = running.ledger
    for assigner_id in range(ASSIGNERS):
        ledger.assigner_connected(running.now_s, assigner_id)
    running.advance_clock(5)
    for assigner_id in range(ASSIGNERS):
        ledger.assigner_disconnected(running.now_s, assigner_id)
        assert sum(running.advance_clock(3)) == 30  # This is not rate limited, as the lease has expired.
        running.count(ledger.assigner_connected(running.now_s, assigner_id, incarnation=2))
        returned = running.advance_clock(6)
        assert 25 <= sum(returned) <= 30
        assert all(sum(returned[tick : tick + TICKS_PER_S]) <= 13 for tick in range(50))
    assert max(running.owner_changes.values()) <= 2
    assert all(ledger.slices[slice_id].owner_id == slice_id % ASSIGNERS for slice_id in range(SLICES))


def test_reconnected_store_does_not_revert_newer_weights_of_the_same_incarnation() -> None:
    """A proxy's weights are newer than the store's if the assigner updated it while the store was away.

    If the incarnation has changed, the assigner has lost its updates, and the store's table replaces the
    weights.
    """
    tables = WeightTables(2, 0, "rotate", lambda: 0.5)
    ledger = OwnershipLedger(2, 1, 2.0, False)
    ledger.assigner_connected(0.0, 0, incarnation=7)

    def stored_ownership(slice_id: int) -> m.SliceOwnership:
        return ownership_message(ledger.stored_slice(slice_id))

    for slice_id in (0, 1):
        token = ledger.slices[slice_id].fencing_token
        ledger.write(0, [m.WeightEntry(slice_id, 4, 1.0, token, "127.0.0.1:1")], 3)
        tables.apply_ownership(stored_ownership(slice_id))
    token = ledger.slices[0].fencing_token
    weights = [m.WeightEntry(0, 5, 1.0, token, "a:2"), m.WeightEntry(0, 4, 0.0, token)]
    tables.apply_update(0, m.ProxyUpdate(5, 0.0, 1.0, weights))
    ledger.assigner_disconnected(1.0, 0)
    ledger.assigner_connected(1.5, 0, incarnation=7)  # The same incarnation continues its tenure.
    tables.apply_ownership(stored_ownership(0))
    assert tables.slices[0].weights == {5: 1.0}
    assert tables.slices[0].fencing_token == ledger.slices[0].fencing_token
    ledger.assigner_disconnected(2.0, 0)
    ledger.assigner_connected(2.5, 0, incarnation=8)  # A new incarnation has lost its updates.
    tables.apply_ownership(stored_ownership(0))
    assert tables.slices[0].weights == {4: 1.0}


def test_slices_stored_by_a_larger_deployment_do_not_affect_a_smaller_one() -> None:
    ledger = OwnershipLedger(3, 1, 2.0, False)
    slices = {slice_id: StoredSlice(slice_id, 4, 9, 1, [], 4) for slice_id in range(5)}
    ledger.restore(StoreSnapshot("x", 9, 9, slices))
    ledger.assigner_connected(10.0, 0)
    assert all(transfer.slice_id < 3 for transfer in ledger.reassign(20.0))
    assert all(record.owner_id == 0 for record in ledger.slices.values())

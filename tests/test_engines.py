"""Tests that both storage engines must pass, and tests of etcd cluster faults against the emulator."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from puffintide.emulators.etcd import Etcd
from puffintide.protocol import messages as m
from puffintide.store.engine import Commit, StorageEngine, StoredSlice
from puffintide.store.errors import StoreError, StoreFullError, StoreInUseError, StoreSupersededError
from puffintide.store.etcd.engine import EtcdEngine
from puffintide.store.sqlite import SqliteEngine
from tests.peers import PORTS, dial, process

EngineOpener = Callable[[], StorageEngine]


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def etcd() -> Iterator[Etcd]:
    clock = Clock()
    emulator = Etcd(clock)
    emulator.port = emulator.serve()  # type: ignore[attr-defined]
    yield emulator
    emulator.stop()


def etcd_engine(etcd: Etcd, ttl_s: int = 10) -> EtcdEngine:
    return EtcdEngine([f"127.0.0.1:{etcd.port}"], "t", ttl_s)  # type: ignore[attr-defined]


@pytest.fixture(params=["sqlite", "etcd"])
def open_engine(request: pytest.FixtureRequest, tmp_path: Path) -> EngineOpener:
    if request.param == "sqlite":
        return lambda: SqliteEngine(str(tmp_path / "store.db"))
    etcd = request.getfixturevalue("etcd")
    return lambda: etcd_engine(etcd)


def slices_at(slice_ids: range, token: int) -> tuple[StoredSlice, ...]:
    return tuple(
        StoredSlice(slice_id, 0, token, token, [m.TableEntry(token % 9, 1.0, "127.0.0.1:1")])
        for slice_id in slice_ids
    )


def by_slice(stored: tuple[StoredSlice, ...]) -> dict[int, StoredSlice]:
    return {row.slice_id: row for row in stored}


def test_commits_are_loaded_after_a_restart(open_engine: EngineOpener) -> None:
    engine = open_engine()
    snapshot = engine.load()
    assert (snapshot.revision, snapshot.slices, snapshot.zone_commands) == (0, {}, {})
    engine.commit(Commit(1, 5, slices_at(range(30), 1)))
    engine.commit(Commit(2, 6, slices_at(range(3), 2), (m.ZoneCommand(1, "hold", 1.0, "me", 1),)))
    engine.renew_lease()
    engine.close()
    reopened = open_engine()
    loaded = reopened.load()
    assert loaded.store_id == snapshot.store_id
    assert (loaded.revision, loaded.highest_token) == (2, 6)
    assert loaded.slices == by_slice(slices_at(range(30), 1) + slices_at(range(3), 2))
    assert loaded.slice_revisions == {n: 2 if n < 3 else 1 for n in range(30)}
    assert loaded.zone_commands[1].operator == "me"
    reopened.commit(Commit(3, 7, slices_at(range(1), 3)))
    reopened.close()


def test_large_commit_is_loaded_after_a_restart(open_engine: EngineOpener) -> None:
    engine = open_engine()
    engine.load()
    engine.commit(Commit(1, 1, slices_at(range(3000), 1)))
    engine.close()
    engine = open_engine()
    assert engine.load().slices == by_slice(slices_at(range(3000), 1))
    engine.commit(Commit(2, 2, slices_at(range(5), 2)))
    engine.close()
    engine = open_engine()
    loaded = engine.load()
    assert loaded.slices == by_slice(slices_at(range(3000), 1) + slices_at(range(5), 2))
    assert loaded.slice_revisions[4] == 2
    assert loaded.slice_revisions[5] == 1
    engine.close()


def test_second_engine_on_the_same_storage_is_rejected(open_engine: EngineOpener) -> None:
    engine = open_engine()
    engine.load()
    with pytest.raises(StoreInUseError, match="in use by another store process"):
        open_engine().load()
    engine.commit(Commit(1, 1, slices_at(range(2), 1)))
    engine.close()
    open_engine().load()


def advance(etcd: Etcd, seconds: float) -> None:
    assert isinstance(etcd.clock, Clock)
    etcd.clock.now += seconds


def test_engine_paused_beyond_its_lease_is_superseded_by_the_next(etcd: Etcd) -> None:
    first = etcd_engine(etcd)
    first.load()
    first.commit(Commit(1, 1, slices_at(range(2), 1)))
    advance(etcd, 30)
    second = etcd_engine(etcd)
    second.load()
    with pytest.raises(StoreSupersededError):
        first.commit(Commit(2, 2, slices_at(range(2), 2)))
    with pytest.raises(StoreSupersededError):
        first.renew_lease()
    second.commit(Commit(2, 3, slices_at(range(1), 3)))
    assert stored_slices(etcd, second)[0].fencing_token == 3


def stored_slices(etcd: Etcd, engine: EtcdEngine) -> dict[int, StoredSlice]:
    engine.close()
    other = etcd_engine(etcd)
    loaded = other.load().slices
    other.close()
    return loaded


def test_expired_lease_is_acquired_again_if_no_other_store_holds_it(etcd: Etcd) -> None:
    engine = etcd_engine(etcd)
    engine.load()
    advance(etcd, 30)
    engine.commit(Commit(1, 1, slices_at(range(2), 1)))
    advance(etcd, 30)
    engine.renew_lease()
    with pytest.raises(StoreInUseError, match="in use by another store process"):
        etcd_engine(etcd).load()


@pytest.mark.parametrize("rows", [3, 700])
def test_lost_response_neither_loses_nor_repeats_a_commit(etcd: Etcd, rows: int) -> None:
    engine = etcd_engine(etcd)
    engine.load()
    engine.commit(Commit(1, 1, slices_at(range(5), 1)))
    for lost_responses in (1, 2):
        etcd.faults.lose_responses = lost_responses
        engine.commit(Commit(1 + lost_responses, lost_responses, slices_at(range(rows), 1 + lost_responses)))
    loaded = stored_slices(etcd, engine)
    assert loaded == by_slice(slices_at(range(5), 1) + slices_at(range(rows), 3))


@pytest.mark.parametrize("transaction_limit", range(1, 12))
def test_interrupted_staged_commit_is_loaded_in_full_or_not_at_all(
    etcd: Etcd, transaction_limit: int
) -> None:
    engine = etcd_engine(etcd)
    engine.load()
    engine.commit(Commit(1, 1, slices_at(range(450), 1)))
    engine.commit(Commit(2, 2, slices_at(range(1), 2)))
    transactions_before = etcd.transactions

    class ConnectionCutError(Exception):
        pass

    execute = etcd._execute

    def fail_after_limit(operation: object) -> object:
        if etcd.transactions - transactions_before > transaction_limit:
            etcd.faults.no_leader = True
            raise ConnectionCutError
        return execute(operation)  # type: ignore[arg-type]

    etcd._execute = fail_after_limit  # type: ignore[method-assign, assignment]
    acknowledged = True
    try:
        engine.commit(Commit(3, 3, slices_at(range(450), 3)))
        engine.commit(Commit(4, 4, slices_at(range(2), 4)))
    except StoreError:
        acknowledged = False
    etcd._execute = execute  # type: ignore[method-assign]
    etcd.faults.no_leader = False
    advance(etcd, 30)
    other = etcd_engine(etcd)
    snapshot = other.load()
    old = by_slice(slices_at(range(450), 1) + slices_at(range(1), 2))
    new = by_slice(slices_at(range(450), 3))
    last = new | by_slice(slices_at(range(2), 4))
    assert snapshot.slices == {2: old, 3: new, 4: last}[snapshot.revision]
    assert not acknowledged or snapshot.revision == 4
    other.commit(Commit(snapshot.revision + 1, 9, slices_at(range(7), 9)))
    assert stored_slices(etcd, other) == snapshot.slices | by_slice(slices_at(range(7), 9))


def test_missing_leader_full_quota_and_compacted_revision_are_reported(etcd: Etcd) -> None:
    engine = etcd_engine(etcd)
    engine.load()
    engine.commit(Commit(1, 1, slices_at(range(900), 1)))
    etcd.faults.no_leader = True
    with pytest.raises(StoreError, match="no leader"):
        engine.commit(Commit(2, 2, slices_at(range(2), 2)))
    etcd.faults.no_leader = False
    etcd.faults.no_space = True
    with pytest.raises(StoreFullError, match="no space left"):
        engine.commit(Commit(2, 2, slices_at(range(2), 2)))
    etcd.faults.no_space = False
    engine.commit(Commit(2, 2, slices_at(range(2), 2)))
    engine.close()
    etcd.faults.compacted_revision = 1 << 40  # Rejects the second page of each read.
    other = etcd_engine(etcd)
    with pytest.raises(StoreError, match="compacted in each of 3 attempts"):
        other.load()
    etcd.faults.compacted_revision = 0
    assert len(other.load().slices) == 900


def test_next_member_is_called_when_one_is_unreachable(etcd: Etcd) -> None:
    unreachable_port = PORTS.take()
    engine = EtcdEngine([f"127.0.0.1:{unreachable_port}", f"127.0.0.1:{etcd.port}"], "t")  # type: ignore[attr-defined]
    engine.load()
    engine.commit(Commit(1, 1, slices_at(range(2), 1)))
    assert stored_slices(etcd, engine) == by_slice(slices_at(range(2), 1))


def test_second_store_process_takes_over_from_a_paused_one(etcd: Etcd, tmp_path: Path) -> None:
    """A second store starts while the first is paused beyond its lease; the first exits when it is resumed."""
    section = {"listen": f"127.0.0.1:{PORTS.take()}", "etcd": f"127.0.0.1:{etcd.port}"}  # type: ignore[attr-defined]
    with process(tmp_path, "store", section) as first:
        port = int(section["listen"].split(":")[1])
        connection = dial(port, m.Hello(m.PROTOCOL_VERSION, "assigner", 0, 0, "t", incarnation=1))
        granted = connection.wait_for(lambda x: isinstance(x, m.SliceOwnerships)).ownerships
        own_slice = next(o for o in granted if o.owner_id == 0)
        connection.send(
            m.WriteRequest(
                1, [m.WeightEntry(own_slice.slice_id, 4, 1.0, own_slice.fencing_token, "127.0.0.1:9")]
            )
        )
        connection.wait_for(lambda x: isinstance(x, m.WriteAcknowledged))
        etcd.faults.no_leader = True
        connection.send(
            m.WriteRequest(
                2, [m.WeightEntry(own_slice.slice_id, 5, 1.0, own_slice.fencing_token, "127.0.0.1:9")]
            )
        )
        with pytest.raises(TimeoutError):
            # A write that is not durable is not acknowledged.
            connection.wait_for(lambda x: isinstance(x, m.WriteAcknowledged), 1.0)
        etcd.faults.no_leader = False
        connection.wait_for(lambda x: isinstance(x, m.WriteAcknowledged))
        # Without the pause, the first store's next renewal could acquire the lease again before the second is up.
        first.send_signal(signal.SIGSTOP)
        advance(etcd, 30)
        second = dict(section, listen=f"127.0.0.1:{PORTS.take()}")
        folder = tmp_path / "second"
        folder.mkdir()
        deadline = time.monotonic() + 20
        with process(folder, "store", second):
            first.send_signal(signal.SIGCONT)
            assert first.wait(max(1.0, deadline - time.monotonic())) == 2
            other = dial(int(second["listen"].split(":")[1]), m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t"))
            other.wait_for(lambda x: isinstance(x, m.Welcome))
            other.send(m.ReadRequest())
            ownerships = other.wait_for(lambda x: isinstance(x, m.SliceOwnerships)).ownerships
            assert {
                entry.server_id for o in ownerships if o.slice_id == own_slice.slice_id for entry in o.entries
            } == {4, 5}

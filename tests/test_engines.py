"""One suite for both storage engines, and the faults of an etcd cluster (against the emulator)."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from puffintide.emulators.etcd import Etcd
from puffintide.protocol import messages as m
from puffintide.store.engine import Commit, StorageEngine, StoredSlice
from puffintide.store.errors import StoreError, StoreFullError, StoreInUseError, StoreOvertakenError
from puffintide.store.etcd.engine import EtcdEngine
from puffintide.store.sqlite import SqliteEngine
from tests.peers import PORTS, dial, process

Open = Callable[[], StorageEngine]


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def etcd() -> Iterator[Etcd]:
    clock = Clock()
    made = Etcd(clock)
    made.port = made.serve()  # type: ignore[attr-defined]
    yield made
    made.stop()


def etcd_engine(etcd: Etcd, ttl_s: int = 10) -> EtcdEngine:
    return EtcdEngine([f"127.0.0.1:{etcd.port}"], "t", ttl_s)  # type: ignore[attr-defined]


@pytest.fixture(params=["sqlite", "etcd"])
def open_engine(request: pytest.FixtureRequest, tmp_path: Path) -> Open:
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
    return {one.slice_id: one for one in stored}


def test_commits_are_loaded_after_a_restart(open_engine: Open) -> None:
    engine = open_engine()
    snapshot = engine.load()
    assert (snapshot.revision, snapshot.slices, snapshot.zone_commands) == (0, {}, {})
    engine.commit(Commit(1, 5, slices_at(range(30), 1)))
    engine.commit(Commit(2, 6, slices_at(range(3), 2), (m.ZoneCommand(1, "hold", 1.0, "me", 1),)))
    engine.renew_lease()
    engine.close()
    again = open_engine()
    found = again.load()
    assert found.store_id == snapshot.store_id
    assert (found.revision, found.highest_token) == (2, 6)
    assert found.slices == by_slice(slices_at(range(30), 1) + slices_at(range(3), 2))
    assert found.slice_revisions == {n: 2 if n < 3 else 1 for n in range(30)}
    assert found.zone_commands[1].operator == "me"
    again.commit(Commit(3, 7, slices_at(range(1), 3)))
    again.close()


def test_large_commit_is_loaded_after_a_restart(open_engine: Open) -> None:
    engine = open_engine()
    engine.load()
    engine.commit(Commit(1, 1, slices_at(range(3000), 1)))
    engine.close()
    engine = open_engine()
    assert engine.load().slices == by_slice(slices_at(range(3000), 1))
    engine.commit(Commit(2, 2, slices_at(range(5), 2)))
    engine.close()
    engine = open_engine()
    found = engine.load()
    assert found.slices == by_slice(slices_at(range(3000), 1) + slices_at(range(5), 2))
    assert found.slice_revisions[4] == 2
    assert found.slice_revisions[5] == 1
    engine.close()


def test_second_engine_on_the_same_storage_is_rejected(open_engine: Open) -> None:
    engine = open_engine()
    engine.load()
    with pytest.raises(StoreInUseError, match="open in another store"):
        open_engine().load()
    engine.commit(Commit(1, 1, slices_at(range(2), 1)))
    engine.close()
    open_engine().load()


def advance(etcd: Etcd, seconds: float) -> None:
    assert isinstance(etcd.clock, Clock)
    etcd.clock.now += seconds


def test_engine_paused_beyond_its_lease_is_overtaken_by_the_next(etcd: Etcd) -> None:
    first = etcd_engine(etcd)
    first.load()
    first.commit(Commit(1, 1, slices_at(range(2), 1)))
    advance(etcd, 30)
    second = etcd_engine(etcd)
    second.load()
    with pytest.raises(StoreOvertakenError):
        first.commit(Commit(2, 2, slices_at(range(2), 2)))
    with pytest.raises(StoreOvertakenError):
        first.renew_lease()
    second.commit(Commit(2, 3, slices_at(range(1), 3)))
    assert stored_slices(etcd, second)[0].fencing_token == 3


def stored_slices(etcd: Etcd, engine: EtcdEngine) -> dict[int, StoredSlice]:
    engine.close()
    other = etcd_engine(etcd)
    found = other.load().slices
    other.close()
    return found


def test_expired_lease_is_acquired_anew_when_no_other_store_came(etcd: Etcd) -> None:
    engine = etcd_engine(etcd)
    engine.load()
    advance(etcd, 30)
    engine.commit(Commit(1, 1, slices_at(range(2), 1)))
    advance(etcd, 30)
    engine.renew_lease()
    with pytest.raises(StoreInUseError, match="open in another store"):
        etcd_engine(etcd).load()


@pytest.mark.parametrize("rows", [3, 700])
def test_lost_response_neither_loses_nor_repeats_a_commit(etcd: Etcd, rows: int) -> None:
    engine = etcd_engine(etcd)
    engine.load()
    engine.commit(Commit(1, 1, slices_at(range(5), 1)))
    for lost in (1, 2):
        etcd.faults.lose_responses = lost
        engine.commit(Commit(1 + lost, lost, slices_at(range(rows), 1 + lost)))
    found = stored_slices(etcd, engine)
    assert found == by_slice(slices_at(range(5), 1) + slices_at(range(rows), 3))


@pytest.mark.parametrize("after", range(1, 12))
def test_interrupted_staged_commit_is_loaded_in_full_or_not_at_all(etcd: Etcd, after: int) -> None:
    engine = etcd_engine(etcd)
    engine.load()
    engine.commit(Commit(1, 1, slices_at(range(450), 1)))
    engine.commit(Commit(2, 2, slices_at(range(1), 2)))
    begun = etcd.transactions

    class ConnectionCutError(Exception):
        pass

    put = etcd._execute

    def cut(operation: object) -> object:
        if etcd.transactions - begun > after:
            etcd.faults.no_leader = True
            raise ConnectionCutError
        return put(operation)  # type: ignore[arg-type]

    etcd._execute = cut  # type: ignore[method-assign, assignment]
    acknowledged = True
    try:
        engine.commit(Commit(3, 3, slices_at(range(450), 3)))
        engine.commit(Commit(4, 4, slices_at(range(2), 4)))
    except StoreError:
        acknowledged = False
    etcd._execute = put  # type: ignore[method-assign]
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
    with pytest.raises(StoreFullError, match="no room left"):
        engine.commit(Commit(2, 2, slices_at(range(2), 2)))
    etcd.faults.no_space = False
    engine.commit(Commit(2, 2, slices_at(range(2), 2)))
    engine.close()
    etcd.faults.compacted_revision = 1 << 40  # the second page of each reading
    other = etcd_engine(etcd)
    with pytest.raises(StoreError, match="compacted at every reading"):
        other.load()
    etcd.faults.compacted_revision = 0
    assert len(other.load().slices) == 900


def test_next_member_is_called_when_one_is_unreachable(etcd: Etcd) -> None:
    gone = PORTS.take()
    engine = EtcdEngine([f"127.0.0.1:{gone}", f"127.0.0.1:{etcd.port}"], "t")  # type: ignore[attr-defined]
    engine.load()
    engine.commit(Commit(1, 1, slices_at(range(2), 1)))
    assert stored_slices(etcd, engine) == by_slice(slices_at(range(2), 1))


def test_second_store_process_takes_over_from_a_paused_one(etcd: Etcd, tmp_path: Path) -> None:
    """The first is paused beyond its lease, a second begins, and the first ends itself once it goes on."""
    section = {"listen": f"127.0.0.1:{PORTS.take()}", "etcd": f"127.0.0.1:{etcd.port}"}  # type: ignore[attr-defined]
    with process(tmp_path, "store", section) as first:
        port = int(section["listen"].split(":")[1])
        line = dial(port, m.Hello(m.PROTOCOL_VERSION, "assigner", 0, 0, "t", incarnation=1))
        given = line.wait_for(lambda x: isinstance(x, m.SliceOwnerships)).ownerships
        mine = next(c for c in given if c.owner_id == 0)
        line.send(
            m.WriteRequest(1, [m.WeightEntry(mine.slice_id, 4, 1.0, mine.fencing_token, "127.0.0.1:9")])
        )
        line.wait_for(lambda x: isinstance(x, m.WriteAcknowledged))
        etcd.faults.no_leader = True
        line.send(
            m.WriteRequest(2, [m.WeightEntry(mine.slice_id, 5, 1.0, mine.fencing_token, "127.0.0.1:9")])
        )
        with pytest.raises(TimeoutError):
            line.wait_for(lambda x: isinstance(x, m.WriteAcknowledged), 1.0)  # not kept, so not told
        etcd.faults.no_leader = False
        line.wait_for(lambda x: isinstance(x, m.WriteAcknowledged))
        first.send_signal(
            signal.SIGSTOP
        )  # else its next beat may take the lease anew before the second is up
        advance(etcd, 30)
        second = dict(section, listen=f"127.0.0.1:{PORTS.take()}")
        folder = tmp_path / "second"
        folder.mkdir()
        end = time.monotonic() + 20
        with process(folder, "store", second):
            first.send_signal(signal.SIGCONT)
            assert first.wait(max(1.0, end - time.monotonic())) == 2
            other = dial(int(second["listen"].split(":")[1]), m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t"))
            other.wait_for(lambda x: isinstance(x, m.Welcome))
            other.send(m.ReadRequest())
            kept = other.wait_for(lambda x: isinstance(x, m.SliceOwnerships)).ownerships
            assert {h.server_id for c in kept if c.slice_id == mine.slice_id for h in c.entries} == {4, 5}

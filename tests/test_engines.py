"""One suite for both engines, and what an etcd cluster does to the store (against the stand-in)."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from puffintide.emulators.etcd import Etcd
from puffintide.protocol import messages as m
from puffintide.store.engine import Commit, StorageEngine, StoredSlice
from puffintide.store.errors import StoreError, StoreOvertakenError
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


def client(etcd: Etcd, ttl_s: int = 10) -> EtcdEngine:
    return EtcdEngine([f"127.0.0.1:{etcd.port}"], "t", ttl_s)  # type: ignore[attr-defined]


@pytest.fixture(params=["sqlite", "etcd"])
def opened(request: pytest.FixtureRequest, tmp_path: Path) -> Open:
    if request.param == "sqlite":
        return lambda: SqliteEngine(str(tmp_path / "store.db"))
    etcd = request.getfixturevalue("etcd")
    return lambda: client(etcd)


def states(numbers: range, token: int) -> tuple[StoredSlice, ...]:
    return tuple(
        StoredSlice(n, 0, token, token, [m.TableEntry(token % 9, 1.0, "127.0.0.1:1")]) for n in numbers
    )


def test_what_is_kept_is_there_again(opened: Open) -> None:
    engine = opened()
    image = engine.load()
    assert (image.revision, image.slices, image.zone_commands) == (0, {}, {})
    engine.commit(Commit(1, 5, states(range(30), 1)))
    engine.commit(Commit(2, 6, states(range(3), 2), (m.ZoneCommand(1, "hold", 1.0, "me", 1),)))
    engine.keep_alive()
    engine.close()
    again = opened()
    found = again.load()
    assert found.store_id == image.store_id and (found.revision, found.highest_token) == (2, 6)
    assert found.slices == {s.slice_id: s for s in states(range(30), 1) + states(range(3), 2)}
    assert (
        found.slice_revisions == {n: 2 if n < 3 else 1 for n in range(30)}
        and found.zone_commands[1].operator == "me"
    )
    again.commit(Commit(3, 7, states(range(1), 3)))
    again.close()


def test_a_large_commit_is_one(opened: Open) -> None:
    engine = opened()
    engine.load()
    engine.commit(Commit(1, 1, states(range(3000), 1)))
    engine.close()
    engine = opened()
    assert engine.load().slices == {s.slice_id: s for s in states(range(3000), 1)}
    engine.commit(Commit(2, 2, states(range(5), 2)))
    engine.close()
    engine = opened()
    found = engine.load()
    assert found.slices == {s.slice_id: s for s in states(range(3000), 1) + states(range(5), 2)}
    assert found.slice_revisions[4] == 2 and found.slice_revisions[5] == 1
    engine.close()


def test_two_stores_can_not_serve_from_one(opened: Open) -> None:
    engine = opened()
    engine.load()
    with pytest.raises(StoreError, match="open in another store"):
        opened().load()
    engine.commit(Commit(1, 1, states(range(2), 1)))
    engine.close()
    opened().load()


def advance(etcd: Etcd, seconds: float) -> None:
    assert isinstance(etcd.clock, Clock)
    etcd.clock.now += seconds


def test_a_store_paused_beyond_its_lease_writes_nothing_once_another_has_begun(etcd: Etcd) -> None:
    first = client(etcd)
    first.load()
    first.commit(Commit(1, 1, states(range(2), 1)))
    advance(etcd, 30)
    second = client(etcd)
    second.load()
    with pytest.raises(StoreOvertakenError):
        first.commit(Commit(2, 2, states(range(2), 2)))
    with pytest.raises(StoreOvertakenError):
        first.keep_alive()
    second.commit(Commit(2, 3, states(range(1), 3)))
    assert client_image(etcd, second)[0].fencing_token == 3


def client_image(etcd: Etcd, engine: EtcdEngine) -> dict[int, StoredSlice]:
    engine.close()
    other = client(etcd)
    found = other.load().slices
    other.close()
    return found


def test_a_lease_that_ran_out_while_nobody_came_is_taken_anew(etcd: Etcd) -> None:
    engine = client(etcd)
    engine.load()
    advance(etcd, 30)
    engine.commit(Commit(1, 1, states(range(2), 1)))
    advance(etcd, 30)
    engine.keep_alive()
    with pytest.raises(StoreError, match="open in another store"):
        client(etcd).load()


@pytest.mark.parametrize("rows", [3, 700])
def test_an_answer_that_is_lost_neither_loses_nor_doubles_a_commit(etcd: Etcd, rows: int) -> None:
    engine = client(etcd)
    engine.load()
    engine.commit(Commit(1, 1, states(range(5), 1)))
    for lost in (1, 2):
        etcd.faults.lose_answers = lost
        engine.commit(Commit(1 + lost, lost, states(range(rows), 1 + lost)))
    found = client_image(etcd, engine)
    assert found == {s.slice_id: s for s in states(range(5), 1) + states(range(rows), 3)}


@pytest.mark.parametrize("after", range(1, 12))
def test_a_large_commit_cut_short_anywhere_is_there_whole_or_not_at_all(etcd: Etcd, after: int) -> None:
    engine = client(etcd)
    engine.load()
    engine.commit(Commit(1, 1, states(range(450), 1)))
    engine.commit(Commit(2, 2, states(range(1), 2)))
    begun = etcd.transactions

    class Gone(Exception):
        pass

    put = etcd._carry_out

    def cut(operation: object) -> object:
        if etcd.transactions - begun > after:
            etcd.faults.no_leader = True
            raise Gone
        return put(operation)  # type: ignore[arg-type]

    etcd._carry_out = cut  # type: ignore[method-assign, assignment]
    acknowledged = True
    try:
        engine.commit(Commit(3, 3, states(range(450), 3)))
        engine.commit(Commit(4, 4, states(range(2), 4)))
    except StoreError:
        acknowledged = False
    etcd._carry_out = put  # type: ignore[method-assign]
    etcd.faults.no_leader = False
    advance(etcd, 30)
    other = client(etcd)
    image = other.load()
    old = {s.slice_id: s for s in states(range(450), 1) + states(range(1), 2)}
    new = {s.slice_id: s for s in states(range(450), 3)}
    last = new | {s.slice_id: s for s in states(range(2), 4)}
    assert image.slices == {2: old, 3: new, 4: last}[image.revision]
    assert not acknowledged or image.revision == 4
    other.commit(Commit(image.revision + 1, 9, states(range(7), 9)))
    assert client_image(etcd, other) == image.slices | {s.slice_id: s for s in states(range(7), 9)}


def test_no_leader_no_space_and_a_compacted_revision(etcd: Etcd) -> None:
    engine = client(etcd)
    engine.load()
    engine.commit(Commit(1, 1, states(range(900), 1)))
    etcd.faults.no_leader = True
    with pytest.raises(StoreError, match="no leader"):
        engine.commit(Commit(2, 2, states(range(2), 2)))
    etcd.faults.no_leader = False
    etcd.faults.no_space = True
    with pytest.raises(StoreError, match="no room left"):
        engine.commit(Commit(2, 2, states(range(2), 2)))
    etcd.faults.no_space = False
    engine.commit(Commit(2, 2, states(range(2), 2)))
    engine.close()
    etcd.faults.compacted = 1 << 40  # the second page of each reading
    other = client(etcd)
    with pytest.raises(StoreError, match="compacted at every reading"):
        other.load()
    etcd.faults.compacted = 0
    assert len(other.load().slices) == 900


def test_the_next_member_is_asked_when_one_is_gone(etcd: Etcd) -> None:
    gone = PORTS.take()
    engine = EtcdEngine([f"127.0.0.1:{gone}", f"127.0.0.1:{etcd.port}"], "t")  # type: ignore[attr-defined]
    engine.load()
    engine.commit(Commit(1, 1, states(range(2), 1)))
    assert client_image(etcd, engine) == {s.slice_id: s for s in states(range(2), 1)}


def test_the_running_store_on_a_cluster_and_a_second_that_takes_its_place(etcd: Etcd, tmp_path: Path) -> None:
    """The first is paused beyond its lease, a second begins, and the first ends itself once it goes on."""
    section = {"listen": f"127.0.0.1:{PORTS.take()}", "etcd": f"127.0.0.1:{etcd.port}"}  # type: ignore[attr-defined]
    with process(tmp_path, "store", section) as first:
        port = int(section["listen"].split(":")[1])
        line = dial(port, m.Hello(m.PROTOCOL_VERSION, "assigner", 0, 0, "t", incarnation=1))
        given = line.until(lambda x: isinstance(x, m.SliceOwnerships)).ownerships
        mine = next(c for c in given if c.owner_id == 0)
        line.send(
            m.WriteRequest(1, [m.WeightEntry(mine.slice_id, 4, 1.0, mine.fencing_token, "127.0.0.1:9")])
        )
        line.until(lambda x: isinstance(x, m.WriteAcknowledged))
        etcd.faults.no_leader = True
        line.send(
            m.WriteRequest(2, [m.WeightEntry(mine.slice_id, 5, 1.0, mine.fencing_token, "127.0.0.1:9")])
        )
        with pytest.raises(TimeoutError):
            line.until(lambda x: isinstance(x, m.WriteAcknowledged), 1.0)  # not kept, so not told
        etcd.faults.no_leader = False
        line.until(lambda x: isinstance(x, m.WriteAcknowledged))
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
            other.until(lambda x: isinstance(x, m.Welcome))
            other.send(m.ReadRequest())
            kept = other.until(lambda x: isinstance(x, m.SliceOwnerships)).ownerships
            assert {h.server_id for c in kept if c.slice_id == mine.slice_id for h in c.entries} == {4, 5}

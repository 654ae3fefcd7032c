"""Replication in a whole deployment on a virtual clock, with faults between the processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from puffintide.audit.report import Rule
from puffintide.protocol import messages as m
from puffintide.replication import conflict_resolution
from puffintide.scenarios.link_faults import Cut, Initiator, Link, LinkFault
from tests.deployment import Deployment

PEERS: dict[str, Any] = {"peers": {"every_s": 0.5}, "deployment": {"assigners": 3}}


def differing(d: Deployment) -> list[str]:
    """Where the live assigners' replicas of tables differ, or are not what the store has."""
    found, now = [], d.net.seconds()
    views = {}
    for k, service in d.assigners.items():
        if d.reactors[f"assigner:{k}"].alive:
            assert service.peer_sessions is not None
            rows = service.peer_sessions.replica.readings(now, "table")
            views[k] = {
                n: best.value
                for n, r in rows.items()
                if (best := conflict_resolution.latest_table(r)) is not None
            }
    for number, record in sorted(d.store.ledger.slices.items()):
        wanted = [(h.server_id, h.weight) for _, h in sorted(record.entries.items())]
        for k, view in views.items():
            value = view.get(number, ())
            held = [(value[at], value[at + 1]) for at in range(2, len(value), 4)]
            if held != wanted or value[0] != record.fencing_token:
                found.append(
                    f"slice {number} at {k}: {value[:2]} {held}, store {record.fencing_token} {wanted}"
                )
    return found


def assert_rules_hold(d: Deployment) -> None:
    result = d.play()
    assert result.report.findings == []
    assert not result.gaps
    assert result.report.case_counts[Rule.REPLICA_AGREEMENT] >= 16
    assert differing(d) == []
    refused = [row for name, log in d.log.items() for row in log.rows if row[0] == "replica_row_rejected"]
    assert not refused, refused[:3]


CUT = {"kind": "peer_cut", "at_s": 4, "for_s": 8, "assigners": "1"}
FAULTS: dict[str, dict[str, dict[str, Any]]] = {
    "cut off": {"cut": CUT},
    "heard by nobody": {"cut": CUT | {"way": "out"}},
    "hears nobody": {"cut": CUT | {"way": "in"}},
    "late, doubled, reordered": {
        "mess": {"kind": "peer_mess", "at_s": 2, "for_s": 14, "size": 3, "extra": 0.5}
    },
    "killed and back": {"kill": {"kind": "balancer_crash", "at_s": 4, "for_s": 5, "assigners": "1"}},
    "two killed": {"kill": {"kind": "balancer_crash", "at_s": 4, "for_s": 5, "assigners": "0, 2"}},
    "stands still": {"stop": {"kind": "balancer_stop", "at_s": 4, "for_s": 9, "assigners": "1"}},
    "cut, another dies": {
        "cut": CUT,
        "kill": {"kind": "balancer_crash", "at_s": 6, "for_s": 4, "assigners": "2"},
    },
    "store from an old backup": {"old": {"kind": "store_restored", "at_s": 9, "for_s": 2, "size": 7}},
    "store from an old backup, one killed": {
        "old": {"kind": "store_restored", "at_s": 9, "for_s": 2, "size": 7},
        "kill": {"kind": "balancer_crash", "at_s": 9.5, "for_s": 3, "assigners": "0"},
    },
    "store lost, one stands still while it is filled": {
        "lost": {"kind": "store_lost", "at_s": 5, "for_s": 1},
        "stop": {"kind": "balancer_stop", "at_s": 5.5, "for_s": 4, "assigners": "1"},
    },
    "store lost, one killed just as it answers": {
        "lost": {"kind": "store_lost", "at_s": 5, "for_s": 1},
        "kill": {"kind": "balancer_crash", "at_s": 6.1, "for_s": 3, "assigners": "1"},
    },
    "two stores in turn": {  # the restored one is replaced by an old backup
        "lost": {"kind": "store_lost", "at_s": 5, "for_s": 1},
        "old": {"kind": "store_restored", "at_s": 11, "for_s": 1, "size": 8},
    },
}
MESS = {"kind": "peer_mess", "at_s": 2, "for_s": 12, "size": 10, "extra": 0.3}
MANY: dict[str, tuple[int, float, dict[str, dict[str, Any]]]] = {  # assigners, length of the scenario
    "twelve, half killed at once and back": (
        12,
        16,
        {"kill": {"kind": "balancer_crash", "at_s": 4, "for_s": 3, "assigners": "0, 2, 4, 6, 8, 10"}},
    ),
    "three groups that see parts, healed one by one": (
        6,
        24,
        {
            "a": {"kind": "peer_cut", "at_s": 3, "for_s": 13, "assigners": "0, 1", "others": "4, 5"},
            "b": {"kind": "peer_cut", "at_s": 5, "for_s": 4, "assigners": "2, 3", "others": "4, 5"},
            "c": {"kind": "peer_cut", "at_s": 6, "for_s": 7, "assigners": "0, 1", "others": "2, 3"},
        },
    ),
    "late by up to 10 s": (3, 34, {"mess": MESS}),
    "woken after 30 s": (
        3,
        46,
        {"stop": {"kind": "balancer_stop", "at_s": 4, "for_s": 30, "assigners": "1"}},
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_replicas_agree_after_the_last_fault(name: str, tmp_path: Path) -> None:
    deploy = {"kind": "deploy", "at_s": 3, "for_s": 10, "servers": "1, 3", "size": 1, "extra": 3}
    assert_rules_hold(Deployment(tmp_path, FAULTS[name] | {"deploy": deploy}, **PEERS))


@pytest.mark.parametrize(("ends", "cut"), [((0, 4), True), ((4, 0), True), ((0, 2), False), ((2, 4), False)])
def test_partition_between_some_leaves_other_paths(ends: tuple[int, int], cut: bool) -> None:
    fault = LinkFault(
        ("peer",), cut=Cut.SILENT, assigners=frozenset({0, 1}), other_assigners=frozenset({4, 5})
    )
    link = Link("peer", "peer", 0, "", number=ends[1])
    assert fault.affects(link, Initiator("assigner", ends[0]), 0, b"") is cut


@pytest.mark.parametrize("name", MANY)
def test_replicas_of_many_assigners_agree_after_long_faults(name: str, tmp_path: Path) -> None:
    assigners, length, faults = MANY[name]
    deploy = {"kind": "deploy", "at_s": 3, "for_s": 10, "servers": "1, 3", "size": 1, "extra": 3}
    sizes = {"day": {"length_s": length}, "deployment": {"assigners": assigners, "slices": 24}}
    assert_rules_hold(Deployment(tmp_path, faults | {"deploy": deploy}, None, **PEERS | sizes))


@pytest.mark.parametrize("along", [False, True])
def test_store_that_lost_its_disk_is_restored_from_replicas(along: bool, tmp_path: Path) -> None:
    """along: an assigner is killed with it, and restarts without state."""
    what = [(6.0, "lose", "store"), (9.0, "start", "store")]
    what += [(6.0, "kill", "assigner:1"), (8.0, "start", "assigner:1")] if along else []
    began: list[int] = []
    steps: list[Any] = [(at, lambda d, w=w, n=n: d.control_process(w, n)) for at, w, n in what]
    d = Deployment(tmp_path, steps=steps, **PEERS)
    before: dict[int, Any] = {}

    def note(d: Deployment) -> None:
        before.update({n: sorted(r.entries) for n, r in d.store.ledger.slices.items()})
        before[-1] = d.store.ledger.highest_token

    d.steps.insert(0, (5.9, note))
    d.steps.append((8.99, lambda d: began.append(len(d.log["store"].rows))))
    assert_rules_hold(d)
    since = [event for event, _ in d.log["store"].rows[began[0] :]]
    assert "ownership_changed" in since
    assert since.index("restored_from_replicas") < since.index("ownership_changed")
    assert d.store.ledger.highest_token > 2**32 + before[-1] - 1
    rows = [row for event, row in d.log["store"].rows if event == "restored_from_replicas"]
    assert [row["tables"] for row in rows] == [16]


def test_invalid_row_is_dropped_and_false_rows_do_not_last(tmp_path: Path) -> None:
    """Assigner 1 sends rows that it never wrote: one that is invalid and one that is valid."""

    def lie(d: Deployment) -> None:
        peers = d.assigners[1].peer_sessions
        assert peers is not None
        mine = peers.replica.origin_states[1]
        rows = [
            m.ReplicatedRow("server", 3, mine.sequence + 1, 0.0, (1.0, float("1e300"))),
            m.ReplicatedRow("server", 4, mine.sequence + 2, 0.0, (1.0, 0.0)),
        ]
        top = mine.sequence + 2
        peers.sessions[0].stream.send(
            m.ReplicationDelta(1, mine.incarnation, mine.sequence, top, top, 0, rows)
        )

    d = Deployment(tmp_path, steps=[(5.0, lie)], **PEERS)
    result = d.play()
    assert result.report.findings == []
    assert differing(d) == []
    refused = [what for event, what in d.log["assigner:0"].rows if event == "replica_row_rejected"]
    assert [(what["origin_id"], what["sender_id"]) for what in refused] == [(1, 1)]
    assert any(event == "incarnation_conflict" for event, _ in d.log["assigner:1"].rows)
    held = [
        service.peer_sessions.replica.readings(0.0, "server")
        for service in d.assigners.values()
        if service.peer_sessions
    ]
    assert held == [{}, {}, {}]


@pytest.mark.parametrize("copies", [True, False])
def test_draining_is_learned_from_peers_where_the_list_does_not_reach(copies: bool, tmp_path: Path) -> None:
    """Server 1 drains at 6 s and stops at 9 s. Assigner 1 receives no endpoint list from 4 s on."""
    drain = {"kind": "shrink", "at_s": 6, "for_s": 1, "servers": "1", "extra": 3}
    sizes = PEERS if copies else {"deployment": {"assigners": 3}}
    seen: dict[float, list[int]] = {}

    def on(d: Deployment, at: float) -> None:
        """Slices of assigner 1 whose table at some proxy has the server that leaves."""
        mine = [n for n, r in d.store.ledger.slices.items() if r.owner_id == 1]
        tables = [p.engine.tables for p in d.proxies.values()]
        seen[at] = [n for n in mine if any(t.available_weights(n).get(1, 0) >= 1 for t in tables)]

    steps: list[Any] = [(4.0, lambda d: d.set_link_fault("list", kinds=["list"], parties=[1], cut="silent"))]
    steps += [(at, lambda d, at=at: on(d, at)) for at in (5.9, 7.5, 8.9)]
    steps += [(12.0, lambda d: d.set_link_fault("list"))]
    d = Deployment(tmp_path, {"drain": drain}, steps, **sizes)
    result = d.play()
    assert seen[5.9]
    if not copies:
        assert seen[8.9]  # it was not notified: its slices are on a server about to stop
    else:
        assert result.report.findings == []
        assert not seen[7.5], seen
        assert not seen[8.9], seen
        assert not d.assigners[1].runtime.director.director.fleet.is_ready(1)  # type: ignore[attr-defined]


def test_writes_during_the_restore_of_the_store_are_not_lost(tmp_path: Path) -> None:
    """One of three assigners is down, so the store waits; servers are deployed meanwhile."""
    what = [(6.0, "lose", "store"), (6.2, "kill", "assigner:1"), (7.0, "start", "store")]
    what += [(15.0, "start", "assigner:1")]
    steps: list[Any] = [(at, lambda d, w=w, n=n: d.control_process(w, n)) for at, w, n in what]
    seen: list[dict[int, dict[int, float]]] = []
    found: list[tuple[int, set[int]]] = []

    def look(d: Deployment) -> None:
        """Record what each has written, until the store has its tables."""
        if found or not any(event == "restored_from_replicas" for event, _ in d.log["store"].rows):
            live = [d.assigners[k].owned_tables.entries for k in (0, 2)]
            seen.append({n: {s: h.weight for s, h in t.items()} for lines in live for n, t in lines.items()})
            return
        ledger = {n: {s: h.weight for s, h in r.entries.items()} for n, r in d.store.ledger.slices.items()}
        late = {n for n in seen[-1] if all(ledger[n] != then.get(n) for then in seen[-40:])}
        found.append((sum(seen[-1][n] != seen[-200].get(n) for n in seen[-1]), late))

    steps += [(7.0 + k / 50, look) for k in range(350)]
    deploy = {"kind": "deploy", "at_s": 4, "for_s": 10, "servers": "0, 2, 4, 6", "size": 1, "extra": 1}
    assert_rules_hold(Deployment(tmp_path, {"deploy": deploy}, steps, **PEERS))
    assert found
    changed, late = found[0]
    assert changed > 0, found
    assert not late, found


def test_restarted_assigner_catches_up_before_it_connects_to_the_store(tmp_path: Path) -> None:
    """The others are in backoff after failing to connect to it; it does not wait for them."""
    kill = {"kind": "balancer_crash", "at_s": 3, "for_s": 8, "assigners": "2"}
    d = Deployment(tmp_path, {"kill": kill}, **PEERS)
    seen: list[tuple[str, float, int]] = []
    d.steps.append((10.999, lambda d: d.log["assigner:2"].rows.clear()))
    for ms in range(0, 100, 10):
        d.steps.append((11.001 + ms / 1000, lambda d: seen.append(look(d))))

    def look(d: Deployment) -> tuple[str, float, int]:
        rows = [what for event, what in d.log["assigner:2"].rows if event == "caught_up"]
        return (rows[0]["reason"] if rows else "", d.net.seconds(), rows[0]["rows"] if rows else 0)

    assert_rules_hold(d)
    why, _, tables = next(row for row in seen if row[0])
    assert why == "level with peers"
    assert tables >= 16

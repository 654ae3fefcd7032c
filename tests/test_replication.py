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


def replica_differences(deployment: Deployment) -> list[str]:
    """Describe each table that differs between the replica of a live assigner and the store."""
    differences, now = [], deployment.net.seconds()
    tables_by_assigner = {}
    for assigner_id, service in deployment.assigners.items():
        if deployment.reactors[f"assigner:{assigner_id}"].alive:
            assert service.peer_sessions is not None
            readings = service.peer_sessions.replica.readings(now, "table")
            tables_by_assigner[assigner_id] = {
                slice_id: latest.value
                for slice_id, slice_readings in readings.items()
                if (latest := conflict_resolution.latest_table(slice_readings)) is not None
            }
    for slice_id, record in sorted(deployment.store.ledger.slices.items()):
        stored = [(entry.server_id, entry.weight) for _, entry in sorted(record.entries.items())]
        for assigner_id, tables in tables_by_assigner.items():
            value = tables.get(slice_id, ())
            held = [(value[start], value[start + 1]) for start in range(2, len(value), 4)]
            if held != stored or value[0] != record.fencing_token:
                differences.append(
                    f"slice {slice_id} at assigner {assigner_id}: {value[:2]} {held}, "
                    f"store: {record.fencing_token} {stored}"
                )
    return differences


def assert_rules_hold(deployment: Deployment) -> None:
    result = deployment.play()
    assert result.report.findings == []
    assert not result.gaps
    assert result.report.case_counts[Rule.REPLICA_AGREEMENT] >= 16
    assert replica_differences(deployment) == []
    rejected = [
        row for log in deployment.log.values() for row in log.rows if row[0] == "replica_row_rejected"
    ]
    assert not rejected, rejected[:3]


PARTITION = {"kind": "peer_cut", "at_s": 4, "for_s": 8, "assigners": "1"}
FAULTS: dict[str, dict[str, dict[str, Any]]] = {
    "assigner partitioned": {"cut": PARTITION},
    "outgoing messages dropped": {"cut": PARTITION | {"way": "out"}},
    "incoming messages dropped": {"cut": PARTITION | {"way": "in"}},
    "messages delayed, duplicated, reordered": {
        "mess": {"kind": "peer_mess", "at_s": 2, "for_s": 14, "size": 3, "extra": 0.5}
    },
    "one killed and restarted": {"kill": {"kind": "balancer_crash", "at_s": 4, "for_s": 5, "assigners": "1"}},
    "two killed and restarted": {
        "kill": {"kind": "balancer_crash", "at_s": 4, "for_s": 5, "assigners": "0, 2"}
    },
    "one suspended": {"stop": {"kind": "balancer_stop", "at_s": 4, "for_s": 9, "assigners": "1"}},
    "one partitioned, another killed": {
        "cut": PARTITION,
        "kill": {"kind": "balancer_crash", "at_s": 6, "for_s": 4, "assigners": "2"},
    },
    "store restored from an old backup": {
        "old": {"kind": "store_restored", "at_s": 9, "for_s": 2, "size": 7}
    },
    "store restored from an old backup, one killed": {
        "old": {"kind": "store_restored", "at_s": 9, "for_s": 2, "size": 7},
        "kill": {"kind": "balancer_crash", "at_s": 9.5, "for_s": 3, "assigners": "0"},
    },
    "store lost, one suspended during the restore": {
        "lost": {"kind": "store_lost", "at_s": 5, "for_s": 1},
        "stop": {"kind": "balancer_stop", "at_s": 5.5, "for_s": 4, "assigners": "1"},
    },
    "store lost, one killed while it answers": {
        "lost": {"kind": "store_lost", "at_s": 5, "for_s": 1},
        "kill": {"kind": "balancer_crash", "at_s": 6.1, "for_s": 3, "assigners": "1"},
    },
    "store lost, then restored from an old backup": {
        "lost": {"kind": "store_lost", "at_s": 5, "for_s": 1},
        "old": {"kind": "store_restored", "at_s": 11, "for_s": 1, "size": 8},
    },
}
DELAYS = {"kind": "peer_mess", "at_s": 2, "for_s": 12, "size": 10, "extra": 0.3}
# Number of assigners, length of the scenario in seconds, and faults.
LONG_FAULTS: dict[str, tuple[int, float, dict[str, dict[str, Any]]]] = {
    "six of twelve killed at once and restarted": (
        12,
        16,
        {"kill": {"kind": "balancer_crash", "at_s": 4, "for_s": 3, "assigners": "0, 2, 4, 6, 8, 10"}},
    ),
    "three groups with partial connectivity, reconnected one by one": (
        6,
        24,
        {
            "a": {"kind": "peer_cut", "at_s": 3, "for_s": 13, "assigners": "0, 1", "others": "4, 5"},
            "b": {"kind": "peer_cut", "at_s": 5, "for_s": 4, "assigners": "2, 3", "others": "4, 5"},
            "c": {"kind": "peer_cut", "at_s": 6, "for_s": 7, "assigners": "0, 1", "others": "2, 3"},
        },
    ),
    "messages delayed by up to 10 s": (3, 34, {"mess": DELAYS}),
    "resumed after 30 s": (
        3,
        46,
        {"stop": {"kind": "balancer_stop", "at_s": 4, "for_s": 30, "assigners": "1"}},
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_replicas_agree_after_the_last_fault(name: str, tmp_path: Path) -> None:
    deploy = {"kind": "deploy", "at_s": 3, "for_s": 10, "servers": "1, 3", "size": 1, "extra": 3}
    assert_rules_hold(Deployment(tmp_path, FAULTS[name] | {"deploy": deploy}, **PEERS))


@pytest.mark.parametrize(
    ("assigner_ids", "is_affected"), [((0, 4), True), ((4, 0), True), ((0, 2), False), ((2, 4), False)]
)
def test_partition_between_two_groups_leaves_other_paths(
    assigner_ids: tuple[int, int], is_affected: bool
) -> None:
    fault = LinkFault(
        ("peer",), cut=Cut.SILENT, assigners=frozenset({0, 1}), other_assigners=frozenset({4, 5})
    )
    link = Link("peer", "peer", 0, "", number=assigner_ids[1])
    assert fault.affects(link, Initiator("assigner", assigner_ids[0]), 0, b"") is is_affected


@pytest.mark.parametrize("name", LONG_FAULTS)
def test_replicas_of_many_assigners_agree_after_long_faults(name: str, tmp_path: Path) -> None:
    assigner_count, length_s, faults = LONG_FAULTS[name]
    deploy = {"kind": "deploy", "at_s": 3, "for_s": 10, "servers": "1, 3", "size": 1, "extra": 3}
    sections = {"day": {"length_s": length_s}, "deployment": {"assigners": assigner_count, "slices": 24}}
    assert_rules_hold(Deployment(tmp_path, faults | {"deploy": deploy}, None, **PEERS | sections))


@pytest.mark.parametrize("with_assigner", [False, True])
def test_store_that_lost_its_disk_is_restored_from_replicas(with_assigner: bool, tmp_path: Path) -> None:
    """With with_assigner, an assigner is killed at the same time and restarts without state."""
    operations = [(6.0, "lose", "store"), (9.0, "start", "store")]
    operations += [(6.0, "kill", "assigner:1"), (8.0, "start", "assigner:1")] if with_assigner else []
    rows_before_start: list[int] = []
    steps: list[Any] = [
        (at_s, lambda deployment, operation=operation, name=name: deployment.control_process(operation, name))
        for at_s, operation, name in operations
    ]
    deployment = Deployment(tmp_path, steps=steps, **PEERS)
    highest_tokens: list[int] = []

    def record_highest_token(deployment: Deployment) -> None:
        highest_tokens.append(deployment.store.ledger.highest_token)

    deployment.steps.insert(0, (5.9, record_highest_token))
    deployment.steps.append(
        (8.99, lambda deployment: rows_before_start.append(len(deployment.log["store"].rows)))
    )
    assert_rules_hold(deployment)
    events = [event for event, _ in deployment.log["store"].rows[rows_before_start[0] :]]
    assert "ownership_changed" in events
    assert events.index("restored_from_replicas") < events.index("ownership_changed")
    assert deployment.store.ledger.highest_token > 2**32 + highest_tokens[0] - 1
    rows = [row for event, row in deployment.log["store"].rows if event == "restored_from_replicas"]
    assert [row["tables"] for row in rows] == [16]


def test_invalid_row_is_dropped_and_unwritten_row_does_not_persist(tmp_path: Path) -> None:
    """Assigner 1 sends two rows that it never wrote, of which one is invalid and one is valid."""

    def send_unwritten_rows(deployment: Deployment) -> None:
        peer_sessions = deployment.assigners[1].peer_sessions
        assert peer_sessions is not None
        state = peer_sessions.replica.origin_states[1]
        rows = [
            m.ReplicatedRow("server", 3, state.sequence + 1, 0.0, (1.0, float("1e300"))),
            m.ReplicatedRow("server", 4, state.sequence + 2, 0.0, (1.0, 0.0)),
        ]
        latest_sequence = state.sequence + 2
        peer_sessions.sessions[0].stream.send(
            m.ReplicationDelta(
                1, state.incarnation, state.sequence, latest_sequence, latest_sequence, 0, rows
            )
        )

    deployment = Deployment(tmp_path, steps=[(5.0, send_unwritten_rows)], **PEERS)
    result = deployment.play()
    assert result.report.findings == []
    assert replica_differences(deployment) == []
    rejected = [
        fields for event, fields in deployment.log["assigner:0"].rows if event == "replica_row_rejected"
    ]
    assert [(fields["origin_id"], fields["sender_id"]) for fields in rejected] == [(1, 1)]
    assert any(event == "incarnation_conflict" for event, _ in deployment.log["assigner:1"].rows)
    server_rows = [
        service.peer_sessions.replica.readings(0.0, "server")
        for service in deployment.assigners.values()
        if service.peer_sessions
    ]
    assert server_rows == [{}, {}, {}]


@pytest.mark.parametrize("with_replication", [True, False])
def test_draining_is_learned_from_peers_if_the_endpoint_list_is_unreachable(
    with_replication: bool, tmp_path: Path
) -> None:
    """Server 1 drains at 6 s and stops at 9 s. Assigner 1 receives no endpoint list from 4 s on."""
    drain = {"kind": "shrink", "at_s": 6, "for_s": 1, "servers": "1", "extra": 3}
    sections = PEERS if with_replication else {"deployment": {"assigners": 3}}
    slices_on_server: dict[float, list[int]] = {}  # Keyed by time in seconds.

    def record_slices_on_server(deployment: Deployment, at_s: float) -> None:
        """Record the slices of assigner 1 whose table at some proxy contains the draining server."""
        owned = [
            slice_id for slice_id, record in deployment.store.ledger.slices.items() if record.owner_id == 1
        ]
        tables = [proxy.engine.tables for proxy in deployment.proxies.values()]
        slices_on_server[at_s] = [
            slice_id
            for slice_id in owned
            if any(table.available_weights(slice_id).get(1, 0) >= 1 for table in tables)
        ]

    steps: list[Any] = [
        (
            4.0,
            lambda deployment: deployment.set_link_fault("list", kinds=["list"], parties=[1], cut="silent"),
        )
    ]
    steps += [
        (at_s, lambda deployment, at_s=at_s: record_slices_on_server(deployment, at_s))
        for at_s in (5.9, 7.5, 8.9)
    ]
    steps += [(12.0, lambda deployment: deployment.set_link_fault("list"))]
    deployment = Deployment(tmp_path, {"drain": drain}, steps, **sections)
    result = deployment.play()
    assert slices_on_server[5.9]
    if not with_replication:
        # Assigner 1 was not notified, so its slices are still on the server that is about to stop.
        assert slices_on_server[8.9]
    else:
        assert result.report.findings == []
        assert not slices_on_server[7.5], slices_on_server
        assert not slices_on_server[8.9], slices_on_server
        fleet = deployment.assigners[1].runtime.director.director.fleet  # type: ignore[attr-defined]
        assert not fleet.is_ready(1)


def test_writes_during_the_restore_of_the_store_are_not_lost(tmp_path: Path) -> None:
    """One of three assigners is down, so the store waits while a deployment changes the tables."""
    operations = [(6.0, "lose", "store"), (6.2, "kill", "assigner:1"), (7.0, "start", "store")]
    operations += [(15.0, "start", "assigner:1")]
    steps: list[Any] = [
        (at_s, lambda deployment, operation=operation, name=name: deployment.control_process(operation, name))
        for at_s, operation, name in operations
    ]
    # Weights by slice, then by server, in each sample.
    weight_samples: list[dict[int, dict[int, float]]] = []
    outcomes: list[tuple[int, set[int]]] = []  # Number of changed slices, and slices with lost writes.

    def sample_weights(deployment: Deployment) -> None:
        """Sample the tables of the live assigners until the store is restored, then compare both."""
        store_rows = deployment.log["store"].rows
        if outcomes or not any(event == "restored_from_replicas" for event, _ in store_rows):
            live_tables = [deployment.assigners[k].owned_tables.entries for k in (0, 2)]
            weight_samples.append(
                {
                    slice_id: {server_id: entry.weight for server_id, entry in table.items()}
                    for tables in live_tables
                    for slice_id, table in tables.items()
                }
            )
            return
        stored = {
            slice_id: {server_id: entry.weight for server_id, entry in record.entries.items()}
            for slice_id, record in deployment.store.ledger.slices.items()
        }
        latest = weight_samples[-1]
        lost = {
            slice_id
            for slice_id in latest
            if all(stored[slice_id] != sample.get(slice_id) for sample in weight_samples[-40:])
        }
        earlier = weight_samples[-200]
        outcomes.append((sum(latest[slice_id] != earlier.get(slice_id) for slice_id in latest), lost))

    steps += [(7.0 + k / 50, sample_weights) for k in range(350)]
    deploy = {"kind": "deploy", "at_s": 4, "for_s": 10, "servers": "0, 2, 4, 6", "size": 1, "extra": 1}
    assert_rules_hold(Deployment(tmp_path, {"deploy": deploy}, steps, **PEERS))
    assert outcomes
    changed_count, lost = outcomes[0]
    assert changed_count > 0, outcomes
    assert not lost, outcomes


def test_restarted_assigner_catches_up_before_it_connects_to_the_store(tmp_path: Path) -> None:
    """The other assigners are in backoff after failing to connect to it, and it does not wait for them."""
    kill = {"kind": "balancer_crash", "at_s": 3, "for_s": 8, "assigners": "2"}
    deployment = Deployment(tmp_path, {"kill": kill}, **PEERS)
    samples: list[tuple[str, int]] = []  # Reason and number of rows of the event, if it was logged.
    deployment.steps.append((10.999, lambda deployment: deployment.log["assigner:2"].rows.clear()))
    for ms in range(0, 100, 10):
        deployment.steps.append(
            (11.001 + ms / 1000, lambda deployment: samples.append(caught_up_event(deployment)))
        )

    def caught_up_event(deployment: Deployment) -> tuple[str, int]:
        rows = [fields for event, fields in deployment.log["assigner:2"].rows if event == "caught_up"]
        return (rows[0]["reason"] if rows else "", rows[0]["rows"] if rows else 0)

    assert_rules_hold(deployment)
    reason, row_count = next(sample for sample in samples if sample[0])
    assert reason == "level with peers"
    assert row_count >= 16

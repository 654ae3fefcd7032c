"""Messages and stored data recorded from revision 2f88400 are read and written again byte for byte.

The recorded bytes are in tests/data/compatibility. The expected values use the current field names. A test
fails if a name or a layout on the wire or in storage changes.
"""

from __future__ import annotations

import base64
import json
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import apsw
import msgspec
import pytest

from puffintide.assigner.endpoint_list import load_cache, save_cache
from puffintide.emulators.etcd import Etcd
from puffintide.platform.client_messages import decode_client_message
from puffintide.platform.discovery_messages import decode_endpoint_list
from puffintide.platform.identifiers import HostRegistry, SettingsNames
from puffintide.platform.relay_messages import decode_relay_message
from puffintide.protocol import messages as m
from puffintide.protocol.codec import decode, encode
from puffintide.proxy.state import capture_state, load_state, restore_state, save_state
from puffintide.proxy.weight_tables import WeightTables
from puffintide.store.engine import Commit, StoredSlice, StoreSnapshot
from puffintide.store.etcd import rpc_pb2 as pb
from puffintide.store.etcd.engine import EtcdEngine
from puffintide.store.sqlite import SqliteEngine

DATA = Path(__file__).parent / "data" / "compatibility"

ENTRIES = [
    m.TableEntry(server_id=11, weight=0.75, address="127.0.0.1:9001", zone=1),
    m.TableEntry(server_id=12, weight=2.0, address="127.0.0.1:9002", zone=0),
]
OWNERSHIP = m.SliceOwnership(
    slice_id=5, fencing_token=41, owner_id=2, entries=ENTRIES, batch=17, tenure_token=40
)
WEIGHT = m.WeightEntry(
    slice_id=5, server_id=11, weight=0.75, fencing_token=41, address="127.0.0.1:9001", zone=1
)
COMMAND = m.ZoneCommand(zone=1, operation="drain", pace=2.5, operator="operator-1", sequence=6)
ENDPOINTS = [
    m.EndpointEntry(
        server_id=11,
        zone=1,
        server_type=2,
        cell=3,
        status=2,
        weight=1.5,
        incarnation=99,
        age_s=12.25,
        address="127.0.0.1:9001",
    ),
    m.EndpointEntry(
        server_id=12,
        zone=0,
        server_type=1,
        cell=4,
        status=1,
        weight=0.5,
        incarnation=98,
        age_s=-1.0,
        address="127.0.0.1:9002",
    ),
    m.EndpointEntry(
        server_id=13, zone=0, server_type=0, cell=5, status=0, weight=0.0, incarnation=97, age_s=3.0
    ),
]
KEY = 12345678901234567890
EXPECTED_MESSAGES = [
    m.Hello(
        version=1,
        role="proxy",
        id=3,
        zone=2,
        deployment="east",
        incarnation=7,
        first_connection=True,
        highest_token=41,
    ),
    m.Welcome(version=1, role="store", id=4, incarnation=8),
    m.ConnectionRejected(reason="deployment 'east' is not 'west'"),
    m.Ping(),
    m.Pong(),
    m.ProxyUpdate(
        batch=17,
        ordered_at_s=101.5,
        channel_cost=14.0,
        weights=[WEIGHT, m.WeightEntry(slice_id=6, server_id=12, weight=0.0)],
        cleared_slices=[7, 8],
        withdrawn_servers=[21, 22],
        readmitted_servers=[23],
        admission_levels=[m.AdmissionLevel(slice_id=5, class_mask=3, fraction=0.25, retry_mode=2)],
        checkpoint_id=19,
    ),
    m.CheckpointReply(checkpoint_id=19),
    m.UsageReport(
        interval_s=0.5,
        servers=[
            m.ServerUsage(
                server_id=11,
                attempts=9,
                failed_attempts=2,
                success_latency_total_s=1.75,
                load_values=[3.0, 0.5],
            )
        ],
        slices=[m.SliceUsage(slice_id=5, class_index=1, requests=8, unanswered=3)],
    ),
    OWNERSHIP,
    m.SliceOwnerships(ownerships=[OWNERSHIP, m.SliceOwnership(slice_id=6, fencing_token=42, owner_id=-1)]),
    m.OwnershipRevoked(slice_id=5, fencing_token=43),
    m.WriteRequest(batch=17, weights=[WEIGHT]),
    m.WriteRejected(batch=17, slice_id=5, reason="token 40 is not the present 41"),
    m.ReadRequest(since_revision=12, store_id="0123456789abcdef"),
    m.ReadRequest(since_revision=-1, store_id=""),
    m.ReadComplete(slice_count=2, revision=12, store_id="0123456789abcdef"),
    m.AssignerMembership(assigner_ids=[0, 2]),
    m.WriteAcknowledged(batch=17, revision=13),
    m.MigrateSlices(slice_ids=[5, 6], assigner_id=1, operator="operator-1"),
    m.BackupRequest(name="monday"),
    COMMAND,
    m.ZoneCommands(commands=[COMMAND, m.ZoneCommand(zone=0, operation="return")]),
    m.ZoneStatusRequest(),
    m.ZoneStatusReport(
        assigner_id=2,
        zone_plan_enabled=True,
        zones=[
            m.ZoneStatus(
                zone=1,
                phase="lost",
                cause="list",
                available_fraction=0.125,
                min_capacity_fraction=0.25,
                max_capacity_fraction=0.5,
                hold_remaining_s=3.0,
                flap_count=2,
                spillover=[(0, 0.625)],
                unplaced_fraction=0.375,
            )
        ],
    ),
    m.VersionDigest(
        versions=[m.ReplicaVersion(origin_id=2, incarnation=1048577, sequence=30, compacted_sequence=4)],
        request_missing=False,
    ),
    m.ReplicationDelta(
        origin_id=2,
        incarnation=1048577,
        after_sequence=20,
        through_sequence=25,
        latest_sequence=30,
        compacted_sequence=4,
        rows=[
            m.ReplicatedRow(
                row_type="table",
                row_id=5,
                sequence=22,
                age_s=0.5,
                value=(41.0, 17.0, 11.0, 0.75, "127.0.0.1:9001", 1.0),
            )
        ],
        deletions=[("server", 12, 24)],
    ),
    m.RestoreFromReplicas(operator="operator-1"),
    m.ReplicaRequest(tables_only=False),
    m.WatchRequest(enabled=True, since_version=32),
    m.SnapshotRequest(),
    m.WatchEvent(update_type="delta", version=33, servers=ENDPOINTS),
    m.ClientRequest(request_id=51, class_index=1, key=KEY, remaining_s=2.5, work_s=0.125),
    m.ClientResponse(request_id=51, status=2, retry_after_s=0.75, may_have_executed=False),
    m.AttemptRequest(
        attempt_id=61,
        request_id=51,
        proxy_id=3,
        slice_id=5,
        class_index=1,
        key=KEY,
        attempt_number=2,
        remaining_s=1.5,
        work_s=0.125,
    ),
    m.AttemptResponse(attempt_id=61, status=1, load_values=[3.0, 0.5]),
    m.CancelAttempt(attempt_id=61),
    m.HealthCheckRequest(check_id=71),
    m.HealthCheckResponse(check_id=71, status=2, load_values=[4.0]),
    m.EmulatorCommand(operation="hang", arguments={"servers": [1, 2], "value": 2.0, "name": "b", "count": 3}),
    m.CommandCompleted(note="monday: revision 12"),
]
STATES = (
    StoredSlice(
        slice_id=5,
        owner_id=2,
        fencing_token=41,
        batch=17,
        entries=ENTRIES,
        home_override=1,
        tenure_token=40,
        incarnation=7,
    ),
    StoredSlice(slice_id=6, owner_id=-1, fencing_token=42, batch=0, entries=[]),
)
CHANGED_STATE = StoredSlice(
    slice_id=6,
    owner_id=1,
    fencing_token=43,
    batch=3,
    entries=[m.TableEntry(13, 1.0)],
    home_override=-1,
    tenure_token=43,
    incarnation=8,
)
COMMITS = [Commit(1, 42, STATES, (COMMAND,)), Commit(2, 43, (CHANGED_STATE,))]


def message_lines() -> list[bytes]:
    return (DATA / "messages.jsonl").read_bytes().splitlines()


def test_recorded_messages_cover_every_message_type() -> None:
    recorded = {json.loads(line)["t"] for line in message_lines()}
    assert recorded == {message_type.__struct_config__.tag for message_type in m.AnyMessage.__args__}
    assert len(message_lines()) == len(EXPECTED_MESSAGES)


@pytest.mark.parametrize(("line", "expected"), list(zip(message_lines(), EXPECTED_MESSAGES, strict=True)))
def test_recorded_message_decodes_and_encodes_to_the_same_bytes(line: bytes, expected: m.Message) -> None:
    decoded = decode(line)
    assert decoded == expected
    assert type(decoded) is type(expected)
    assert encode(expected) == line


def check_snapshot(snapshot: StoreSnapshot) -> None:
    assert (snapshot.revision, snapshot.highest_token) == (2, 43)
    assert snapshot.slices == {5: STATES[0], 6: CHANGED_STATE}
    assert snapshot.slice_revisions == {5: 1, 6: 2}
    assert snapshot.zone_commands == {1: COMMAND}


def sqlite_rows(path: Path) -> dict[str, list[Any]]:
    with apsw.Connection(str(path)) as connection:
        tables = ("sqlite_master", "meta", "slice", "hand")
        rows = {table: list(connection.execute(f"select * from {table} order by 1, 2")) for table in tables}
    connection.close()
    rows["meta"] = [row for row in rows["meta"] if row[0] != "identity"]  # Each file has a random identity.
    rows["sqlite_master"] = [row[-1] for row in rows["sqlite_master"]]
    return rows


def test_recorded_sqlite_file_loads_and_same_commits_write_the_same_rows(tmp_path: Path) -> None:
    recorded, written = tmp_path / "recorded.db", tmp_path / "written.db"
    shutil.copy(DATA / "store.db", recorded)
    engine = SqliteEngine(str(recorded))
    assert engine.problems() == []
    snapshot = engine.load()
    check_snapshot(snapshot)
    assert snapshot.store_id == "c73e027193575cf1"
    engine.close()
    engine = SqliteEngine(str(written))
    for commit in COMMITS:
        engine.commit(commit)
    engine.close()
    assert sqlite_rows(written) == sqlite_rows(recorded)


@pytest.fixture
def etcd() -> Iterator[Etcd]:
    emulator = Etcd(lambda: 0.0)
    emulator.port = emulator.serve()  # type: ignore[attr-defined]
    yield emulator
    emulator.stop()


def etcd_engine(etcd: Etcd) -> EtcdEngine:
    return EtcdEngine([f"127.0.0.1:{etcd.port}"], "t")  # type: ignore[attr-defined]


def recorded_keys(name: str) -> dict[bytes, bytes]:
    rows = [json.loads(line) for line in (DATA / name).read_text().splitlines()]
    return {row["key"].encode(): base64.b64decode(row["value"]) for row in rows}


def put_recorded(etcd: Etcd, name: str) -> None:
    for key, value in recorded_keys(name).items():
        etcd.keys[key] = pb.KeyValue(key=key, value=value, create_revision=1, mod_revision=1, version=1)


def without_identity(keys: dict[bytes, bytes]) -> dict[bytes, Any]:
    meta = json.loads(keys[b"/puffintide/t/meta"])
    assert len(meta.pop("identity")) == 16
    return keys | {b"/puffintide/t/meta": meta}


def written_keys(etcd: Etcd) -> dict[bytes, bytes]:
    return {key: pair.value for key, pair in etcd.keys.items() if not key.endswith(b"holder")}


def test_recorded_etcd_keys_load_and_same_commits_write_the_same_keys(etcd: Etcd) -> None:
    put_recorded(etcd, "etcd.jsonl")
    engine = etcd_engine(etcd)
    check_snapshot(engine.load())
    engine.close()
    etcd.keys.clear()
    engine = etcd_engine(etcd)
    engine.load()
    for commit in COMMITS:
        engine.commit(commit)
    engine.close()
    assert without_identity(written_keys(etcd)) == without_identity(recorded_keys("etcd.jsonl"))


def test_recorded_staged_etcd_commit_loads_and_same_commit_writes_the_same_keys(etcd: Etcd) -> None:
    states = tuple(
        StoredSlice(
            slice_id=n,
            owner_id=0,
            fencing_token=50 + n,
            batch=n,
            entries=[m.TableEntry(n, 1.0, "127.0.0.1:9000")],
            tenure_token=50,
        )
        for n in range(105)
    )
    staged = Commit(2, 160, states, (m.ZoneCommand(zone=0, operation="return", sequence=7),))
    put_recorded(etcd, "etcd-staged.jsonl")
    engine = etcd_engine(etcd)
    snapshot = engine.load()
    engine.close()
    assert (snapshot.revision, snapshot.highest_token) == (2, 160)
    assert snapshot.slices == {state.slice_id: state for state in states}
    assert snapshot.slice_revisions == dict.fromkeys(range(105), 2)
    assert snapshot.zone_commands == {0: staged.zone_commands[0], 1: COMMAND}
    etcd.keys.clear()
    engine = etcd_engine(etcd)
    engine.load()
    engine.commit(COMMITS[0])
    engine.commit(staged)
    engine.close()
    assert without_identity(written_keys(etcd)) == without_identity(recorded_keys("etcd-staged.jsonl"))


def test_recorded_endpoint_list_loads_and_is_saved_as_the_same_bytes(tmp_path: Path) -> None:
    recorded = DATA / "endpoint-list.json"
    saved_at_s = 1764500000.5
    assert load_cache(str(recorded), saved_at_s) == m.WatchEvent("cached", 33, ENDPOINTS)
    aged = load_cache(str(recorded), saved_at_s + 10.0).servers
    assert [endpoint.age_s for endpoint in aged] == [22.25, -1.0, 13.0]
    written = tmp_path / "list"
    save_cache(str(written), saved_at_s, m.WatchEvent("full", 33, ENDPOINTS))
    assert written.read_bytes() == recorded.read_bytes()


def test_recorded_proxy_state_loads_and_is_saved_as_the_same_bytes(tmp_path: Path) -> None:
    recorded = DATA / "proxy-state.json"
    saved = load_state(str(recorded))
    written = tmp_path / "state"
    save_state(str(written), saved)
    assert written.read_bytes() == recorded.read_bytes()
    assert msgspec.json.encode(saved) == recorded.read_bytes()
    tables = WeightTables(8, 1, "p2c", lambda: 0.5)
    restore_state(tables, saved)
    save_state(str(written), capture_state(tables, 1764500001.5))
    assert written.read_bytes() == recorded.read_bytes()


def nested_values(value: Any) -> Any:
    """Return a decoded message as nested lists of its values, in the order of its fields."""
    if isinstance(value, msgspec.Struct):
        return [nested_values(field) for field in msgspec.structs.astuple(value)]
    if isinstance(value, list | tuple):
        return [nested_values(item) for item in value]
    return value


def test_recorded_platform_messages_decode_to_the_recorded_values() -> None:
    names = SettingsNames(["a", "b"], ["status", "start"], ["m1", "m2"], ["rif", "busy"])
    decoders: dict[str, Callable[[bytes], Any]] = {
        "collector": decode_client_message,
        "relay": decode_relay_message,
        "list": lambda text: decode_endpoint_list(text, names, HostRegistry(), 1764500002500.0),
    }
    rows = [json.loads(line) for line in (DATA / "platform.jsonl").read_text().splitlines()]
    assert [row["reader"] for row in rows] == ["collector"] * 4 + ["relay"] * 6 + ["list"]
    for row in rows:
        assert nested_values(decoders[row["reader"]](row["text"].encode())) == row["values"], row["text"]

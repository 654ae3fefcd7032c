"""Tests of the store in its own process: kills, reads, stale copies, operator commands and resent writes."""

from __future__ import annotations

import contextlib
import shutil
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from puffintide.protocol import messages as m
from puffintide.store.ownership import OwnershipLedger
from tests.commands import run_command
from tests.peers import PORTS, AssignerHarness, PeerConnection, charges, dial, process, servers

pytestmark = pytest.mark.processes

ASSIGNER_SLICES = 4  # Number of slices that each of the two assigners owns.


class FileStore:
    """File-backed store that can be restarted, with helpers that connect peers to it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.port = PORTS.take()
        self.file = folder / "kept.db"

    @contextlib.contextmanager
    def running(self) -> Iterator[Any]:
        section = {
            "listen": f"127.0.0.1:{self.port}",
            "file": str(self.file),
            "backups": str(self.folder),
            "log": str(self.folder / "store.log"),
        }
        with process(self.folder, "store", section) as started:
            yield started

    def connect_assigner(
        self, assigner_id: int = 0, highest_token: int = 0, incarnation: int = 1
    ) -> tuple[PeerConnection, dict[int, m.SliceOwnership]]:
        """Connect an assigner, and return its connection and the slices that it owns."""
        hello = m.Hello(
            m.PROTOCOL_VERSION,
            "assigner",
            assigner_id,
            0,
            "t",
            incarnation=incarnation,
            highest_token=highest_token,
        )
        connection = dial(self.port, hello)
        owned: dict[int, m.SliceOwnership] = {}
        while len(owned) < ASSIGNER_SLICES:
            message = connection.wait_for(lambda x: isinstance(x, m.SliceOwnerships))
            owned |= {o.slice_id: o for o in message.ownerships if o.owner_id == assigner_id}
        return connection, owned

    def read(
        self, since_revision: int = -1, store_id: str = ""
    ) -> tuple[dict[int, m.SliceOwnership], m.ReadComplete]:
        """Read the store as a proxy does."""
        connection = dial(self.port, m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t"))
        connection.wait_for(lambda x: isinstance(x, m.Welcome))
        connection.send(m.ReadRequest(since_revision, store_id))
        ownerships: dict[int, m.SliceOwnership] = {}
        while True:
            message = connection.wait_for(lambda x: isinstance(x, m.SliceOwnerships | m.ReadComplete))
            if isinstance(message, m.ReadComplete):
                connection.close()
                return ownerships, message
            ownerships |= {o.slice_id: o for o in message.ownerships}

    def operator_config(self) -> list[str]:
        """Return the command line arguments that point an operator command to the store."""
        path = self.folder / "operator.ini"
        path.write_text(
            "[deployment]\nname = t\nzones = a, b\nproxies = 3\nslices = 8\nassigners = 2\n"
            f"[class read]\naim_s = 1\ndeadline_s = 4\n[operator]\nstore = 127.0.0.1:{self.port}\n"
        )
        return ["--config", str(path)]


@pytest.fixture
def file_store(tmp_path: Path) -> FileStore:
    return FileStore(tmp_path)


def batch_server(batch: int) -> int:
    """Return the server whose weight a batch sets. The server's address identifies the batch."""
    return batch % 50


def batch_address(batch: int) -> str:
    return f"127.0.0.1:{9000 + batch % 1000}"


def write(connection: PeerConnection, owned: dict[int, m.SliceOwnership], batch: int) -> None:
    weights = [
        m.WeightEntry(slice_id, batch_server(batch), 1.0, ownership.fencing_token, batch_address(batch))
        for slice_id, ownership in sorted(owned.items())
    ]
    connection.send(m.WriteRequest(batch, weights))


def acknowledged_batch(message: Any, otherwise: int) -> int:
    return message.batch if isinstance(message, m.WriteAcknowledged) else otherwise


def test_killing_the_store_loses_no_acknowledged_write(file_store: FileStore) -> None:
    batch = 0
    for pause_s in (0.0, 0.003, 0.011, 0.05):
        with file_store.running() as running:
            connection, owned = file_store.connect_assigner(incarnation=batch)
            acknowledged = first = batch
            end = time.monotonic() + 0.4 + pause_s
            while time.monotonic() < end:
                batch += 1
                write(connection, owned, batch)
                while not connection.received.empty():
                    acknowledged = acknowledged_batch(connection.read(), acknowledged)
            running.kill()
            with contextlib.suppress(TimeoutError):
                while (message := connection.read(2.0)) is not None:
                    acknowledged = acknowledged_batch(message, acknowledged)
        assert acknowledged > first
        with file_store.running():
            stored, _ = file_store.read()
        for slice_id in owned:
            last = stored[slice_id].batch
            assert acknowledged <= last <= batch
            expected = {batch_server(b): batch_address(b) for b in range(first + 1, last + 1)}
            addresses = {entry.server_id: entry.address for entry in stored[slice_id].entries}
            assert expected.items() <= addresses.items()


def test_read_continues_from_a_known_revision_of_the_same_store_only(file_store: FileStore) -> None:
    with file_store.running():
        connection, owned = file_store.connect_assigner()
        all_slices, end = file_store.read()
        assert set(all_slices) == set(owned)  # The other slices have had no owner yet.
        write(connection, {0: owned[0]}, 1)
        connection.wait_for(lambda x: isinstance(x, m.WriteAcknowledged))
        changed, later = file_store.read(end.revision, end.store_id)
        assert set(changed) == {0}
        assert later.revision > end.revision
        of_another_store = (end.revision, "another")
        from_the_future = (later.revision + 100, end.store_id)
        for since_revision, store_id in (of_another_store, from_the_future):
            assert set(file_store.read(since_revision, store_id)[0]) == set(owned)


def test_old_copy_of_a_store_file_is_detected_and_its_tokens_are_superseded(
    file_store: FileStore, tmp_path: Path
) -> None:
    with file_store.running():
        file_store.connect_assigner()
    shutil.copy(file_store.file, tmp_path / "old")
    with file_store.running():
        connection, owned = file_store.connect_assigner(incarnation=2)
        write(connection, owned, 5)
        connection.wait_for(lambda x: isinstance(x, m.WriteAcknowledged))
    highest_token = max(ownership.fencing_token for ownership in owned.values())
    for path in tmp_path.glob("kept.db*"):
        path.unlink()
    shutil.copy(tmp_path / "old", file_store.file)
    with file_store.running():
        _, reissued_grants = file_store.connect_assigner(highest_token=highest_token, incarnation=2)
        assert min(ownership.fencing_token for ownership in reissued_grants.values()) > highest_token
    assert "stale_store_detected" in (tmp_path / "store.log").read_text()


def test_operator_migrates_slices_and_writes_backups(file_store: FileStore, tmp_path: Path) -> None:
    with file_store.running():
        config = file_store.operator_config()
        file_store.connect_assigner(0)
        other, _ = file_store.connect_assigner(1)
        assert run_command("charge", "move", "0,2-4", "1", *config).returncode == 0
        migrated: set[int] = set()
        while not {0, 2, 4} <= migrated:
            message = other.wait_for(lambda x: isinstance(x, m.SliceOwnerships))
            migrated |= {ownership.slice_id for ownership in message.ownerships}
        shown = run_command("charge", "show", *config).stdout
        assert "0-5, 7" in shown, shown
        assert "slice 99 is not from 0 to 7" in run_command("charge", "move", "99", "1", *config).stderr
        backup = run_command("store", "backup", "monday", *config)
        assert backup.returncode == 0, backup.stderr
        assert "revision" in backup.stdout, backup.stderr
        for name in ("monday", "../monday", ".x"):
            assert run_command("store", "backup", name, *config).returncode == 2
    assert run_command("store", "verify", str(tmp_path / "monday")).returncode == 0
    with file_store.running():  # The migration is durable.
        stored, _ = file_store.read()
        assert {slice_id for slice_id, o in stored.items() if o.owner_id == 0} == {6}


def reissued(ownerships: list[m.SliceOwnership], token_increment: int) -> m.SliceOwnerships:
    """Return the same ownerships with later fencing tokens."""
    return m.SliceOwnerships(
        [
            msgspec.structs.replace(ownership, fencing_token=ownership.fencing_token + token_increment)
            for ownership in ownerships
        ]
    )


def apply_write(ownerships: list[m.SliceOwnership], write: m.WriteRequest) -> list[m.SliceOwnership]:
    """Return the ownerships with the tables that a store has after a write."""
    ledger = OwnershipLedger(8, 1, 1.0, False)
    ledger.load_tables({ownership.slice_id: ownership.entries for ownership in ownerships})
    for record in ledger.slices.values():
        record.owner_id = 0
        record.fencing_token = 0
    ledger.write(0, [msgspec.structs.replace(weight, fencing_token=0) for weight in write.weights])
    return [
        msgspec.structs.replace(ownership, entries=[*ledger.slices[ownership.slice_id].entries.values()])
        for ownership in ownerships
    ]


def test_assigner_resends_writes_that_were_not_acknowledged(tmp_path: Path) -> None:
    harness = AssignerHarness(tmp_path)
    with harness.assigner():
        store, endpoint_list = harness.store.accept("store"), harness.list.accept("list")
        endpoint_list.wait_for(lambda x: isinstance(x, m.WatchRequest))
        endpoint_list.send(m.WatchEvent("full", 1, servers(1, 1, 1)))
        proxy = harness.proxy(0)
        granted = [
            m.SliceOwnership(o.slice_id, o.fencing_token, 0, o.entries, 0, o.fencing_token)
            for o in charges().ownerships
        ]
        store.send(m.SliceOwnerships(granted))
        time.sleep(0.5)
        # Server 0 drains, so all slices leave it.
        endpoint_list.send(m.WatchEvent("delta", 2, servers(2)[:1]))
        lost = store.wait_for(lambda x: isinstance(x, m.WriteRequest))  # This write is never acknowledged.
        proxy.wait_for(lambda x: isinstance(x, m.ProxyUpdate))
        store.close()
        store = harness.store.accept("store")
        store.send(reissued(granted, 100))
        resent = store.wait_for(lambda x: isinstance(x, m.WriteRequest))
        assert {(x.slice_id, x.server_id, x.weight, x.fencing_token) for x in resent.weights} >= {
            (x.slice_id, x.server_id, x.weight, x.fencing_token + 100) for x in lost.weights
        }
        store.send(m.WriteAcknowledged(resent.batch + 1000, 1))
        store.send(reissued(apply_write(granted, resent), 200))
        with pytest.raises(TimeoutError):  # Durable weights are not written again.
            store.wait_for(lambda x: isinstance(x, m.WriteRequest) and bool(x.weights), 1.0)

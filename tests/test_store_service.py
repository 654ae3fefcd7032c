"""The store in a process of its own: kills, reads, stale copies, operators' commands, and resent writes."""

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

ASSIGNER_SLICES = 4  # that each of the two assigners owns


class StoreSetting:
    """A store on a file, which can be started again and again, and peers of it."""

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
        """The assigner's connection and what it owns."""
        hello = m.Hello(
            m.PROTOCOL_VERSION,
            "assigner",
            assigner_id,
            0,
            "t",
            incarnation=incarnation,
            highest_token=highest_token,
        )
        line = dial(self.port, hello)
        owned: dict[int, m.SliceOwnership] = {}
        while len(owned) < ASSIGNER_SLICES:
            message = line.wait_for(lambda x: isinstance(x, m.SliceOwnerships))
            owned |= {o.slice_id: o for o in message.ownerships if o.owner_id == assigner_id}
        return line, owned

    def read(
        self, since_revision: int = -1, store_id: str = ""
    ) -> tuple[dict[int, m.SliceOwnership], m.ReadComplete]:
        """A proxy's read of the store."""
        line = dial(self.port, m.Hello(m.PROTOCOL_VERSION, "proxy", 0, 0, "t"))
        line.wait_for(lambda x: isinstance(x, m.Welcome))
        line.send(m.ReadRequest(since_revision, store_id))
        ownerships: dict[int, m.SliceOwnership] = {}
        while True:
            message = line.wait_for(lambda x: isinstance(x, m.SliceOwnerships | m.ReadComplete))
            if isinstance(message, m.ReadComplete):
                line.close()
                return ownerships, message
            ownerships |= {o.slice_id: o for o in message.ownerships}

    def operator_config(self) -> list[str]:
        """Command line arguments that name the store to an operator's command."""
        path = self.folder / "operator.ini"
        path.write_text(
            "[deployment]\nname = t\nzones = a, b\nproxies = 3\nslices = 8\nassigners = 2\n"
            f"[class read]\naim_s = 1\ndeadline_s = 4\n[operator]\nstore = 127.0.0.1:{self.port}\n"
        )
        return ["--config", str(path)]


@pytest.fixture
def setting(tmp_path: Path) -> StoreSetting:
    return StoreSetting(tmp_path)


def batch_server(batch: int) -> int:
    """The server whose weight a batch sets; its address tells the batch."""
    return batch % 50


def batch_address(batch: int) -> str:
    return f"127.0.0.1:{9000 + batch % 1000}"


def write(line: PeerConnection, owned: dict[int, m.SliceOwnership], batch: int) -> None:
    weights = [
        m.WeightEntry(slice_id, batch_server(batch), 1.0, ownership.fencing_token, batch_address(batch))
        for slice_id, ownership in sorted(owned.items())
    ]
    line.send(m.WriteRequest(batch, weights))


def acknowledged_batch(message: Any, otherwise: int) -> int:
    return message.batch if isinstance(message, m.WriteAcknowledged) else otherwise


def test_no_kill_loses_an_acknowledged_write(setting: StoreSetting) -> None:
    batch = 0
    for pause_s in (0.0, 0.003, 0.011, 0.05):
        with setting.running() as running:
            line, owned = setting.connect_assigner(incarnation=batch)
            acknowledged = first = batch
            end = time.monotonic() + 0.4 + pause_s
            while time.monotonic() < end:
                batch += 1
                write(line, owned, batch)
                while not line.received.empty():
                    acknowledged = acknowledged_batch(line.read(), acknowledged)
            running.kill()
            with contextlib.suppress(TimeoutError):
                while (message := line.read(2.0)) is not None:
                    acknowledged = acknowledged_batch(message, acknowledged)
        assert acknowledged > first
        with setting.running():
            stored, _ = setting.read()
        for slice_id in owned:
            last = stored[slice_id].batch
            assert acknowledged <= last <= batch
            expected = {batch_server(b): batch_address(b) for b in range(first + 1, last + 1)}
            addresses = {entry.server_id: entry.address for entry in stored[slice_id].entries}
            assert expected.items() <= addresses.items()


def test_read_continues_from_a_known_revision_of_the_same_store_only(setting: StoreSetting) -> None:
    with setting.running():
        line, owned = setting.connect_assigner()
        everything, end = setting.read()
        assert set(everything) == set(owned)  # nobody has owned the others yet
        write(line, {0: owned[0]}, 1)
        line.wait_for(lambda x: isinstance(x, m.WriteAcknowledged))
        changed, later = setting.read(end.revision, end.store_id)
        assert set(changed) == {0}
        assert later.revision > end.revision
        of_another_store = (end.revision, "another")
        from_the_future = (later.revision + 100, end.store_id)
        for since_revision, store_id in (of_another_store, from_the_future):
            assert set(setting.read(since_revision, store_id)[0]) == set(owned)


def test_old_copy_in_place_of_a_store_is_detected_and_its_tokens_are_superseded(
    setting: StoreSetting, tmp_path: Path
) -> None:
    with setting.running():
        setting.connect_assigner()
    shutil.copy(setting.file, tmp_path / "old")
    with setting.running():
        line, owned = setting.connect_assigner(incarnation=2)
        write(line, owned, 5)
        line.wait_for(lambda x: isinstance(x, m.WriteAcknowledged))
    highest_token = max(ownership.fencing_token for ownership in owned.values())
    for path in tmp_path.glob("kept.db*"):
        path.unlink()
    shutil.copy(tmp_path / "old", setting.file)
    with setting.running():
        _, again = setting.connect_assigner(highest_token=highest_token, incarnation=2)
        assert min(ownership.fencing_token for ownership in again.values()) > highest_token
    assert "stale_store_detected" in (tmp_path / "store.log").read_text()


def test_operator_migrates_slices_and_writes_backups(setting: StoreSetting, tmp_path: Path) -> None:
    with setting.running():
        config = setting.operator_config()
        setting.connect_assigner(0)
        other, _ = setting.connect_assigner(1)
        assert run_command("charge", "move", "0,2-4", "1", *config).returncode == 0
        migrated: set[int] = set()
        while not {0, 2, 4} <= migrated:
            message = other.wait_for(lambda x: isinstance(x, m.SliceOwnerships))
            migrated |= {ownership.slice_id for ownership in message.ownerships}
        shown = run_command("charge", "show", *config).stdout
        assert "0-5, 7" in shown, shown
        assert "slice 99 is not among the 8" in run_command("charge", "move", "99", "1", *config).stderr
        backup = run_command("store", "backup", "monday", *config)
        assert backup.returncode == 0, backup.stderr
        assert "revision" in backup.stdout, backup.stderr
        for name in ("monday", "../monday", ".x"):
            assert run_command("store", "backup", name, *config).returncode == 2
    assert run_command("store", "verify", str(tmp_path / "monday")).returncode == 0
    with setting.running():  # the migration is durable
        stored, _ = setting.read()
        assert {slice_id for slice_id, o in stored.items() if o.owner_id == 0} == {6}


def reissued(ownerships: list[m.SliceOwnership], token_increment: int) -> m.SliceOwnerships:
    """The same ownerships under later tokens."""
    return m.SliceOwnerships(
        [
            msgspec.structs.replace(ownership, fencing_token=ownership.fencing_token + token_increment)
            for ownership in ownerships
        ]
    )


def apply_write(ownerships: list[m.SliceOwnership], write: m.WriteRequest) -> list[m.SliceOwnership]:
    """The ownerships with the tables that a store has after a write."""
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
        endpoint_list.send(m.WatchEvent("delta", 2, servers(2)[:1]))  # server 0 drains: all slices leave it
        lost = store.wait_for(lambda x: isinstance(x, m.WriteRequest))  # and is never acknowledged
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
        with pytest.raises(TimeoutError):  # what is durable is not written again
            store.wait_for(lambda x: isinstance(x, m.WriteRequest) and bool(x.weights), 1.0)

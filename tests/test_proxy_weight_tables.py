"""Tests of weight tables and of the state file."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from puffintide.protocol import messages as m
from puffintide.proxy.state import StateError, capture_state, load_state, restore_state, save_state
from puffintide.proxy.weight_tables import WeightTables
from tests.proxy_engines import (
    create_engine,
    start_request,
)


def test_tables_are_restored_from_state_file_and_damaged_file_is_rejected(tmp_path: Path) -> None:
    engine = create_engine()
    engine.on_proxy_update(
        1.0,
        0,
        m.ProxyUpdate(
            1,
            0.0,
            1.0,
            withdrawn_servers=[2],
            admission_levels=[m.AdmissionLevel(0xFFFF, 1, 0.5, 1), m.AdmissionLevel(2, 2, 0.25, 3)],
        ),
    )
    path = str(tmp_path / "tables.json")
    save_state(path, capture_state(engine.tables, 5.0))
    restored = WeightTables(4, 0, "rotate", lambda: 0.5)
    restore_state(restored, load_state(path))
    for slice_id in range(4):
        assert restored.available_weights(slice_id) == engine.tables.available_weights(slice_id)
        for class_index in range(3):
            assert restored.admission_fraction(slice_id, class_index) == engine.tables.admission_fraction(
                slice_id, class_index
            )
            assert restored.retry_mode(slice_id, class_index) == engine.tables.retry_mode(
                slice_id, class_index
            )
    assert restored.addresses == engine.tables.addresses
    assert restored.zones == engine.tables.zones
    data = Path(path).read_bytes()
    for damaged_data in (data[:-20], b"", b"{}", data.replace(b'"format":1', b'"format":9')):
        Path(path).write_bytes(damaged_data)
        with pytest.raises(StateError, match=r"tables\.json"):
            load_state(path)
    with pytest.raises(StateError, match=r"tables\.jsonx: file does not exist"):
        load_state(path + "x")
    assert msgspec.json.encode(capture_state(engine.tables, 5.0)) == data


def test_single_writer_weight_replaces_table() -> None:
    engine = create_engine(servers=1, single_writer=True)
    engine.on_proxy_update(
        1.0, 0, m.ProxyUpdate(1, 0.0, 1.0, weights=[m.WeightEntry(0, 5, 1.0, 1, "127.0.0.1:5")])
    )
    assert engine.tables.available_weights(0) == {5: 1.0}
    assert {start_request(engine, 1.2, handle=k).server_id for k in range(5)} == {5}


def test_store_table_older_than_update_is_ignored_and_newer_one_applies() -> None:
    tables = create_engine(servers=1).tables
    older_ownership = m.SliceOwnership(0, 1, 0, [m.TableEntry(0, 1.0, "127.0.0.1:0")], 4)
    tables.apply_update(
        0,
        m.ProxyUpdate(
            5, 0.0, 1.0, weights=[m.WeightEntry(0, 1, 1.0, 1, "127.0.0.1:1"), m.WeightEntry(0, 0, 0.0, 1)]
        ),
    )
    tables.apply_ownership(older_ownership)
    assert tables.available_weights(0) == {1: 1.0}
    tables.apply_ownership(m.SliceOwnership(0, 1, 0, older_ownership.entries, 6))
    assert tables.available_weights(0) == {0: 1.0}


STORED_ENTRIES = [m.TableEntry(0, 1.0, "127.0.0.1:0")]


def tables_with_cleared_slice(token: int) -> WeightTables:
    """Return tables whose slice 0, under token 1 of assigner 0, was cleared by assigner 1 under a token."""
    tables = create_engine(servers=1, single_writer=True).tables
    tables.apply_update(1, m.ProxyUpdate(3, 0.0, 1.0, cleared_slices=[0], cleared_tokens=[token]))
    return tables


# Guards against a proxy that acknowledges a migration and is then sent the former server by the store.
def test_ownership_received_after_its_slice_was_cleared_does_not_restore_the_weights() -> None:
    tables = tables_with_cleared_slice(7)
    tables.apply_ownership(m.SliceOwnership(0, 7, 1, STORED_ENTRIES, 0, 7))
    assert tables.available_weights(0) == {}
    assert tables.owner_of(0) == 1
    # What the store has committed since replaces the cleared table.
    tables.apply_ownership(m.SliceOwnership(0, 7, 1, STORED_ENTRIES, 3, 7))
    assert tables.available_weights(0) == {0: 1.0}


# Guards against a slice that a former owner empties for good.
def test_clear_with_an_old_token_is_ignored() -> None:
    tables = tables_with_cleared_slice(0)
    assert tables.available_weights(0) == {0: 1.0}
    assert tables.stale_entries_dropped == 1


def test_clear_without_a_token_is_accepted_from_the_known_owner_alone() -> None:
    tables = create_engine(servers=1, single_writer=True).tables
    tables.apply_update(1, m.ProxyUpdate(3, 0.0, 1.0, cleared_slices=[0]))
    assert tables.available_weights(0) == {0: 1.0}
    tables.apply_update(0, m.ProxyUpdate(3, 0.0, 1.0, cleared_slices=[0]))
    assert tables.available_weights(0) == {}

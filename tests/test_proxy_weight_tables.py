"""Weight tables and the state file."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from puffintide.protocol import messages as m
from puffintide.proxy.state import StateError, capture_state, load_state, restore_state, save_state
from puffintide.proxy.weight_tables import WeightTables
from tests.proxy_engines import (
    engine,
    start,
)


def test_tables_are_restored_from_the_state_file_and_a_damaged_one_is_an_error(tmp_path: Path) -> None:
    e = engine()
    e.on_proxy_update(
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
    save_state(path, capture_state(e.tables, 5.0))
    again = WeightTables(4, 0, "rotate", lambda: 0.5)
    restore_state(again, load_state(path))
    for number in range(4):
        assert again.available_weights(number) == e.tables.available_weights(number)
        for kind in range(3):
            assert again.admission_fraction(number, kind) == e.tables.admission_fraction(number, kind)
            assert again.retry_mode(number, kind) == e.tables.retry_mode(number, kind)
    assert again.addresses == e.tables.addresses
    assert again.zones == e.tables.zones
    data = Path(path).read_bytes()
    for bad in (data[:-20], b"", b"{}", data.replace(b'"format":1', b'"format":9')):
        Path(path).write_bytes(bad)
        with pytest.raises(StateError, match=r"tables\.json"):
            load_state(path)
    with pytest.raises(StateError, match=r"tables\.jsonx: file does not exist"):
        load_state(path + "x")
    assert msgspec.json.encode(capture_state(e.tables, 5.0)) == data


def test_with_a_single_writer_a_new_weight_replaces_the_table() -> None:
    e = engine(servers=1, single_writer=True)
    e.on_proxy_update(
        1.0, 0, m.ProxyUpdate(1, 0.0, 1.0, weights=[m.WeightEntry(0, 5, 1.0, 1, "127.0.0.1:5")])
    )
    assert e.tables.available_weights(0) == {5: 1.0}
    assert {start(e, 1.2, handle=k).server_id for k in range(5)} == {5}


def test_an_older_reading_of_the_store_undoes_no_update_and_a_newer_one_applies() -> None:
    tables = engine(servers=1).tables
    old = m.SliceOwnership(0, 1, 0, [m.TableEntry(0, 1.0, "127.0.0.1:0")], 4)
    tables.apply_update(
        0,
        m.ProxyUpdate(
            5, 0.0, 1.0, weights=[m.WeightEntry(0, 1, 1.0, 1, "127.0.0.1:1"), m.WeightEntry(0, 0, 0.0, 1)]
        ),
    )
    tables.apply_ownership(old)
    assert tables.available_weights(0) == {1: 1.0}
    tables.apply_ownership(m.SliceOwnership(0, 1, 0, old.entries, 6))
    assert tables.available_weights(0) == {0: 1.0}

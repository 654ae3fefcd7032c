"""The state file: the last received tables.

A proxy loads them at its start, so that it can serve while assigners and store are unreachable.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from puffintide.files import replace_file
from puffintide.protocol.messages import AdmissionLevel, ProxyUpdate, SliceOwnership, TableEntry
from puffintide.proxy.errors import ProxyError
from puffintide.proxy.retry_policy import UNKNOWN_ZONE
from puffintide.proxy.weight_tables import WeightTables

FORMAT_VERSION = 1


class StateError(ProxyError):
    """The state file can't be used; the proxy then starts with empty tables and reads the store."""


class SavedState(
    msgspec.Struct,
    frozen=True,
    rename={
        "format_version": "format",
        "saved_at_s": "at",
        "ownerships": "charges",
        "withdrawn_servers": "withdrawn",
        "admission_levels": "levels",
    },
):
    """The contents of the state file."""

    format_version: int
    saved_at_s: float  # Seconds since the Unix epoch.
    ownerships: list[SliceOwnership]
    withdrawn_servers: dict[int, list[int]]  # Keyed by assigner id.
    # Pairs of (assigner, levels), with the levels as pairs of (slice, level).
    admission_levels: list[tuple[int, list[tuple[int, AdmissionLevel]]]]


def capture_state(tables: WeightTables, now_epoch_s: float) -> SavedState:
    """Return the contents of the state file for the current tables."""
    withdrawn = {a: sorted(servers) for a, servers in sorted(tables.withdrawn.items()) if servers}
    return SavedState(FORMAT_VERSION, now_epoch_s, _ownerships(tables), withdrawn, _admission_levels(tables))


def _ownerships(tables: WeightTables) -> list[SliceOwnership]:
    ownerships = []
    for slice_id, table in sorted(tables.slices.items()):
        entries = [
            TableEntry(
                server_id,
                weight,
                tables.addresses.get(server_id, ""),
                tables.zones.get(server_id, UNKNOWN_ZONE),
            )
            for server_id, weight in sorted(table.weights.items())
        ]
        ownerships.append(SliceOwnership(slice_id, table.fencing_token, table.owner_id, entries, table.batch))
    return ownerships


def _admission_levels(tables: WeightTables) -> list[tuple[int, list[tuple[int, AdmissionLevel]]]]:
    levels: dict[int, list[tuple[int, AdmissionLevel]]] = {}
    for (assigner_id, slice_id), by_class in sorted(tables.levels.by_slice.items()):
        for class_index, level in sorted(by_class.items()):
            single_class = AdmissionLevel(level.slice_id, 1 << class_index, level.fraction, level.retry_mode)
            levels.setdefault(assigner_id, []).append((slice_id, single_class))
    return sorted(levels.items())


def restore_state(tables: WeightTables, saved: SavedState) -> None:
    """Apply saved tables, withdrawals and admission levels."""
    for ownership in saved.ownerships:
        tables.apply_ownership(ownership)
    for assigner_id, servers in saved.withdrawn_servers.items():
        tables.withdrawn[assigner_id] = set(servers)
    for assigner_id, rows in saved.admission_levels:
        for _, level in rows:
            tables.apply_update(assigner_id, ProxyUpdate(0, 0.0, 0.0, admission_levels=[level]))


def save_state(path: str, saved: SavedState) -> None:
    """Replace the state file atomically.

    Raises:
        OSError: The file can't be written; the old file remains.
    """
    replace_file(path, msgspec.json.encode(saved))


def load_state(path: str) -> SavedState:
    """Read the state file.

    Raises:
        StateError: The file does not exist, is damaged or has another format version.
    """
    try:
        saved = msgspec.json.decode(Path(path).read_bytes(), type=SavedState)
    except FileNotFoundError as error:
        raise StateError(f"cannot load proxy state from {path}: file does not exist") from error
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StateError(f"cannot load proxy state from {path}: {error}") from error
    if saved.format_version != FORMAT_VERSION:
        raise StateError(
            f"cannot load proxy state from {path}: "
            f"unsupported format version {saved.format_version}, expected {FORMAT_VERSION}"
        )
    return saved

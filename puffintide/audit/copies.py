"""Whether live assigners hold the same tables in the end, worked out from what passed between them. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from puffintide.audit.records import Peer, Record
from puffintide.protocol import messages as m
from puffintide.replication import conflict_resolution
from puffintide.replication.replica import Replica
from puffintide.replication.row_types import RowType

AGREE_S = 5.0  # what was first told later than this before the end may still be on its way


def disagreements(
    records: Iterable[Record], dialled: Mapping[int, Peer], assigners: int, ended: Mapping[int, float]
) -> tuple[int, list[tuple[float, str, int]]]:
    """(cases, [(when it was first told, who lacks what, record)]). ended: when an assigner was last killed; what it
    had before that does not count."""
    held = {k: Replica(-1, 0, assigners) for k in range(assigners)}
    first: dict[tuple[int, object], tuple[float, int]] = {}
    last = 0.0
    for r in records:
        last = max(last, r.came)
        if (
            not r.link.startswith("peer:")
            or not isinstance(r.message, m.ReplicationDelta)
            or r.conn not in dialled
        ):
            continue
        target = int(r.link.rsplit(":", 1)[1])
        sender, taker = (target, dialled[r.conn].id) if r.to_dialler else (dialled[r.conn].id, target)
        if not 0 <= sender < assigners:
            continue
        for who, at in (
            (sender, r.came),
            (taker, r.went),
        ):  # what it tells it holds, also what is lost on the way
            if at is not None and at > ended.get(who, -1.0):
                held[who].apply(at, r.message)
        for row in r.message.rows:
            first.setdefault((row.row_id, row.value), (r.came, r.number))
    best: dict[int, dict[int, m.Value]] = {}
    for k, replica in held.items():
        for number, rows in replica.readings(last, RowType.TABLE).items():
            found = conflict_resolution.latest_table(rows)
            if found is not None:
                best.setdefault(number, {})[k] = found.value
    missing = []
    cases = 0
    for number, views in sorted(best.items()):
        newest = max(views.values())
        told, record = first.get((number, newest), (last, 0))
        for k in held:
            if told <= last - AGREE_S:
                cases += 1
                if views.get(k) != newest:
                    missing.append((told, f"assigner {k} lacks the newest table of slice {number}", record))
    return cases, missing

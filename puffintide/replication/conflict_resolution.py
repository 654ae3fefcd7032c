"""The rule for copies that differ. Pure functions of the readings alone: their order, and how often one is there,
change nothing.

Of one server: its later life outranks an earlier one whoever told it; in the same life the safer reading wins, the
lowest level. Of a figure: our own while it is fresh, else the freshest of the others, of two as fresh that of the
lower number. Of a table: the highest token, under one token the latest write.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

from puffintide.protocol.messages import Value
from puffintide.replication.replica import Reading

OWN_OBSERVATION_FRESH_S = 10.0  # an observation of our own counts before others' for so long
MAX_UNFIT_FRACTION = (
    0.3  # an origin that finds more of the fleet unfit than this is confused itself, and not believed
)


def best_figure(readings: Iterable[Reading], me: int) -> Reading | None:
    """Of the kinds that touch no rule: what was learned."""
    found = sorted(readings, key=lambda r: (r.age_s, r.origin_id, r.version, r.value))
    own = [r for r in found if r.origin_id == me and r.age_s <= OWN_OBSERVATION_FRESH_S]
    return next(iter(own or found), None)


def trusted_origins(readings: Mapping[int, Collection[Reading]], servers: int) -> set[int]:
    """The origins whose low levels count: those that find no more unfit than OUT_MOST of the listed servers."""
    low: dict[int, int] = {}
    origins: set[int] = set()
    for rows in readings.values():
        for origin, level in {(r.origin_id, r.value[1]) for r in rows}:
            origins.add(origin)
            low[origin] = low.get(origin, 0) + (level == 0)
    return {o for o in origins if low.get(o, 0) <= MAX_UNFIT_FRACTION * servers}


def server_level(readings: Iterable[Reading], trusted: Collection[int]) -> tuple[int, int] | None:
    """(life, level) of one server: the lowest level that a trusted origin gives it in its latest life."""
    rows = [(int(r.value[0]), int(r.value[1])) for r in readings if r.origin_id in trusted]
    latest = max((life for life, _ in rows), default=0)
    return min((row for row in rows if row[0] == latest), default=None)


def leaving_servers(
    readings: Mapping[int, Collection[Reading]],
    me: int,
    lives: Mapping[int, int],
    told_s: Mapping[int, float],
) -> list[int]:
    """Servers that leave by another's list, in the life that we know, where that list is younger than what our own
    told of it (told_s: seconds ago). Who tells so of more than OUT_MOST of the servers we know is not believed.
    """
    said: dict[int, set[int]] = {}
    for sid, rows in readings.items():
        for r in rows:
            if r.origin_id != me and r.value[0] == lives.get(sid) and r.age_s < told_s.get(sid, math.inf):
                said.setdefault(r.origin_id, set()).add(sid)
    return sorted(
        {sid for sids in said.values() if len(sids) <= MAX_UNFIT_FRACTION * len(lives) for sid in sids}
    )


def latest_table(readings: Iterable[Reading]) -> Reading | None:
    """Tokens never come again, so the one with the highest is the latest charge's; batches rise within it."""
    return max(
        readings, key=lambda r: (*r.value[:2], r.version, r.origin_id, r.value, -r.age_s), default=None
    )


def distinct_values(readings: Iterable[Reading]) -> list[Value]:
    """The values that stand, each once."""
    return sorted({r.value for r in readings})

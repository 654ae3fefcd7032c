"""Which of several differing replicas of a row counts.

Pure functions of the set of readings: their order, and how often one occurs, change nothing. Of a server, the later
incarnation outranks an earlier one whoever observed it; within an incarnation the safer reading wins, the lowest
recovery level. Of a figure, our own counts while it is fresh, else the freshest of the others, of two as fresh that
of the lower id. Of a table, the highest fencing token, and under one token the latest write.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from puffintide.protocol.messages import Value
from puffintide.replication.replica import Reading

OWN_OBSERVATION_FRESH_S = 10.0  # for so long it counts before those of others
MAX_UNFIT_FRACTION = 0.3  # an origin that finds more of the fleet unfit is itself at fault, and not trusted


class ServerLevel(NamedTuple):
    """The recovery level of a server in one of its incarnations."""

    incarnation: int
    recovery_level: int


def best_figure(readings: Iterable[Reading], local_id: int) -> Reading | None:
    """Choose among readings of a learned figure."""
    by_age = sorted(
        readings, key=lambda reading: (reading.age_s, reading.origin_id, reading.version, reading.value)
    )
    own = [
        reading
        for reading in by_age
        if reading.origin_id == local_id and reading.age_s <= OWN_OBSERVATION_FRESH_S
    ]
    return next(iter(own or by_age), None)


def trusted_origins(readings: Mapping[int, Collection[Reading]], server_count: int) -> set[int]:
    """Return the origins that eject no more than MAX_UNFIT_FRACTION of the listed servers.

    Args:
        readings: Of type SERVER, by server.
        server_count: Number of listed servers.
    """
    ejected: dict[int, int] = {}
    origins: set[int] = set()
    for of_server in readings.values():
        for origin_id, level in {(reading.origin_id, reading.value[1]) for reading in of_server}:
            origins.add(origin_id)
            ejected[origin_id] = ejected.get(origin_id, 0) + (level == 0)
    return {origin_id for origin_id in origins if ejected[origin_id] <= MAX_UNFIT_FRACTION * server_count}


def server_level(readings: Iterable[Reading], trusted: Collection[int]) -> ServerLevel | None:
    """Return the lowest level that a trusted origin gives one server in its latest incarnation."""
    levels = [
        ServerLevel(int(reading.value[0]), int(reading.value[1]))
        for reading in readings
        if reading.origin_id in trusted
    ]
    latest = max((level.incarnation for level in levels), default=0)
    return min((level for level in levels if level.incarnation == latest), default=None)


def leaving_servers(
    readings: Mapping[int, Collection[Reading]],
    local_id: int,
    incarnations: Mapping[int, int],
    list_ages_s: Mapping[int, float],
) -> list[int]:
    """Return the servers that leave by the endpoint list of another assigner.

    A reading counts in the incarnation that we know, where it is younger than what our own list told of the server.
    An origin that tells so of more than MAX_UNFIT_FRACTION of the servers is not believed.

    Args:
        readings: Of type LEAVING, by server.
        local_id: Our own id; own readings don't count.
        incarnations: By server, as listed here.
        list_ages_s: Seconds since our own list told of each server; absent if never.
    """
    by_origin: dict[int, set[int]] = {}
    for server_id, of_server in readings.items():
        for reading in of_server:
            if (
                reading.origin_id != local_id
                and reading.value[0] == incarnations.get(server_id)
                and reading.age_s < list_ages_s.get(server_id, math.inf)
            ):
                by_origin.setdefault(reading.origin_id, set()).add(server_id)
    max_leaving = MAX_UNFIT_FRACTION * len(incarnations)
    believed = [server_ids for server_ids in by_origin.values() if len(server_ids) <= max_leaving]
    return sorted({server_id for server_ids in believed for server_id in server_ids})


def latest_table(readings: Iterable[Reading]) -> Reading | None:
    """Choose among replicas of a table: tokens are never reused, and batches rise under one token."""
    return max(readings, key=_table_rank, default=None)


def _table_rank(reading: Reading) -> tuple[object, ...]:
    token_and_batch = reading.value[:2]
    return (*token_and_batch, reading.version, reading.origin_id, reading.value, -reading.age_s)


def distinct_values(readings: Iterable[Reading]) -> list[Value]:
    """Return each value once, in order."""
    return sorted({reading.value for reading in readings})

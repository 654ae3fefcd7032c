"""Conflict resolution: selects one of several differing replicas of a row.

All functions are pure and depend only on the set of readings, not on their order or on duplicates. The rules
are:

- Server: among trusted origins, a later incarnation takes precedence over an earlier one, whichever origin
  observed it. Within an incarnation the safest reading wins, which is the lowest recovery level.
- Learned value: the local reading wins while it is fresh, else the freshest reading. Of two equally fresh
  readings, the one of the lower origin id wins.
- Table: the highest fencing token wins, and under one token the latest write.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from puffintide.protocol.messages import Value
from puffintide.replication.replica import Reading

# Age in seconds up to which a local observation takes precedence over those of other assigners.
OWN_OBSERVATION_FRESH_S = 10.0
# Maximum fraction of the listed servers that one origin may report as ejected or as leaving. An origin that
# reports more is assumed to be faulty itself, and its reports are ignored.
MAX_UNAVAILABLE_FRACTION = 0.3


class ServerLevel(NamedTuple):
    """Recovery level of a server in one of its incarnations."""

    incarnation: int
    recovery_level: int


def preferred_reading(readings: Iterable[Reading], local_id: int) -> Reading | None:
    """Return the reading of a learned value that takes precedence, or None without readings."""
    by_age = sorted(
        readings, key=lambda reading: (reading.age_s, reading.origin_id, reading.version, reading.value)
    )
    fresh_local = [
        reading
        for reading in by_age
        if reading.origin_id == local_id and reading.age_s <= OWN_OBSERVATION_FRESH_S
    ]
    return next(iter(fresh_local or by_age), None)


def trusted_origins(readings: Mapping[int, Collection[Reading]], server_count: int) -> set[int]:
    """Return the origins that eject no more than MAX_UNAVAILABLE_FRACTION of the listed servers.

    Args:
        readings: Readings of rows of type SERVER, by server.
        server_count: Number of listed servers.
    """
    ejected_counts: dict[int, int] = {}
    origins: set[int] = set()
    for server_readings in readings.values():
        for origin_id, level in {(reading.origin_id, reading.value[1]) for reading in server_readings}:
            origins.add(origin_id)
            ejected_counts[origin_id] = ejected_counts.get(origin_id, 0) + (level == 0)
    return {
        origin_id
        for origin_id in origins
        if ejected_counts[origin_id] <= MAX_UNAVAILABLE_FRACTION * server_count
    }


def server_level(readings: Iterable[Reading], trusted: Collection[int]) -> ServerLevel | None:
    """Return the lowest level that a trusted origin reports for one server in its latest incarnation.

    Without readings of trusted origins, None is returned.
    """
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
    """Return the servers that are leaving according to the endpoint list of another assigner.

    A reading is used if it names the incarnation listed here and is newer than the last update of the server
    by the local endpoint list. The readings of an origin that reports more than MAX_UNAVAILABLE_FRACTION of
    the servers as leaving are ignored.

    Args:
        readings: Readings of rows of type LEAVING, by server.
        local_id: Id of this assigner, whose own readings are ignored.
        incarnations: Incarnation of each server in the local endpoint list, by server.
        list_ages_s: Seconds since the local endpoint list last updated each server; absent if it never did.
    """
    by_origin: dict[int, set[int]] = {}
    for server_id, server_readings in readings.items():
        for reading in server_readings:
            if (
                reading.origin_id != local_id
                and reading.value[0] == incarnations.get(server_id)
                and reading.age_s < list_ages_s.get(server_id, math.inf)
            ):
                by_origin.setdefault(reading.origin_id, set()).add(server_id)
    max_leaving = MAX_UNAVAILABLE_FRACTION * len(incarnations)
    accepted = [server_ids for server_ids in by_origin.values() if len(server_ids) <= max_leaving]
    return sorted({server_id for server_ids in accepted for server_id in server_ids})


def latest_table(readings: Iterable[Reading]) -> Reading | None:
    """Return the latest replica of a table, or None without readings.

    Fencing tokens are never reused, and the batch number rises under one token.
    """
    return max(readings, key=_table_sort_key, default=None)


def _table_sort_key(reading: Reading) -> tuple[object, ...]:
    token_and_batch = reading.value[:2]
    return (*token_and_batch, reading.version, reading.origin_id, reading.value, -reading.age_s)


def distinct_values(readings: Iterable[Reading]) -> list[Value]:
    """Return the distinct values in ascending order."""
    return sorted({reading.value for reading in readings})

"""Answers to requests of operators: the states of the zones, and the rows of the replica."""

from __future__ import annotations

from puffintide.protocol import messages as m
from puffintide.protocol.stream import Stream
from puffintide.replication.replica import Replica
from puffintide.zones.director import ZonedDirector

MAX_REPLICA_ROWS = 200_000  # Maximum number of rows and deletions sent in answer to one request.
FRACTION_DECIMALS = 4
SECONDS_DECIMALS = 3


def zone_status_report(now: float, assigner_id: int, director: ZonedDirector | None) -> m.ZoneStatusReport:
    """Return the states of the zones; director is None without a zone plan."""
    states = director.plan.states() if director is not None else []
    statuses = [
        m.ZoneStatus(
            state.zone,
            state.phase.value,
            state.cause,
            round(state.available_fraction, FRACTION_DECIMALS),
            round(state.min_capacity_fraction, FRACTION_DECIMALS),
            round(state.max_capacity_fraction, FRACTION_DECIMALS),
            round(max(0.0, state.held_until_s - now), SECONDS_DECIMALS),
            state.flap_count,
            list(state.spillover),
            round(state.unplaced_fraction, FRACTION_DECIMALS),
        )
        for state in states
    ]
    return m.ZoneStatusReport(assigner_id, director is not None, statuses)


def send_replica(now: float, stream: Stream, replica: Replica) -> None:
    """Send at most MAX_REPLICA_ROWS rows of the replica, followed by its digest, which marks the end."""
    for delta in replica.deltas_for(now, [], MAX_REPLICA_ROWS):
        stream.send(delta)
    stream.send(m.VersionDigest(replica.digest()))

"""Answers to operators: how the zones are judged, and what is replicated here."""

from __future__ import annotations

from puffintide.protocol import messages as m
from puffintide.protocol.stream import Stream
from puffintide.replication.replica import Replica
from puffintide.zones.director import ZonedDirector

MAX_ROWS_SHOWN = 200_000
DECIMALS = 4  # of fractions
SECONDS_DECIMALS = 3


def zone_status_report(now: float, assigner_id: int, director: ZonedDirector | None) -> m.ZoneStatusReport:
    """Return the state of the zone plan; director is None without one."""
    states = director.plan.states() if director is not None else []
    statuses = [
        m.ZoneStatus(
            state.zone,
            state.phase.value,
            state.cause,
            round(state.available_fraction, DECIMALS),
            round(state.min_capacity_fraction, DECIMALS),
            round(state.max_capacity_fraction, DECIMALS),
            round(max(0.0, state.held_until_s - now), SECONDS_DECIMALS),
            state.flap_count,
            list(state.spillover),
            round(state.unplaced_fraction, DECIMALS),
        )
        for state in states
    ]
    return m.ZoneStatusReport(assigner_id, director is not None, statuses)


def send_replica(now: float, stream: Stream, replica: Replica) -> None:
    """Send all rows that are held, and a digest to end with."""
    for delta in replica.deltas_for(now, [], MAX_ROWS_SHOWN):
        stream.send(delta)
    stream.send(m.VersionDigest(replica.digest()))

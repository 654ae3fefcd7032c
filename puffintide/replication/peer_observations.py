"""What the module has found out, as rows of copies, and what of the others' it is told. Pure.

Kinds: "fleet" (number -1; the capacity learned for a listed size of 1), "server" (by server; its life, the level
that it has; none at its full level) and "leaving" (by server; its life, of one that drains or has left the list).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from puffintide.decisions.events import PeerObservation
from puffintide.replication import conflict_resolution
from puffintide.replication.replica import Replica

AGAIN_S = (
    conflict_resolution.OWN_OBSERVATION_FRESH_S / 2
)  # what stands is told anew so often, so that it does not grow old
KEPT_S = 60.0  # what others found out counts no longer than this
CHANGED = 0.1  # a figure off by this share is told


@dataclass(frozen=True, slots=True)
class LocalFindings:
    """Of one module: None where it has learned nothing yet."""

    capacity_per_s: float | None = None
    recovery_levels: Mapping[int, int] = field(
        default_factory=dict
    )  # of servers that are not at their full level


@dataclass(frozen=True, slots=True)
class EndpointListState:
    """From our own list: the life of each server, when it was last told (not at all: from a file), which drain."""

    incarnations: Mapping[int, int] = field(default_factory=dict)
    received_at_s: Mapping[int, float] = field(default_factory=dict)
    draining: Collection[int] = ()


class ObservationExchange:
    def __init__(self) -> None:
        self.last: set[PeerObservation] = set()  # told to the module, and standing
        self.lives: Mapping[int, int] = {}  # as last heard
        self.leaving: dict[int, tuple[int, float]] = {}  # life, and when that was heard

    def publish(self, now: float, replica: Replica, found: LocalFindings, heard: EndpointListState) -> None:
        fleet = replica.local_rows("fleet").get(-1)
        if found.capacity_per_s is not None:
            old = float(fleet.value[0]) if fleet is not None else 0.0
            far = abs(found.capacity_per_s - old) > CHANGED * old
            if far or fleet is None or now - fleet.observed_at_s > AGAIN_S:
                replica.put(now, "fleet", -1, (found.capacity_per_s,))
        mine = replica.local_rows("server")
        for sid, level in sorted(found.recovery_levels.items()):
            value = (float(heard.incarnations.get(sid, 0)), float(level))
            row = mine.get(sid)
            if row is None or row.value != value or now - row.observed_at_s > AGAIN_S:
                replica.put(now, "server", sid, value)
        for sid in sorted(mine.keys() - found.recovery_levels.keys()):
            replica.delete("server", sid)
        self._publish_leaving(now, replica, heard)

    def _publish_leaving(self, now: float, replica: Replica, heard: EndpointListState) -> None:
        """What leaves is told with the time at which the list said so, which does not grow younger. What has left
        the list is told on for a while: to one whose list does not reach it, it would else seem to be back.
        """
        lives = {**self.lives, **heard.incarnations}
        for sid in sorted(
            {*heard.draining, *(self.lives.keys() - heard.incarnations.keys())} - self.leaving.keys()
        ):
            self.leaving[sid] = lives.get(sid, 0), heard.received_at_s.get(sid, now)
        for sid, (_, at) in list(self.leaving.items()):
            if (sid in heard.incarnations and sid not in heard.draining) or now - at > KEPT_S:
                del self.leaving[sid]
        self.lives = dict(heard.incarnations)
        mine = replica.local_rows("leaving")
        for sid, (life, at) in sorted(self.leaving.items()):
            if sid not in mine:
                replica.put(at, "leaving", sid, (float(life),))
        for sid in sorted(mine.keys() - self.leaving.keys()):
            replica.delete("leaving", sid)

    def new_observations(
        self, now: float, replica: Replica, found: LocalFindings, heard: EndpointListState
    ) -> list[PeerObservation]:
        """News alone. A reading of an earlier life of a server says nothing of it."""
        told: set[PeerObservation] = set()
        best = conflict_resolution.best_figure(
            replica.readings(now, "fleet", KEPT_S).get(-1, []), replica.local_id
        )
        if best is not None and best.origin_id != replica.local_id:
            told.add(PeerObservation(-1, capacity_per_s=float(best.value[0])))
        readings = replica.readings(now, "server", KEPT_S)
        trusted = conflict_resolution.trusted_origins(readings, len(heard.incarnations))
        for sid, rows in sorted(readings.items()):
            state = conflict_resolution.server_level(
                [r for r in rows if r.origin_id != replica.local_id], trusted
            )
            if state is not None and sid in heard.incarnations and state[0] == heard.incarnations[sid]:
                told.add(PeerObservation(sid, recovery_level=state[1]))
        leaving = replica.readings(now, "leaving", KEPT_S)
        for sid in conflict_resolution.leaving_servers(
            leaving,
            replica.local_id,
            heard.incarnations,
            {s: now - t for s, t in heard.received_at_s.items()},
        ):
            told.add(PeerObservation(sid, is_leaving=True))
        back = [t for t in self.last - told if t.is_leaving and t.server_id in heard.incarnations]
        new, self.last = told - self.last, told
        return sorted(
            [*new, *(PeerObservation(t.server_id, is_leaving=False) for t in back)],
            key=lambda t: t.server_id,
        )

"""The zone plan: judges each zone as one assigner sees it, and bounds what the module may plan with.

Pure: events and the module's view of its servers in, a bound for each server out. No I/O, no clock, no randomness;
time is seconds. It places no slice: the module goes on filling tables by its design, with each server's capacity
taken at its bound (docs/zones.md has the options that were weighed).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from puffintide.decisions import parameters
from puffintide.decisions.events import (
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ProxyConnected,
    ProxyDisconnected,
    ServerLoadReport,
    ZoneCommandReceived,
)
from puffintide.decisions.settings import Settings

WELL, DEGRADED, LOST, HELD, RETURNING, DRAINED = "well", "degraded", "lost", "held", "returning", "drained"

LOST_BELOW = 0.3  # a zone with less than this share of its usual servers is lost
BACK_FROM = 0.35  # and is there again from this share on; between the two nothing changes
SOUND_FROM = 0.75
START = 0.2  # share of its capacity that a server which returns warm is planned with at first
RATE = 0.08  # what is added a second while the zone stands it; small steps, so that no wave of moves follows
PAUSE_S = 1.0  # a longer time without a decision counts as this
CALM, HOT = 0.8, 0.95  # busy shares up to which it goes on, and above which it goes back
HOLD_S, HOLD_MOST_S = 10.0, 120.0  # a zone lost again waits so long before its return, doubled each time
FLAP_S = 300.0  # losses this far back count as flapping
FORGET_S = 600.0  # a server that vanished without a drain is missed for so long
HEARD_S = 5.0  # ways and reports older than this tell nothing
BAD_WAY = 0.3  # share of failed tries that makes a way bad
LEARN_S = 10.0  # memory of a zone's load in ordinary times
QUIET_S = 8.0  # all zones well for so long before that load is learned


@dataclass(frozen=True, slots=True)
class ZoneLimits:
    """What is configured: the share of a receiving zone's spare capacity that other zones' slices may take."""

    spill: float = 0.8


@dataclass(frozen=True, slots=True)
class View:
    """What the module knows of a server: whether it is not ejected, and its busy share. One judge of health."""

    answering: bool
    load: float | None
    probed: bool | None = None  # whether its last probe was answered, if there was one


@dataclass(frozen=True, slots=True)
class ZoneState:
    """A zone as judged, with the reason. spill: zone and share of the lost load that it is bounded to take."""

    zone: int
    phase: str
    cause: str
    share: float  # of its usual servers' weight that is there
    bound: float  # least and most bound of its servers
    bound_most: float
    until: float = 0.0  # held until then, on the assigner's clock
    flaps: int = 0
    spill: tuple[tuple[int, float], ...] = ()
    beyond: float = 0.0  # share of the lost load that no zone is bounded to take


@dataclass(slots=True)
class _Way:
    """Tries of one zone's proxies at another zone's servers."""

    failed: float = 0.0
    heard: float = -math.inf

    def add(self, now: float, tries: int, failed: int, span_s: float) -> None:
        old = self.failed if now - self.heard < HEARD_S else failed / tries
        part = 1 - math.exp(-max(span_s, 0.1) * min(tries, 30) / 10)
        self.failed, self.heard = old + (failed / tries - old) * part, now


@dataclass(slots=True)
class _Zone:
    phase: str = WELL
    cause: str = ""
    until: float = 0.0
    losses: list[float] = field(default_factory=list)  # times, oldest first
    usual: float | None = None  # its load in ordinary times
    since: float = 0.0  # when a hand or a return began
    hand: str = ""  # what an operator ordered: "", "drain", "hold"
    pace: float = 1.0
    said: tuple[str, str] = (WELL, "")


class ZonePlan:
    """observe() what the module is told, then decide() for the bounds."""

    def __init__(self, settings: Settings, limits: ZoneLimits) -> None:
        self.set, self.limits = settings, limits
        self.servers: dict[int, Endpoint] = {}
        self.vanished: dict[int, tuple[float, float]] = {}  # ready, then gone without a drain: when, weight
        self.zones = {z: _Zone() for z in range(max(1, settings.zone_count))}
        self.growth: dict[int, float] = {}  # of servers in a return, below 1
        self.behind: set[int] = set()  # fell during the return: they grow when the rest is done
        self.ways: dict[tuple[int, int], _Way] = {}
        self.proxies: dict[int, int] = {}
        self.reports: dict[int, float] = {}  # by zone of proxies, when heard
        self.quiet_since = math.inf  # all zones well
        self.bounds: dict[int, float] = {}
        self.last = math.inf  # when it decided

    # What comes in --------------------------------------------------------------------------------

    def observe(self, now: float, event: Event) -> None:
        match event:
            case EndpointListUpdate():
                self._list(now, event)
            case ServerLoadReport(zone, server, tries, failed, _, span_s) if 0 <= failed <= tries and tries:
                self.reports[zone] = now
                entry = self.servers.get(server)
                if entry is not None and span_s > 0:
                    self.ways.setdefault((zone, entry.zone), _Way()).add(now, tries, failed, span_s)
            case ProxyConnected(proxy, zone):
                self.proxies[proxy] = zone
            case ProxyDisconnected(proxy):
                self.proxies.pop(proxy, None)
            case ZoneCommandReceived(zone, what, pace) if zone in self.zones:
                self._hand(now, self.zones[zone], zone, what, pace)

    def _list(self, now: float, event: EndpointListUpdate) -> None:
        if event.update_type == "failed":
            return
        told = {entry.server_id: entry for entry in event.endpoints}
        if event.update_type != "delta":
            for sid, old in sorted(self.servers.items()):
                if sid not in told and old.status != EndpointStatus.REMOVED:
                    told[sid] = Endpoint(
                        sid,
                        old.zone,
                        old.server_type,
                        old.cell,
                        EndpointStatus.REMOVED,
                        old.weight,
                        old.started_at_s,
                    )
        for sid, entry in sorted(told.items()):
            was = self.servers.get(sid)
            if (
                entry.status == EndpointStatus.REMOVED
                and was is not None
                and was.status == EndpointStatus.READY
            ):
                self.vanished[sid] = (now, was.weight)
                if sid in self.growth:
                    self.behind.add(sid)
            elif entry.status != EndpointStatus.REMOVED:
                self.vanished.pop(sid, None)
            self.servers[sid] = entry

    def _hand(self, now: float, zone: _Zone, number: int, what: str, pace: float) -> None:
        if what in ("drain", "hold"):
            zone.hand, zone.pace, zone.since = what, pace, now
        elif zone.hand:
            zone.hand, zone.pace, zone.losses = "", pace, []
            self._begin_return(now, number)
        else:
            zone.pace = pace

    # What is judged -------------------------------------------------------------------------------

    def _of(self, zone: int) -> list[int]:
        """Its servers that are listed ready."""
        return [
            s for s, e in sorted(self.servers.items()) if e.zone == zone and e.status == EndpointStatus.READY
        ]

    def _share(self, zone: int, view: Mapping[int, View]) -> float:
        """How much of its usual weight is there. Servers that drained away are no loss."""
        ready = self._of(zone)
        missing = sum(w for s, (_, w) in sorted(self.vanished.items()) if self.servers[s].zone == zone)
        usual = sum(self.servers[s].weight for s in ready) + missing
        here = sum(self.servers[s].weight for s in ready if s not in view or view[s].answering)
        return here / usual if usual > 0 else 1.0

    def _trouble(self, now: float, zone: int, view: Mapping[int, View]) -> str:
        """What other than lost servers ails a zone: its link, its reports, or nothing that is its own.
        Guards against taking a way that is bad, or a telling that is late, for servers that are."""

        def bad(of: int, to: int) -> bool | None:
            way = self.ways.get((of, to))
            return None if way is None or now - way.heard > HEARD_S else way.failed > BAD_WAY

        others = [z for z in sorted(self.zones) if z != zone]
        in_between = [b for z in others for b in (bad(z, zone), bad(zone, z)) if b is not None]
        if bad(zone, zone) is False and in_between and all(in_between):
            return "link"
        crossing = [b for z in others if (b := bad(z, zone)) is not None]
        if bad(zone, zone) is False and any(crossing):
            return "one-sided"
        probed = [view[s].probed for s in self._of(zone) if s in view]
        asked = [answered for answered in probed if answered is not None]
        here = any(z == zone for z in self.proxies.values())
        late = now - self.reports.get(zone, -math.inf) > HEARD_S
        heard = any(now - self.reports.get(z, -math.inf) <= HEARD_S for z in others)
        if here and late and heard and asked and sum(asked) > len(asked) / 2:
            return "reports"
        return ""

    def _judge(self, now: float, view: Mapping[int, View]) -> None:
        for sid, (at, _) in sorted(self.vanished.items()):
            if now - at > FORGET_S:
                del self.vanished[sid]
        gone = [
            s
            for s, e in self.servers.items()
            if e.status == EndpointStatus.REMOVED and s not in self.vanished
        ]
        for sid in gone:  # each machine has an id of its own: what drained away, or is missed no longer
            del self.servers[sid]
            self.growth.pop(sid, None)
            self.behind.discard(sid)
        shares = {z: self._share(z, view) for z in sorted(self.zones)}
        # All silent alike, and none gone from the list: the cause is common, and no zone is lost by it.
        silent = {z for z in shares if shares[z] < LOST_BELOW and self._of(z)}
        common = len(silent) == len(shares)
        for number, zone in sorted(self.zones.items()):
            share = 1.0 if common else shares[number]
            trouble = self._trouble(now, number, view)
            if share < LOST_BELOW and zone.phase != LOST:
                self._lose(now, zone, number)
            elif zone.phase == LOST and share >= BACK_FROM:
                self._regain(now, zone, number)
            elif zone.phase == HELD and now >= zone.until:
                self._begin_return(now, number)
            elif zone.phase == RETURNING and not any(s in self.growth for s in self._of(number)):
                zone.phase, zone.cause = WELL, ""
                self._forget(number)
            if zone.phase in (WELL, DEGRADED):
                link = trouble in ("link", "one-sided")
                zone.phase = DEGRADED if share < SOUND_FROM or link else WELL
                zone.cause = "servers" if share < SOUND_FROM else "common" if common else trouble

    def _lose(self, now: float, zone: _Zone, number: int) -> None:
        zone.losses = [at for at in zone.losses if now - at < FLAP_S] + [now]
        zone.phase, zone.cause = LOST, "list" if not self._of(number) else "silent"
        self._forget(number)

    def _forget(self, number: int) -> None:
        for sid in [s for s in self.growth if self.servers[s].zone == number]:
            del self.growth[sid]

    def _regain(self, now: float, zone: _Zone, number: int) -> None:
        """The first return is at once, as a zone that is not flapping is wanted back. Each further one within
        FLAP_S waits twice as long: n flaps cost some log n returns, and no more than one a HOLD_MOST_S."""
        again = len(zone.losses) - 1
        if again > 0:
            zone.phase, zone.cause = HELD, f"lost {again + 1} times"
            zone.until = now + min(HOLD_MOST_S, HOLD_S * 2.0 ** (again - 1))
        else:
            self._begin_return(now, number)

    def _begin_return(self, now: float, number: int) -> None:
        """Cold servers are left to the module, which lets them have more as they warm. Warm ones, of a zone that
        was cut off or struck from the list, would get all their slices back at once: theirs grows from START."""
        zone = self.zones[number]
        zone.phase, zone.cause, zone.since = RETURNING, "", now
        self.behind -= {s for s in self.behind if self.servers[s].zone == number}
        for sid in self._of(number):
            self.growth[sid] = 1.0 if self._cold(now, sid) else START

    def _grow(self, now: float, number: int, view: Mapping[int, View]) -> None:
        """A return goes up while the zone stands it, down when it does not. Servers that came later
        begin where all began; those that fell wait until the rest is done."""
        zone = self.zones[number]
        for sid in [s for s in self.growth if self.servers[s].status == EndpointStatus.REMOVED]:
            del self.growth[sid]
        if now <= zone.since:
            return
        ready = self._of(number)
        cold = {s for s in ready if self._cold(now, s)}
        for sid in ready:  # those that come in during the return
            if sid not in self.growth and sid not in self.bounds:
                self.growth[sid] = START if sid in self.behind or sid not in cold else 1.0
        growing = [s for s in ready if s in self.growth]
        front = [s for s in growing if s not in self.behind] or growing
        mean = self._mean(front, view)
        # Where the others are as full, going back would only make them fuller.
        others = self._mean([s for z in self.zones if z != number for s in self._of(z)], view)
        sign = 1 if mean <= max(CALM, others) else -1 if mean > HOT else 0
        step = RATE * max(0.0, min(PAUSE_S, now - self.last)) * zone.pace * sign
        for sid in front:
            if self.growth[sid] < 1:
                self.growth[sid] = max(START, self.growth[sid] + step)
            if self.growth[sid] >= 1 and sid not in cold:
                del self.growth[sid]
                self.behind.discard(sid)

    def _cold(self, now: float, sid: int) -> bool:
        """By the list alone: the module may not have seen yet that the server is a new one."""
        started = self.servers[sid].started_at_s
        return started > 0 and now - started < self.set.slow_start_duration_s

    @staticmethod
    def _mean(servers: list[int], view: Mapping[int, View]) -> float:
        loads = [view[s].load or 0.0 for s in servers if s in view]
        return sum(loads) / len(loads) if loads else 0.0

    def _learn(self, now: float, view: Mapping[int, View]) -> None:
        """Each zone's load while nothing is wrong: what it needs for itself when it has to take from others."""
        if any(z.phase != WELL or z.hand for z in self.zones.values()):
            self.quiet_since = math.inf
            return
        self.quiet_since = min(self.quiet_since, now)
        if now - self.quiet_since < QUIET_S:
            return
        for number, zone in sorted(self.zones.items()):
            loads = [(self.servers[s].weight, view[s].load) for s in self._of(number) if s in view]
            known = [(w, load) for w, load in loads if load is not None]
            weight = sum(w for w, _ in known)
            if weight > 0:
                mean = sum(w * load for w, load in known) / weight
                old = mean if zone.usual is None else zone.usual
                zone.usual = old + (mean - old) * (1 - math.exp(-0.25 / LEARN_S))

    # What follows ---------------------------------------------------------------------------------

    def decide(self, now: float, view: Mapping[int, View]) -> dict[int, float]:
        """The bound of each listed server: the share of its capacity that may be planned with. 0: its slices go
        elsewhere, as far as there is room, and it is used only where nothing else is left."""
        self._judge(now, view)
        for number, zone in sorted(self.zones.items()):
            if zone.phase == RETURNING:
                self._grow(now, number, view)
        self._learn(now, view)
        self.last = now
        out = [z for z, s in sorted(self.zones.items()) if s.hand or s.phase in (LOST, HELD, RETURNING)]
        found: dict[int, float] = {}
        for sid, entry in sorted(self.servers.items()):
            if entry.status == EndpointStatus.REMOVED:
                continue
            state = self.zones.get(entry.zone, _Zone())
            if state.hand or state.phase == HELD:
                found[sid] = self._drain(now, state, sid) if state.hand == "drain" else 0.0
            elif state.phase == RETURNING:
                found[sid] = min(1.0, self.growth.get(sid, 1.0))
            elif out and state.phase != LOST:
                found[sid] = self.spill_bound(entry.zone)
            else:
                found[sid] = 1.0
        self.bounds = found
        return found

    def _drain(self, now: float, zone: _Zone, sid: int) -> float:
        """An operator's drain goes down evenly, so that keys are moved and cached bit by bit."""
        return max(0.0, 1.0 - RATE * zone.pace * (now - zone.since))

    def spill_bound(self, zone: int) -> float:
        """While another zone is out, this one's servers are filled at most up to their own usual load and, of the
        rest, the share that is configured. The module fills servers to FULL of what it plans with: the bound is
        such that both together come to that, and is 1 where FULL is the lower one."""
        usual = self.zones[zone].usual or 0.0
        return min(1.0, (usual + self.limits.spill * (1 - usual)) / parameters.OVERLOAD_UTILIZATION)

    def states(self) -> list[ZoneState]:
        """All zones as judged last."""
        found = []
        for number, zone in sorted(self.zones.items()):
            bounds = [self.bounds[s] for s in self._of(number) if s in self.bounds] or [0.0]
            phase = DRAINED if zone.hand else zone.phase
            spill, beyond = self._spilled(number) if phase not in (WELL, DEGRADED) else ((), 0.0)
            found.append(
                ZoneState(
                    number,
                    phase,
                    f"by hand: {zone.hand}" if zone.hand else zone.cause,
                    self._share(number, {}),
                    min(bounds),
                    max(bounds),
                    zone.until,
                    len(zone.losses),
                    spill,
                    beyond,
                )
            )
        return found

    def _spilled(self, lost: int) -> tuple[tuple[tuple[int, float], ...], float]:
        """How a lost zone's usual load is bounded to be taken by the others, as shares of it."""
        weights = {z: sum(self.servers[s].weight for s in self._of(z)) for z in self.zones}
        missing = sum(w for s, (_, w) in self.vanished.items() if self.servers[s].zone == lost)
        demand = (self.zones[lost].usual or 0.0) * (weights[lost] + missing)
        room = {
            z: weights[z]
            * max(0.0, parameters.OVERLOAD_UTILIZATION * self.spill_bound(z) - (state.usual or 0.0))
            for z, state in sorted(self.zones.items())
            if z != lost and state.phase in (WELL, DEGRADED) and not state.hand
        }
        if demand <= 0:
            return (), 0.0
        part = min(1.0, sum(room.values()) / demand)
        total = max(sum(room.values()), 1e-9)
        return tuple((z, part * r / total) for z, r in room.items()), 1 - part

    def changes(self) -> list[str]:
        """A line for each zone whose judgement changed since this was last asked."""
        lines = []
        for state in self.states():
            zone = self.zones[state.zone]
            if (state.phase, state.cause) != zone.said:
                zone.said = (state.phase, state.cause)
                spill = ", ".join(f"zone {z} {share:.0%}" for z, share in state.spill)
                told = f"; its load goes to {spill}, {state.beyond:.0%} beyond" if spill else ""
                why = f" ({state.cause})" if state.cause else ""
                lines.append(f"zone {state.zone} {state.phase}{why}, {state.share:.0%} of it there{told}")
        return lines

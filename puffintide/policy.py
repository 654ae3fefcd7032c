"""All decisions of puffintide. Types of settings, events and actions: puffintide/interface.py.

One Director serves one assigner. Each round it observes, judges health, projects every slice onto its
default server, detours slices off servers that would run too full, guards the rules and publishes what
changed. Capacity and heat are in requests a second. docs/design.md tells what is kept and what is added.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from puffintide import interface as api

ROUND_S = 0.25  # how often health is judged and urgent changes may go out
PUBLISH_S = 1.0  # pace of ordinary changes
WINDOW_S = 3.0  # memory of heat, rates and reported load
FULL = 0.85  # share of capacity above which a server sheds slices
ROOM = 0.75  # share of capacity up to which an alternate takes more
RETURN = 0.65  # a detoured slice goes home only if its default would stay below this
SHORT = 1.0  # share of capacity that a slice which stands elsewhere may fill its server to
STEADY_S = 8.0  # memory of capacity and of other assigners' load, which change slowly
IDLE = 0.15  # a server reporting less load than this tells little of its capacity
CROWDED = 0.8  # and one above this has a service time that tells of the crowd
CALM = 0.6  # mean load below which proxies may try again elsewhere; above CROWDED they may not
JUMP = 1.6  # a capacity reading off by this factor is learned fast
MISS = 1.7  # a slice brings this much more work to a server that has not cached its keys
SPLIT = 0.45  # a slice above this share of its server's capacity is spread over several
MERGE = 0.25  # and brought together again below this
PARTS_MOST = 4
STANDBY = 0.004  # weight of the second line, where a proxy's further try finds another server
COLD_MISS = 1.5  # with an empty cache a request may be this much dearer
STALE_S = 2.5  # beyond the usual lag, reports older than this leave the ordinary plan as it is
SETTLE = 2.0  # after a start, report periods heard before the ordinary plan is trusted
PROBE_S = 0.8
SILENT_S = 2.0  # time without a good answer before a server is suspect
PROBES_MISSED = 3
FAILING = 0.85  # share of failed tries that makes a server suspect
OUT_MOST = 0.6  # if more of the fleet than this looks bad, the cause is common: nobody is ejected
TRIAL_S = 5.0  # first wait before an ejected server that can't be probed gets a further try
STEP_S = 2.0  # time without trouble for each level up
LEVELS = (0.0, 0.15, 0.4, 1.0)
REHOME_S = 20.0  # a default gone for this long is replaced by where the slice is now
SHED_AT = 0.9  # demand over the fleet's capacity from which less is let in
SHED_TO = 0.75  # and down to which
LEVEL_LEAST = 0.2  # no class is refused more than all but this
LEVEL_STEP = 0.08  # smaller changes of a level are not worth a message
BACKLOG = 0.5  # part of the channel's limit that ordinary changes may fill
SLOW_CHANNEL = 0.5  # the channel is counted on for this part of its stated speed
USUAL = 0.5  # load of the median server, where nothing tells it
PROBES_KEPT = 200  # latest probes that tell how full servers are
SLOWED = 1.25  # a probe that takes this many times the server's quickest had to share or wait
ROUND_TIMER = 1


def smooth(old: float | None, new: float, span: float, memory: float = WINDOW_S) -> float:
    """An average that forgets over a memory, whatever the span of each sample."""
    return new if old is None else old + (new - old) * (1 - math.exp(-max(span, 0.1) / memory))


def learn(old: float | None, new: float, sure: bool = False) -> float:
    """A slow average for what seldom changes, fast when the reading is sure or far off."""
    far = sure or (old is not None and not old / JUMP < new < old * JUMP)
    return smooth(old, new, ROUND_S, WINDOW_S / 2 if far else STEADY_S)


@dataclass(slots=True)
class Rate:
    """Requests a second from counts over spans; nothing heard for long counts as nothing."""

    value: float | None = None
    heard: float = 0.0

    def add(self, now: float, count: float, span: float) -> None:
        self.value = smooth(self.value, count / span, span)
        self.heard = now


@dataclass(slots=True)
class ServerView:
    """What this assigner believes of one server."""

    entry: api.Server
    since: float  # when it was first heard of, or restarted
    good: dict[int, Rate] = field(default_factory=dict)  # answered tries, by proxy zone
    held: dict[int, Rate] = field(default_factory=dict)  # and how many were under way (Little's law)
    failing: float | None = None
    load: float | None = None  # busy share, 0 to 1
    inflight: float | None = None
    latest: float = 0.0  # the in-flight count last reported
    quickest: float = math.inf  # answer to a probe
    service_s: float | None = None
    capacity: float | None = None
    pace: float = 1.0  # its speed against servers of its size
    foreign: float | None = None  # load that other assigners' proxies bring
    last_good: float = 0.0
    interval: float | None = None  # usual time between digests with good answers
    missed: int = 0  # probes unanswered in a row
    answered: int = 0  # probes answered in a row
    level: int = len(LEVELS) - 1
    level_since: float = 0.0
    ejections: int = 0
    gone_since: float | None = None


@dataclass(slots=True)
class SliceView:
    default: int | None = None
    lines: dict[int, float] = field(default_factory=dict)  # the table as the store has it
    heat: dict[int, Rate] = field(default_factory=dict)  # by class
    places: list[int] = field(default_factory=list)  # servers that share it evenly


class Director:
    """Decides for one assigner."""

    def __init__(self, settings: api.Settings) -> None:
        self.set = settings
        self.servers: dict[int, ServerView] = {}
        self.slices: dict[int, SliceView] = {}
        self.proxies: set[int] = set()
        self.now = -math.inf
        self.actions: list[api.Action] = []
        self.urgent = False
        self.next_publish = 0.0
        self.next_watch = 0.0 if settings.list_is_asked else math.inf
        self.next_probe: dict[int, float] = {}
        self.waiting = 0.0  # lines thought to be in the channel
        self.drained = 0.0
        self.sent: list[float] = []  # times of past publishes, each at most one message a proxy
        self.levels_due = False
        self.tries = min(1, settings.retry_default)  # never past proof, nor more than the site's own way
        self.tries_told = settings.retry_default > 1
        self.levels: dict[int, float] = {}  # share of each class let in
        self.reported = -math.inf  # when anything was last heard from proxies
        self.first_reported = math.inf
        self.per_size: float | None = None  # capacity of a server of listed size 1, fleet-wide
        self.probed: deque[tuple[float, bool]] = deque(maxlen=PROBES_KEPT)  # in flight per size; slowed?
        self.in_work = 0.0  # requests in work per listed size at a full server

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        due = self.now < 0 or any(isinstance(event, api.TimerDue) for event in events)
        self.now, self.actions = now, []
        for event in events:
            self.observe(event)
        self.first_reported = min(self.first_reported, self.now) if self.reported > 0 else math.inf
        if due or self.urgent:
            self.round()
        if due:
            self.actions.append(api.SetTimer(ROUND_S, ROUND_TIMER))
        return self.actions

    def round(self) -> None:
        if self.now >= self.next_watch:
            self.actions.append(api.WatchList(True))
            self.next_watch = math.inf
        self.judge_health()
        self.probe()
        self.estimate()
        plan = self.detour(self.project())
        self.allow_tries()
        self.shed()
        self.publish(plan)

    # Observe ------------------------------------------------------------------------------------

    def observe(self, event: api.Event) -> None:
        match event:
            case api.LoadReport():
                self.see_load(event)
            case api.SliceHeat():
                view = self.slices.get(event.slice)
                if view is not None and event.span_s > 0:
                    self.reported = self.now
                    rate = view.heat.setdefault(event.request_class, Rate())
                    rate.add(self.now, event.requests, event.span_s)
            case api.ServerList():
                self.see_list(event)
            case api.SliceCharge():
                self.slices.pop(event.slice, None)
                if event.given:
                    self.slices[event.slice] = SliceView()
                    self.urgent = self.levels_due = True
            case api.StoredLine():
                view = self.slices.get(event.slice)
                if view is not None and event.weight > 0:
                    view.lines[event.server] = event.weight
                    top = max(view.lines.values())
                    view.places = [s for s in sorted(view.lines) if view.lines[s] >= 0.5 * top]
                    view.default = view.places[0]
            case api.ProxyJoined():
                self.proxies.add(event.proxy)
                self.levels_due = True
            case api.ProxyLeft():
                self.proxies.discard(event.proxy)
            case api.ProbeResult():
                self.see_probe(event)

    def see_list(self, event: api.ServerList) -> None:
        if event.kind == "failed":
            self.next_watch = self.now + 0.5
            return
        listed = {entry.id for entry in event.servers}
        for entry in event.servers:
            view = self.servers.get(entry.id)
            self.urgent |= view is None or replace(view.entry, weight=entry.weight) != entry
            if view is None:
                self.servers[entry.id] = view = ServerView(entry, self.now)
            elif entry.state == api.READY and entry.started > view.entry.started:
                self.servers[entry.id] = view = ServerView(entry, self.now)  # a restart: start anew
            view.entry = entry
        for sid, view in sorted(self.servers.items()) if event.kind != "delta" else []:
            if sid not in listed and view.entry.state != api.GONE:
                view.entry = replace(view.entry, state=api.GONE)
                self.urgent = True
        for view in self.servers.values():
            gone = view.entry.state == api.GONE
            view.gone_since = (view.gone_since or self.now) if gone else None

    def see_load(self, event: api.LoadReport) -> None:
        view = self.servers.get(event.server)
        if view is None or event.span_s <= 0 or event.failed > event.tries:
            return
        self.reported = self.now
        good = event.tries - event.failed
        view.good.setdefault(event.zone, Rate()).add(self.now, good, event.span_s)
        view.held.setdefault(event.zone, Rate()).add(self.now, good * event.mean_s, event.span_s)
        if event.tries:
            view.failing = smooth(view.failing, event.failed / event.tries, event.span_s * event.tries / 3)
        if good:
            if view.last_good and self.now > view.last_good:
                view.interval = smooth(view.interval, self.now - view.last_good, 1.0)
            view.last_good = self.now
        self.see_values(view, event.values)

    def see_values(self, view: ServerView, values: tuple[float, ...]) -> None:
        for name, value in zip(self.set.report_names, values, strict=False):
            if not 0 <= value < math.inf:
                continue
            if name == "busy" and value <= 1.5:
                view.load = smooth(view.load, min(value, 1.0), self.set.report_period_s)
            elif name == "rif" and value < 1e5:
                view.latest = value
                view.inflight = smooth(view.inflight, value, self.set.report_period_s)
            elif name == "lat_ms" and value > 0:
                view.service_s = smooth(view.service_s, value / 1000, self.set.report_period_s)

    def see_probe(self, event: api.ProbeResult) -> None:
        view = self.servers.get(event.server)
        if view is None or event.status not in (0, 3, 4, 5):
            return
        view.missed, view.answered = (0, view.answered + 1) if event.status == 0 else (view.missed + 1, 0)
        if event.status == 0:
            view.quickest = min(view.quickest, event.took_s)
            self.see_values(view, event.values)
        if event.status in (0, 3) and view.inflight is not None:
            slowed = event.status == 3 or event.took_s > SLOWED * view.quickest
            self.probed.append((view.latest / max(view.entry.weight, 1e-9), slowed))

    # Judge health -------------------------------------------------------------------------------

    def ready(self, sid: int) -> bool:
        view = self.servers.get(sid)
        return view is not None and view.entry.state == api.READY

    def warmth(self, sid: int) -> float:
        """The least share of its capacity that a server can have by now, since its start."""
        view = self.servers[sid]
        begun = view.entry.started
        if begun <= 0 or self.set.warm_within_s <= 0:
            return 1.0
        age = max(0.0, self.now - begun)
        return min(1.0, self.set.cold_from + (1 - self.set.cold_from) * age / self.set.warm_within_s)

    def judge_health(self) -> None:
        """Finds servers that are listed ready and do not answer, whatever the cause; lets them back by
        levels. The yardstick is the fleet: when most servers look bad, or reports are late for all,
        the cause is common and nobody is ejected."""
        ready = [view for sid, view in sorted(self.servers.items()) if self.ready(sid)]
        intervals = sorted(v.interval for v in ready if v.interval is not None)
        usual = max(intervals[len(intervals) // 2] if intervals else 1.0, self.set.report_period_s)
        bad = [v for v in ready if self.suspect(v, usual)]
        if len(bad) > OUT_MOST * len(ready):
            return
        for view in ready:
            if view in bad and view.level > 0:
                view.level, view.level_since = 0, self.now
                view.ejections += 1
                self.urgent = True
            elif view not in bad and view.level < len(LEVELS) - 1:
                self.raise_level(view)

    def suspect(self, view: ServerView, usual: float) -> bool:
        if view.level == 0:
            return view.missed > 0
        # Late reports are no silence, and one that still answers some is crowded: its capacity tells that.
        silent = self.reported - max(view.last_good, view.level_since, view.since)
        failing = view.failing is not None and view.failing > FAILING
        return (failing or view.missed >= PROBES_MISSED) and silent > max(1.5 * usual, SILENT_S)

    def raise_level(self, view: ServerView) -> None:
        calm = self.now - view.level_since
        if view.level == 0 and self.set.probes:
            ready = view.answered >= 2 and calm > STEP_S
        elif view.level == 0:
            ready = calm > TRIAL_S * 2 ** min(view.ejections - 1, 3)
        else:
            ready = calm > STEP_S * (1 if view.last_good > view.level_since else 2)
        if ready:
            view.level, view.level_since = view.level + 1, self.now
            view.failing, view.missed, view.load = None, 0, None

    def probe(self) -> None:
        for sid in sorted(self.servers) if self.set.probes else []:
            if self.ready(sid) and self.now >= self.next_probe.get(sid, 0.0):
                self.actions.append(api.Probe(sid))
                # The first wait is spread by id so that not all go out at once.
                spread = 1.0 if sid in self.next_probe else zlib.crc32(f"{sid}".encode()) % 1000 / 1000
                self.next_probe[sid] = self.now + PROBE_S * spread

    # Project ------------------------------------------------------------------------------------

    def heat(self, view: SliceView) -> float:
        """Requests a second that are let in; what came is told, refused ones with it."""
        return sum((rate.value or 0.0) * self.levels.get(k, 1.0) for k, rate in sorted(view.heat.items()))

    def recent(self, view: ServerView, rates: dict[int, Rate]) -> float:
        window = max(2 * WINDOW_S, 3 * (view.interval or 0.0))
        return sum(r.value or 0.0 for r in rates.values() if self.now - r.heard < window)

    def mine(self) -> float:
        """The share of all slices in this assigner's charge, which stands for its share of the traffic."""
        return max(1, len(self.slices)) / max(1, self.set.slices)

    def served(self, view: ServerView) -> float:
        """Good answers a second that this assigner's proxies had from the server."""
        return self.recent(view, view.good)

    def read_inflight(self, ready: list[ServerView]) -> None:
        """A load from requests in flight, where no busy share is reported. A probe is slowed where no core
        is free: as many servers are full as probes were slowed, and the in-flight count that parts the
        fleet so is a full server's. Without such probes the median server is taken to be at USUAL."""
        held = sorted(self.recent(v, v.held) / v.entry.weight for v in ready)
        if len(self.probed) >= PROBES_KEPT / 5:
            counts = sorted(count for count, _ in self.probed)
            free = sum(not slowed for _, slowed in self.probed)
            self.in_work = counts[min(free, len(counts) - 1)]
        elif held and held[len(held) // 2] > 0:
            self.in_work = held[len(held) // 2] / USUAL
        for v in ready:
            own = self.recent(v, v.held)
            total = own if self.set.instances == 1 else max(own, v.inflight or 0.0)
            if own > 0 and self.in_work > 0:
                v.load = min(1.0, total / (v.entry.weight * self.in_work))

    def estimate(self) -> None:
        """Capacity = served rate over load, fleet-wide by listed size and for each server."""
        ready = [v for sid, v in sorted(self.servers.items()) if self.ready(sid) and v.entry.weight > 0]
        if "busy" not in self.set.report_names:
            self.read_inflight(ready)
        for v in ready:
            warmth = self.warmth(v.entry.id)
            heard = warmth >= 1 or self.now - v.since > WINDOW_S  # after a restart not from before it
            if heard and v.load and v.load > IDLE and self.served(v) > 0:
                most = math.inf if warmth >= 1 else JUMP * (self.per_size or 0.0) * v.entry.weight
                sure = "busy" in self.set.report_names and v.load > FULL  # a full server shows all it can
                v.capacity = learn(v.capacity, min(most, self.served(v) / v.load / warmth), sure)
        work = sum(v.entry.weight * v.load for v in ready if v.load is not None)
        rate = sum(self.served(v) for v in ready if v.load is not None) / self.mine()
        if rate > 0 and work > IDLE / 2 * sum(v.entry.weight for v in ready if v.load is not None):
            self.per_size = learn(self.per_size, rate / work)
        if self.set.instances > 1 and self.per_size is not None:
            # A service time tells a server's pace between idling, when it is the probes', and crowding,
            # when all are slow. What the pace misses shows up as foreign load and is shed all the same.
            paced = [v for v in ready if v.service_s and v.load and IDLE < v.load < CROWDED]
            paced = [v for v in paced if self.warmth(v.entry.id) >= 1]
            times = sorted(v.service_s for v in paced if v.service_s)
            for v in ready:
                if v in paced and v.service_s:
                    v.pace = learn(v.pace, min(times[len(times) // 2] / v.service_s, JUMP))
                v.capacity = self.per_size * v.entry.weight * v.pace
                if v.load is not None:
                    other = v.load * v.capacity * self.warmth(v.entry.id) - self.served(v)
                    v.foreign = smooth(v.foreign, max(0.0, other), ROUND_S, STEADY_S)

    def capacity(self, sid: int, whole: bool = False) -> float:
        """What the server can do now, all assigners together; whole: whatever its level."""
        view = self.servers[sid]
        known = view.capacity or (self.per_size or 1.0) * view.entry.weight
        return known * (1.0 if whole else LEVELS[view.level]) * self.warmth(sid)

    def project(self) -> dict[int, list[int]]:
        """Every slice on its default server; a slice hotter than its server's part gets more places."""
        plan: dict[int, list[int]] = {}
        for number, view in sorted(self.slices.items()):
            home = None if view.default is None else self.servers.get(view.default)
            if home and home.gone_since is not None and self.now - home.gone_since > REHOME_S:
                view.default = next((s for s in view.places if self.ready(s)), view.default)
            plan[number] = [] if view.default is None else [view.default]
        return plan

    # Detour -------------------------------------------------------------------------------------

    def ranking(self, number: int) -> list[int]:
        """The fixed order of alternates for a slice: warm servers by a hash, new ones last."""
        ids = filter(self.ready, sorted(self.servers))
        return sorted(ids, key=lambda s: (self.warmth(s) < 1, zlib.crc32(f"{number}:{s}".encode())))

    def detour(self, plan: dict[int, list[int]]) -> dict[int, list[int]]:
        can = {sid: self.capacity(sid) for sid in sorted(self.servers) if self.ready(sid)}
        load = {sid: self.servers[sid].foreign or 0.0 for sid in can}
        usable = {sid for sid in can if self.servers[sid].level > 0}
        if not usable:  # ejected servers are better than none
            usable, can = set(can), {sid: self.capacity(sid, whole=True) for sid in can}
        warm = {sid for sid in usable if self.warmth(sid) >= 1}
        # A lone assigner reads what an empty cache costs from a cold server's own reports.
        raw = {sid for sid in usable - warm if self.set.instances > 1 or self.servers[sid].capacity is None}
        part: dict[int, float] = {}
        pieces: dict[int, int] = {}
        for number, view in sorted(self.slices.items()):
            heat = self.heat(view)
            size = max((can.get(s, 0.0) for s in plan[number]), default=0.0) or max(can.values(), default=0.0)
            want = 1
            limit = MERGE if len(view.places) > 1 else SPLIT
            if size > 0 and heat > limit * size and not self.set.single_writer:
                want = min(PARTS_MOST, max(len(view.places), math.ceil(heat / (SPLIT * size))))
            pieces[number] = want
            part[number] = heat / want
            for sid in plan[number]:
                if sid in load:
                    load[sid] += part[number] * (COLD_MISS if sid in raw else 1.0)

        def cost(number: int, sid: int) -> float:
            """What the slice weighs there: dearer where its keys are not cached. The few keys that make
            a slice hot are soon cached anywhere."""
            known = pieces[number] > 1 or sid in self.slices[number].places
            if not self.set.warm_keys or (known and sid not in raw):
                return part[number]
            return part[number] * (COLD_MISS if sid in raw else MISS)

        def place(number: int) -> int | None:
            """The first alternate with room: first among those not above the fleet's mean load."""
            mean = sum(load[s] for s in usable) / max(sum(can[s] for s in usable), 1e-9)
            return first(number, min(ROOM, mean)) or first(number, ROOM)

        def first(number: int, room: float) -> int | None:
            for sid in self.ranking(number):
                if sid in usable and sid not in plan[number]:
                    allowed = base[sid] + (room * can[sid] - base[sid]) / self.set.instances
                    if load[sid] + cost(number, sid) <= allowed:
                        return sid
            return None

        def roomiest(number: int) -> int | None:
            """The warm server with most room; cold ones get nothing beyond their part while others are."""
            ids = [s for s in sorted(usable) if s not in plan[number] and can[s] > 0]
            return min(ids, key=lambda s: (s not in warm, (load[s] + cost(number, s)) / can[s]), default=None)

        def move(number: int, old: int | None, new: int) -> None:
            load[new] += cost(number, new)
            if old is not None:
                plan[number].remove(old)
                if old in load:
                    load[old] -= part[number] * (COLD_MISS if old in raw else 1.0)
            plan[number].append(new)

        # Slices that stand elsewhere stay there until their default has room to spare.
        for number, view in sorted(self.slices.items()):
            home = view.default
            if not view.places or home is None or home in view.places:
                continue
            held = next((s for s in view.places if s in usable), None)
            if held is None or (home in usable and load[home] <= RETURN * can[home]):
                continue
            if home not in warm or load[held] + part[number] <= SHORT * can[held]:
                move(number, home, held)
        base = dict(load)  # room and excess are seen by every assigner: each takes its part of them
        # Slices on draining or gone servers always move; on ejected ones not if that crowds the next server.
        for number in sorted(self.slices):
            home = next(iter(plan[number]), None)
            if home in usable:
                continue
            new = place(number) or roomiest(number)
            here = home in can and home in self.slices[number].places
            if new is not None and not (here and load[new] + cost(number, new) > SHORT * can[new]):
                move(number, home, new)
            elif home is not None and home not in can:
                plan[number] = []
        # Servers above the threshold shed in slice-number order.
        for sid in sorted(usable):
            excess = max(0.0, base[sid] - FULL * can[sid]) if sid in warm else 0.0
            for number in sorted(self.slices):
                if load[sid] <= FULL * can[sid] + excess * (1 - 1 / self.set.instances):
                    break
                if plan[number] != [sid] or part[number] <= 0.005 * can[sid]:
                    continue
                target = place(number)
                if target is None and sid not in warm:  # a cold server is spared all the same
                    target = next((s for s in [roomiest(number)] if s in warm), None)
                if target is not None:
                    move(number, sid, target)
        # Further places of slices that are spread.
        for number in sorted(self.slices):
            while plan[number] and len(plan[number]) < pieces[number]:
                kept = [s for s in self.slices[number].places if s in usable and s not in plan[number]]
                kept = [s for s in kept if load[s] + part[number] <= SHORT * can[s]]
                target = kept[0] if kept else place(number) or roomiest(number)
                if target is None or load[target] + cost(number, target) > SHORT * can[target]:
                    break
                move(number, None, target)
        return plan

    def allow_tries(self) -> None:
        """A further try spreads the refusals of one full server, but brings down the rest of a full fleet."""
        known = [v for sid, v in sorted(self.servers.items()) if self.ready(sid) and v.load is not None]
        busy = sum(v.entry.weight * (v.load or 0.0) for v in known)
        short = busy > (CROWDED if self.tries else CALM) * sum(v.entry.weight for v in known)
        tries = 0 if short else min(1, self.set.retry_default)
        if tries != self.tries:
            self.tries, self.levels_due, self.tries_told = tries, True, True

    def shed(self) -> None:
        """Lets in less when the whole fleet is short, classes of least worth for their work first. What a
        class costs is not told: its wanted time stands for it. Refusals go out at once, by the proxies."""
        if self.set.admit != "fraction" or not self.slices:
            return
        room = self.mine() * sum(self.capacity(s) for s in sorted(self.servers) if self.ready(s))
        offered = dict.fromkeys(range(len(self.set.classes)), 0.0)
        for _, view in sorted(self.slices.items()):
            for number, rate in view.heat.items():
                offered[number] += rate.value or 0.0
        work = {k: rate * self.set.classes[k].aim_s for k, rate in offered.items()}
        let_in = {k: self.levels.get(k, 1.0) for k in offered}  # the room is in requests of that mix
        room *= sum(work[k] * v for k, v in let_in.items())
        room /= max(sum(offered[k] * v for k, v in let_in.items()), 1e-9)
        levels = dict.fromkeys(offered, 1.0)
        if sum(work.values()) > room * (SHED_TO if min(let_in.values()) < 1 else SHED_AT):
            excess = sum(work.values()) - room * SHED_TO
            for k in sorted(work, key=lambda k: self.set.classes[k].worth / self.set.classes[k].aim_s):
                if work[k] > 0:
                    levels[k] = max(LEVEL_LEAST, 1 - excess / work[k])
                    excess -= work[k] * (1 - levels[k])
        step = max(abs(level - let_in[k]) for k, level in levels.items())
        if step >= LEVEL_STEP or (step > 0 and min(levels.values()) == 1):
            self.levels, self.levels_due = levels, True

    # Guard and publish --------------------------------------------------------------------------

    def table(self, number: int, places: list[int]) -> dict[int, float]:
        """The lines for a slice: its places, and a standby where a proxy's further try can go."""
        lines = dict.fromkeys(places, 1.0)
        if len(places) == 1 and not self.set.single_writer and self.set.retry_default + self.set.shun_after:
            whole = [s for s in self.ranking(number) if self.servers[s].level == len(LEVELS) - 1]
            whole = [s for s in whole if s not in lines and self.warmth(s) >= 1]
            lines.update(dict.fromkeys(whole[:1], STANDBY))
        return lines

    def publish(self, plan: dict[int, list[int]]) -> None:
        speed = self.set.channel_lines_per_s * SLOW_CHANNEL
        self.waiting = max(0.0, self.waiting - (self.now - self.drained) * speed)
        self.drained = self.now
        ordinary = self.now >= self.next_publish
        self.sent = [t for t in self.sent if t > self.now - self.set.messages_span_s - 1]
        full = self.set.messages_most and len(self.sent) >= self.set.messages_most - (1 if self.urgent else 5)
        if full or not (ordinary or self.urgent):
            return
        # Ordinary changes wait while reports are late, and after a start until there are enough of them.
        stale = self.now - self.reported > STALE_S + 2 * self.set.report_period_s
        stale = stale or self.now - self.first_reported < SETTLE * self.set.report_period_s
        must: list[int] = []
        may: list[int] = []
        for number, view in sorted(self.slices.items()):
            lost = [s for s in view.lines if not self.ready(s)]
            left = [s for s in view.places if s not in plan[number] and s in self.servers]
            weak = [s for s in left if self.servers[s].level == 0 or self.warmth(s) < 1]
            (must if lost or weak or not view.lines else may).append(number)
        proxies = max(1, len(self.proxies))
        budget = self.set.channel_limit - self.waiting - self.set.channel_head_lines * proxies
        spent = 0.0
        orders: list[api.Action] = []
        for number in must + (may if ordinary and not stale else []):
            changes = self.changes(number, plan[number])
            cost = len(changes) * proxies
            limit = 0.9 if number in must else BACKLOG
            if not changes or spent + cost > budget - (1 - limit) * self.set.channel_limit:
                continue
            spent += cost
            orders.extend(changes)
            self.commit(number, plan[number])
        if self.levels_due and (ordinary or orders):
            retry = self.retry_orders()
            orders.extend(retry)
            spent += len(retry) * proxies
            self.levels_due = False
        self.urgent = False
        if orders:
            self.actions.extend(orders)
            self.waiting += spent + self.set.channel_head_lines * proxies
            self.sent.append(self.now)
            self.next_publish = self.now + PUBLISH_S

    def changes(self, number: int, places: list[int]) -> list[api.SetLine]:
        old, new = self.slices[number].lines, self.table(number, places)
        if self.set.single_writer:
            return [api.SetLine(number, s, 1.0) for s in new if s not in old]
        added = [api.SetLine(number, s, w) for s, w in sorted(new.items()) if abs(old.get(s, 0.0) - w) > 1e-6]
        return added + [api.SetLine(number, s, 0.0) for s in sorted(old) if s not in new]

    def commit(self, number: int, places: list[int]) -> None:
        view = self.slices[number]
        view.default = next(iter(places), None) if view.default is None else view.default
        view.lines, view.places = self.table(number, places), list(places)

    def retry_orders(self) -> list[api.Action]:
        """At most one further try, after proof that the first never ran: safe for every class."""
        if self.levels:
            return [api.Admit(api.ALL_TABLES, 1 << k, v, self.tries) for k, v in sorted(self.levels.items())]
        return [api.Admit(api.ALL_TABLES, 0, 1.0, self.tries)] if self.tries_told else []

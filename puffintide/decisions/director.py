"""All decisions of puffintide. Types of settings, events and actions: puffintide/interface.py.

One Director serves one assigner: it observes, judges health, projects slices onto their default servers,
detours some, guards the rules and publishes what changed; docs/design.md tells why. Rates are a second's.
"""

from __future__ import annotations

import math
import zlib
from collections import defaultdict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from puffintide.decisions.actions import (
    ALL_SLICES,
    Action,
    SendCheckpoint,
    SendHealthCheck,
    SetAdmission,
    SetTimer,
    SetWeight,
    SetWithdrawn,
    WatchEndpoints,
)
from puffintide.decisions.events import (
    AssignerCountChanged,
    CapacityLimitChanged,
    CheckpointAcknowledged,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    HealthCheckResult,
    OwnershipChanged,
    PeerObservation,
    ProxyConnected,
    ProxyDisconnected,
    ServerLoadReport,
    SliceLoadReport,
    StoredWeight,
    TimerFired,
)
from puffintide.decisions.settings import Settings

ROUND_S = 0.25  # how often health is judged and urgent changes may go out
PUBLISH_S = 1.0  # pace of ordinary changes
PUT_OFF_S = 4.0  # and for how long urgent changes may put them off
WINDOW_S = 3.0  # memory of heat, rates and reported load
FULL = 0.85  # share of capacity above which a server sheds slices
ROOM = 0.75  # share of capacity up to which an alternate takes more
RETURN = 0.65  # a detoured slice goes home only if its default would stay below this
SHORT = 1.0  # share of capacity that a slice which stands elsewhere may fill its server to
STEADY_S = 8.0  # memory of capacity and of other assigners' load, which change slowly
IDLE = 0.15  # a server reporting less load than this tells little of its capacity
CROWDED = 0.8  # and one above this has a service time that tells of the crowd
JUMP = 1.6  # a capacity reading off by this factor is learned fast
MISS, COLD_MISS = 1.7, 1.5  # work that a slice brings to a warm or cold server without its keys, per request
WHOLE = 2.0  # slices that an assigner's part of a server must hold for the room to be divided evenly
SPLIT = 0.45  # a slice above this share of its server's capacity is spread, until below 0.55 of that
PARTS_MOST = 4
SURGE = 1.5  # what a key that becomes hot brings at once, in capacities of a warm server
STANDBY = 0.004  # weight of the second line, where a proxy's further try finds another server
SETTLE = 2.0  # report turns heard after a start before the ordinary plan and capacity are trusted
PROBE_S = 0.8
SILENT_S = 2.0  # time without a good answer before a server is suspect
PROBES_MISSED = 3
FAILING = 0.85  # share of failed tries that makes a server suspect
SINKING = 0.4  # and one that makes a server with too much planned for it shed to fuller ones
BLIND = 0.9  # a zone with more slowed or lost probes than this, unlike another: the link is slow, not they
SAFE = 0.5  # part of the load that makes a cold server fall, sent where no warm server is left
OUT_MOST = 0.6  # if more of the fleet than this looks bad, the cause is common: nobody is ejected
STEP_S = 2.0  # time without trouble for each level up; doubled for each ejection if there are no probes
LEVELS = (0.0, 0.15, 0.4, 1.0)
SHED_AT, SHED_TO = 0.9, 0.75  # demand over the fleet's capacity from which less is let in, down to which
LEVEL_LEAST, LEVEL_STEP = 0.2, 0.08  # least share of a class let in, least change worth a message
AGAIN = 2.0  # more room for each share that servers are less busy than levels meant
BACKLOG, MOST = 0.5, 0.95  # parts of the channel's limit that ordinary changes and all of them may fill
SPARE = 15  # lines for each proxy that urgent changes leave free, and a head, for the next withdrawals
LOST = 0.2  # a message counts as waiting until applied, or until the channel had sent it at this speed
USUAL = 0.5  # load of the median server, where nothing tells it
PROBES_KEPT = 200  # latest probes that tell how full servers are
REST_S = 4.0  # a slice that has moved does not go back for so long, but for a loss; outlasts WINDOW_S
FORGET_S = 600.0  # a server that is gone and in no table is forgotten: each machine has an id of its own
EASE = 0.005  # share of failed tries up to which a server with quick probes shows no sign of a queue
SLOWED = 1.25  # a probe that takes this many times the server's quickest had to share or wait


Plan = dict[int, list[int]]  # the servers of each slice


def smooth(old: float | None, new: float, span: float, memory: float = WINDOW_S) -> float:
    """An average that forgets over a memory, whatever the span of each sample."""
    return new if old is None else old + (new - old) * (1 - math.exp(-max(span, 0.1) / memory))


def learn(old: float | None, new: float, sure: bool = False) -> float:
    """A slow average for what seldom changes, fast when the reading is sure or far off."""
    far = sure or (old is not None and not old / JUMP < new < old * JUMP)
    return smooth(old, new, ROUND_S, WINDOW_S / 2 if far else STEADY_S)


@dataclass(slots=True)
class Rate:
    """Requests a second from counts over spans."""

    value: float = 0.0
    heard: float = -math.inf

    def add(self, now: float, count: float, span: float) -> None:
        self.value = smooth(self.value if self.heard > 0 else None, count / span, span)
        self.heard = now


@dataclass(slots=True)
class ServerView:
    entry: Endpoint
    since: float  # when it was first heard of, or restarted
    good: defaultdict[int, Rate] = field(default_factory=lambda: defaultdict(Rate))  # answers, by proxy zone
    held: defaultdict[int, Rate] = field(default_factory=lambda: defaultdict(Rate))  # tries under way
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
    next_probe: float = 0.0
    slowed: bool = False  # the last probe, or it was lost
    streak: int = 0  # probes answered in a row; below 0: unanswered
    level: int = len(LEVELS) - 1
    level_since: float = 0.0
    ejections: int = 0
    lost_since: float | None = None  # told that it drains or is gone
    left: bool = False  # that was told by another assigner, whose list is younger than ours


@dataclass(slots=True)
class SliceView:
    default: int | None = None
    lines: dict[int, float] = field(default_factory=dict)  # the table as the store has it
    heat: defaultdict[int, Rate] = field(default_factory=lambda: defaultdict(Rate))  # by class
    places: list[int] = field(default_factory=list)  # servers that share it evenly
    former: list[int] = field(default_factory=list)  # those before
    moved: float = -math.inf  # when these last changed


class Director:
    def __init__(self, settings: Settings) -> None:
        self.set = settings
        self.servers: dict[int, ServerView] = {}
        self.slices: dict[int, SliceView] = {}
        self.proxies: set[int] = set()
        self.now = -math.inf
        self.actions: list[Action] = []
        self.urgent = self.levels_due = self.rejoined = False  # rejoined: a proxy that knows no withdrawals
        self.next_watch = 0.0 if settings.watch_on_request else math.inf
        self.next_publish = self.ordinary_at = 0.0
        self.waiting = 0.0  # lines in the channel or on their way
        self.marks: dict[int, tuple[float, float, set[int]]] = {}  # when sent, lines each, not yet applied by
        self.sent: list[float] = []  # times of past publishes, each at most one message a proxy
        self.withdrawn: set[int] = set()  # servers shut out of all tables of this assigner's slices
        self.levels: dict[int, float] = {}  # share of each class let in
        self.reported, self.first_reported = -math.inf, math.inf  # when anything was heard from proxies
        self.charged, self.taken = 0.0, -math.inf  # when a slice was last given or taken, and when taken
        self.per_size: float | None = None  # capacity of a server of listed size 1, fleet-wide
        self.copied = False  # that is another assigner's reading
        self.probed: deque[tuple[float, bool]] = deque(maxlen=PROBES_KEPT)  # in flight per size; slowed?
        self.blind: set[int] = set()  # zones whose probes tell of the way there, not of servers
        self.bounds: dict[int, float] = {}  # shares of capacity to plan with, where a zone plan bounds them
        self.in_work = 0.0  # requests in work per listed size at a full server
        self.orders: dict[
            tuple[int, int | None], list[int]
        ] = {}  # alternates of each slice, while the servers below stand
        self.orders_for: list[tuple[bool, int]] = []

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        due = self.now < 0 or any(isinstance(event, TimerFired) for event in events)
        self.now, self.actions = now, [SetTimer(ROUND_S, 1)] if due else []
        for event in events:
            self.observe(event)
        self.first_reported = min(self.first_reported, self.now if self.reported > 0 else math.inf)
        if due or self.urgent:
            self.round()
        return self.actions

    def round(self) -> None:
        if self.now >= self.next_watch:
            self.actions.append(WatchEndpoints(True))
            self.next_watch = math.inf
        self.judge_health()
        self.probe()
        self.estimate()
        plan = self.detour(self.project())
        self.shed()
        self.publish(plan)

    def observe(self, event: Event) -> None:
        match event:
            case ServerLoadReport():
                self.see_load(event)
            case SliceLoadReport():
                view = self.slices.get(event.slice_id)
                if view is not None and event.interval_s > 0:
                    self.reported = self.now
                    view.heat[event.class_index].add(self.now, event.requests, event.interval_s)
            case EndpointListUpdate():
                self.see_list(event)
            case OwnershipChanged():
                self.charged = self.now
                if self.slices.pop(event.slice_id, None) is not None and not event.granted:
                    self.taken = self.now
                if event.granted:
                    self.slices[event.slice_id] = SliceView()
                    self.urgent = self.levels_due = True
            case StoredWeight():
                view = self.slices.get(event.slice_id)
                if view is not None and event.weight > 0:
                    view.lines[event.server_id] = event.weight
                    half = max(view.lines.values()) / 2
                    view.places = [s for s, weight in sorted(view.lines.items()) if weight >= half]
                    view.default = view.places[0]
            case ProxyConnected():
                self.proxies.add(event.proxy_id)
                self.levels_due = self.rejoined = True
            case CheckpointAcknowledged():
                self.marks.get(event.checkpoint_id, (0, 0, set[int]()))[2].discard(event.proxy_id)
            case ProxyDisconnected():
                self.proxies.discard(event.proxy_id)
            case HealthCheckResult():
                self.see_probe(event)
            case AssignerCountChanged():  # each takes its part of the room; alone, nobody else's load is there
                self.set = replace(self.set, assigner_count=max(1, event.count))
                for server in self.servers.values() if event.count <= 1 else ():
                    server.foreign = None
            case PeerObservation():
                self.see_copy(event)
            case CapacityLimitChanged():
                self.bounds.pop(event.server_id, None)
                if event.fraction < 1:
                    self.bounds[event.server_id] = event.fraction

    def see_list(self, event: EndpointListUpdate) -> None:
        if event.update_type == "failed":
            self.next_watch = self.now + 0.5
            return
        listed = {entry.server_id for entry in event.endpoints}
        for entry in event.endpoints:
            view = self.servers.get(entry.server_id)
            self.urgent |= view is None or replace(view.entry, weight=entry.weight) != entry
            if view is None or (
                entry.status == EndpointStatus.READY and entry.started_at_s > view.entry.started_at_s
            ):
                self.servers[entry.server_id] = view = ServerView(
                    entry, self.now
                )  # new, or a restart: start anew
            view.entry, view.left = entry, False
        for sid, view in sorted(self.servers.items()) if event.update_type != "delta" else []:
            if sid not in listed and view.entry.status != EndpointStatus.REMOVED:
                view.entry = replace(view.entry, status=EndpointStatus.REMOVED)
                self.urgent = True
        for sid, view in self.servers.items():
            view.lost_since = None if self.ready(sid) else view.lost_since or self.now
        old = {s for s, v in self.servers.items() if v.entry.status == EndpointStatus.REMOVED}
        old = {s for s in old if self.now - (self.servers[s].lost_since or self.now) > FORGET_S}
        for sid in old.difference(*(view.lines for view in self.slices.values())):
            del self.servers[sid]

    def see_load(self, event: ServerLoadReport) -> None:
        view = self.servers.get(event.server_id)
        if view is None or event.interval_s <= 0 or event.failed_attempts > event.attempts:
            return
        self.reported = self.now
        good = event.attempts - event.failed_attempts
        view.good[event.proxy_zone].add(self.now, good, event.interval_s)
        view.held[event.proxy_zone].add(
            self.now, good * event.mean_latency_s, event.interval_s
        )  # Little's law
        if event.attempts:
            view.failing = smooth(
                view.failing, event.failed_attempts / event.attempts, event.interval_s * event.attempts / 3
            )
        if good:
            view.last_good = self.now
        self.see_values(view, event.load_values)

    def see_values(self, view: ServerView, values: tuple[float, ...]) -> None:
        for name, value in zip(self.set.load_value_names, values, strict=False):
            if name == "busy" and 0 <= value <= 1.5:
                view.load = smooth(view.load, min(value, 1.0), self.set.report_period_s)
            elif name == "rif" and 0 <= value < 1e5:
                view.latest = value
                view.inflight = smooth(view.inflight, value, self.set.report_period_s)
            elif name == "lat_ms" and 0 < value < math.inf:
                view.service_s = smooth(view.service_s, value / 1000, self.set.report_period_s)

    def see_probe(self, event: HealthCheckResult) -> None:
        view = self.servers.get(event.server_id)
        if view is None or event.status not in (0, 3, 4, 5):
            return
        view.streak = max(view.streak, 0) + 1 if event.status == 0 else min(view.streak, 0) - 1
        if event.status == 0:
            view.quickest = min(view.quickest, event.elapsed_s)
            self.see_values(view, event.load_values)
        view.slowed = event.status != 0 or event.elapsed_s > SLOWED * view.quickest
        if event.status in (0, 3) and view.inflight is not None and view.entry.zone not in self.blind:
            self.probed.append((view.latest / max(view.entry.weight, 1e-9), view.slowed))

    def see_copy(self, event: PeerObservation) -> None:
        """Guards against a blind start, and against a list that does not reach us: what others found out counts
        until we have found out ourselves."""
        view = self.servers.get(event.server_id)
        if view is not None and event.is_leaving is not None:
            view.left, self.urgent = event.is_leaving, True
            view.lost_since = None if self.ready(event.server_id) else view.lost_since or self.now
        if event.capacity_per_s > 0 and not self.per_size:
            self.per_size, self.copied = event.capacity_per_s, True
        if view is not None and 0 <= event.recovery_level < view.level and view.last_good == 0:
            view.level, view.level_since, self.urgent = event.recovery_level, self.now, True

    def findings(self) -> tuple[float | None, dict[int, int]]:
        """For other assigners: the fleet's capacity as learned here, and servers below their full level."""
        levels = {s: v.level for s, v in sorted(self.servers.items()) if self.ready(s)}
        return self.per_size, {s: level for s, level in levels.items() if level < len(LEVELS) - 1}

    def ready(self, sid: int) -> bool:
        view = self.servers.get(sid)
        return view is not None and view.entry.status == EndpointStatus.READY and not view.left

    def ready_views(self) -> list[ServerView]:
        return [view for sid, view in sorted(self.servers.items()) if self.ready(sid)]

    def warmth(self, sid: int) -> float:
        """The least share of its capacity that a server can have by now, since its start."""
        view = self.servers[sid]
        if view.entry.started_at_s <= 0 or self.set.slow_start_duration_s <= 0:
            return 1.0
        age = max(0.0, self.now - view.entry.started_at_s) / self.set.slow_start_duration_s
        return min(1.0, self.set.slow_start_min_fraction + (1 - self.set.slow_start_min_fraction) * age)

    def judge_health(self) -> None:
        """Finds servers that are listed ready and do not answer; lets them back by levels. When most look
        bad, or reports are late for all, the cause is common and nobody is ejected."""
        ready = self.ready_views()
        zones = {z: [v.slowed for v in ready if v.entry.zone == z] for z in {v.entry.zone for v in ready}}
        shares = {zone: sum(slowed) / len(slowed) for zone, slowed in sorted(zones.items())}
        self.blind = {z for z, share in shares.items() if share > BLIND and min(shares.values()) < 0.5}
        bad = {v.entry.server_id for v in ready if self.suspect(v)}
        if len(bad) > OUT_MOST * len(ready):
            return
        for view in ready:
            if view.entry.server_id in bad and view.level > 0:
                view.level, view.level_since, view.ejections = 0, self.now, view.ejections + 1
                self.urgent = True
            elif view.entry.server_id not in bad and self.proved(view):
                view.level, view.level_since = view.level + 1, self.now
                view.failing, view.streak, view.load = None, max(view.streak, 0), None

    def suspect(self, view: ServerView) -> bool:
        seen = view.entry.zone not in self.blind
        if view.level == 0:
            return seen and view.streak < 0
        # Late reports are no silence, and one that still answers some is crowded: its capacity tells that.
        silent = self.reported - max(view.last_good, view.level_since, view.since)
        mute = (view.failing or 0.0) > FAILING or (seen and view.streak <= -PROBES_MISSED)
        return mute and silent > max(1.5 * self.set.report_period_s, SILENT_S)

    def proved(self, view: ServerView) -> bool:
        wait: float = 1 if view.last_good > view.level_since else 2
        if view.level == 0:
            probed = self.set.health_checks_enabled and view.entry.zone not in self.blind
            wait = 1 if probed and view.streak >= 2 else math.inf if probed else 2 ** min(view.ejections, 4)
        return view.level < len(LEVELS) - 1 and self.now - view.level_since > STEP_S * wait

    def probe(self) -> None:
        """First probes at once, the next spread by id so that not all go out together."""
        for view in self.ready_views() if self.set.health_checks_enabled else []:
            if self.now >= view.next_probe:
                self.actions.append(SendHealthCheck(view.entry.server_id))
                spread = (
                    1.0 if view.next_probe else zlib.crc32(f"{view.entry.server_id}".encode()) % 1000 / 1000
                )
                view.next_probe = self.now + PROBE_S * spread

    def heat(self, view: SliceView) -> float:
        # What came is told, refused requests with it.
        return sum(r.value * self.levels.get(k, 1.0) for k, r in sorted(view.heat.items()))

    def turn(self) -> float:
        """The time in which all in charge is heard of: of many slices and servers reports take turns."""
        lines = len(self.slices) * len(self.set.request_classes) + len(self.servers) * max(
            1, self.set.zone_count
        )
        return max(self.set.report_period_s, lines / max(self.set.report_entries_per_s, 1.0))

    def window(self) -> float:
        """What was not heard of for longer counts as nothing."""
        return max(2 * WINDOW_S, 3 * self.turn())

    def recent(self, rates: dict[int, Rate]) -> float:
        window = self.window()
        return sum(rate.value for rate in rates.values() if self.now - rate.heard < window)

    def read_inflight(self, ready: list[ServerView]) -> None:
        """A load from requests in flight. As many servers are full as probes were slowed, and the count that
        parts the fleet so is a full server's. Without probes the median server is taken to be at USUAL. Where
        servers tell no counts, what other assigners bring to a warm one is taken as even: slices lie by a hash."""
        size = sum(v.entry.weight for v in ready if self.warmth(v.entry.server_id) >= 1)
        ours, share = sum(self.recent(v.held) for v in ready), len(self.slices) / max(1, self.set.slice_count)
        blank = "rif" not in self.set.load_value_names and share > 0 and size > 0
        others = ours * (1 / share - 1) / size if blank else 0.0
        brought = {v.entry.server_id: others if self.warmth(v.entry.server_id) >= 1 else 0.0 for v in ready}
        held = sorted(self.recent(v.held) / v.entry.weight + brought[v.entry.server_id] for v in ready)
        if len(self.probed) >= PROBES_KEPT / 5:
            free = sum(not slowed for _, slowed in self.probed)
            self.in_work = sorted(count for count, _ in self.probed)[min(free, len(self.probed) - 1)]
        elif held and held[len(held) // 2] > 0:
            self.in_work = held[len(held) // 2] / USUAL
        for v in ready:
            own = self.recent(v.held)
            # A lone assigner's answers tell all, with less noise; but answer times hold a slow link's way.
            lone = self.set.assigner_count == 1 and not self.blind
            guess = own + brought[v.entry.server_id] * v.entry.weight
            total = own if lone else guess if v.inflight is None else v.inflight
            if (own > 0 or (v.inflight is None and total > 0)) and self.in_work > 0:
                v.load = min(1.0, total / (v.entry.weight * self.in_work))

    def estimate(self) -> None:
        """Capacity = served rate over load, fleet-wide by listed size and for each server."""
        ready = [v for v in self.ready_views() if v.entry.weight > 0]
        if "busy" not in self.set.load_value_names:
            self.read_inflight(ready)
        for v in ready:  # a server with more of our requests than it reports is not believed: it is full
            told = math.inf if v.inflight is None or self.blind else v.inflight
            if v.load is not None and v.load < CROWDED and self.recent(v.held) > 3 * told + 3:
                v.load = 1.0
        known = [(v, v.load, self.recent(v.good)) for v in ready if v.load is not None]
        work = sum(v.entry.weight * load for v, load, _ in known)
        rate = sum(good for *_, good in known) * max(1, self.set.slice_count) / max(1, len(self.slices))
        if self.slices and rate > 0 and work > IDLE / 2 * sum(v.entry.weight for v, *_ in known):
            # Answers of slices that were taken are no measure of those left: they count until forgotten.
            matched = self.now - self.taken >= self.window()
            if matched and self.now - max(self.first_reported, self.charged) >= SETTLE * self.turn():
                self.per_size = learn(self.per_size, rate / work)
            elif self.charged <= self.first_reported and not self.copied:
                self.per_size = rate / work  # a first idea
        if self.set.assigner_count == 1:
            for v, load, good in known:
                warmth = self.warmth(v.entry.server_id)
                if warmth >= 1 and load > IDLE and good > 0:
                    sure = (
                        "busy" in self.set.load_value_names and load > FULL
                    )  # a full server shows all it can
                    v.capacity = learn(v.capacity, good / load, sure)
        elif self.per_size is not None:
            # Service times tell a server's pace between idling and crowding; the rest shows as foreign load.
            paced = [
                v for v, load, _ in known if IDLE < load < CROWDED and self.warmth(v.entry.server_id) >= 1
            ]
            timed = [(v, v.service_s) for v in paced if v.service_s]
            times = sorted(time for _, time in timed)
            for v, time in timed:
                v.pace = learn(v.pace, min(times[len(times) // 2] / time, JUMP))
            for v in ready:
                v.capacity = self.per_size * v.entry.weight * v.pace
            for v, load, good in known:
                other = load * (v.capacity or 0.0) * self.warmth(v.entry.server_id) - good
                v.foreign = smooth(v.foreign, max(0.0, other), ROUND_S, STEADY_S)

    def capacity(self, sid: int, whole: bool = False) -> float:
        """What the server can do now, all assigners together; whole: whatever its level."""
        view = self.servers[sid]
        known = view.capacity or (self.per_size or 1.0) * view.entry.weight
        return known * (1.0 if whole else LEVELS[view.level] * self.bounds.get(sid, 1.0)) * self.warmth(sid)

    def project(self) -> Plan:
        """Every slice on its default server; a slice hotter than its server's part gets more places."""
        return {n: [] if v.default is None else [v.default] for n, v in sorted(self.slices.items())}

    def ranking(self, number: int) -> list[int]:
        """The fixed order of alternates for a slice: warm servers by a hash, new ones last."""
        key = number, self.slices[number].default
        if key not in self.orders:
            home = self.servers.get(self.slices[number].default or 0)
            tiers = (
                self.set.zone_distances[home.entry.zone] if self.set.zone_distances and home else (0,) * 256
            )
            ids = [
                (cold, tiers[self.servers[s].entry.zone], zlib.crc32(b"%d:%d" % (number, s)), s)
                for cold, s in self.orders_for
            ]
            self.orders[key] = [s for *_, s in sorted(ids)]
        return self.orders[key]

    def ours(self, sid: int) -> bool:
        """Whether a server is among those whose room this assigner has alone: as many as its part of the
        slices, so that those of the dead count too."""
        turn = zlib.crc32(f"{sid}".encode()) / 2**32 - self.set.assigner_index / self.set.assigner_count
        return turn % 1 < len(self.slices) / max(1, self.set.slice_count)

    def at_ease(self, sid: int) -> bool:
        """Guards against readings of load that swing: by others' counts, or a capacity learned from few
        probes, a server looks full that keeps nobody waiting. Each move would cost its keys."""
        view = self.servers[sid]
        return (
            self.set.health_checks_enabled
            and view.streak > 0
            and not view.slowed
            and (view.failing or 0.0) < EASE
        )

    def detour(self, plan: Plan) -> Plan:
        can = {sid: self.capacity(sid) for sid in sorted(self.servers) if self.ready(sid)}
        standing = [(self.warmth(sid) < 1, sid) for sid in can]
        if standing != self.orders_for:  # orders are worked out anew only when the list or warmth changes
            self.orders_for, self.orders = standing, {}
        load = {sid: self.servers[sid].foreign or 0.0 for sid in can}
        usable = {s for s in can if self.servers[s].level * self.bounds.get(s, 1.0) > 0} - self.withdrawn
        if not usable:  # ejected servers are better than none
            usable, can = set(can), {sid: self.capacity(sid, whole=True) for sid in can}
        warm = {sid for sid in usable if self.warmth(sid) >= 1}
        raw = usable - warm
        lame = all(self.warmth(sid) < 1 for sid in can)  # then nobody need be served, and none may fall over
        # All assigners see the same room and the same excess. Each takes its part of both, where that holds
        # some slices whole. Smaller parts stay empty and the fleet's room unused: there each has all the room
        # of some servers and none of the others', and sheds as its part of the load.
        even = (
            self.set.assigner_count == 1 or self.set.slice_count >= WHOLE * len(can) * self.set.assigner_count
        )
        parts = {sid: 1 / self.set.assigner_count if even else float(self.ours(sid)) for sid in can}
        part: dict[int, float] = {}
        pieces = dict.fromkeys(self.slices, 1)
        for number, view in sorted(self.slices.items()):
            heat = self.heat(view)
            size = max((can.get(s, 0.0) for s in plan[number]), default=0.0) or max(can.values(), default=0.0)
            limit = 0.55 * SPLIT if len(view.places) > 1 else SPLIT
            if size > 0 and heat > limit * size and not self.set.single_writer:
                pieces[number] = min(PARTS_MOST, max(len(view.places), math.ceil(heat / (SPLIT * size))))
            part[number] = heat / pieces[number]
            for sid in plan[number]:
                if sid in load:
                    load[sid] += part[number] * (COLD_MISS if sid in raw else 1.0)
        total, most = sum(load[s] for s in usable), max(sum(can[s] for s in usable), 1e-9)

        def cost(number: int, sid: int) -> float:
            """Dearer where its keys are not cached; the few that make a slice hot soon are anywhere."""
            known = pieces[number] > 1 or sid in self.slices[number].places
            if not self.set.caches_keys or (known and sid not in raw):
                return part[number]
            return part[number] * (COLD_MISS if sid in raw else MISS)

        def place(number: int, fill: float = ROOM) -> int | None:
            even = (
                [] if self.set.zone_distances else [min(ROOM, total / most)]
            )  # else the nearest are filled first
            for room in [*even, fill]:  # first those not above the fleet's mean load
                for sid in self.ranking(number):
                    # A hot key shows first as a slice that is large for a cold server, and grows tenfold
                    # there within one turn of reports: nothing else on it evens that out.
                    large = sid in raw and cost(number, sid) > SPLIT * can[sid]
                    if sid in usable and sid not in plan[number] and not large:
                        allowed = base[sid] + (room * can[sid] - base[sid]) * parts[sid]
                        if load[sid] + cost(number, sid) <= allowed:
                            return sid
            return None

        def roomiest(number: int) -> int | None:
            """The warm server with most room; a cold one only up to a safe part of what makes it fall."""
            ids = [s for s in sorted(usable) if s not in plan[number] and can[s] > 0]
            best = min(ids, key=lambda s: (s not in warm, (load[s] + cost(number, s)) / can[s]), default=None)
            if best is None or not lame:
                return best
            room = (SAFE * self.set.collapse_load_ratio * can[best] - base[best]) / self.set.assigner_count
            return best if load[best] + cost(number, best) <= base[best] + room else None

        def move(number: int, old: int | None, new: int) -> None:
            nonlocal total
            load[new] += cost(number, new)
            total += cost(number, new) - (part[number] if old in usable else 0.0)
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
            held = next((s for s in view.places if s in (usable if home in warm else can)), None)
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
        alone: defaultdict[int, list[int]] = defaultdict(list)
        for number in sorted(self.slices):
            for sid in plan[number]:
                alone[sid].append(number)
        for sid in sorted(usable):
            if sid in warm and self.at_ease(sid):
                continue
            excess = max(0.0, base[sid] - FULL * can[sid]) if sid in warm else 0.0
            others = (self.servers[sid].foreign or 0.0) / max(base[sid], 1e-9)
            mine = 1 / self.set.assigner_count if even else 1 - others
            for number in alone[sid]:
                if load[sid] <= FULL * can[sid] + excess * (1 - mine):
                    break
                if part[number] <= 0.005 * can[sid]:  # not worth a move
                    continue
                target = place(number)
                if target is None and sid not in warm:  # a cold server is spared all the same
                    target = next((s for s in [roomiest(number)] if s in warm), None)
                # Twice what it can do is planned there and much of it fails, after losses or for hot slices:
                # where all are short, any other that stays within its own capacity is better.
                sinking = load[sid] > 2 * can[sid] and (self.servers[sid].failing or 0.0) > SINKING
                if target is None and sinking:
                    target = place(number, SHORT)
                if target is not None:
                    move(number, sid, target)
                elif lame and load[sid] > SAFE * self.set.collapse_load_ratio * can[sid]:
                    plan[number], load[sid] = [], load[sid] - part[number] * COLD_MISS
        # A key that becomes hot is told of when it has pushed a cold server over: what would stand there alone
        # gets a second place, as long as one such slice would do that.
        frail = {s for s in raw if self.set.collapse_load_ratio * self.warmth(s) < SURGE}
        for number in sorted(self.slices):
            if (
                pieces[number] == 1
                and plan[number]
                and plan[number][0] in frail
                and not self.set.single_writer
            ):
                pieces[number], part[number] = 2, part[number] / 2
                load[plan[number][0]] -= part[number] * COLD_MISS
        # Further places of slices that are spread.
        for number in sorted(self.slices):
            while plan[number] and len(plan[number]) < pieces[number]:
                kept = [s for s in self.slices[number].places if s in usable and s not in plan[number]]
                kept = [s for s in kept if load[s] + part[number] <= SHORT * can[s]]
                target = kept[0] if kept else place(number) or roomiest(number)
                if target is None or load[target] + cost(number, target) > SHORT * can[target]:
                    break
                move(number, None, target)
            # What finds no place falls on those it has. A cold one among them would be pushed over.
            for sid in [s for s in plan[number] if s in raw and len(plan[number]) < pieces[number]]:
                spared = roomiest(number)
                if spared in warm:
                    move(number, sid, spared)
        return plan

    def shed(self) -> None:
        """Lets in less when the fleet is short, least worth for its work (told by the wanted time) first. Until it
        was read what the fleet can do, and for two report turns, that is a guess and refuses nobody."""
        read = self.per_size is not None or any(v.capacity for v in self.ready_views())
        early = not read or self.now - self.first_reported < SETTLE * self.turn()
        if self.set.admission_mode != "fraction" or not self.slices or early:
            return
        room = (
            sum(self.capacity(v.entry.server_id) for v in self.ready_views())
            * len(self.slices)
            / self.set.slice_count
        )
        offered = dict.fromkeys(range(len(self.set.request_classes)), 0.0)
        for number, rate in (pair for _, v in sorted(self.slices.items()) for pair in v.heat.items()):
            offered[number] += rate.value
        work = {k: rate * self.set.request_classes[k].latency_objective_s for k, rate in offered.items()}
        let_in = {k: self.levels.get(k, 1.0) for k in offered}  # the room is in requests of that mix
        room *= sum(work[k] * v for k, v in let_in.items())
        room /= max(sum(offered[k] * v for k, v in let_in.items()), 1e-9)
        levels = dict.fromkeys(offered, 1.0)
        busy = [v.load for v in self.ready_views() if v.load is not None]  # clients come again
        room *= 1 + AGAIN * (min(let_in.values()) < 1) * max(0.0, SHED_TO - sum(busy) / max(1, len(busy)))
        if sum(work.values()) > room * (SHED_TO if min(let_in.values()) < 1 else SHED_AT):
            excess = sum(work.values()) - room * SHED_TO
            for k in sorted(
                work,
                key=lambda k: (
                    self.set.request_classes[k].priority_weight
                    / self.set.request_classes[k].latency_objective_s
                ),
            ):
                if work[k] > 0:
                    levels[k] = max(LEVEL_LEAST, 1 - excess / work[k])
                    excess -= work[k] * (1 - levels[k])
        step = max(abs(level - let_in[k]) for k, level in levels.items())
        if step >= LEVEL_STEP or (step > 0 and min(levels.values()) == 1):
            self.levels, self.levels_due = levels, True

    def table(self, number: int, places: list[int]) -> dict[int, float]:
        """The lines for a slice: its places, and a standby where a proxy's further try can go."""
        lines = dict.fromkeys(places, 1.0)
        if (
            len(places) == 1
            and not self.set.single_writer
            and self.set.default_retry_mode + self.set.proxy_ejection_failures
        ):
            whole = (s for s in self.ranking(number) if self.servers[s].level == len(LEVELS) - 1)
            spare = next((s for s in whole if s not in lines and s not in self.withdrawn), None)
            if spare is not None and self.warmth(spare) >= 1:
                lines[spare] = STANDBY
        return lines

    def publish(self, plan: Plan) -> None:
        longest = self.set.channel_capacity_entries / (LOST * self.set.channel_entries_per_s)
        self.marks = {n: mark for n, mark in self.marks.items() if mark[2] and self.now - mark[0] < longest}
        self.waiting = sum(lines * len(late & self.proxies) for _, lines, late in self.marks.values())
        ordinary = self.now >= self.next_publish
        self.sent = [t for t in self.sent if t > self.now - self.set.message_window_s - 1]
        full = self.set.max_messages_per_window and len(self.sent) >= self.set.max_messages_per_window - (
            1 if self.urgent else 5
        )
        if full or not (ordinary or self.urgent):
            return
        # Ordinary changes wait while reports are late, and after a start until there are enough of them.
        stale = self.now - self.reported > WINDOW_S + 2 * self.set.report_period_s
        stale = stale or self.now - self.first_reported < SETTLE * self.turn()
        must: list[int] = []
        for number, view in sorted(self.slices.items()):
            lost = [s for s in view.lines if not self.ready(s) and s not in self.withdrawn]
            left = [s for s in view.places if s in self.servers and set(view.places) != set(plan[number])]
            weak = [s for s in left if self.warmth(s) < 1 or not (self.servers[s].level or s in plan[number])]
            if lost or weak or not any(self.ready(s) and s not in self.withdrawn for s in view.lines):
                must.append(number)
        fresh = {n: v for n, v in self.slices.items() if self.now - v.moved < REST_S}
        rests = {n for n, v in fresh.items() if set(plan[n]) == set(v.former)}
        may = sorted(self.slices.keys() - must - rests) if ordinary and not stale else []
        # At stake first: slices of lost servers, then of cold ones, each time the hottest first.
        whole = {s for s in self.servers if self.ready(s) and self.warmth(s) >= 1}
        must.sort(key=lambda n: (not whole.isdisjoint(self.slices[n].places), -self.heat(self.slices[n]), n))
        proxies, limit = max(1, len(self.proxies)), self.set.channel_capacity_entries
        budget = MOST * limit - self.waiting - self.set.channel_header_entries * proxies
        ample = budget - min((self.set.channel_header_entries + SPARE) * proxies, limit / 3)
        self.urgent = False
        orders = self.shut_out(plan, must, budget, ample)
        for number, urgent in [(n, True) for n in must] + [(n, False) for n in may]:
            changes = self.changes(number, plan[number], tidy=not urgent)
            room = ample if urgent else min(ample, budget - (MOST - BACKLOG) * limit)
            if changes and (len(orders) + len(changes)) * proxies <= room:
                orders += changes
                self.commit(number, plan[number], changes)
        retry = self.retry_orders() if self.levels_due and (ordinary or orders) else []
        if retry and (len(orders) + len(retry)) * proxies <= ample:
            orders += retry
            self.levels_due = False
        if orders:
            number = int(self.now * 1000) % 65536
            orders.append(SendCheckpoint(number))  # its answers tell how fast the channel really is
            self.marks[number] = self.now, len(orders) + self.set.channel_header_entries, set(self.proxies)
            self.actions.extend(orders)
            self.sent.append(self.now)
            # Urgent changes put ordinary ones off, yet not for ever: in a large fleet they never stop.
            self.ordinary_at = self.now if ordinary else self.ordinary_at
            pace = max(1.0, self.set.assigner_count / 2) * PUBLISH_S
            self.next_publish = min(self.now + pace, self.ordinary_at + max(pace, PUT_OFF_S))

    def shut_out(self, plan: Plan, must: list[int], budget: float, ample: float) -> list[Action]:
        """Withdraws lost servers, at one line a proxy, where rewriting their tables would outlast the grace
        (waves, large fleets). They are let in when ready and no table names them against the plan."""
        held = {s for view in self.slices.values() for s in view.lines}
        lost = [s for s in sorted(held - self.withdrawn) if s in self.servers and not self.ready(s)]
        told = min((self.servers[s].lost_since or self.now for s in lost), default=self.now)
        left = self.set.drain_grace_s - (self.now - told) - self.set.channel_delay_max_s - ROUND_S
        lines = sum(len(self.changes(n, plan[n], tidy=False)) for n in must) if lost else 0
        proxies = max(1, len(self.proxies))
        if lines * proxies <= min(left * self.set.channel_entries_per_s - self.waiting, ample):
            lost = []
        astray = {s for n, view in self.slices.items() for s in view.lines if s not in plan[n]}
        back = [s for s in sorted(self.withdrawn - astray) if self.ready(s) or s not in self.servers]
        again = sorted(self.withdrawn & held) if self.rejoined else []
        most = int(budget / proxies) if budget >= min(SPARE, len(lost)) * proxies else 0  # not one by one
        chosen = (lost + back + again)[:most]
        self.urgent, self.rejoined = len(chosen) < len(lost), len(chosen) < len(lost + back + again)
        self.withdrawn = self.withdrawn.union(lost[:most]).difference(set(back) & set(chosen))
        return [SetWithdrawn(s, s not in back) for s in dict.fromkeys(chosen)]

    def changes(self, number: int, places: list[int], tidy: bool) -> list[SetWeight]:
        """New lines first. Lines of servers that are shut out wait for an ordinary change."""
        old, new = self.slices[number].lines, self.table(number, places)
        if self.set.single_writer:
            return [SetWeight(number, s, 1.0) for s in new if s not in old]
        added = [SetWeight(number, s, w) for s, w in sorted(new.items()) if abs(old.get(s, 0.0) - w) > 1e-6]
        drop = [s for s in sorted(old) if s not in new and (tidy or s not in self.withdrawn)]
        return added + [SetWeight(number, s, 0.0) for s in drop]

    def commit(self, number: int, places: list[int], changes: list[SetWeight]) -> None:
        view = self.slices[number]
        view.default = next(iter(places), None) if view.default is None else view.default
        if set(places) != set(view.places):
            view.former, view.moved = view.places, self.now
        lines = ({} if self.set.single_writer else view.lines) | {c.server_id: c.weight for c in changes}
        view.lines, view.places = {s: w for s, w in lines.items() if w > 0}, list(places)

    def retry_orders(self) -> list[Action]:
        tries = min(
            1, self.set.default_retry_mode
        )  # after proof that the first never ran: safe for every class
        usual = [(0, 1.0)] if tries < self.set.default_retry_mode else []
        levels = sorted((1 << k, v) for k, v in self.levels.items()) or usual
        return [SetAdmission(ALL_SLICES, classes, v, tries) for classes, v in levels]

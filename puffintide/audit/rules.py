"""The five rules and single ownership, judged from records alone. Pure: records and facts in, findings out.

Everything is worked out from what passed between the parties: who was joined to whom and when, what each assigner
was told and by when, what each proxy held, what was sent where. What an assigner says of itself counts in one place
only, the time of an order, and there it must agree with its own write to the store.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict, deque
from dataclasses import dataclass, field

from puffintide.audit.copies import disagreements
from puffintide.audit.records import Peer, Record, peers
from puffintide.config.loader import Config
from puffintide.protocol import messages as m
from puffintide.protocol.validation import WATCH_EVENT_TYPES, split_valid_endpoints
from puffintide.proxy.weight_tables import WeightTables

RULES = (
    "nobody left",
    "no effect twice",
    "drains kept",
    "cold not pushed over",
    "short queue",
    "one owner",
    "copies agree",
)
SLACK = 1.1  # for chance in the cold rule's budget
EVER = float("inf")
Span = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Finding:
    """A rule broken: when, who, how far from the limit, and the numbers of the records that show it."""

    rule: str
    at: float
    who: str
    value: float
    limit: float
    records: tuple[int, ...]


@dataclass
class Judgement:
    findings: list[Finding] = field(default_factory=list)
    nearest: dict[str, float] = field(default_factory=lambda: dict.fromkeys(RULES, 0.0))  # part of the limit
    checked: dict[str, int] = field(default_factory=lambda: dict.fromkeys(RULES, 0))  # cases looked at
    drain_s: list[float] = field(default_factory=list)  # from hearing of a loss to the last try sent there

    def see(self, rule: str, at: float, who: str, value: float, limit: float, *records: int) -> None:
        self.checked[rule] += 1
        self.nearest[rule] = max(self.nearest[rule], value / limit if limit > 0 else 0.0)
        if value > limit:
            self.findings.append(Finding(rule, at, who, value, limit, records))

    def broken(self, rule: str, at: float, who: str, *records: int) -> None:
        self.nearest[rule] = max(self.nearest[rule], 1.0)
        self.findings.append(Finding(rule, at, who, 1.0, 0.0, records))


@dataclass(frozen=True, slots=True)
class Life:
    """A server's life as the world had it; capacity in work a second when warm."""

    server: int
    start: float
    end: float
    warm: bool
    capacity: float
    cold_from: float
    warm_s: float

    def capacity_at(self, now: float) -> float:
        if self.warm or self.warm_s <= 0:
            return self.capacity
        part = max(0.0, now - self.start) / self.warm_s
        return self.capacity * min(1.0, self.cold_from + (1 - self.cold_from) * part)


@dataclass
class World:
    """What is true of the day beside the records: lives of servers, and assigners killed or stopped."""

    lives: list[Life] = field(default_factory=list)
    killed: dict[int, list[float]] = field(default_factory=dict)
    stopped: dict[int, list[Span]] = field(default_factory=dict)


@dataclass(slots=True)
class _Told:
    """What an assigner knows of a server from the list, over time."""

    states: list[tuple[float, int, float]] = field(default_factory=list)  # when, state, started (0 long ago)

    def at(self, now: float) -> tuple[float, int, float] | None:
        k = bisect_right(self.states, now, key=lambda row: row[0]) - 1
        return self.states[k] if k >= 0 else None

    def lost_since(self, now: float) -> float | None:
        k = bisect_right(self.states, now, key=lambda row: row[0]) - 1
        since = None
        while k >= 0 and self.states[k][1] != 1:
            since = self.states[k][0]
            k -= 1
        return since


def overlap(a: list[Span], b: list[Span]) -> list[Span]:
    """The spans that lie in both lists, each sorted and without overlaps of its own."""
    out, i, j = [], 0, 0
    while i < len(a) and j < len(b):
        begin, end = max(a[i][0], b[j][0]), min(a[i][1], b[j][1])
        if begin < end:
            out.append((begin, end))
        if a[i][1] < b[j][1]:
            i += 1
        else:
            j += 1
    return out


def joined(spans: list[Span]) -> list[Span]:
    """Sorted, with spans that touch made one."""
    out: list[Span] = []
    for begin, end in sorted(spans):
        if out and begin <= out[-1][1]:
            out[-1] = (out[-1][0], max(out[-1][1], end))
        else:
            out.append((begin, end))
    return out


def holding(spans: list[Span], at: float) -> float | None:
    """The beginning of the span that holds this time."""
    k = bisect_right(spans, at, key=lambda s: s[0]) - 1
    return spans[k][0] if k >= 0 and at <= spans[k][1] else None


class Audit:
    def __init__(self, config: Config, records: list[Record], world: World) -> None:
        self.config, self.world = config, world
        self.records = sorted(records, key=lambda r: (r.went if r.went is not None else r.came, r.number))
        self.peers: dict[int, Peer] = peers(self.records)
        self.result = Judgement()
        self.end = max((r.came for r in self.records), default=0.0)
        self.classes = list(config.classes.values())
        self.charges: dict[int, dict[int, list[Span]]] = defaultdict(
            lambda: defaultdict(list)
        )  # assigner, slice
        self.tokens: dict[int, list[tuple[float, int, int]]] = defaultdict(
            list
        )  # slice: when, token, assigner
        self.streams: dict[tuple[int, int], list[Span]] = defaultdict(list)  # (proxy, assigner)
        self.told: dict[int, dict[int, _Told]] = defaultdict(lambda: defaultdict(_Told))
        self.starts: dict[tuple[int, int], list[float]] = defaultdict(
            list
        )  # (assigner, server): told of a start
        self.zones: dict[int, int] = {}

    def run(self) -> Judgement:
        self._learn()
        self._nobody_left()
        self._tries()
        self._queue()
        self._ownership()
        self._copies()
        return self.result

    def _copies(self) -> None:
        ended = {k: max(times) for k, times in self.world.killed.items() if times}
        cases, missing = disagreements(self.records, self.peers, self.config.deployment.assigners, ended)
        self.result.checked["copies agree"] += cases
        for at, who, record in missing:
            self.result.broken("copies agree", at, who, record)

    # What was known, and by whom ----------------------------------------------------------------------

    def _heard(self, assigner: int, at: float) -> float:
        """A stopped assigner hears when it wakes."""
        for begin, end in self.world.stopped.get(assigner, []):
            if begin <= at <= end:
                return end
        return at

    def _number_of(self, link: str) -> int:
        return int(link.split(":")[1])

    def _learn(self) -> None:
        open_charge: dict[tuple[int, int], float] = {}
        listed: dict[int, set[int]] = defaultdict(set)
        began: dict[tuple[int, int, int], float] = {}
        for r in self.records:
            peer = self.peers.get(r.conn)
            if peer is None:
                continue
            kind = r.link.split(":")[0]
            message = r.message
            if (
                kind == "order"
                and isinstance(message, m.Hello)
                and r.went is not None
                and peer.role == "proxy"
            ):
                until = min(peer.until, self._killed_after(self._number_of(r.link), r.went))
                self.streams[peer.id, self._number_of(r.link)].append((r.went, until))
            elif kind == "list" and isinstance(message, m.WatchEvent) and r.went is not None:
                self._news(peer.id, self._heard(peer.id, r.went), message, listed, began)
            elif kind == "store" and isinstance(message, m.SliceOwnerships) and peer.role == "assigner":
                for charge in message.ownerships:
                    self._given(peer.id, r, charge, open_charge)
            elif kind == "store" and isinstance(message, m.OwnershipRevoked) and r.went is not None:
                since = open_charge.pop((peer.id, message.slice_id), None)
                if since is not None:
                    self.charges[peer.id][message.slice_id].append((since, self._heard(peer.id, r.went)))
        for (assigner, number), since in open_charge.items():
            self.charges[assigner][number].append((since, self._killed_after(assigner, since)))
        for key, spans in list(self.streams.items()):
            self.streams[key] = joined([s for s in spans if s[0] < s[1]])
        for by_slice in self.charges.values():
            for number, spans in by_slice.items():
                by_slice[number] = sorted(spans)

    def _killed_after(self, assigner: int, at: float) -> float:
        return min((t for t in self.world.killed.get(assigner, []) if t >= at), default=EVER)

    def _given(
        self, assigner: int, r: Record, charge: m.SliceOwnership, open_charge: dict[tuple[int, int], float]
    ) -> None:
        """A slice is given when the assigner has it; the old one's charge ends as the store writes that."""
        number = charge.slice_id
        self.tokens[number].append((r.came, charge.fencing_token, charge.owner_id))
        for (who, other), since in list(open_charge.items()):
            if other == number:
                del open_charge[who, other]
                self.charges[who][number].append((since, min(r.came, self._killed_after(who, since))))
        if charge.owner_id == assigner and r.went is not None:
            open_charge[assigner, number] = self._heard(assigner, r.went)

    def _news(
        self,
        assigner: int,
        at: float,
        news: m.WatchEvent,
        listed: dict[int, set[int]],
        began: dict[tuple[int, int, int], float],
    ) -> None:
        if news.update_type not in WATCH_EVENT_TYPES or news.update_type == "failed":
            return
        told = self.told[assigner]
        good, bad = split_valid_endpoints(news.servers, len(self.config.deployment.zones))
        for e in good.values():
            self.zones[e.server_id] = e.zone
            key = (assigner, e.server_id, e.incarnation)
            if key not in began:
                began[key] = 0.0 if e.age_s < 0 else at - e.age_s
                if e.age_s >= 0 and e.status == 1:
                    self.starts[assigner, e.server_id].append(at)
            told[e.server_id].states.append((at, e.status, began[key]))
            listed[assigner].add(e.server_id)
        if news.update_type in ("full", "cached"):
            for sid in listed[assigner] - good.keys() - bad.keys():
                told[sid].states.append((at, 0, 0.0))
            listed[assigner] = {*good, *(listed[assigner] & bad.keys())}

    def _warm_spans(self, assigner: int) -> list[Span]:
        """While the assigner's list shows some server ready and no longer cold."""
        spans: list[Span] = []
        for told in self.told[assigner].values():
            for k, (at, state, started) in enumerate(told.states):
                until = told.states[k + 1][0] if k + 1 < len(told.states) else EVER
                if state == 1:
                    begin = max(at, started + self.config.rules.warm_within_s if started > 0 else at)
                    if begin < until:
                        spans.append((begin, until))
        return joined(spans)

    # Rule 1 -------------------------------------------------------------------------------------------

    def _nobody_left(self) -> None:
        """Each proxy's tables are played through; times without a line to pick are held against duties."""
        if not self.config.deployment.slices:
            return
        replicas: dict[int, WeightTables] = {}
        bare: dict[tuple[int, int], tuple[float, int]] = {}
        spans: dict[tuple[int, int], list[tuple[float, float, int]]] = defaultdict(list)

        def look(proxy: int, number: int, at: float, record: int) -> None:
            if replicas[proxy].available_weights(number):
                since = bare.pop((proxy, number), None)
                if since is not None:
                    spans[proxy, number].append((since[0], at, since[1]))
            else:
                bare.setdefault((proxy, number), (at, record))

        for r in self.records:
            peer = self.peers.get(r.conn)
            if peer is None or peer.role != "proxy" or not r.to_dialler or r.went is None:
                continue
            if peer.id not in replicas:
                d = self.config.deployment
                replicas[peer.id] = WeightTables(
                    d.slices, d.retry_default, d.pick, lambda: 0.5, single_writer=d.single_writer
                )
            tables = replicas[peer.id]
            if isinstance(r.message, m.SliceOwnerships):
                for charge in r.message.ownerships:
                    tables.apply_ownership(charge)
                    look(peer.id, charge.slice_id, r.went, r.number)
            elif isinstance(r.message, m.Welcome) and r.link.startswith("order:"):
                assigner = self._number_of(r.link)
                tables.on_assigner_connected(assigner)
                for number in sorted(n for n, t in tables.slices.items() if t.owner_id == assigner):
                    look(peer.id, number, r.went, r.number)
            elif isinstance(r.message, m.ProxyUpdate):
                assigner = self._number_of(r.link)
                tables.apply_update(assigner, r.message)
                touched = {line.slice_id for line in r.message.weights} | set(r.message.cleared_slices)
                if r.message.withdrawn_servers or r.message.readmitted_servers:
                    touched |= {n for n, t in tables.slices.items() if t.owner_id == assigner}
                for number in sorted(touched & tables.slices.keys()):
                    look(peer.id, number, r.went, r.number)
        for key, (since, record) in bare.items():
            spans[key].append((since, self.end, record))
        limit = self.config.rules.bare_s
        for assigner, by_slice in sorted(self.charges.items()):
            warm = self._warm_spans(assigner)
            for proxy in sorted(replicas):
                stream = self.streams.get((proxy, assigner), [])
                for number, held in sorted(by_slice.items()):
                    self.result.checked["nobody left"] += 1
                    for begin, end, record in spans.get((proxy, number), []):
                        duty = overlap(overlap(overlap([(begin, end)], stream), held), warm)
                        for since, until in duty:
                            who = f"proxy {proxy}, slice {number}, assigner {assigner}"
                            self.result.see("nobody left", until, who, until - since, limit, record)

    # Rules 2, 3 and 4 ---------------------------------------------------------------------------------

    def _in_charge(self, number: int, at: float) -> tuple[int, float] | None:
        for assigner, by_slice in sorted(self.charges.items()):
            since = holding(by_slice.get(number, []), at)
            if since is not None:
                return assigner, since
        return None

    def _tries(self) -> None:
        answered: dict[tuple[int, int], tuple[float, int]] = {}
        for r in self.records:
            if isinstance(r.message, m.AttemptResponse) and r.went is not None:
                answered[r.conn, r.message.attempt_id] = (r.went, r.message.status)
        sent: dict[tuple[int, int], list[tuple[Record, m.AttemptRequest, int]]] = defaultdict(list)
        last: dict[tuple[int, int, float], float] = {}
        pushed: dict[int, list[tuple[Record, m.AttemptRequest, bool]]] = defaultdict(list)
        orders = self._orders_by_proxy()
        for r in sorted(self.records, key=lambda r: (r.came, r.number)):
            if not isinstance(r.message, m.AttemptRequest):
                continue
            t, server = r.message, self._number_of(r.link)
            sent[t.proxy_id, t.request_id].append((r, t, server))
            duty = self._in_charge(t.slice_id, r.came)
            knowing = False
            if duty is not None:
                assigner, given = duty
                self._drain(r, t, server, assigner, given, last)
                knowing = self._knows(t.proxy_id, server, assigner, r.came, orders)
            if r.went is not None:
                pushed[server].append((r, t, knowing))
        for tries in sent.values():
            if len(tries) > 1:
                self._repeats(tries, answered)
            self.result.checked["no effect twice"] += 1
        self.result.drain_s = sorted(until - since for (_, _, since), until in last.items())
        for life in self.world.lives:
            if not life.warm:
                self._cold(life, pushed.get(life.server, []))

    def _drain(
        self,
        r: Record,
        t: m.AttemptRequest,
        server: int,
        assigner: int,
        given: float,
        last: dict[tuple[int, int, float], float],
    ) -> None:
        stream = holding(self.streams.get((t.proxy_id, assigner), []), r.came)
        lost = self.told[assigner][server].lost_since(r.came)
        if stream is None or lost is None:
            return
        last[assigner, server, lost] = max(last.get((assigner, server, lost), lost), r.came)
        late = r.came - max(lost, stream, given)
        who = f"proxy {t.proxy_id} to server {server}, slice {t.slice_id}, assigner {assigner}"
        self.result.see("drains kept", r.came, who, late, self.config.rules.drain_grace_s, r.number)

    def _orders_by_proxy(self) -> dict[tuple[int, int], list[tuple[float, float]]]:
        """(delivered, ordered) of all orders, by proxy and assigner."""
        found: dict[tuple[int, int], list[tuple[float, float]]] = defaultdict(list)
        for r in self.records:
            peer = self.peers.get(r.conn)
            if isinstance(r.message, m.ProxyUpdate) and peer is not None and r.went is not None:
                found[peer.id, self._number_of(r.link)].append((r.went, r.message.ordered_at_s))
        return found

    def _knows(
        self,
        proxy: int,
        server: int,
        assigner: int,
        at: float,
        orders: dict[tuple[int, int], list[tuple[float, float]]],
    ) -> bool:
        starts = [x for x in self.starts.get((assigner, server), []) if x <= at]
        if not starts:
            return False
        rows = orders.get((proxy, assigner), [])
        k = bisect_right(rows, at, key=lambda row: row[0]) - 1
        return (k >= 0 and rows[k][1] >= starts[-1]) or at - starts[-1] >= self.config.rules.drain_grace_s

    def _repeats(
        self,
        tries: list[tuple[Record, m.AttemptRequest, int]],
        answered: dict[tuple[int, int], tuple[float, int]],
    ) -> None:
        """A once request is not sent again after a try that may have run, a keyed one only within its window and
        group. A try that did not run is one that was answered as full before the next, or never delivered to
        an open server, its stream gone."""
        made = self.classes[tries[0][1].class_index]
        first: Record | None = None
        first_server = -1
        for r, t, server in tries:
            if first is not None:
                who = f"proxy {t.proxy_id}, request {t.request_id}, try {t.attempt_number}"
                if made.effect == "once":
                    self.result.broken("no effect twice", r.came, who, first.number, r.number)
                elif made.effect == "by_key":
                    age = r.came - first.came
                    self.result.see(
                        "no effect twice", r.came, who, age, made.window_s, first.number, r.number
                    )
                    if made.group == "zone" and self.zones.get(server) != self.zones.get(first_server):
                        self.result.broken("no effect twice", r.came, who, first.number, r.number)
            answer = answered.get((r.conn, t.attempt_id))
            if first is None and not (answer is not None and answer[1] == m.AttemptStatus.SATURATED):
                first, first_server = r, server

    def _cold(self, life: Life, tries: list[tuple[Record, m.AttemptRequest, bool]]) -> None:
        """The budget of each window while the server warms, and how much of it came from those who knew."""
        rules = self.config.rules
        window: deque[tuple[float, float, bool, int]] = deque()
        for r, t, knowing in tries:
            at = r.went if r.went is not None else r.came
            if not life.start <= at < min(life.end, life.start + life.warm_s):
                continue
            window.append((at, t.work_s, knowing, r.number))
            while window[0][0] < at - rules.fall_s:
                window.popleft()
            work = sum(row[1] for row in window)
            known = sum(row[1] for row in window if row[2])
            limit = rules.fall_multiple * life.capacity_at(at) * rules.fall_s * SLACK
            self.result.checked["cold not pushed over"] += 1
            if known >= work * 2 / 3:
                records = tuple(row[3] for row in list(window)[-5:])
                self.result.see("cold not pushed over", at, f"server {life.server}", work, limit, *records)

    # Rule 5 -------------------------------------------------------------------------------------------

    def _queue(self) -> None:
        channel = self.config.channel
        written: dict[tuple[int, int], float] = {}  # (assigner, batch): when its write passed
        lives: dict[int, int] = {}
        changes: dict[int, list[tuple[float, float, int]]] = defaultdict(list)
        by_proxy: dict[tuple[int, int, float], list[tuple[float, int]]] = defaultdict(list)
        for r in sorted(self.records, key=lambda r: (r.came, r.number)):
            peer = self.peers.get(r.conn)
            if peer is None:
                continue
            if isinstance(r.message, m.WriteRequest):
                written[peer.id, r.message.batch] = r.came
            elif isinstance(r.message, m.ProxyUpdate):
                assigner = self._number_of(r.link)
                lives[assigner] = r.number
                at = min(r.message.ordered_at_s, r.came, written.get((assigner, r.message.batch), EVER))
                size = max(r.message.channel_cost, self._size(r.message) + channel.head_lines)
                changes[assigner] += [(at, size, r.number), (r.came, -size, r.number)]
                by_proxy[assigner, peer.id, peer.since].append((r.came, r.number))
        for assigner, rows in sorted(changes.items()):
            waiting = 0.0
            for at, size, record in sorted(rows):
                waiting += size
                if size > 0:
                    self.result.see("short queue", at, f"assigner {assigner}", waiting, channel.limit, record)
        if channel.messages_most:
            for (assigner, proxy, _), messages in sorted(by_proxy.items()):
                recent: deque[tuple[float, int]] = deque()
                for at, record in messages:
                    recent.append((at, record))
                    while recent[0][0] < at - channel.messages_span_s:
                        recent.popleft()
                    who = f"assigner {assigner} to proxy {proxy}, messages"
                    self.result.see(
                        "short queue", at, who, len(recent), channel.messages_most, recent[0][1], record
                    )

    @staticmethod
    def _size(order: m.ProxyUpdate) -> int:
        parts = (
            order.weights,
            order.cleared_slices,
            order.withdrawn_servers,
            order.readmitted_servers,
            order.admission_levels,
        )
        return sum(len(part) for part in parts) + (order.checkpoint_id is not None)

    # Single ownership ---------------------------------------------------------------------------------

    def _ownership(self) -> None:
        """Where a slice has one owner: no two servers with writes in hand, none to a former owner."""
        if not self.config.deployment.single_writer:
            return
        epochs: dict[int, list[tuple[float, int]]] = defaultdict(list)  # slice: when it was given to a server
        for r in self.records:
            peer = self.peers.get(r.conn)
            if isinstance(r.message, m.WriteRequest) and r.went is not None:
                for line in r.message.weights:
                    if line.weight > 0:
                        epochs[line.slice_id].append((r.came, line.server_id))
            elif isinstance(r.message, m.SliceOwnerships) and peer is not None:
                for charge in r.message.ownerships:
                    if charge.entries and not epochs[charge.slice_id]:
                        epochs[charge.slice_id].append((r.came, charge.entries[0].server_id))
        events: list[tuple[float, int, Record, int]] = []
        for r in self.records:
            if isinstance(r.message, m.AttemptRequest) and r.went is not None:
                if self.classes[r.message.class_index].effect != "repeatable":
                    events.append((r.went, 1, r, self._number_of(r.link)))
            elif isinstance(r.message, m.AttemptResponse):
                events.append((r.came, 0, r, self._number_of(r.link)))
        open_writes: dict[tuple[int, int], tuple[int, int]] = {}  # (conn, try): slice, server
        in_hand: dict[int, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        newest: dict[int, int] = {}
        ends = deque(sorted((life.end, life.server) for life in self.world.lives if life.end < EVER))
        for at, kind, r, server in sorted(events, key=lambda e: (e[0], e[2].number)):
            while ends and ends[0][0] <= at:  # a server that is gone has nothing in hand
                gone = ends.popleft()[1]
                open_writes = {k: w for k, w in open_writes.items() if w[1] != gone}
                for by_server in in_hand.values():
                    by_server.pop(gone, None)
            if kind == 0:
                assert isinstance(r.message, m.AttemptResponse)
                done = open_writes.pop((r.conn, r.message.attempt_id), None)
                if done is not None:
                    in_hand[done[0]][done[1]] -= 1
                continue
            assert isinstance(r.message, m.AttemptRequest)
            number = r.message.slice_id
            self.result.checked["one owner"] += 1
            who = f"slice {number}, server {server}"
            if any(n > 0 for s, n in in_hand[number].items() if s != server):
                self.result.broken("one owner", at, who, r.number)
            rows = epochs[number]
            mine = max((k for k, (since, s) in enumerate(rows) if s == server and since <= at), default=-1)
            if mine < newest.get(number, -1):
                self.result.broken("one owner", at, who, r.number)
            newest[number] = max(mine, newest.get(number, -1))
            open_writes[r.conn, r.message.attempt_id] = (number, server)
            in_hand[number][server] += 1

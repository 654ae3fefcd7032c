"""A stand-in of the shared platform, as PROTOCOL and WIRE describe it, on loopback and the real clock.

Discovery, the relay with its store and its channel, collectors, tasks and proxies run in this process; the
assigner is the program that the deploy file's `run` starts. Proxies pick lines as their tables say and record
each request that they send.
"""

# ruff: noqa: D102, PLR2004
from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SLACK_S = 0.3  # PROTOCOL: the rules' time limits are 300 ms longer on sockets.
START_SLACK_S = 1.0  # PROTOCOL: time limits start no sooner than 1 s after the assigner first answered.
TICK_S = 0.02
CLASSES = ["status", "start", "charge"]
CLASS_SHARES = [0.60, 0.22, 0.18]


def make_settings(**changes: Any) -> dict[str, Any]:
    """Return settings with the figures of lisboa-main; `changes` replace values of any section."""
    settings: dict[str, Any] = {
        "balancers": 1,
        "blend": {"whole": 0.5, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.2},
        "classes": [
            {"deadlineS": 2.5, "effect": "repeatable", "group": "all", "lateWorth": 0.2, "name": "status",
             "objectiveS": 0.75, "windowS": 5.0, "worth": 3.0},
            {"deadlineS": 5.0, "effect": "by_key", "group": "all", "lateWorth": 0.2, "name": "start",
             "objectiveS": 1.5, "windowS": 5.0, "worth": 5.0},
            {"deadlineS": 5.0, "effect": "once", "group": "all", "lateWorth": 0.2, "name": "charge",
             "objectiveS": 1.5, "windowS": 5.0, "worth": 2.0},
        ],
        "familyInfo": {
            "admit": "silent", "agents": 6, "bootstrap": 6, "classWrites": [False, True, True], "cycleS": 0.5,
            "egressPerS": 12900.0, "head": 12.0, "hearsPerS": 300.0, "homeOnly": [False, False, False],
            "inFlightMaxS": 5.02, "mostWaiting": 19400.0, "movePrice": 0.02, "orderPrice": 0.04,
            "pushDelayMaxS": 0.75, "pushDelayS": 0.3, "reloadSpanS": 10.0, "reloadsMax": 20,
            "retryDefault": 0, "selectsBy": "rotate", "singleWriter": False, "slices": 56,
            "smallestConnTable": 1103.0, "strikes": 0, "tryFactor": 0.8, "unservedMaxS": 6.0,
            "waitsForTableS": 0.2, "warmKeys": True, "writeLeaseS": 1.5, "zonal": False,
        },
        "kinds": ["small-3c", "wide-6c"],
        "limits": {"connIdleS": 15.0, "connectTimeoutS": 0.25, "cpuUsPerS": 600000, "maxStreams": 100,
                   "peers": True, "probes": True},
        "me": 0,
        "membershipMode": "automatic",
        "report": {"names": ["rif"], "via": "piggyback"},
        "rules": {"askWithinS": 10.0, "coldFrom": 0.35, "fallMultiple": 3.0, "overloadForS": 1.5,
                  "stopSendingWithinS": 2.0, "warmWithinS": 6.0},
        "serviceType": "control",
        "tariffs": {},
        "tickS": 0.002,
        "weightKind": "rough",
        "worthBy": "request",
        "zone": 0,
        "zones": ["lis-a", "lis-b"],
    }  # fmt: skip
    for section, values in changes.items():
        if isinstance(values, dict):
            settings[section] = {**settings[section], **values}
        else:
            settings[section] = values
    return settings


@dataclass
class Task:
    """A task of the fleet and what discovery lists of it."""

    host: str
    zone: str
    cores: int
    speed: float
    health: str = "active"
    born_ms: int = 0
    server: asyncio.Server | None = None
    port: int = 0
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    in_flight: float = 0.0
    told_unavailable_at: float | None = None  # When discovery wrote that it drains or is gone.
    told_start_at: float = 0.0

    def entry(self) -> dict[str, Any]:
        kind = "small-3c" if self.cores == 3 else "wide-6c"
        return {
            "host": self.host, "dial": f"127.0.0.1:{self.port}", "site": self.zone, "class": kind, "block": 0,
            "health": self.health, "share": float(self.cores * self.speed), "born_ms": self.born_ms,
        }  # fmt: skip


@dataclass
class Proxy:
    """A proxy: the tables that it applied, the tasks shut out, and its stream to the relay."""

    number: int
    zone: str
    share: float
    joined: bool = True
    joined_at: float = 0.0
    standing: bool = True
    reads_store_at: float | None = 0.0  # When it next reads the store by itself.
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)
    queue: list[tuple[float, list[dict[str, Any]]]] = field(default_factory=list)
    unserved_since: dict[int, float] = field(default_factory=dict)

    def lines(self, slice_id: int) -> list[tuple[str, float]]:
        table = self.tables.get(slice_id, {})
        return [(host, share) for host, share in table.items() if host not in self.withdrawn]


class Watch:
    """A response that stays open, of discovery or the relay."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    def line(self, row: Any) -> None:
        text = (b"" if row is None else json.dumps(row).encode()) + b"\n"
        if not self.writer.is_closing():
            self.writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    def reset(self) -> None:
        self.writer.transport.abort()


class Platform:
    """The platform around one assigner; a case's script drives it."""

    def __init__(
        self,
        folder: Path,
        *,
        task_count: int,
        proxy_count: int,
        slice_count: int,
        requests_per_s: float,
        settings: dict[str, Any],
        known_seq: int = 41,
        seed: int = 1,
    ) -> None:
        self.folder = folder
        self.random = random.Random(seed)
        self.settings = settings
        settings["familyInfo"]["slices"] = slice_count
        settings["familyInfo"]["agents"] = proxy_count
        self.requests_per_s = requests_per_s
        self.record_file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()
        self.answered_at: float | None = None
        zones = settings["zones"]
        self.tasks: dict[str, Task] = {}
        for _ in range(task_count):
            self.new_task(zones[len(self.tasks) % len(zones)])
        weights = [self.random.gammavariate(2.0, 1.0) for _ in range(slice_count)]
        self.slice_rates = {s: requests_per_s * w / sum(weights) for s, w in enumerate(weights)}
        self.store: dict[int, dict[str, float]] = {}
        self._assign_first_tables()
        share = requests_per_s / proxy_count
        self.proxies = [Proxy(k, zones[k % len(zones)], share) for k in range(proxy_count)]
        self.seq = known_seq
        self.discovery_watches: list[Watch] = []
        self.relay_watches: list[Watch] = []
        self.relay_silent = False
        self.channel_free_at = 0.0
        self.channel: list[tuple[float, int]] = []  # When each message left, and its lines.
        self.most_waiting = 0
        self.message_times: dict[int, list[float]] = {}
        self.most_messages = 0
        self.calls = 0
        self.orders = {"SET": 0, "OUT": 0, "IN": 0, "LIMIT": 0, "SYNC": 0, "DEL": 0}
        self.sent = 0
        self.refused = 0
        self.lost = 0  # Requests sent to a task that has ended.
        self.bad_sends: dict[tuple[int, str], tuple[float, float, int]] = {}
        self.late_sends = 0
        self.worst_unserved: tuple[float, int, int] = (0.0, -1, -1)
        self.unserved_breaks: dict[tuple[int, int], float] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.listen_port = free_port()
        self.on_call: Callable[[list[dict[str, Any]]], str] = lambda _rows: ""
        self.collector_writers: dict[str, asyncio.StreamWriter] = {}
        self.reports_on = True
        self._heat_turn = 0
        self._running: list[asyncio.Task[None]] = []

    # Records ------------------------------------------------------------------------------------

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def record(self, text: str) -> None:
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    # Fleet --------------------------------------------------------------------------------------

    def new_task(self, zone: str, born_ms: int = 0) -> Task:
        cores = 3 if self.random.random() < 0.54 else 6
        speed = self.random.uniform(0.85, 1.1) if cores == 3 else self.random.uniform(0.64, 0.86)
        task = Task(f"s-{self.random.getrandbits(32):08x}", zone, cores, speed, born_ms=born_ms)
        self.tasks[task.host] = task
        return task

    def _assign_first_tables(self) -> None:
        """Give each slice to the task with the lowest load, relative to its size."""
        load = dict.fromkeys(self.tasks, 0.0)
        for slice_id, rate in sorted(self.slice_rates.items(), key=lambda item: -item[1]):
            size = {h: t.cores * t.speed for h, t in self.tasks.items()}
            host = min(load, key=lambda h: (load[h] + rate) / size[h])
            load[host] += rate
            self.store[slice_id] = {host: 1.0}

    async def start_task(self, task: Task) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task.connections.add(writer)
            with contextlib.suppress(Exception):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    await asyncio.sleep(0.003 * (1 + min(3.0, max(0.0, task.in_flight / task.cores - 0.9))))
                    text = b"TEXT inflight=%d" % round(task.in_flight) if b"/_load" in head else b""
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
            task.connections.discard(writer)
            writer.close()

        task.server = await asyncio.start_server(serve, "127.0.0.1", task.port)
        task.port = task.server.sockets[0].getsockname()[1]

    def stop_task(self, task: Task) -> None:
        if task.server is not None:
            task.server.close()
            task.server = None
        for writer in list(task.connections):
            writer.transport.abort()

    async def drain(self, *tasks: Task, ends_after_s: float) -> None:
        """List tasks as draining; each ends after the given time."""
        self.list_change(*tasks, health="leaving")
        loop = asyncio.get_running_loop()
        for task in tasks:
            loop.call_later(ends_after_s, self.stop_task, task)

    def list_change(self, *tasks: Task, **changes: Any) -> None:
        """Change tasks' entries, and let discovery write them as one change of its list."""
        for task in tasks:
            for name, value in changes.items():
                setattr(task, name, value)
            if task.health == "active":
                task.told_unavailable_at = None
                task.told_start_at = self.now()
            elif task.told_unavailable_at is None:
                task.told_unavailable_at = self.now()
        self.seq += 1
        row = {"seq": self.seq, "whole": False, "hosts": [task.entry() for task in tasks]}
        self.record(f"discovery seq {self.seq}: " + ", ".join(f"{t.host} {t.health}" for t in tasks))
        for watch in self.discovery_watches:
            watch.line(row)

    def listed(self) -> list[dict[str, Any]]:
        return [task.entry() for task in self.tasks.values() if task.health != "left"]

    # HTTP ---------------------------------------------------------------------------------------

    async def _serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(Exception):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            watch = Watch(writer)
            assert b"follow=1" in head
            watch.line({"seq": self.seq, "whole": True, "hosts": self.listed()})
            self.discovery_watches.append(watch)
            self.record("discovery: a watch was opened")
            await reader.read(1)
            self.discovery_watches.remove(watch)
        writer.close()

    async def _serve_relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"GET /api/watch"):
                await self._serve_news(reader, writer)
            elif head.startswith(b"POST /api/txn"):
                size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                rows = json.loads(await reader.readexactly(size))["orders"]
                self._carry_out(rows, writer)
                with contextlib.suppress(OSError):
                    await reader.read(1)
        writer.close()

    async def _serve_news(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        watch = Watch(writer)
        for proxy in self.proxies:
            if proxy.joined:
                watch.line(self._joined_row(proxy))
        for slice_id, table in self.store.items():
            watch.line({"type": "given", "object": {"partition": slice_id, "yes": True}})
            for host, share in table.items():
                row = {"partition": slice_id, "host": host, "share": share}
                watch.line({"type": "held", "object": row})
        self.relay_watches.append(watch)
        self.record("relay: a connection asked for news")
        await reader.read(1)
        self.relay_watches.remove(watch)

    @staticmethod
    def _joined_row(proxy: Proxy) -> dict[str, Any]:
        row = {"sidecar": proxy.number, "az": proxy.zone, "share": proxy.share, "standing": proxy.standing}
        return {"type": "joined", "object": row}

    def news(self, kind: str, **row: Any) -> None:
        for watch in self.relay_watches:
            watch.line({"type": kind, "object": row})

    # Relay --------------------------------------------------------------------------------------

    def _carry_out(self, rows: list[dict[str, Any]], writer: asyncio.StreamWriter) -> None:
        """Carry a call out, unless the script's on_call says "lost"; "unanswered" carries it out silently."""
        result = self.on_call(rows)
        counts: dict[str, int] = {}
        for row in rows:
            counts[row["do"]] = counts.get(row["do"], 0) + 1
            self.orders[row["do"]] += 1
        outs = [row["host"] for row in rows if row["do"] == "OUT"]
        ins = [row["host"] for row in rows if row["do"] == "IN"]
        self.record(f"call {self.calls} {counts} out={outs} in={ins} {result}")
        self.calls += 1
        if result == "lost":
            return
        now = self.now()
        for row in rows:
            if row["do"] == "SET":
                table = self.store[row["group"]]
                table[row["host"]] = row["share"]
                if row["share"] <= 0:
                    del table[row["host"]]
        self._send_message(now, rows)
        if result != "unanswered":
            text = b'{"accepted":%d}' % len(rows)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))

    def _send_message(self, now: float, rows: list[dict[str, Any]]) -> None:
        """Queue one message for each joined proxy in the channel; it counts its lines and the head."""
        family = self.settings["familyInfo"]
        joined = [proxy for proxy in self.proxies if proxy.joined]
        lines = len(rows) + family["head"]
        left_at = max(now, self.channel_free_at)
        for proxy in joined:
            left_at += lines / family["egressPerS"]
            proxy.queue.append((left_at + family["pushDelayS"], rows))
            times = self.message_times.setdefault(proxy.number, [])
            times.append(now)
            recent = sum(1 for t in times if t > now - family["reloadSpanS"] and t >= proxy.joined_at)
            self.most_messages = max(self.most_messages, recent)
        self.channel_free_at = left_at
        self.most_waiting = max(self.most_waiting, round((left_at - now) * family["egressPerS"]))

    def leave(self, proxies: list[Proxy]) -> None:
        """Break streams of proxies: messages on their way to them are lost."""
        for proxy in proxies:
            proxy.joined = False
            proxy.queue = []
            proxy.unserved_since = {}
            self.news("left", sidecar=proxy.number)
        self.record(f"{len(proxies)} proxies left")

    def join(self, proxies: list[Proxy]) -> None:
        """Let proxies come back with what they hold; they read the store within a second."""
        for proxy in proxies:
            proxy.joined = True
            proxy.joined_at = self.now()
            proxy.reads_store_at = self.now() + 0.3
            for watch in self.relay_watches:
                watch.line(self._joined_row(proxy))
        self.record(f"{len(proxies)} proxies joined")

    # Proxies ------------------------------------------------------------------------------------

    def _apply_messages(self, now: float) -> None:
        for proxy in self.proxies:
            if proxy.joined and proxy.reads_store_at is not None and proxy.reads_store_at <= now:
                proxy.reads_store_at = None
                proxy.tables = {s: dict(table) for s, table in self.store.items()}
            while proxy.queue and proxy.queue[0][0] <= now:
                self._apply(proxy, proxy.queue.pop(0)[1])

    def _apply(self, proxy: Proxy, rows: list[dict[str, Any]]) -> None:
        proxy.standing = False
        for row in rows:
            match row["do"]:
                case "SET":
                    table = proxy.tables.setdefault(row["group"], {})
                    table[row["host"]] = row["share"]
                    if row["share"] <= 0:
                        del table[row["host"]]
                case "OUT":
                    proxy.withdrawn.add(row["host"])
                case "IN":
                    proxy.withdrawn.discard(row["host"])
                case "SYNC":
                    self.news("applied", sidecar=proxy.number, version=row["stamp"], lag_ms=300.0)

    def _send_requests(self, count: int, now: float) -> None:
        slices = list(self.slice_rates)
        rates = list(self.slice_rates.values())
        for slice_id in self.random.choices(slices, rates, k=count):
            proxy = self.random.choice(self.proxies)
            lines = proxy.lines(slice_id)
            if not lines:
                self.refused += 1
                continue
            self.sent += 1
            host = self.random.choices([h for h, _ in lines], [w for _, w in lines])[0]
            self.lost += self.tasks[host].server is None
            self._judge_drain(proxy, host, now)

    def _judge_drain(self, proxy: Proxy, host: str, now: float) -> None:
        """Rule 3: no request to a task later than the grace after the assigner was told."""
        told = self.tasks[host].told_unavailable_at
        if told is None or not proxy.joined or self.answered_at is None:
            return
        since = max(told, proxy.joined_at, self.answered_at + START_SLACK_S)
        limit = self.settings["rules"]["stopSendingWithinS"] + SLACK_S
        if now - since > limit:
            self.late_sends += 1
            first, _, count = self.bad_sends.get((proxy.number, host), (now - since, 0.0, 0))
            if not count:
                self.record(f"LATE SEND proxy {proxy.number} to {host}, {now - since:.2f} s after being told")
            self.bad_sends[proxy.number, host] = (first, now - since, count + 1)

    def _judge_unserved(self, now: float) -> None:
        """Rule 1: no joined proxy is without a line for a slice for longer than unservedMaxS."""
        warm_s = self.settings["rules"]["warmWithinS"]
        wall_ms = time.time() * 1000
        open_task = any(
            t.health == "active" and wall_ms - t.born_ms >= warm_s * 1000 for t in self.tasks.values()
        )
        limit = self.settings["familyInfo"]["unservedMaxS"] + SLACK_S
        if self.answered_at is None:
            return
        for proxy in self.proxies:
            if not proxy.joined or proxy.reads_store_at is not None or not open_task:
                proxy.unserved_since = {}
                continue
            for slice_id in self.store:
                if proxy.lines(slice_id):
                    proxy.unserved_since.pop(slice_id, None)
                    continue
                since = proxy.unserved_since.setdefault(slice_id, max(now, self.answered_at + START_SLACK_S))
                self.worst_unserved = max(self.worst_unserved, (now - since, proxy.number, slice_id))
                if now - since > limit and (proxy.number, slice_id) not in self.unserved_breaks:
                    held = {h: h in proxy.withdrawn for h in proxy.tables.get(slice_id, {})}
                    self.unserved_breaks[proxy.number, slice_id] = now
                    if len(self.unserved_breaks) <= 20:
                        text = f"UNSERVED proxy {proxy.number} slice {slice_id} for {now - since:.1f} s"
                        self.record(f"{text}; its lines and whether each is shut out: {held}")

    # Loops --------------------------------------------------------------------------------------

    async def _traffic(self) -> None:
        last = self.now()
        debt = 0.0
        judged_at = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            now = self.now()
            self._apply_messages(now)
            debt += (now - last) * self.requests_per_s
            last = now
            self._send_requests(int(debt), now)
            debt -= int(debt)
            if now - judged_at > 0.1:
                judged_at = now
                self._judge_unserved(now)

    async def _signs_of_life(self) -> None:
        turn = 0
        while True:
            await asyncio.sleep(1.0)
            turn += 1
            if not self.relay_silent:
                for watch in self.relay_watches:
                    watch.line({})
            if turn % 2 == 0:
                for watch in self.discovery_watches:
                    watch.line(None)

    def _task_rates(self) -> dict[str, float]:
        rates = dict.fromkeys(self.tasks, 0.0)
        for slice_id, table in self.store.items():
            total = sum(table.values())
            for host, share in table.items():
                rates[host] += self.slice_rates[slice_id] * share / total
        return rates

    async def _collect(self) -> None:
        """Send what the proxies met, each half second and late by half a second, within hearsPerS."""
        zones = self.settings["zones"]
        while True:
            await asyncio.sleep(0.5)
            rates = self._task_rates()
            work_s = 0.16
            for host, task in self.tasks.items():
                task.in_flight = rates[host] * work_s / task.speed if task.health != "left" else 0.0
            if self.answered_at is None or not self.reports_on:
                continue
            for zone in zones:
                if zone not in self.collector_writers or self.collector_writers[zone].is_closing():
                    with contextlib.suppress(OSError):
                        _, writer = await asyncio.open_connection("127.0.0.1", self.listen_port)
                        writer.write(json.dumps({"msg": "collector", "az": zone}).encode() + b"\n")
                        self.collector_writers[zone] = writer
            for zone, writer in self.collector_writers.items():
                for host, task in self.tasks.items():
                    tries = round(rates[host] * 0.5 / len(zones))
                    if tries and task.health != "left":
                        load = {"inflight": round(task.in_flight)}
                        self._write(writer, msg="heard", az=zone, host=host, n=tries, bad=0,
                                    avg=160.0 / task.speed, window=500.0, report=load)  # fmt: skip
            self._send_heat()

    def _send_heat(self) -> None:
        writers = [w for w in self.collector_writers.values() if not w.is_closing()]
        if not writers:
            return
        lines_left = 150 - len(self.tasks)
        parts = max(1, -(-len(self.slice_rates) * len(CLASSES) // max(1, lines_left)))
        self._heat_turn = (self._heat_turn + 1) % parts
        window_s = 0.5 * parts
        for slice_id, rate in self.slice_rates.items():
            if slice_id % parts != self._heat_turn:
                continue
            for name, share in zip(CLASSES, CLASS_SHARES, strict=True):
                count = rate * share * window_s
                n = int(count) + (self.random.random() < count % 1)
                self._write(writers[0], msg="heat", partition=slice_id, kind=name, n=n, bad=0,
                            window=window_s * 1000)  # fmt: skip

    def send_report(self, **row: Any) -> None:
        """Send one more line on the first collector's connection."""
        self.record(f"a collector sends {json.dumps(row)}")
        self._write(next(iter(self.collector_writers.values())), **row)

    @staticmethod
    def _write(writer: asyncio.StreamWriter, **row: Any) -> None:
        if not writer.is_closing():
            writer.write(json.dumps(row).encode() + b"\n")

    # The assigner -------------------------------------------------------------------------------

    def start_assigner(self, work: Path, discovery_port: int, relay_port: int) -> None:
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.listen_port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"127.0.0.1:{free_port()}",
            "peers": [],
            "store": {"address": f"127.0.0.1:{relay_port}"},
            "known": {"seq": self.seq, "whole": True, "hosts": self.listed()},
            "settings": self.settings,
        }
        path = work / "config.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {**os.environ, "GW_CONFIG": str(path), "GW_NAME": "n0", "TMPDIR": str(work)}
        environment["GW_LISTEN"] = config["listen"]
        environment["GW_DISCOVERY"] = config["discovery"]
        with (work / "assigner.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"the assigner was started, pid {self.process.pid}")

    async def wait_until_answering(self) -> None:
        for _ in range(300):
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.listen_port)
                writer.write(b'{"msg":"ping"}\n')
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b"pong" in line:
                    self.answered_at = self.now()
                    self.record("the assigner answered a ping")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the assigner did not answer")

    def assigner_ended(self) -> bool:
        return self.process is not None and self.process.poll() is not None

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(3)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        for task in self.tasks.values():
            self.stop_task(task)
        for running in self._running:
            running.cancel()

    async def run(self, script: Callable[[Platform], Any]) -> None:
        """Start everything, play the script, and end everything."""
        current = asyncio.current_task()
        assert current is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        with tempfile.TemporaryDirectory() as text:
            work = Path(text)
            try:
                for task in self.tasks.values():
                    await self.start_task(task)
                discovery = await asyncio.start_server(self._serve_discovery, "127.0.0.1", 0, limit=1 << 20)
                relay = await asyncio.start_server(self._serve_relay, "127.0.0.1", 0, limit=1 << 20)
                self.discovery_port = discovery.sockets[0].getsockname()[1]
                self.relay_port = relay.sockets[0].getsockname()[1]
                self.start_assigner(work, self.discovery_port, self.relay_port)
                loops = (self._traffic(), self._signs_of_life(), self._collect())
                self._running = [asyncio.create_task(loop) for loop in loops]
                await self.wait_until_answering()
                await script(self)
                for running in self._running:
                    if running.done():
                        running.result()
            finally:
                self.end()
                log = work / "assigner.log"
                if log.exists() and os.environ.get("KEEP_LOG"):
                    (self.folder / "assigner.log").write_bytes(log.read_bytes())

    def summary(self) -> None:
        seconds, proxy, slice_id = self.worst_unserved
        self.record(
            f"sent {self.sent}, refused {self.refused}, sent to an ended task {self.lost}, "
            f"sent too late {self.late_sends}; "
            f"longest without a line {seconds:.1f} s (proxy {proxy}, slice {slice_id}); calls {self.calls}; "
            f"orders {self.orders}; most lines waiting {self.most_waiting} of "
            f"{self.settings['familyInfo']['mostWaiting']:.0f}; most messages to a proxy in "
            f"{self.settings['familyInfo']['reloadSpanS']:.0f} s {self.most_messages}"
        )
        self.record_file.close()


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free port, each only once, below those that the system gives to outgoing connections.

    Each process draws from a range of its own, so that cases that run at one time don't meet.
    """
    while True:
        port = 20000 + os.getpid() % 60 * 200 + secrets.randbelow(200)
        if port in _given_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            _given_ports.add(port)
            return port


def trouble() -> bool:
    """Return whether the disruption is to be played: TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(
    platform: Platform, script: Callable[[Platform], Any], broken: Callable[[Platform], list[str]]
) -> int:
    """Play a script and return the exit status of a case: 1 broken, 0 kept, 2 not run."""
    try:
        asyncio.run(asyncio.wait_for(platform.run(script), 115))
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        platform.record(f"the case could not run: {type(error).__name__}: {error}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    reasons = broken(platform)
    for reason in reasons or ["the rule was kept"]:
        platform.record(reason)
        print(reason)
    platform.summary()
    return 1 if reasons else 0

"""Stand-ins for the shared platform: discovery, relay, collectors, proxies and tasks, on loopback sockets.

They follow PROTOCOL.md and WIRE: the assigner under test is the program's own process, started with the `run`
command of the deploy file. Proxies are plain: they send requests over real connections, by the tables that the
relay has delivered to them, and judge no task themselves. What they send is recorded at the tasks.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from common import BROKEN, HELD, NOT_RUN, ROOT, Record, end_process, free_port, reset

READ_SIZE = 1 << 16
REPORT_S = 0.5  # `cycleS`: how often collectors gather sums.
REPORT_DELAY_S = 0.4  # Sums arrive 210 to 1,100 ms late.
PUSH_DELAY_S = (0.1, 0.4)  # Time of a message from the relay to a proxy; `pushDelayMaxS` is more.
SLACK_S = 0.3  # Time limits are 300 ms longer on sockets.
BROKEN_CALL_PAUSE_S = 0.5  # If the relay breaks a call, time limits wait this long.
START_SLACK_S = 1.0  # Time limits start no sooner than this after the assigner first answered.


@dataclass
class Task:
    """A stand-in task: answers probes and requests until it is stopped."""

    host: str
    zone: str
    health: str = "active"
    born_ms: int = 0
    dial: str = ""
    told_s: float | None = None  # Time at which discovery wrote to the assigner that it leaves.
    in_flight: int = 0
    server: asyncio.AbstractServer | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def row(self) -> dict[str, Any]:
        """Return the entry of the list."""
        return {
            "host": self.host,
            "dial": self.dial,
            "site": self.zone,
            "class": "small-3c",
            "block": 1,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }


@dataclass
class Proxy:
    """A plain proxy: its tables, and the messages on their way to it."""

    number: int
    zone: str
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    out: set[str] = field(default_factory=set)
    credit: dict[int, dict[str, float]] = field(default_factory=dict)
    messages: asyncio.Queue[tuple[float, list[dict[str, Any]]]] = field(default_factory=asyncio.Queue)
    connections: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=dict)
    locks: dict[str, asyncio.Lock] = field(default_factory=dict)

    def apply(self, orders: Iterable[dict[str, Any]]) -> None:
        """Apply the orders of one message together."""
        for order in orders:
            apply_order(self.tables, self.out, order)

    def pick(self, slice_id: int) -> str | None:
        """Pick a task evenly by weight (smooth weighted round robin)."""
        table = {h: w for h, w in self.tables.get(slice_id, {}).items() if h not in self.out}
        if not table:
            return None
        credit = self.credit.setdefault(slice_id, {})
        for host in list(credit):
            if host not in table:
                del credit[host]
        for host, weight in table.items():
            credit[host] = credit.get(host, 0.0) + weight
        best = max(table, key=lambda host: credit[host])
        credit[best] -= sum(table.values())
        return best


def apply_order(tables: dict[int, dict[str, float]], out: set[str], order: dict[str, Any]) -> None:
    """Apply one order to tables and withdrawn tasks."""
    match order:
        case {"do": "SET", "group": group, "host": host, "share": share}:
            if share > 0:
                tables.setdefault(group, {})[host] = share
            else:
                tables.setdefault(group, {}).pop(host, None)
        case {"do": "DEL", "group": group}:
            tables[group] = {}
        case {"do": "OUT", "host": host}:
            out.add(host)
        case {"do": "IN", "host": host}:
            out.discard(host)


def settings(grace_s: float, proxies: int, slices: int) -> dict[str, Any]:
    """Return the settings of lisboa-main: the example of the wire's page, with the site file's figures."""
    classes = [
        ("status", "repeatable", 0.75, 2.5, 3.0),
        ("start", "by_key", 1.5, 5.0, 5.0),
        ("charge", "once", 1.5, 5.0, 2.0),
    ]
    return {
        "balancers": 1,
        "blend": {"whole": 0.5, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.2},
        "classes": [
            {
                "deadlineS": deadline,
                "effect": effect,
                "group": "all",
                "lateWorth": 0.2,
                "name": name,
                "objectiveS": aim,
                "windowS": 5.0,
                "worth": worth,
            }
            for name, effect, aim, deadline, worth in classes
        ],
        "familyInfo": {
            "admit": "silent",
            "agents": proxies,
            "bootstrap": 6,
            "classWrites": [False, True, True],
            "cycleS": REPORT_S,
            "egressPerS": 12900.0,
            "head": 12.0,
            "hearsPerS": 300.0,
            "homeOnly": [False, False, False],
            "inFlightMaxS": 5.02,
            "mostWaiting": 19400.0,
            "movePrice": 0.02,
            "orderPrice": 0.04,
            "pushDelayMaxS": 1.0825,
            "pushDelayS": 0.433,
            "reloadSpanS": 10.0,
            "reloadsMax": 20,
            "retryDefault": 0,
            "selectsBy": "rotate",
            "singleWriter": False,
            "slices": slices,
            "smallestConnTable": 1103.0,
            "strikes": 0,
            "tryFactor": 0.8,
            "unservedMaxS": 6.0,
            "waitsForTableS": 0.2,
            "warmKeys": True,
            "writeLeaseS": 1.5,
            "zonal": False,
        },
        "kinds": ["small-3c", "wide-6c"],
        "limits": {
            "connIdleS": 15.0,
            "connectTimeoutS": 0.25,
            "cpuUsPerS": 600000,
            "maxStreams": 100,
            "peers": True,
            "probes": True,
        },
        "me": 0,
        "membershipMode": "automatic",
        "report": {"names": ["rif"], "via": "piggyback"},
        "rules": {
            "askWithinS": 10.0,
            "coldFrom": 0.22,
            "fallMultiple": 3.0,
            "overloadForS": 1.5,
            "stopSendingWithinS": grace_s,
            "warmWithinS": 18.0,
        },
        "serviceType": "control",
        "tariffs": {},
        "tickS": 0.002,
        "weightKind": "rough",
        "worthBy": "request",
        "zone": 0,
        "zones": ["lis-a", "lis-b"],
    }


class Platform:
    """All stand-ins around one assigner, and the judgement of the rule on drains from the tasks' records."""

    def __init__(
        self,
        folder: Path,
        grace_s: float,
        tasks: int,
        proxies: int,
        slices: int,
        rate_per_proxy: float,
        seed: int = 1,
    ) -> None:
        self.folder = folder
        self.record = Record(folder / "record.txt")
        self.random = random.Random(seed)
        self.grace_s = grace_s
        self.slice_count = slices
        self.rate = rate_per_proxy
        zones = ["lis-a", "lis-b"]
        self.tasks = {f"s-{k:08x}": Task(f"s-{k:08x}", zones[k % 2]) for k in range(0x100, 0x100 + tasks)}
        self.proxies = [Proxy(k, zones[k % 2]) for k in range(proxies)]
        self.tables: dict[int, dict[str, float]] = {}
        self.sequence = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.list_writers: set[asyncio.StreamWriter] = set()
        self.news_writers: set[asyncio.StreamWriter] = set()
        self.begun = False
        self.first_pong_s = 0.0
        self.break_call: Callable[[], bool] = lambda: False  # Whether the relay resets the next call.
        self.broken_calls: list[float] = []
        self.call_times: list[float] = []
        self.sent: list[tuple[float, int, int, str]] = []  # Time, proxy, slice and host of each request sent.
        self.runs = 0
        self.refused = 0
        self.failed = 0
        self.answered = 0
        self.met: dict[tuple[str, str], list[float]] = {}  # Per zone and host: tries, failed, time.
        self.heat: dict[tuple[int, str], int] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.jobs: list[asyncio.Task[None]] = []
        self.ids = itertools.count(1)
        self.listens: list[str] = []  # Addresses of the assigners.
        self.scratch = Path(tempfile.mkdtemp(prefix="review-"))

    def spawn(self, job: Any) -> None:
        """Run a coroutine until the end of the run."""
        self.jobs.append(asyncio.create_task(job))

    # Tasks ------------------------------------------------------------------------------------------

    async def start_task(self, task: Task) -> None:
        """Listen for probes and requests of a task."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task.writers.add(writer)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while head := await reader.readuntil(b"\r\n\r\n"):
                    await self._on_task_request(task, head.split(b" ", 2)[1].decode(), writer)
            task.writers.discard(writer)
            writer.close()

        task.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        task.dial = f"127.0.0.1:{task.server.sockets[0].getsockname()[1]}"

    async def _on_task_request(self, task: Task, target: str, writer: asyncio.StreamWriter) -> None:
        body = b"TEXT inflight=%d" % task.in_flight
        if target.startswith("/work/"):
            _, _, proxy, slice_id, request = target.split("/")
            self.runs += 1
            self.record.write("run", request=request, proxy=proxy, slice=slice_id, task=task.host)
            task.in_flight += 1
            await asyncio.sleep(0.03 + 0.03 * self.random.random())
            task.in_flight -= 1
            body = b"done"
        else:
            await asyncio.sleep(0.004)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    async def stop_task(self, task: Task) -> None:
        """End a task: its connections are closed, and new ones are refused."""
        self.record.write("task_ended", task=task.host)
        if task.server is not None:
            task.server.close()
        for writer in list(task.writers):
            writer.close()

    # Discovery --------------------------------------------------------------------------------------

    def change(self, tasks: list[Task], health: str) -> None:
        """Change tasks in the list, and write the change to all watches; it counts as told then."""
        self.sequence += 1
        for task in tasks:
            task.health = health
            if task.told_s is None:
                task.told_s = self.record.now_s()
            self.record.write("told", task=task.host, health=health, seq=self.sequence)
            self.changes.append((self.sequence, task.row()))
        line = {"seq": self.sequence, "whole": False, "hosts": [task.row() for task in tasks]}
        for writer in list(self.list_writers):
            self._chunk(writer, line)

    def drain(self, tasks: list[Task], until_gone_s: float) -> None:
        """List tasks as draining, and end their processes some seconds later."""

        async def end() -> None:
            await asyncio.sleep(until_gone_s)
            self.change(tasks, "left")
            for task in tasks:
                await self.stop_task(task)

        self.change(tasks, "leaving")
        self.spawn(end())

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list, in discovery's form."""
        rows = [task.row() for task in self.tasks.values() if task.health != "left"]
        return {"seq": self.sequence, "whole": True, "hosts": rows}

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, *rows: Any) -> None:
        text = b"".join((json.dumps(row).encode() if row is not None else b"") + b"\n" for row in rows)
        with contextlib.suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%b\r\n" % (len(text), text))

    @staticmethod
    async def _request(reader: asyncio.StreamReader) -> tuple[str, str, bytes]:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        method, target, _ = head.split(" ", 2)
        size = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                size = int(value)
        return method, target, await reader.readexactly(size) if size else b""

    async def serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one connection to discovery."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            _, target, _ = await self._request(reader)
            if "follow=1" not in target:
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            since = int(target.split("since=")[1].split("&")[0])
            rows = {row["host"]: row for seq, row in self.changes if seq > since}
            if since <= 0:
                self._chunk(writer, self.whole_list())
            else:
                first = {"seq": self.sequence, "whole": False, "hosts": list(rows.values())}
                self._chunk(writer, first)
            self.list_writers.add(writer)
            self.spawn(self._beat(writer, None, 2.0, self.list_writers))
            await reader.read()
        self.list_writers.discard(writer)
        writer.close()

    async def _beat(
        self, writer: asyncio.StreamWriter, row: Any, period_s: float, writers: set[asyncio.StreamWriter]
    ) -> None:
        while writer in writers:
            await asyncio.sleep(period_s)
            self._chunk(writer, row)

    # Relay ------------------------------------------------------------------------------------------

    async def serve_relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one connection to the relay: a call, or the news."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            method, target, body = await self._request(reader)
            if method == "POST" and target == "/api/txn":
                await self._on_call(writer, body)
            elif target == "/api/watch":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._chunk(writer, *self._standing())
                self.news_writers.add(writer)
                self.spawn(self._beat(writer, {}, 1.0, self.news_writers))
                await reader.read()
        self.news_writers.discard(writer)
        writer.close()

    def _standing(self) -> list[dict[str, Any]]:
        rows = [self._joined(proxy, False) for proxy in self.proxies if self.begun]
        for slice_id, table in sorted(self.tables.items()):
            rows.append({"type": "given", "object": {"partition": slice_id, "yes": True}})
            rows += [
                {"type": "held", "object": {"partition": slice_id, "host": host, "share": share}}
                for host, share in table.items()
            ]
        return rows

    def _joined(self, proxy: Proxy, standing: bool) -> dict[str, Any]:
        row = {"sidecar": proxy.number, "az": proxy.zone, "share": self.rate, "standing": standing}
        return {"type": "joined", "object": row}

    def news(self, row: dict[str, Any]) -> None:
        """Write one piece of news to all who follow them."""
        for writer in list(self.news_writers):
            self._chunk(writer, row)

    async def _on_call(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        orders = json.loads(body)["orders"]
        if not self.begun:
            answer = b'{"error":"throttled"}'
            writer.write(b"HTTP/1.1 429 X\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))
            return
        if self.break_call():
            # The connection breaks after the call's last byte; the call is not carried out at all.
            self.broken_calls.append(self.record.now_s())
            self.record.write("call_reset", orders=len(orders), first=json.dumps(orders[0]))
            reset(writer)
            return
        self.call_times.append(self.record.now_s())
        self.record.write("call", orders=len(orders), body=json.dumps(orders))
        for order in orders:
            apply_order(self.tables, set(), order)
        sent_s = self.record.now_s()
        for proxy in self.proxies:
            proxy.messages.put_nowait((sent_s + self.random.uniform(*PUSH_DELAY_S), orders))
        answer = b'{"accepted":%d}' % len(orders)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))

    async def _deliver(self, proxy: Proxy) -> None:
        while True:
            due_s, orders = await proxy.messages.get()
            sent_s = due_s
            await asyncio.sleep(max(0.0, due_s - self.record.now_s()))
            proxy.apply(orders)
            for order in orders:
                if order["do"] == "SYNC":
                    lag_ms = 1000 * (self.record.now_s() - sent_s) + 250
                    row = {"sidecar": proxy.number, "version": order["stamp"], "lag_ms": round(lag_ms, 1)}
                    self.news({"type": "applied", "object": row})

    # Proxies ----------------------------------------------------------------------------------------

    async def _send_requests(self, proxy: Proxy) -> None:
        await asyncio.sleep(self.random.random() / self.rate)
        while True:
            slice_id = self.random.randrange(self.slice_count)
            kind = self.random.choices(["status", "start", "charge"], [60, 22, 18])[0]
            self.spawn(self._send(proxy, slice_id, kind))
            await asyncio.sleep(self.random.expovariate(self.rate))

    async def _send(self, proxy: Proxy, slice_id: int, kind: str) -> None:
        self.heat[slice_id, kind] = self.heat.get((slice_id, kind), 0) + 1
        host = proxy.pick(slice_id)
        request = next(self.ids)
        if host is None:
            self.refused += 1
            self.record.write("refused", request=request, proxy=proxy.number, slice=slice_id)
            return
        met = self.met.setdefault((proxy.zone, host), [0, 0, 0.0])
        met[0] += 1
        sent_s = time.monotonic()
        self.sent.append((self.record.now_s(), proxy.number, slice_id, host))
        self.record.write("sent", request=request, proxy=proxy.number, slice=slice_id, kind=kind, task=host)
        ok = False
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(2.5), proxy.locks.setdefault(host, asyncio.Lock()):
                ok = await self._exchange(proxy, host, f"/work/{proxy.number}/{slice_id}/{request}")
        if ok:
            self.answered += 1
            met[2] += time.monotonic() - sent_s
            self.record.write("answered", request=request)
        else:
            self.failed += 1
            met[1] += 1
            proxy.connections.pop(host, None)
            self.record.write("failed", request=request, task=host)

    async def _exchange(self, proxy: Proxy, host: str, target: str) -> bool:
        if host not in proxy.connections:
            address, port = self.tasks[host].dial.split(":")
            proxy.connections[host] = await asyncio.open_connection(address, int(port))
        reader, writer = proxy.connections[host]
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        await reader.readexactly(size)
        return True

    # Collectors -------------------------------------------------------------------------------------

    async def _collect(self, zone: str, carries_heat: bool) -> None:
        writers = []
        for listen in self.listens:
            address, port = listen.split(":")
            _, writer = await asyncio.open_connection(address, int(port))
            writer.write(json.dumps({"msg": "collector", "az": zone}).encode() + b"\n")
            writers.append(writer)
        while True:
            await asyncio.sleep(REPORT_S)
            rows = b"".join(self._sums(zone, carries_heat))
            for writer in writers:
                asyncio.get_running_loop().call_later(REPORT_DELAY_S, writer.write, rows)

    def _sums(self, zone: str, carries_heat: bool) -> list[bytes]:
        window = 1000 * REPORT_S
        rows: list[dict[str, Any]] = []
        for (met_zone, host), (tries, failed, total_s) in list(self.met.items()):
            if met_zone != zone or not tries:
                continue
            good = max(0, int(tries - failed))
            avg = 1000 * total_s / good if good else 0.0
            rows.append(
                {
                    "msg": "heard",
                    "az": zone,
                    "host": host,
                    "n": int(tries),
                    "bad": int(min(failed, tries)),
                    "avg": avg,
                    "window": window,
                    "report": {"inflight": self.tasks[host].in_flight},
                }
            )
            del self.met[met_zone, host]
        if carries_heat:
            rows += [
                {"msg": "heat", "partition": slice_id, "kind": kind, "n": count, "bad": 0, "window": window}
                for (slice_id, kind), count in self.heat.items()
            ]
            self.heat.clear()
        return [json.dumps(row).encode() + b"\n" for row in rows]

    # The run ----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start tasks, discovery, relay and the assigner; then the proxies join and requests begin."""
        for task in self.tasks.values():
            await self.start_task(task)
        hosts = list(self.tasks)
        self.tables = {k: {hosts[k % len(hosts)]: 1.0} for k in range(self.slice_count)}
        discovery = await asyncio.start_server(self.serve_discovery, "127.0.0.1", 0)
        relay = await asyncio.start_server(self.serve_relay, "127.0.0.1", 0)
        listen = f"127.0.0.1:{free_port()}"
        config = {
            "name": "n0",
            "listen": listen,
            "discovery": f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"127.0.0.1:{free_port()}",
            "peers": [],
            "store": {"address": f"127.0.0.1:{relay.sockets[0].getsockname()[1]}"},
            "known": self.whole_list(),
            "settings": settings(self.grace_s, len(self.proxies), self.slice_count),
        }
        path = self.scratch / "config.json"
        path.write_text(json.dumps(config))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {
            **os.environ,
            "GW_NAME": "n0",
            "GW_LISTEN": config["listen"],
            "GW_DISCOVERY": config["discovery"],
            "GW_CONFIG": str(path),
            "TMPDIR": str(self.scratch),
        }
        log = (self.scratch / "assigner.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True
        )
        self.listens = [listen]
        await self.wait_for_pong(listen)
        self.begin()

    async def wait_for_pong(self, listen: str) -> None:
        """Wait for the first sign of life of an assigner."""
        address, port = listen.split(":")
        for _ in range(300):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(address, int(port))
                writer.write(b'{"msg":"ping"}\n')
                async with asyncio.timeout(5):
                    line = await reader.readline()
                writer.close()
                if b"pong" in line:
                    self.first_pong_s = self.record.now_s()
                    self.record.write("pong")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the assigner gave no sign of life within 30 s")

    def begin(self) -> None:
        """Let the proxies join, and the requests and reports begin."""
        self.begun = True
        for proxy in self.proxies:
            proxy.tables = {slice_id: dict(table) for slice_id, table in self.tables.items()}
            self.news(self._joined(proxy, True))
            self.spawn(self._deliver(proxy))
            self.spawn(self._send_requests(proxy))
        self.spawn(self._collect("lis-a", True))
        self.spawn(self._collect("lis-b", False))

    async def wait_for_quiet(self, quiet_s: float, most_s: float) -> None:
        """Wait until no call was made for a time, at most `most_s`; the first seconds are never quiet."""
        begin_s = self.record.now_s()
        while self.record.now_s() - begin_s < most_s:
            last_s = max([begin_s, *self.call_times])
            if self.record.now_s() - last_s > quiet_s:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"calls were made again and again for {most_s:g} s")

    async def stop(self) -> None:
        """End all that was started."""
        for job in self.jobs:
            job.cancel()
        if self.process is not None:
            await end_process(self.process)
        shutil.rmtree(self.scratch, ignore_errors=True)

    # Judgement --------------------------------------------------------------------------------------

    def counted_s(self, from_s: float, to_s: float) -> float:
        """Return the time between two moments, without the 0.5 s after each call that the relay broke."""
        paused = 0.0
        last = from_s
        for broken_s in sorted(self.broken_calls):
            begin = max(broken_s, last)
            end = min(broken_s + BROKEN_CALL_PAUSE_S, to_s)
            if end > begin:
                paused += end - begin
                last = end
        return to_s - from_s - paused

    def drain_violations(self) -> list[tuple[float, str, float]]:
        """Return the requests sent to a task after the grace: time, host and time since it was told."""
        found = []
        for at_s, proxy, slice_id, host in self.sent:
            told_s = self.tasks[host].told_s
            if told_s is None or at_s < told_s:
                continue
            told_s = max(told_s, self.first_pong_s + START_SLACK_S)
            counted = self.counted_s(told_s, at_s)
            if counted > self.grace_s + SLACK_S:
                found.append((at_s, host, counted))
                self.record.write(
                    "RULE_BROKEN",
                    task=host,
                    proxy=proxy,
                    slice=slice_id,
                    at=f"{at_s:.3f}",
                    since=f"{counted:.3f}",
                )
        return found

    def verdict(self) -> int:
        """Write the result, and return the exit status: 1 broken, 0 held, 2 not run."""
        found = self.drain_violations()
        alive = self.process is not None and self.process.returncode is None
        summary: dict[str, object] = {
            "assigner_alive": alive,
            "requests_run": self.runs,
            "answered": self.answered,
            "failed": self.failed,
            "refused": self.refused,
            "calls": len(self.call_times),
            "calls_reset": len(self.broken_calls),
            "requests_after_grace": len(found),
            "tasks_concerned": len({host for _, host, _ in found}),
            "longest_s": f"{max((counted for *_, counted in found), default=0.0):.2f}",
            "limit_s": f"{self.grace_s + SLACK_S:.2f}",
        }
        self.record.summary(summary)
        if found:
            return BROKEN
        return HELD if alive and self.answered > 0 else NOT_RUN

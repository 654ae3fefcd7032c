"""The stand-in platform with two assigners, a relay that moves slices between them, and a cut of the first one.

The relay gives a slice to the other assigner some time after its own was cut off, and gives it back once that
one asks for its news again. Orders for a slice that an assigner does not hold are counted as taken and change
nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import tomllib
from functools import partial
from pathlib import Path
from typing import Any

from common import BROKEN, HELD, NOT_RUN, ROOT, end_process, free_port, reset
from shared_platform import PUSH_DELAY_S, Platform, apply_order, settings

QUEUE_FILLERS = 4  # Connections that fill the accept queue while the way is cut.


class Way:
    """The way from an assigner to the relay. While it is cut, new connections never come up."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.cut = False
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(1)
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.fillers: list[socket.socket] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.jobs: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Accept connections."""
        asyncio.get_running_loop().add_reader(self.sock, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                connection, _ = self.sock.accept()
                job = asyncio.create_task(self._forward(connection))
                self.jobs.add(job)
                job.add_done_callback(self.jobs.discard)

    async def _forward(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        host, port = self.target.split(":")
        other_reader, other_writer = await asyncio.open_connection(host, int(port))
        self.writers |= {writer, other_writer}
        await asyncio.gather(
            self._copy(reader, other_writer), self._copy(other_reader, writer), return_exceptions=True
        )

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                if self.cut:
                    return  # The connection stays open and silent.
                writer.write(data)
        if not self.cut:
            self.writers.discard(writer)
            writer.close()

    def begin_cut(self) -> None:
        """Let nothing pass: open connections stay silent, and the accept queue is full for new ones."""
        self.cut = True
        asyncio.get_running_loop().remove_reader(self.sock)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sock.getsockname())
            self.fillers.append(filler)

    def end_cut(self) -> None:
        """Let new connections pass; those from before are reset."""
        for filler in self.fillers:
            filler.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()
        self.cut = False
        self.start()


class TwoAssigners(Platform):
    """The platform with two assigners; each holds the slices of its parity."""

    def __init__(self, *args: Any, takeover_s: float, unserved_s: float, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.takeover_s = takeover_s
        self.unserved_s = unserved_s
        self.holder = {slice_id: slice_id % 2 for slice_id in range(self.slice_count)}
        self.away = False  # Whether the first assigner's slices are with the other one.
        self.news_of: list[set[asyncio.StreamWriter]] = [set(), set()]
        self.way: Way | None = None
        self.opened_s = 0.0  # When the first assigner's news connection was opened.
        self.processes: list[asyncio.subprocess.Process] = []
        self.bare: dict[tuple[int, int], float] = {}  # Since when a proxy has no line for a slice.
        self.bare_too_long: dict[tuple[int, int], float] = {}
        self.limits_from_s = 0.0  # Time limits start no sooner.

    # Relay ------------------------------------------------------------------------------------------

    async def serve_relay_of(
        self, index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one connection of an assigner to the relay."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            method, target, body = await self._request(reader)
            if method == "POST" and target == "/api/txn":
                self._on_call_of(index, writer, body)
                await writer.drain()
            elif target == "/api/watch":
                self._on_watch_of(index, writer)
                await reader.read()
        self.news_of[index].discard(writer)
        writer.close()

    def _on_watch_of(self, index: int, writer: asyncio.StreamWriter) -> None:
        if index == 0 and self.away:
            self._give_back()
        self.record.write("watch_opened", assigner=index)
        if index == 0:
            self.opened_s = self.record.now_s()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        rows = [self._joined(proxy, False) for proxy in self.proxies if self.begun]
        for slice_id in sorted(self.tables):
            if self.holder[slice_id] == index:
                rows += self._given(slice_id)
        self._chunk(writer, *rows)
        self.news_of[index].add(writer)
        self.spawn(self._beat(writer, {}, 1.0, self.news_of[index]))

    def _given(self, slice_id: int) -> list[dict[str, Any]]:
        rows = [{"type": "given", "object": {"partition": slice_id, "yes": True}}]
        for host, share in self.tables[slice_id].items():
            rows.append({"type": "held", "object": {"partition": slice_id, "host": host, "share": share}})
        return rows

    def _tell(self, index: int, rows: list[dict[str, Any]]) -> None:
        for writer in list(self.news_of[index]):
            self._chunk(writer, *rows)

    def news(self, row: dict[str, Any]) -> None:
        """Write one piece of news to both assigners."""
        for index in (0, 1):
            self._tell(index, [row])

    def _on_call_of(self, index: int, writer: asyncio.StreamWriter, body: bytes) -> None:
        orders = json.loads(body)["orders"]
        if not self.begun:
            answer = b'{"error":"throttled"}'
            writer.write(b"HTTP/1.1 429 X\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))
            return
        effective = [order for order in orders if self.holder.get(order.get("group"), index) == index]
        self.record.write(
            "call",
            assigner=index,
            orders=len(orders),
            not_held=len(orders) - len(effective),
            body=body.decode(),
        )
        self.call_times.append(self.record.now_s())
        for order in effective:
            apply_order(self.tables, set(), order)
        sent_s = self.record.now_s()
        for proxy in self.proxies:
            proxy.messages.put_nowait((sent_s + self.random.uniform(*PUSH_DELAY_S), effective))
        answer = b'{"accepted":%d}' % len(orders)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(answer), answer))

    # The cut ----------------------------------------------------------------------------------------

    async def wait_for_sign_of_life(self, after_s: float) -> None:
        """Wait until some time after a sign of life to the first assigner, which comes each second."""
        since_s = (self.record.now_s() - self.opened_s) % 1.0
        await asyncio.sleep((after_s - since_s) % 1.0)

    async def cut_off(self, length_s: float) -> None:
        """Cut the first assigner off from the relay; the other one gets its slices after some time."""
        assert self.way is not None
        self.record.write("cut", since_sign_of_life=f"{(self.record.now_s() - self.opened_s) % 1.0:.2f}")
        self.way.begin_cut()
        await asyncio.sleep(self.takeover_s)
        self.away = True
        self.record.write("slices_taken_over")
        for slice_id in range(0, self.slice_count, 2):
            self.holder[slice_id] = 1
            self._tell(1, self._given(slice_id))
        await asyncio.sleep(length_s - self.takeover_s)
        self.record.write("cut_over")
        self.way.end_cut()

    def _give_back(self) -> None:
        self.away = False
        self.record.write("slices_given_back")
        for slice_id in range(0, self.slice_count, 2):
            self.holder[slice_id] = 0
            self._tell(1, [{"type": "given", "object": {"partition": slice_id, "yes": False}}])

    # The run ----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start tasks, discovery, relay and both assigners; then the proxies join and requests begin."""
        for task in self.tasks.values():
            await self.start_task(task)
        hosts = list(self.tasks)
        self.tables = {k: {hosts[k % len(hosts)]: 1.0} for k in range(self.slice_count)}
        self.listens = [await self._start_assigner(index) for index in (0, 1)]
        for listen in self.listens:
            await self.wait_for_pong(listen)
        self.begin()
        self.spawn(self._watch_bare())

    async def _start_assigner(self, index: int) -> str:
        discovery = await asyncio.start_server(self.serve_discovery, "127.0.0.1", 0)
        relay = await asyncio.start_server(partial(self.serve_relay_of, index), "127.0.0.1", 0)
        address = f"127.0.0.1:{relay.sockets[0].getsockname()[1]}"
        if index == 0:
            self.way = Way(address)
            self.way.start()
            address = self.way.address
        listen = f"127.0.0.1:{free_port()}"
        own = settings(self.grace_s, len(self.proxies), self.slice_count)
        own |= {"balancers": 2, "me": index, "zone": index}
        config = {
            "name": f"n{index}",
            "listen": listen,
            "discovery": f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}",
            "seed": f"8c1f30d27a5be96{index}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"127.0.0.1:{free_port()}",
            "peers": [],
            "store": {"address": address},
            "known": self.whole_list(),
            "settings": own,
        }
        folder = self.scratch / f"n{index}"
        folder.mkdir()
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {
            **os.environ,
            "GW_NAME": f"n{index}",
            "GW_LISTEN": listen,
            "GW_DISCOVERY": str(config["discovery"]),
            "GW_CONFIG": str(path),
            "TMPDIR": str(folder),
        }
        log = (folder / "log").open("wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log, start_new_session=True
        )
        self.processes.append(process)
        self.process = process
        return listen

    async def stop(self) -> None:
        """End all that was started."""
        for process in self.processes:
            await end_process(process)
        await super().stop()

    # Judgement --------------------------------------------------------------------------------------

    async def _watch_bare(self) -> None:
        """Note how long a proxy has no line for a slice, from its joining on."""
        while True:
            now_s = self.record.now_s()
            for proxy in self.proxies:
                for slice_id in range(self.slice_count):
                    key = (proxy.number, slice_id)
                    table = proxy.tables.get(slice_id, {})
                    if any(host not in proxy.out for host in table):
                        self.bare.pop(key, None)
                        continue
                    since_s = max(self.bare.setdefault(key, now_s), self.limits_from_s)
                    if now_s - since_s > self.unserved_s:
                        self.bare_too_long[key] = now_s - since_s
            await asyncio.sleep(0.1)

    def verdict(self) -> int:
        """Write the result, and return the exit status: 1 broken, 0 held, 2 not run."""
        for (proxy, slice_id), length_s in sorted(self.bare_too_long.items()):
            self.record.write("RULE_BROKEN", proxy=proxy, slice=slice_id, bare_s=f"{length_s:.2f}")
        alive = all(process.returncode is None for process in self.processes)
        summary: dict[str, object] = {
            "assigners_alive": alive,
            "requests_run": self.runs,
            "answered": self.answered,
            "failed": self.failed,
            "refused": self.refused,
            "slices_without_task": len({slice_id for _, slice_id in self.bare_too_long}),
            "proxies_concerned": len({proxy for proxy, _ in self.bare_too_long}),
            "longest_s": f"{max(self.bare_too_long.values(), default=0.0):.2f}",
            "limit_s": f"{self.unserved_s:.2f}",
        }
        self.record.summary(summary)
        if self.bare_too_long:
            return BROKEN
        return HELD if alive and self.answered > 0 else NOT_RUN

"""Stand-ins around the program's own store, assigner and proxies: endpoint list, servers, clients and links.

They speak the program's protocol as docs/wire.md has it, on loopback. The processes under test are started with the
interpreter of the deploy file's build. A link forwards the streams of one proxy to the assigner or the store; while
it is cut nothing passes, and what is open then is reset once it is back.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import shutil
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from common import ROOT, Record, end_process, free_port, reset

PYTHON = ".venv/bin/python"
REQUESTS_PER_S = 14.0  # Of each client.
STATUSES = {"removed": 0, "ready": 1, "draining": 2}


@dataclass
class Write:
    """A write that reached a server."""

    slice_id: int
    server: int
    proxy: int
    begin_s: float
    end_s: float = float("inf")


@dataclass
class Server:
    """A session server: answers health checks and attempts after their work."""

    number: int
    zone: int
    address: str = ""
    status: int = STATUSES["ready"]
    told_s: float | None = None
    in_flight: int = 0


class Link:
    """Forwards connections to one address, unless it is cut."""

    def __init__(self, target: str, on_open: Callable[[], None]) -> None:
        self.target = target
        self.on_open = on_open  # Called when a connection comes up.
        self.open = asyncio.Event()
        self.open.set()
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Let nothing pass from now on."""
        self.open.clear()

    def heal(self) -> None:
        """Let new connections pass, and reset those that were open."""
        self.open.set()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        if not self.open.is_set():
            return  # It never comes up, and is reset once the zone is back.
        host, port = self.target.split(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self.writers.add(other_writer)
        self.on_open()
        both = (self._copy(reader, other_writer), self._copy(other_reader, writer))
        await asyncio.gather(*both, return_exceptions=True)

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1 << 16):
            if not self.open.is_set():
                return
            writer.write(data)
        if self.open.is_set():
            writer.close()


class Deployment:
    """One store, one assigner, some proxies, and the stand-ins around them."""

    def __init__(self, folder: Path, proxy_zones: list[int], server_zones: list[int], slices: int) -> None:
        self.record = Record(folder / "record.txt")
        self.random = random.Random(5)
        self.slices = slices
        self.servers = [Server(k + 1, zone) for k, zone in enumerate(server_zones)]
        self.proxy_zones = proxy_zones
        self.links: list[tuple[int, Link]] = []  # Zone of the proxy, and its link.
        self.list_version = 1
        self.list_writers: set[asyncio.StreamWriter] = set()
        self.writes: list[Write] = []
        self.statuses: dict[int, int] = {}
        self.processes: list[asyncio.subprocess.Process] = []
        self.jobs: list[asyncio.Task[None]] = []
        self.ids = itertools.count(1)
        self.scratch = Path(tempfile.mkdtemp(prefix="review-"))

    # Lines ------------------------------------------------------------------------------------------

    @staticmethod
    def send(writer: asyncio.StreamWriter, tag: str, **fields: object) -> None:
        """Send one message."""
        writer.write(json.dumps({"t": tag, **fields}).encode() + b"\n")

    async def _greet(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, role: str, number: int
    ) -> dict[str, Any]:
        hello = json.loads(await reader.readline())
        self.send(writer, "welcome", version=1, role=role, id=number, start=1)
        return dict(hello)

    # Endpoint list ----------------------------------------------------------------------------------

    def _row(self, server: Server) -> list[object]:
        return [server.number, server.zone, 0, server.zone, server.status, 1.0, 0, -1.0, server.address]

    async def serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the endpoint list to an assigner."""
        await self._greet(reader, writer, "list", 0)
        self.list_writers.add(writer)
        rows = [self._row(server) for server in self.servers]
        self.send(writer, "news", kind="full", version=self.list_version, servers=rows)
        while line := await reader.readline():
            if json.loads(line)["t"] == "ping":
                self.send(writer, "pong")
        self.list_writers.discard(writer)

    def drain(self, server: Server) -> None:
        """List a server as draining."""
        self.list_version += 1
        server.status = STATUSES["draining"]
        server.told_s = self.record.now_s()
        self.record.write("told", server=server.number, status="draining")
        for writer in self.list_writers:
            rows = [self._row(server)]
            self.send(writer, "news", kind="delta", version=self.list_version, servers=rows)

    def busiest_server(self) -> Server:
        """Return the server that took writes of the most slices lately."""
        since_s = self.record.now_s() - 4.0

        def slices(server: Server) -> int:
            writes = [write for write in self.writes if write.server == server.number]
            return len({write.slice_id for write in writes if write.begin_s > since_s})

        return max(self.servers, key=slices)

    # Servers ----------------------------------------------------------------------------------------

    async def start_server(self, server: Server) -> None:
        """Listen for a server's streams."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._greet(reader, writer, "server", server.number)
            while line := await reader.readline():
                self._on_line(server, writer, json.loads(line))

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        server.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"

    def _on_line(self, server: Server, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        match message["t"]:
            case "ping":
                self.send(writer, "pong")
            case "probe":
                self.send(writer, "probed", id=message["id"], status=0, values=[server.in_flight])
            case "try":
                self.jobs.append(asyncio.create_task(self._run(server, writer, message)))

    async def _run(self, server: Server, writer: asyncio.StreamWriter, attempt: dict[str, Any]) -> None:
        is_write = attempt["request_class"] > 0
        write = Write(attempt["slice"], server.number, attempt["proxy"], self.record.now_s())
        if is_write:
            self.writes.append(write)
        self.record.write(
            "run",
            server=server.number,
            slice=write.slice_id,
            write=int(is_write),
            proxy=write.proxy,
            request=attempt["request"],
        )
        server.in_flight += 1
        await asyncio.sleep(0.02 + 0.04 * self.random.random())
        server.in_flight -= 1
        write.end_s = self.record.now_s()
        self.send(writer, "answer", id=attempt["id"], status=0, values=[server.in_flight])

    # The cut ----------------------------------------------------------------------------------------

    def cut(self, zone: int) -> None:
        """Cut the machine of assigner and store off from the proxies of a zone, which go on forwarding."""
        self.record.write("cut", zone=zone)
        for link_zone, link in self.links:
            if link_zone == zone:
                link.cut()

    def heal(self, zone: int) -> None:
        """End the cut: what was open across it is reset, and new connections come up."""
        self.record.write("healed", zone=zone)
        for link_zone, link in self.links:
            if link_zone == zone:
                link.heal()

    # Processes --------------------------------------------------------------------------------------

    async def _start_process(self, name: str, command: str, config: str) -> None:
        path = self.scratch / f"{name}.ini"
        path.write_text(config)
        log = (self.scratch / f"{name}.log").open("wb")
        process = await asyncio.create_subprocess_exec(
            PYTHON,
            "-m",
            "puffintide",
            command,
            "--config",
            str(path),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={**os.environ, "TMPDIR": str(self.scratch)},
            start_new_session=True,
        )
        self.processes.append(process)

    async def start(self, shared: str, assigner_zone: int) -> None:
        """Start servers, list, store, assigner and proxies, and the clients once all are connected."""
        for server in self.servers:
            await self.start_server(server)
        listing = await asyncio.start_server(self.serve_list, "127.0.0.1", 0)
        list_address = f"127.0.0.1:{listing.sockets[0].getsockname()[1]}"
        store, assigner = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        store_file = self.scratch / "store.db"
        await self._start_process(
            "store", "store", f"{shared}\n[store]\nlisten = {store}\nfile = {store_file}\n"
        )
        await asyncio.sleep(1.5)
        section = f"[assigner]\nid = 0\nzone = {assigner_zone}\nlisten = {assigner}\nstore = {store}\n"
        await self._start_process("assigner", "assigner", f"{shared}\n{section}list = {list_address}\n")
        for number, zone in enumerate(self.proxy_zones):
            addresses = []
            for name, target in (("assigner", assigner), ("store", store)):
                link = Link(target, partial(self.record.write, "connected", proxy=number, to=name))
                await link.start()
                self.links.append((zone, link))
                addresses.append(link.address)
            listen = f"127.0.0.1:{free_port()}"
            section = f"[proxy]\nid = {number}\nzone = {zone}\nlisten = {listen}\n"
            section += f"assigners = {addresses[0]}\nstore = {addresses[1]}\n"
            await self._start_process(f"proxy-{number}", "proxy", f"{shared}\n{section}")
            self.jobs.append(asyncio.create_task(self._client(number, listen)))

    async def _client(self, number: int, address: str) -> None:
        host, port = address.split(":")
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                break
            except OSError:
                await asyncio.sleep(0.1)
        self.send(writer, "hello", version=1, role="client", id=number, zone=self.proxy_zones[number])
        answers = asyncio.create_task(self._answers(reader, writer))
        self.jobs.append(answers)
        await asyncio.sleep(6.0)
        while True:
            request = next(self.ids)
            kind = self.random.choices([0, 1, 2], [60, 22, 18])[0]
            key = self.random.getrandbits(63)
            self.record.write("ask", request=request, proxy=number, kind=kind)
            left_s = 2.5 if kind == 0 else 5.0
            self.send(writer, "ask", id=request, request_class=kind, key=key, left_s=left_s)
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))

    async def _answers(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            message = json.loads(line)
            if message["t"] == "ping":
                self.send(writer, "pong")
            elif message["t"] == "reply":
                status = int(message.get("status", 0))
                self.statuses[status] = self.statuses.get(status, 0) + 1
                self.record.write("reply", request=message["id"], status=status, ran=message.get("ran", True))

    async def stop(self) -> None:
        """End all that was started."""
        for job in self.jobs:
            job.cancel()
        for process in self.processes:
            await end_process(process)
        shutil.rmtree(self.scratch, ignore_errors=True)

    # Judgement --------------------------------------------------------------------------------------

    def writes_at_former_owner(self, former: Server) -> list[Write]:
        """Return writes that reached a draining server after another had taken a write of the same slice."""
        found = []
        taken_s: dict[
            int, float
        ] = {}  # First write of each slice at a later owner, once it was told to drain.
        told_s = former.told_s if former.told_s is not None else float("inf")
        had = {write.slice_id for write in self.writes if write.server == former.number}
        for write in self.writes:
            if write.begin_s < told_s or write.slice_id not in had:
                continue
            if write.server != former.number:
                taken_s.setdefault(write.slice_id, write.begin_s)
            elif write.slice_id in taken_s:
                found.append(write)
                self.record.write(
                    "RULE_BROKEN",
                    slice=write.slice_id,
                    server=write.server,
                    proxy=write.proxy,
                    at=f"{write.begin_s:.3f}",
                    later_owner_since=f"{taken_s[write.slice_id]:.3f}",
                )
        return found

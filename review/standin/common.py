"""What the stand-ins of all cases share: the record of a run, ports, resets, and the end of a case."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2  # Exit statuses of a case.


def free_port() -> int:
    """Return a TCP port of the loopback interface that was free just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def end_process(process: asyncio.subprocess.Process) -> None:
    """Kill a process that the case started, with all of its session."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        await process.wait()


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.start_s

    def write(self, event: str, **fields: object) -> None:
        """Write one line with the time since the start of the run."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now_s():9.3f} {event} {text}\n")

    def summary(self, fields: dict[str, object]) -> None:
        """Write the summary, print it, and end the record."""
        self.write("summary", **fields)
        print(" ".join(f"{key}={value}" for key, value in fields.items()))
        self.file.close()


def main(play: Callable[[bool], Awaitable[int]]) -> None:
    """Run a case with or without its disruption, and exit with its verdict."""

    async def guarded() -> int:
        loop = asyncio.get_running_loop()
        # What is still open when the run ends is cancelled, which is no error.
        loop.set_exception_handler(lambda _loop, _context: None)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await play(os.environ.get("TROUBLE", "1") != "0")

    try:
        status = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        status = NOT_RUN
    raise SystemExit(status)

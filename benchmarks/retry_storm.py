"""A slow fleet near its limit and impatient clients: what each way of trying again makes of it.

    python -m benchmarks.retry_storm [--table FILE]

The proxy's engine and the stand-ins' servers in virtual time, no sockets and no clock, so that the same seed gives
the same table anywhere. Ten seconds at a share of what the fleet can do, then the fleet is twice as slow for ten,
then well again. Amplification is tries over first tries; it can't pass what was ordered: 1, 2, 2 and 3.
"""

from __future__ import annotations

import heapq
import random
from pathlib import Path
from typing import Any

import click

from puffintide.decisions.settings import AdmissionMode, RepeatSafety
from puffintide.emulators.model import ServerModel, ServerSpec
from puffintide.protocol import messages as m
from puffintide.proxy.effects import (
    CancelAttempt,
    CompleteRequest,
    ConnectServer,
    DisconnectServer,
    Effect,
    SendAttempt,
)
from puffintide.proxy.engine import Engine
from puffintide.proxy.retry_policy import DeduplicationScope, RequestClassPolicy
from puffintide.proxy.settings import EngineSettings

SERVERS, SLICES, WORK_S, LENGTH_S = 10, 40, 0.1, 30.0
KINDS = (
    RequestClassPolicy(RepeatSafety.IDEMPOTENT, DeduplicationScope.ALL, 0, 0.5),
    RequestClassPolicy(RepeatSafety.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 0.5),
)


def limits() -> EngineSettings:
    return EngineSettings(
        slice_count=SLICES,
        request_classes=KINDS,
        same_zone_only=(False, False),
        default_retry_mode=0,
        retry_wait_objectives=1.0,
        ejection_failures=0,
        ejection_s=2.0,
        admission_mode=AdmissionMode.NONE,
        load_balancing_policy="rotate",
        queue_timeout_s=0.2,
        retry_after_s=0.5,
        zone=0,
    )


class World:
    def __init__(self, mode: int, share: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.engine = Engine(limits(), self.rng.random)
        spec = ServerSpec(2, 1.0, 4, 20, 0.5, 5.0, 0.0, 1.0, 10, 3.0, 1.5)
        self.servers = [ServerModel(spec, None) for _ in range(SERVERS)]
        held = [m.TableEntry(s, 1.0, f"127.0.0.1:{s}") for s in range(SERVERS)]
        self.engine.on_slice_ownerships(0.0, [m.SliceOwnership(n, 1, 0, held) for n in range(SLICES)])
        self.engine.on_proxy_update(
            0.0, 0, m.ProxyUpdate(1, 0.0, 1.0, admission_levels=[m.AdmissionLevel(0xFFFF, 0, 1.0, mode)])
        )
        self.rate = share * SERVERS * spec.cores / WORK_S
        self.now = 0.0
        self.events: list[tuple[float, int, str, int]] = []
        self.number = 0
        self.first = self.tries = self.good = self.asked = self.once_again = 0
        self.seen: dict[Any, int] = {}
        self.armed: dict[int, float] = {}  # when each server is looked at next

    def later(self, at: float, what: str, which: int) -> None:
        self.number += 1
        heapq.heappush(self.events, (at, self.number, what, which))

    def do(self, effects: list[Effect]) -> None:
        for e in effects:
            match e:
                case ConnectServer(server):
                    self.do(self.engine.on_server_connected(self.now, server))
                case SendAttempt():
                    self.tries += 1
                    self.first += e.attempt_number == 0
                    self.once_again += (
                        e.class_index == 1 and e.attempt_number > 0 and self.seen.get(e.handle, 0) > 0
                    )
                    self.seen[e.handle] = self.seen.get(e.handle, 0) + 1
                    model = self.servers[e.server_id]
                    if not model.offer(
                        self.now, e.attempt_id, self.rng.lognormvariate(-0.1, 0.45) * WORK_S, None
                    ):
                        self.seen[e.handle] -= 1
                        self.later(self.now + 0.001, f"full{e.server_id}", e.attempt_id)
                    self.arm(e.server_id)
                case CompleteRequest(_, status):
                    self.good += status == m.AttemptStatus.OK
                case CancelAttempt() | DisconnectServer():
                    pass  # it stops no work

    def arm(self, server: int) -> None:
        due = self.servers[server].next_completion_at()
        if due is not None and due < self.armed.get(server, float("inf")):
            self.armed[server] = max(due, self.now + 1e-6)
            self.later(self.armed[server], "work", server)

    def run(self) -> None:
        at = 0.0
        while at < LENGTH_S:
            at += self.rng.expovariate(self.rate)
            self.asked += 1
            self.later(at, "ask", self.asked)
        self.later(10.0, "slow", 2)
        self.later(20.0, "slow", 1)
        while self.events or self.engine.next_timer_at() is not None:
            due = self.engine.next_timer_at()
            if due is not None and (not self.events or due <= self.events[0][0]):
                self.now = max(self.now, due)
                self.do(self.engine.on_timer(self.now))
                continue
            self.now, _, what, which = heapq.heappop(self.events)
            if what == "ask":
                kind = 1 if which % 5 == 0 else 0
                self.do(self.engine.on_request(self.now, which, which, which % SLICES, kind, 1.5))
            elif what == "work":
                if self.armed.get(which) == self.now:
                    del self.armed[which]
                for key in self.servers[which].take_completed(self.now):
                    self.do(self.engine.on_response(self.now, which, key, m.AttemptStatus.OK, []))
                self.arm(which)
            elif what == "slow":
                for k, server in enumerate(self.servers):
                    server.advance(self.now)
                    server.slowdown = float(which)
                    self.arm(k)
            else:
                self.do(
                    self.engine.on_response(self.now, int(what[4:]), which, m.AttemptStatus.SATURATED, [])
                )


def rows(seed: int) -> list[tuple[float, int, float, float, int]]:
    """(load, way, amplification, answered in time, once requests sent again after one that may have run)"""
    found = []
    for share in (0.7, 0.9):
        for mode in range(4):
            world = World(mode, share, seed)
            world.run()
            found.append((share, mode, world.tries / world.first, world.good / world.asked, world.once_again))
    return found


@click.command()
@click.option("--seed", default=1)
@click.option("--table", default="")
def main(seed: int, table: str) -> None:
    lines = ["| load | way | tries a first try | ordered at most | answered in time | once sent again |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for share, mode, amplified, good, again in rows(seed):
        lines.append(
            f"| {share:.0%} | {mode} | {amplified:.2f} | {(1, 2, 2, 3)[mode]} | {good:.3f} | {again} |"
        )
    click.echo("\n".join(lines))
    if table:
        Path(table).write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()

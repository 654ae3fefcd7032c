"""Seeded mixtures of faults around one assigner of the platform, on the virtual clock.

`python -m tests.platform_faults FIRST_SEED COUNT` plays many seeds and prints the events of each that fails.
"""

from __future__ import annotations

import itertools
import random
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.platform_world import SERVERS, SLICES, Client, FakeRelay, Platform, ServerConnection, entry

CALM_S = 2.0
STEP_S = 0.5  # Reports arrive once per step.
DRAIN_AFTER_S = 0.5  # From the end of the faults to a drain.
# From there to the end of its grace of 3.3 s, which begins 1.5 s after a broken call at the latest and 4 s after a
# broken watch, by the platform's rules.
DRAIN_LIMIT_S = 4.5
DRAIN_LIMIT_AFTER_BROKEN_WATCH_S = 7.0
SETTLE_S = 8.0  # Until the message window has passed.
FINAL_DRAIN_S = 4.0
CALL_S = 0.01  # Longer than a call and its answer take on the virtual clock.
MIN_ACTIVE_SERVERS = 2
CALL_FAULTS = ["lost", "reset", "applied, unanswered", "applied, reset", "applied, malformed", "throttled"]
WINDOW_S = 10.0
MAX_MESSAGES = 20


class FaultyRelay:
    """Faults of a fake relay: calls, cuts, and slices that belong to another assigner for a while."""

    def __init__(self, relay: FakeRelay, rng: random.Random) -> None:
        self.relay = relay
        self.rng = rng
        self.is_cut = False
        self.call_fault_rate = 0.0
        self.call_faults = rng.sample(CALL_FAULTS, rng.randint(1, len(CALL_FAULTS)))
        self.watch_broken = False  # Whether a watch was ever broken.
        self.partial_grants = 0  # Grants whose entries have not followed yet.
        self._answer = relay.answer
        self._send_heartbeat = relay.send_heartbeat
        faulty: Any = relay
        faulty.answer = self.answer
        faulty.send_heartbeat = self.send_heartbeat
        faulty.broadcast = self.broadcast

    def answer(self, connection: ServerConnection, method: str, target: str, body: bytes) -> None:
        if self.is_cut:
            connection.target = ""  # No watch was opened.
            return
        if method == "POST" and self.rng.random() < self.call_fault_rate:
            self.relay.call_results = [self.rng.choice(self.call_faults)]
        self._answer(connection, method, target, body)

    def send_heartbeat(self, connection: ServerConnection) -> None:
        if not self.is_cut and not self.partial_grants:
            self._send_heartbeat(connection)

    def broadcast(self, row: Any) -> None:
        for connection in self.relay.watches() if not self.is_cut else []:
            connection.send_line(row)

    def begin_cut(self) -> None:
        """Leave open connections silent and new requests unanswered."""
        self.is_cut = True
        self.watch_broken = True

    def end_cut(self) -> None:
        """Reset the connections of the cut."""
        if self.is_cut:
            self.is_cut = False
            for connection in self.relay.connections:
                if connection.open:
                    connection.transport.abortConnection()

    def break_watches(self) -> None:
        self.watch_broken = True
        for connection in self.relay.watches():
            connection.transport.abortConnection()

    def revoke(self, slice_id: int) -> None:
        self.relay.foreign_slices.add(slice_id)
        self.broadcast({"type": "given", "object": {"partition": slice_id, "yes": False}})

    def grant(self, slice_id: int, gap_s: float) -> None:
        """Return a slice; its entries follow after a gap, before any heartbeat."""
        if slice_id not in self.relay.foreign_slices:
            return
        self.relay.foreign_slices.discard(slice_id)
        self.broadcast({"type": "given", "object": {"partition": slice_id, "yes": True}})
        watches = self.relay.watches()
        table = dict(self.relay.tables[slice_id])
        self.partial_grants += 1
        self.relay.reactor.callLater(gap_s, self._send_table, watches, slice_id, table)

    def _send_table(self, watches: list[ServerConnection], slice_id: int, table: dict[str, float]) -> None:
        self.partial_grants -= 1
        for connection in watches if not self.is_cut else []:
            for host, share in table.items():
                if connection.open:
                    weight = {"partition": slice_id, "host": host, "share": share}
                    connection.send_line({"type": "held", "object": weight})


class Mixture:
    """One mixture of faults, determined by its seed."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.platform = Platform(folder)
        self.relay = FaultyRelay(self.platform.relay, self.rng)
        self.events: list[str] = []
        self.active = set(range(SERVERS))
        self.collector = self.platform.collector()
        kinds: list[Callable[[], str]] = [
            self._cut, self._break_watch, self._break_list, self._move_slice, self._move_slice,
            self._drain, self._reactivate, self._replace_proxy, self._suspend, self._break_collector,
        ]  # fmt: skip
        self.kinds = self.rng.sample(kinds, self.rng.randint(2, len(kinds)))
        self.call_fault_rate = self.rng.choice([0.0, 0.0, 0.2, 0.5, 1.0])
        self.fault_s = self.rng.uniform(2.0, 8.0)
        self.event_rate = self.rng.uniform(0.5, 4.0)

    # Events: each returns its description -------------------------------------------------------------

    def _later(self, delay_s: float, call: Callable[..., Any], *args: Any) -> None:
        self.platform.net.callLater(delay_s, call, *args)

    def _cut(self) -> str:
        duration_s = self.rng.uniform(0.3, 7.0)
        self.relay.begin_cut()
        self._later(duration_s, self.relay.end_cut)
        return f"cut {duration_s:.2f} s"

    def _break_watch(self) -> str:
        self.relay.break_watches()
        return "break watch"

    def _break_list(self) -> str:
        for connection in self.platform.discovery.watches():
            connection.transport.abortConnection()
        return "break list"

    def _move_slice(self) -> str:
        slice_id = self.rng.randrange(SLICES)
        away_s, gap_s = self.rng.uniform(0.01, 4.0), self.rng.choice([0.0, 0.0, 0.05, 0.3])
        change_after_s = self.rng.uniform(0.0, away_s)
        self.relay.revoke(slice_id)
        self._later(change_after_s, self._change_table, slice_id)
        self._later(away_s, self.relay.grant, slice_id, gap_s)
        return f"slice {slice_id} away {away_s:.2f} s, changed after {change_after_s:.2f}, gap {gap_s}"

    def _change_table(self, slice_id: int) -> None:
        """Change a table as another assigner does."""
        if slice_id in self.platform.relay.foreign_slices:
            host = f"s-{self.rng.choice(sorted(self.active))}"
            self.platform.relay.tables[slice_id] = {host: 1.0}
            self._log(f"slice {slice_id} is on {host}")

    def _drain(self) -> str:
        if len(self.active) <= MIN_ACTIVE_SERVERS:
            return ""
        server = self.rng.choice(sorted(self.active))
        self.active.discard(server)
        self.platform.discovery.entries[server] = entry(server, "leaving")
        self.platform.discovery.change(entry(server, "leaving"))
        return f"drain s-{server}"

    def _reactivate(self) -> str:
        inactive = sorted(set(range(SERVERS)) - self.active)
        if not inactive:
            return ""
        server = self.rng.choice(inactive)
        self.active.add(server)
        self.platform.discovery.entries[server] = entry(server)
        self.platform.discovery.change(entry(server))
        return f"activate s-{server}"

    def _replace_proxy(self) -> str:
        proxy_id = self.rng.randrange(3)
        self.relay.broadcast({"type": "left", "object": {"sidecar": proxy_id}})
        joined = {"sidecar": proxy_id, "az": "a", "share": 5.0, "standing": True}
        self._later(0.2, self.relay.broadcast, {"type": "joined", "object": joined})
        return f"replace proxy {proxy_id}"

    def _suspend(self) -> str:
        duration_s = self.rng.uniform(0.0, 3.0)
        reactor = self.platform.reactor
        if reactor.suspended:
            return ""
        reactor.suspended = True
        self._later(duration_s, reactor.resume)
        return f"suspend {duration_s:.2f} s"

    def _break_collector(self) -> str:
        self.collector.transport.abortConnection()
        self.collector = Client(self.platform)
        self.collector.send({"msg": "collector", "az": "a"})
        return "break collector"

    # The run ------------------------------------------------------------------------------------------

    def _now_s(self) -> float:
        return self.platform.net.seconds()

    def _log(self, description: str) -> None:
        if description:
            self.events.append(f"{self._now_s():.3f} {description}")

    def play(self) -> list[str]:
        """Play the faults, let the assigner recover, and return the problems that are left."""
        self._step(CALM_S)
        self.relay.call_fault_rate = self.call_fault_rate
        end_s = self._now_s() + self.fault_s
        while self._now_s() < end_s:
            self._later(self.rng.expovariate(self.event_rate), self._play_event, end_s)
            self._step(STEP_S)
        self._heal()
        self._step(DRAIN_AFTER_S)
        self._log(self._drain())
        self._step(DRAIN_LIMIT_AFTER_BROKEN_WATCH_S if self.relay.watch_broken else DRAIN_LIMIT_S)
        problems = self._late_drains()
        self._step(SETTLE_S)
        problems += self._problems()
        self._log(self._drain() or self._reactivate())
        self._step(FINAL_DRAIN_S)
        return problems + self._problems()

    def _step(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.platform.report(self.collector)

    def _play_event(self, end_s: float) -> None:
        if self._now_s() < end_s:
            self._log(self.rng.choice(self.kinds)())

    def _heal(self) -> None:
        """End all faults; slices come home by what the next watch lists or by grants."""
        self.relay.call_fault_rate = 0.0
        self.platform.relay.call_results = []
        self.relay.end_cut()
        if self.platform.reactor.suspended:
            self.platform.reactor.resume()
        for slice_id in sorted(self.platform.relay.foreign_slices):
            self.relay.grant(slice_id, gap_s=0.0)
        self._log("healed")

    def _late_drains(self) -> list[str]:
        draining = self.platform.relay.routable_hosts() - {f"s-{server}" for server in self.active}
        return [f"{host} drains and is in a table" for host in sorted(draining)]

    def _problems(self) -> list[str]:
        """Return what is wrong with the state that the relay and the assigner have, once calls have ended."""
        relay, assigner = self.platform.relay, self.platform.assigner
        self.platform.advance(CALL_S)  # An ordinary call may have begun at this time.
        believed = self.platform.director_tables()
        problems = [
            f"slice {slice_id}: the relay has {table}, the assigner believes {believed.get(slice_id)}"
            for slice_id, table in relay.tables.items()
            if believed.get(slice_id) != table
        ]
        active_hosts = {f"s-{server}" for server in self.active} - relay.withdrawn_hosts
        problems += [
            f"slice {slice_id} has no active server: {table}"
            for slice_id, table in relay.tables.items()
            if not active_hosts & table.keys()
        ]
        problems += self._late_drains()
        if len(assigner.relay.outbox):
            problems.append(f"{len(assigner.relay.outbox)} orders are not sent")
        problems += [f"{event}: {row}" for _, event, row in self.platform.log_rows if "failed" in event]
        times_s = [time_s for time_s, _ in relay.calls]
        for first_s, last_s in zip(times_s, itertools.islice(times_s, MAX_MESSAGES, None), strict=False):
            if last_s - first_s < WINDOW_S:
                problems.append(f"more than {MAX_MESSAGES} messages from {first_s:.3f} on")
        return problems


def play_seed(folder: Path, seed: int) -> list[str]:
    """Play a mixture, and return its problems followed by its events; nothing if there are no problems."""
    mixture = Mixture(folder, seed)
    problems = mixture.play()
    return [*problems, *mixture.events] if problems else []


def main() -> None:
    first_seed, count = int(sys.argv[1]), int(sys.argv[2])
    failed = []
    for seed in range(first_seed, first_seed + count):
        with tempfile.TemporaryDirectory() as folder:
            report = play_seed(Path(folder), seed)
        if report:
            failed.append(seed)
            print(f"seed {seed}", *report, sep="\n  ")
    print(f"{count} seeds from {first_seed}: {len(failed)} failed {failed[:20]}")


if __name__ == "__main__":
    main()

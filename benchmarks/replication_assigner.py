"""The assigner process of benchmarks.replication_processes: peer sessions without decisions.

For each event the process prints one line with a JSON object: the name and the time of the event, and the
processor time and the received bytes so far. On SIGUSR1 it changes the tables of 20 of its slices.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from typing import Any

import click

from puffintide.config.schema import PeersSection
from puffintide.owned_tables import OwnedTables
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.clock import monotonic_reactor
from puffintide.protocol.stream import Stream, StreamServerFactory
from puffintide.replication.peer_observations import EndpointListState, LocalFindings
from puffintide.replication.peer_sessions import PeerSessions
from puffintide.replication.table_replicas import latest_tables

CHECK_INTERVAL_S = 0.005  # Interval between two checks of the replica; the delay of this timer is measured.
FIRST_EXCHANGE_DELAY_S = 0.5
CATCH_UP_TIMEOUT_S = 60.0
CHANGED_SLICE_COUNT = 20
MAX_PENDING_CONNECTIONS = 50
TABLE = [m.TableEntry(7, 1.0, "127.0.0.1:9007", 0), m.TableEntry(8, 0.004, "127.0.0.1:9008", 1)]


received_bytes = 0  # Bytes received on all streams of the process.


def count_received_bytes() -> None:
    """Patch Stream so that every stream of the process adds its received bytes to received_bytes."""
    data_received = Stream.dataReceived

    def count_and_handle(stream: Stream, data: bytes) -> None:
        global received_bytes
        received_bytes += len(data)
        data_received(stream, data)

    Stream.dataReceived = count_and_handle  # type: ignore[method-assign, assignment]


class CatchUpLog:
    """A logger for the peer sessions that prints only the end of the catch-up."""

    def info(self, event: str, **fields: Any) -> None:
        """Print the event if it is the end of the catch-up."""
        if event == "caught_up":
            print_event("caught_up", tables=fields["rows"], why=fields["reason"])

    warning = info


def print_event(name: str, **fields: Any) -> None:
    """Print an event with its time, the processor time and the received bytes so far."""
    cpu_times = os.times()
    row = {
        "t": time.monotonic(),
        "what": name,
        "cpu": cpu_times.user + cpu_times.system,
        "bytes": received_bytes,
        **fields,
    }
    print(json.dumps(row), flush=True)


class ReplicatingAssigner:
    """The peer sessions of an assigner and the tables of the slices that it owns.

    Args:
        assigner_id: Id of this assigner.
        addresses: Addresses of all assigners, in the order of their ids.
        incarnation: Incarnation of this assigner.
        slice_count: Number of slices of the deployment.
        owns_slices: Whether this assigner owns its share of the slices (every slice whose id modulo the
            number of assigners is its own id) or none.
    """

    def __init__(
        self, assigner_id: int, addresses: list[str], incarnation: int, slice_count: int, owns_slices: bool
    ) -> None:
        self._id = assigner_id
        self._addresses = addresses
        self._incarnation = incarnation
        self._reactor: Any = monotonic_reactor()
        self._section = PeersSection(addresses=addresses, catch_up_s=CATCH_UP_TIMEOUT_S)
        self._peers = PeerSessions(
            self._reactor, self._section, assigner_id, incarnation, slice_count, CatchUpLog(), lambda: None
        )
        self._tables = OwnedTables()
        self._tokens: dict[int, int] = {}
        self._findings = LocalFindings(1.0, {})
        self._versions: list[tuple[int, int]] = []
        self._max_timer_delay_s = 0.0  # Maximum delay of the check timer since the last exchange.
        if owns_slices:
            self._grant_slices(range(assigner_id, slice_count, len(addresses)))
        self._exchange()

    def run(self, store: str) -> None:
        """Listen, connect to the peers and any store, and run until the process is killed."""
        welcome = m.Welcome(m.PROTOCOL_VERSION, "assigner", self._id, self._incarnation)
        factory = StreamServerFactory(self._reactor, lambda: welcome, self._peers.on_message)
        host, _, port = self._addresses[self._id].partition(":")
        self._reactor.listenTCP(int(port), factory, MAX_PENDING_CONNECTIONS, host)
        print_event("began")
        self._peers.start(self._connect)
        if store:
            self._connect(store, self._store_message_received, None)
        self._reactor.callLater(
            CHECK_INTERVAL_S, self._check_replica, self._reactor.seconds() + CHECK_INTERVAL_S
        )
        self._reactor.callLater(FIRST_EXCHANGE_DELAY_S, self._run_periodic_exchange)
        signal.signal(signal.SIGUSR1, lambda *_: self._reactor.callFromThread(self._change_tables))
        self._reactor.run()

    def _grant_slices(self, slice_ids: range) -> None:
        for slice_id in slice_ids:
            self._tokens[slice_id] = slice_id + 1
            ownership = m.SliceOwnership(slice_id, slice_id + 1, self._id, TABLE, 1)
            self._tables.on_ownership_granted(ownership, tenure_continues=False)

    def _exchange(self) -> None:
        self._peers.exchange(self._tokens, self._tables, self._findings, EndpointListState())

    def _connect(
        self, address: str, on_message: Any, on_lost: Any, *, reconnect: bool = True
    ) -> StreamClient:
        hello = m.Hello(m.PROTOCOL_VERSION, "assigner", self._id, 0, "t", incarnation=self._incarnation)
        client = StreamClient(self._reactor, address, lambda: hello, on_message, on_lost, reconnect=reconnect)
        return client.start()

    def _store_message_received(self, stream: Stream, message: m.AnyMessage) -> None:
        if isinstance(message, m.ReplicaRequest):
            started_at_s = time.process_time()
            for part in latest_tables(self._peers.replica, self._reactor.seconds):
                stream.send(part)
            print_event("asked", took=time.process_time() - started_at_s)
        elif isinstance(message, m.SliceOwnerships):
            print_event("charged", slices=len(message.ownerships))

    def _check_replica(self, due_at_s: float) -> None:
        """Record the delay of this timer, and print the replica's versions if they have changed."""
        self._max_timer_delay_s = max(self._max_timer_delay_s, self._reactor.seconds() - due_at_s)
        versions = [(version.origin_id, version.sequence) for version in self._peers.replica.digest()]
        if versions != self._versions:
            self._versions = versions
            print_event("holds", versions=versions)
        self._reactor.callLater(
            CHECK_INTERVAL_S, self._check_replica, self._reactor.seconds() + CHECK_INTERVAL_S
        )

    def _run_periodic_exchange(self) -> None:
        print_event("beat", late=self._max_timer_delay_s, sent=self._peers.counters()["rows_sent"])
        self._exchange()
        self._max_timer_delay_s = 0.0
        self._reactor.callLater(self._section.every_s, self._run_periodic_exchange)

    def _change_tables(self) -> None:
        for slice_id in list(self._tokens)[:CHANGED_SLICE_COUNT]:
            entry = m.WeightEntry(slice_id, 9, 1.0, self._tokens[slice_id], "127.0.0.1:9009", 0)
            self._tables.apply_writes(2, [entry])
        self._exchange()


@click.command()
@click.argument("assigner_id", type=int)
@click.argument("addresses")
@click.argument("incarnation", type=int)
@click.argument("slice_count", type=int)
@click.option("--owns-slices", is_flag=True)
@click.option("--store", default="")
def main(
    assigner_id: int, addresses: str, incarnation: int, slice_count: int, owns_slices: bool, store: str
) -> None:
    """Run one assigner; ADDRESSES are the addresses of all assigners, separated by commas."""
    count_received_bytes()
    assigner = ReplicatingAssigner(assigner_id, addresses.split(","), incarnation, slice_count, owns_slices)
    assigner.run(store)


if __name__ == "__main__":
    sys.exit(main())

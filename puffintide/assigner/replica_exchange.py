"""Connects the replication between assigners with the runtime and the store client of this assigner."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from puffintide.assigner.endpoint_list import EndpointList
from puffintide.assigner.runtime import Runtime
from puffintide.decisions.events import EndpointStatus
from puffintide.owned_tables import OwnedTables
from puffintide.protocol.clock import Clock
from puffintide.protocol.messages import ReplicationDelta
from puffintide.replication.peer_observations import EndpointListState, LocalFindings
from puffintide.replication.peer_sessions import PeerSessions
from puffintide.replication.table_replicas import latest_tables


class ReplicaExchange:
    """Publishes the findings of this assigner periodically, and adds the observations of others as events."""

    def __init__(
        self,
        clock: Clock,
        peer_sessions: PeerSessions,
        runtime: Runtime,
        owned_tables: OwnedTables,
        endpoint_list: EndpointList,
        on_events: Callable[[], None],
        on_tables_changed: Callable[[set[int]], None],
    ) -> None:
        """Create the exchange without starting its timer.

        Args:
            clock: The clock that runs the timers.
            peer_sessions: The sessions of the other assigners.
            runtime: The runtime that receives events, and supplies fencing tokens and endpoints.
            owned_tables: The tables that are published when they change.
            endpoint_list: The list that supplies the time at which each endpoint was received.
            on_events: Called after events were added to the runtime.
            on_tables_changed: Called at each interval with the ids of the slices whose tables changed.
        """
        self.clock = clock
        self.peer_sessions = peer_sessions
        self.runtime = runtime
        self.owned_tables = owned_tables
        self.endpoint_list = endpoint_list
        self.on_events = on_events
        self.on_tables_changed = on_tables_changed

    def start(self) -> None:
        """Start to publish periodically."""
        self.clock.callLater(self.peer_sessions.section.every_s, self._publish)

    def tables(self, slice_ids: set[int] | None) -> Iterator[ReplicationDelta]:
        """Return the latest tables of slices, as known to all assigners, in deltas.

        Args:
            slice_ids: The ids of the slices to return; None for all slices.
        """
        self._exchange()
        return latest_tables(self.peer_sessions.replica, self.clock.seconds, slice_ids)

    def _publish(self) -> None:
        """Exchange findings and observations, report the changed slices, and schedule the next interval."""
        changed_slices = set(self.owned_tables.changed_slices)
        self._exchange()
        self.on_tables_changed(changed_slices)
        self.clock.callLater(self.peer_sessions.section.every_s, self._publish)

    def _exchange(self) -> None:
        """Publish the findings of this assigner, and add the observations of others to the runtime."""
        findings = LocalFindings(*self.runtime.director.findings())
        observations = self.peer_sessions.exchange(
            self.runtime.fencing_tokens, self.owned_tables, findings, self._endpoint_list_state()
        )
        if observations:
            self.runtime.add_events(self.clock.seconds(), *observations)
            self.on_events()

    def _endpoint_list_state(self) -> EndpointListState:
        """Return the state of the endpoint list, without times of receipt until the source was reached."""
        endpoints = self.runtime.endpoints
        received_at_s: dict[int, float] = {}
        if self.endpoint_list.received_from_source:
            for server_id, received in self.endpoint_list.entries.items():
                received_at_s[server_id] = received.received_at_s
        return EndpointListState(
            {server_id: endpoint.incarnation for server_id, endpoint in endpoints.items()},
            received_at_s,
            {
                server_id
                for server_id, endpoint in endpoints.items()
                if endpoint.status == EndpointStatus.DRAINING
            },
        )

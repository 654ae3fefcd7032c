"""The runtime passes every event to the decision module and carries out every action."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from puffintide.assigner.runtime import Runtime
from puffintide.decisions.actions import (
    Action,
    LogMessage,
    SendCheckpoint,
    SendHealthCheck,
    SetAdmission,
    SetTimer,
    SetWeight,
    SetWithdrawn,
    WatchEndpoints,
)
from puffintide.decisions.events import (
    CheckpointAcknowledged,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    HealthCheckResult,
    HealthCheckStatus,
    ListUpdateType,
    OwnershipChanged,
    ProxyConnected,
    ProxyDisconnected,
    ServerLoadReport,
    SliceLoadReport,
    StoredWeight,
    TimerFired,
)
from puffintide.protocol import messages as m
from tests.world import settings


class ScriptedModule:
    """A decision module that records its events and returns the given actions."""

    def __init__(self, *actions: Action) -> None:
        self.actions = list(actions)
        self.received: list[Event] = []
        self.last_call_at = 0.0

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        self.last_call_at = now
        self.received += events
        return self.actions

    def findings(self) -> tuple[float | None, dict[int, int]]:
        return None, {}


def connected_runtime(module: ScriptedModule, slices: int = 4) -> Runtime:
    runtime = Runtime(settings(slice_count=slices), lambda _: module)
    for proxy in (0, 1):
        runtime.on_proxy_connected(0.0, proxy, proxy, 5.0, True)
    runtime.on_watch_event(0.0, m.WatchEvent("cached", 1, []))
    return runtime


def test_each_event_reaches_the_decision_module() -> None:
    module = ScriptedModule()
    runtime = connected_runtime(module)
    entry = m.EndpointEntry(5, 1, 2, 3, EndpointStatus.READY, 2.0, 1, 4.0, "127.0.0.1:9")
    runtime.on_watch_event(10.0, m.WatchEvent("full", 3, [entry]))
    runtime.on_ownership_granted(10.0, m.SliceOwnership(2, 7, 0, [m.TableEntry(5, 0.5, "127.0.0.1:9")]))
    runtime.on_proxy_disconnected(10.0, 1)
    others = (
        CheckpointAcknowledged(0, 3, 0.1),
        HealthCheckResult(5, HealthCheckStatus.OK, 0.1, ()),
        ServerLoadReport(0, 5, 2, 1, 0.1, 0.5, (1.0,)),
        SliceLoadReport(2, 0, 4, 0, 0.5),
    )
    runtime.add_events(10.0, *others)
    runtime.on_ownership_revoked(10.0, 2)
    runtime.on_ownership_revoked(10.0, 3)  # It was never owned, so this adds no event.
    runtime.tick(10.0)
    assert module.received == [
        EndpointListUpdate(ListUpdateType.CACHED, 1, ()),
        ProxyConnected(0, 0, 5.0, True),
        ProxyConnected(1, 1, 5.0, True),
        EndpointListUpdate(
            ListUpdateType.SNAPSHOT, 3, (Endpoint(5, 1, 2, 3, EndpointStatus.READY, 2.0, 6.0),)
        ),
        OwnershipChanged(2, True),
        StoredWeight(2, 5, 0.5),
        ProxyDisconnected(1),
        *others,
        OwnershipChanged(2, False),
    ]


def test_start_time_of_a_server_is_fixed_for_an_incarnation() -> None:
    module = ScriptedModule()
    runtime = connected_runtime(module)
    entry = m.EndpointEntry(5, 0, 0, 0, EndpointStatus.READY, 1.0, 1, 2.0)
    runtime.on_watch_event(10.0, m.WatchEvent("delta", 1, [entry]))
    runtime.on_watch_event(
        11.0, m.WatchEvent("delta", 2, [m.EndpointEntry(5, 0, 0, 0, EndpointStatus.DRAINING, 1.0, 1, 3.2)])
    )
    runtime.on_watch_event(
        20.0, m.WatchEvent("delta", 3, [m.EndpointEntry(5, 0, 0, 0, EndpointStatus.READY, 1.0, 2, 1.0)])
    )
    runtime.tick(20.0)
    list_updates = [event for event in module.received if isinstance(event, EndpointListUpdate)]
    assert [update.endpoints[0].started_at_s for update in list_updates[1:]] == [8.0, 8.0, 19.0]


PROXY_ACTIONS = [
    (SetWeight(2, 5, 0.5), lambda update: update.weights == [m.WeightEntry(2, 5, 0.5, 7, "127.0.0.1:9")]),
    (SetWithdrawn(5, True), lambda update: update.withdrawn_servers == [5] and not update.readmitted_servers),
    (
        SetWithdrawn(5, False),
        lambda update: update.readmitted_servers == [5] and not update.withdrawn_servers,
    ),
    (
        SetAdmission(2, 1, 0.5, 1),
        lambda update: update.admission_levels == [m.AdmissionLevel(2, 1, 0.5, 1)],
    ),
]


@pytest.mark.parametrize(("action", "is_in"), PROXY_ACTIONS)
def test_each_action_becomes_one_update_for_each_proxy(action: Action, is_in) -> None:  # type: ignore[no-untyped-def]
    runtime = connected_runtime(ScriptedModule(action, SendCheckpoint(9)))
    runtime.on_ownership_granted(1.0, m.SliceOwnership(2, 7, 0, [m.TableEntry(5, 1.0, "127.0.0.1:9")]))
    effects = runtime.tick(1.0)
    assert effects is not None
    assert [proxy for proxy, _ in effects.proxy_updates] == [0, 1]
    for _, update in effects.proxy_updates:
        assert is_in(update)
        assert update.checkpoint_id == 9
        # The entry of the action, the checkpoint and the message header.
        assert update.channel_cost == 2 + runtime.settings.channel_header_entries
    assert bool(effects.weight_writes) == isinstance(action, SetWeight)


def test_other_actions_become_effects() -> None:
    runtime = connected_runtime(
        ScriptedModule(
            SendHealthCheck(5),
            WatchEndpoints(True),
            LogMessage("text"),
            SetTimer(0.5, 3),
        )
    )
    effects = runtime.tick(1.0)
    assert effects is not None
    assert effects.proxy_updates == []
    assert (effects.health_checks, effects.watch_requests, effects.log_messages) == ([5], [True], ["text"])
    assert runtime.next_timer_at() == 1.5


def test_module_receives_no_events_before_the_first_endpoint_list() -> None:
    # Without a list the module would regard all servers as removed and empty every table.
    runtime = Runtime(settings(slice_count=4))
    runtime.on_proxy_connected(0.0, 0, 0, 5.0, True)
    runtime.on_ownership_granted(0.0, m.SliceOwnership(2, 7, 0, [m.TableEntry(5, 1.0)]))
    runtime.add_events(0.0, SliceLoadReport(2, 0, 4, 0, 0.5))
    for step in range(40):
        runtime.on_watch_event(step / 4, m.WatchEvent("failed", -1))
        assert runtime.tick(step / 4) is None
        assert not runtime.has_pending_events()
    entries = [m.EndpointEntry(server, 0, 0, 0, EndpointStatus.READY, 1.0, 1, -1.0) for server in (5, 6)]
    runtime.on_watch_event(11.0, m.WatchEvent("full", 1, entries))
    for step in range(40):
        effects = runtime.tick(11.0 + step / 4)
        assert effects is None or not any(
            entry.weight == 0 and entry.server_id == 5 for entry in effects.weight_writes
        )
    assert not runtime.has_pending_events()


def test_timers_fire_once_and_in_order() -> None:
    module = ScriptedModule(SetTimer(0.3, 2), SetTimer(0.1, 1))
    runtime = connected_runtime(module)
    runtime.tick(1.0)
    module.actions = []
    runtime.tick(1.2)
    runtime.tick(1.25)
    runtime.tick(1.5)
    assert [event.timer_id for event in module.received if isinstance(event, TimerFired)] == [1, 2]


def test_weights_of_slices_that_are_not_owned_are_not_sent() -> None:
    runtime = connected_runtime(ScriptedModule(SetWeight(3, 5, 1.0)))
    effects = runtime.tick(1.0)
    assert effects is not None
    assert effects.proxy_updates == []
    assert effects.weight_writes == []

"""The runtime carries each event and action."""

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
    """A decision module that records its events and returns given actions."""

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


def runtime(decider: ScriptedModule, slices: int = 4) -> Runtime:
    made = Runtime(settings(slice_count=slices), lambda _: decider)
    for proxy in (0, 1):
        made.on_proxy_connected(0.0, proxy, proxy, 5.0, True)
    made.on_watch_event(0.0, m.WatchEvent("cached", 1, []))
    return made


def test_each_event_reaches_the_decision_module() -> None:
    module = ScriptedModule()
    r = runtime(module)
    entry = m.EndpointEntry(5, 1, 2, 3, EndpointStatus.READY, 2.0, 1, 4.0, "127.0.0.1:9")
    r.on_watch_event(10.0, m.WatchEvent("full", 3, [entry]))
    r.on_ownership_granted(10.0, m.SliceOwnership(2, 7, 0, [m.TableEntry(5, 0.5, "127.0.0.1:9")]))
    r.on_proxy_disconnected(10.0, 1)
    others = (
        CheckpointAcknowledged(0, 3, 0.1),
        HealthCheckResult(5, HealthCheckStatus.OK, 0.1, ()),
        ServerLoadReport(0, 5, 2, 1, 0.1, 0.5, (1.0,)),
        SliceLoadReport(2, 0, 4, 0, 0.5),
    )
    r.add_events(10.0, *others)
    r.on_ownership_revoked(10.0, 2)
    r.on_ownership_revoked(10.0, 3)  # never owned: no event
    r.tick(10.0)
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


def test_start_time_is_fixed_for_an_incarnation() -> None:
    module = ScriptedModule()
    r = runtime(module)
    entry = m.EndpointEntry(5, 0, 0, 0, EndpointStatus.READY, 1.0, 1, 2.0)
    r.on_watch_event(10.0, m.WatchEvent("delta", 1, [entry]))
    r.on_watch_event(
        11.0, m.WatchEvent("delta", 2, [m.EndpointEntry(5, 0, 0, 0, EndpointStatus.DRAINING, 1.0, 1, 3.2)])
    )
    r.on_watch_event(
        20.0, m.WatchEvent("delta", 3, [m.EndpointEntry(5, 0, 0, 0, EndpointStatus.READY, 1.0, 2, 1.0)])
    )
    r.tick(20.0)
    lists = [e for e in module.received if isinstance(e, EndpointListUpdate)]
    assert [e.endpoints[0].started_at_s for e in lists[1:]] == [8.0, 8.0, 19.0]


ORDERS = [
    (SetWeight(2, 5, 0.5), lambda o: o.weights == [m.WeightEntry(2, 5, 0.5, 7, "127.0.0.1:9")]),
    (SetWithdrawn(5, True), lambda o: o.withdrawn_servers == [5] and not o.readmitted_servers),
    (SetWithdrawn(5, False), lambda o: o.readmitted_servers == [5] and not o.withdrawn_servers),
    (SetAdmission(2, 1, 0.5, 1), lambda o: o.admission_levels == [m.AdmissionLevel(2, 1, 0.5, 1)]),
]


@pytest.mark.parametrize(("action", "shown"), ORDERS)
def test_each_action_becomes_one_update_for_each_proxy(action: Action, shown) -> None:  # type: ignore[no-untyped-def]
    r = runtime(ScriptedModule(action, SendCheckpoint(9)))
    r.on_ownership_granted(1.0, m.SliceOwnership(2, 7, 0, [m.TableEntry(5, 1.0, "127.0.0.1:9")]))
    effects = r.tick(1.0)
    assert effects is not None
    assert [p for p, _ in effects.proxy_updates] == [0, 1]
    for _, order in effects.proxy_updates:
        assert shown(order)
        assert order.checkpoint_id == 9
        assert (
            order.channel_cost == 2 + r.settings.channel_header_entries
        )  # its own entry, the checkpoint, the header
    assert bool(effects.weight_writes) == isinstance(action, SetWeight)


def test_other_actions_become_effects() -> None:
    r = runtime(
        ScriptedModule(
            SendHealthCheck(5),
            WatchEndpoints(True),
            LogMessage("hm"),
            SetTimer(0.5, 3),
        )
    )
    e = r.tick(1.0)
    assert e is not None
    assert e.proxy_updates == []
    assert (e.health_checks, e.watch_requests, e.log_messages) == ([5], [True], ["hm"])
    assert r.next_timer_at() == 1.5


def test_module_receives_nothing_before_a_list_so_that_no_table_is_emptied() -> None:
    r = Runtime(settings(slice_count=4))
    r.on_proxy_connected(0.0, 0, 0, 5.0, True)
    r.on_ownership_granted(0.0, m.SliceOwnership(2, 7, 0, [m.TableEntry(5, 1.0)]))
    r.add_events(0.0, SliceLoadReport(2, 0, 4, 0, 0.5))
    for k in range(40):
        r.on_watch_event(k / 4, m.WatchEvent("failed", -1))
        assert r.tick(k / 4) is None
        assert not r.has_pending_events()
    entries = [m.EndpointEntry(s, 0, 0, 0, EndpointStatus.READY, 1.0, 1, -1.0) for s in (5, 6)]
    r.on_watch_event(11.0, m.WatchEvent("full", 1, entries))
    for k in range(40):
        effects = r.tick(11.0 + k / 4)
        assert effects is None or not any(x.weight == 0 and x.server_id == 5 for x in effects.weight_writes)
    assert not r.has_pending_events()


def test_timers_fire_once_and_in_order() -> None:
    module = ScriptedModule(SetTimer(0.3, 2), SetTimer(0.1, 1))
    r = runtime(module)
    r.tick(1.0)
    module.actions = []
    r.tick(1.2)
    r.tick(1.25)
    r.tick(1.5)
    assert [e.timer_id for e in module.received if isinstance(e, TimerFired)] == [1, 2]


def test_weights_of_slices_not_owned_are_not_sent() -> None:
    r = runtime(ScriptedModule(SetWeight(3, 5, 1.0)))
    effects = r.tick(1.0)
    assert effects is not None
    assert effects.proxy_updates == []
    assert effects.weight_writes == []

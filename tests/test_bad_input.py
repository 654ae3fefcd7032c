"""Well-formed messages with invalid content.

The connection or the invalid item is rejected with a reason, the last valid state stays, and all other
processes keep working.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from puffintide.store.ownership import OwnershipLedger
from tests.deployment import SECTIONS, Deployment

VALID_ENTRY = m.EndpointEntry(0, 0, 0, 0, 1, 1.0, 1, -1.0, "127.0.0.1:5100")
INVALID_ENTRIES = {
    "duplicate": [VALID_ENTRY, msgspec.structs.replace(VALID_ENTRY, status=0)],
    "status": [msgspec.structs.replace(VALID_ENTRY, status=7)],
    "zone": [msgspec.structs.replace(VALID_ENTRY, zone=300)],
    "weight": [msgspec.structs.replace(VALID_ENTRY, weight=-1.0)],
    "no weight": [msgspec.structs.replace(VALID_ENTRY, weight=0.0)],
    "address": [msgspec.structs.replace(VALID_ENTRY, address="nowhere")],
    "id": [VALID_ENTRY, msgspec.structs.replace(VALID_ENTRY, server_id=-4)],
}
INVALID_USAGE_REPORTS = {
    "class": m.UsageReport(0.5, [], [m.SliceUsage(0, 9, 3, 0)]),
    "slice": m.UsageReport(0.5, [], [m.SliceUsage(999, 0, 3, 0)]),
    "negative count": m.UsageReport(0.5, [], [m.SliceUsage(0, 0, -3, 0)]),
    "more failures than attempts": m.UsageReport(0.5, [m.ServerUsage(0, 3, 9, 0.0)]),
    "too large": m.UsageReport(0.5, [m.ServerUsage(0, 10**30, 0, 1.0)]),
    "interval": m.UsageReport(0.0, [m.ServerUsage(0, 3, 0, 1.0)]),
    "interval next to 0": m.UsageReport(2.3e-308, [], [m.SliceUsage(0, 0, 3, 0)]),
}
INVALID_UPDATES = {
    "retry": m.ProxyUpdate(9, 0.0, 13.0, admission_levels=[m.AdmissionLevel(0xFFFF, 0, 1.0, 9)]),
    "level": m.ProxyUpdate(9, 0.0, 13.0, admission_levels=[m.AdmissionLevel(0xFFFF, 0, -1.0, 0)]),
    "weight": m.ProxyUpdate(9, 0.0, 13.0, weights=[m.WeightEntry(0, 1, -2.0, 99)]),
    "address": m.ProxyUpdate(9, 0.0, 13.0, weights=[m.WeightEntry(0, 1, 1.0, 99, "127.0.0.1:http")]),
    "number of tokens": m.ProxyUpdate(9, 0.0, 13.0, cleared_slices=[998, 999], cleared_tokens=[99]),
    "tokens without slices": m.ProxyUpdate(9, 0.0, 13.0, cleared_tokens=[99]),
    "negative token": m.ProxyUpdate(9, 0.0, 13.0, cleared_slices=[0], cleared_tokens=[-1]),
}


def play(tmp_path: Path, inject: Any) -> Deployment:
    """Play a day of 8 s, call inject after 4 s, and check that the deployment keeps working."""
    admission = {"admit": "fraction"}
    changes = {"day": {"length_s": 8}, "deployment": SECTIONS["deployment"] | admission}
    deployment = Deployment(tmp_path, steps=[(4, inject)], **changes)
    result = deployment.play()
    assert not result.report.findings
    assert result.service.score > 0.8
    assert not deployment.inconsistencies()
    for assigner in deployment.assigners.values():  # Rounds continued until the end of the day.
        assert assigner.runtime.director.director.fleet.now_s > deployment.net.seconds() - 1  # type: ignore[attr-defined]
    return deployment


@pytest.mark.parametrize("update_type", ["delta", "full"])
@pytest.mark.parametrize("name", INVALID_ENTRIES)
def test_invalid_endpoint_entry_keeps_the_last_valid_one(name: str, update_type: str, tmp_path: Path) -> None:
    def inject(deployment: Deployment) -> None:
        endpoint_list = deployment.fleet.endpoint_list
        other_entries = (
            [endpoint_list.entry(server) for server in sorted(endpoint_list.listed) if server]
            if update_type == "full"
            else []
        )
        for stream in endpoint_list.watchers:
            entries = [*INVALID_ENTRIES[name], *other_entries]
            stream.send(m.WatchEvent(update_type, endpoint_list.version, entries))

    deployment = play(tmp_path, inject)
    for number, assigner in deployment.assigners.items():
        servers = assigner.runtime.director.director.servers  # type: ignore[attr-defined]
        assert servers[0].endpoint.status == 1
        assert servers[0].endpoint.weight == 1.0
        assert len(servers) == 8
        rows = deployment.log[f"assigner:{number}"].rows
        assert any(event == "endpoint_rejected" for event, _ in rows)


def test_watch_event_of_unknown_type_changes_nothing(tmp_path: Path) -> None:
    def inject(deployment: Deployment) -> None:
        for stream in deployment.fleet.endpoint_list.watchers:
            stream.send(m.WatchEvent("all", 9, []))

    play(tmp_path, inject)


@pytest.mark.parametrize("name", INVALID_USAGE_REPORTS)
def test_invalid_usage_report_closes_only_its_own_stream(name: str, tmp_path: Path) -> None:
    def inject(deployment: Deployment) -> None:
        deployment.proxies[0].control_plane.assigners[1].send(INVALID_USAGE_REPORTS[name])

    rows = play(tmp_path, inject).log["assigner:1"].rows
    disconnections = [fields for event, fields in rows if event == "proxy_disconnected"]
    assert len(disconnections) == 1
    assert disconnections[0]["proxy_id"] == 0
    assert disconnections[0]["reason"]


@pytest.mark.parametrize("name", INVALID_UPDATES)
def test_invalid_update_is_rejected_as_a_whole(name: str, tmp_path: Path) -> None:
    def inject(deployment: Deployment) -> None:
        deployment.assigners[1].proxy_updates.streams[0].send(INVALID_UPDATES[name])

    rows = play(tmp_path, inject).log["proxy:0"].rows
    assert [event for event, _ in rows] == ["assigner_connection_lost"]


@pytest.mark.parametrize(
    "line", [b"{}", b"\xff\xfe", b"[" * 3000, b'{"t":"order","batch":', b"x" * (5 << 20)]
)
def test_malformed_line_closes_only_its_own_stream(line: bytes, tmp_path: Path) -> None:
    def inject(deployment: Deployment) -> None:
        deployment.assigners[0].proxy_updates.streams[1].send_line(line)

    rows = play(tmp_path, inject).log["proxy:1"].rows
    assert [event for event, _ in rows] == ["assigner_connection_lost"]


def test_client_request_with_excessive_time_left_is_rejected(tmp_path: Path) -> None:
    client_streams: list[Any] = []

    def inject(deployment: Deployment) -> None:
        client_streams.append(deployment.clients.streams[0])
        client_streams[0].send_line(encode(m.ClientRequest(10**6, 0, 1, 1e300, 0.05)))

    deployment = play(tmp_path, inject)
    assert client_streams[0].closed
    assert "time left" in client_streams[0].close_reason
    assert not any(proxy.engine.requests for proxy in deployment.proxies.values())


@pytest.mark.parametrize(
    ("entry", "reason"),
    [
        (m.WeightEntry(0, 1, -1.0, 1), "weight"),
        (m.WeightEntry(0, 1, 1e300, 1), "weight"),
        (m.WeightEntry(0, 1, 1.0, 1, "nowhere"), "address"),
        (m.WeightEntry(0, 1, 1.0, 0), "token"),
        (m.WeightEntry(99, 1, 1.0, 1), "no such slice"),
    ],
)
def test_store_rejects_an_invalid_weight_entry_and_accepts_the_others(
    entry: m.WeightEntry, reason: str
) -> None:
    ledger = OwnershipLedger(2, 1, 1.0, False)
    ledger.assigner_connected(0.0, 0)
    tokens = {slice_id: ledger.slices[slice_id].fencing_token for slice_id in (0, 1)}
    entry = with_current_token(entry, tokens) if reason != "token" else entry
    rejections = ledger.write(0, [entry, m.WeightEntry(1, 5, 1.0, tokens[1], "127.0.0.1:5")], 3)
    assert list(rejections) == [entry.slice_id]
    assert reason in rejections[entry.slice_id]
    assert not ledger.slices[0].entries
    assert set(ledger.slices[1].entries) == {5}


def with_current_token(entry: m.WeightEntry, tokens: dict[int, int]) -> m.WeightEntry:
    return msgspec.structs.replace(entry, fencing_token=tokens.get(entry.slice_id, 1))

"""Input of the right shape that can't be: the connection or the item is refused with a reason, the last good state
stays, and what came before it goes on working."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from puffintide.store.ownership import OwnershipLedger
from tests.deployment import SECTIONS, Deployment

GOOD = m.EndpointEntry(0, 0, 0, 0, 1, 1.0, 1, -1.0, "127.0.0.1:5100")
BAD_ENTRIES = {
    "twice": [GOOD, msgspec.structs.replace(GOOD, status=0)],
    "state": [msgspec.structs.replace(GOOD, status=7)],
    "zone": [msgspec.structs.replace(GOOD, zone=300)],
    "weight": [msgspec.structs.replace(GOOD, weight=-1.0)],
    "no weight": [msgspec.structs.replace(GOOD, weight=0.0)],
    "address": [msgspec.structs.replace(GOOD, address="nowhere")],
    "id": [GOOD, msgspec.structs.replace(GOOD, server_id=-4)],
}
BAD_SUMS = {
    "class": m.UsageReport(0.5, [], [m.SliceUsage(0, 9, 3, 0)]),
    "slice": m.UsageReport(0.5, [], [m.SliceUsage(999, 0, 3, 0)]),
    "count": m.UsageReport(0.5, [], [m.SliceUsage(0, 0, -3, 0)]),
    "failed": m.UsageReport(0.5, [m.ServerUsage(0, 3, 9, 0.0)]),
    "endless": m.UsageReport(0.5, [m.ServerUsage(0, 10**30, 0, 1.0)]),
    "span": m.UsageReport(0.0, [m.ServerUsage(0, 3, 0, 1.0)]),
}
BAD_ORDERS = {
    "retry": m.ProxyUpdate(9, 0.0, 13.0, admission_levels=[m.AdmissionLevel(0xFFFF, 0, 1.0, 9)]),
    "level": m.ProxyUpdate(9, 0.0, 13.0, admission_levels=[m.AdmissionLevel(0xFFFF, 0, -1.0, 0)]),
    "weight": m.ProxyUpdate(9, 0.0, 13.0, weights=[m.WeightEntry(0, 1, -2.0, 99)]),
    "address": m.ProxyUpdate(9, 0.0, 13.0, weights=[m.WeightEntry(0, 1, 1.0, 99, "127.0.0.1:http")]),
}


def play(tmp_path: Path, put: Any) -> Deployment:
    """A day of 8 s into which the input comes at its fourth; all must go on as if it had not."""
    levels = {"admit": "fraction"}
    changes = {"day": {"length_s": 8}, "deployment": SECTIONS["deployment"] | levels}
    deployment = Deployment(tmp_path, steps=[(4, put)], **changes)
    verdict = deployment.play()
    assert not verdict.report.findings
    assert verdict.service.score > 0.8
    assert not deployment.inconsistencies()
    for assigner in deployment.assigners.values():  # its rounds went on to the end
        assert assigner.runtime.director.director.fleet.now_s > deployment.net.seconds() - 1  # type: ignore[attr-defined]
    return deployment


@pytest.mark.parametrize("kind", ["delta", "full"])
@pytest.mark.parametrize("name", BAD_ENTRIES)
def test_an_entry_that_cannot_be_leaves_the_last_good_one(name: str, kind: str, tmp_path: Path) -> None:
    def put(d: Deployment) -> None:
        rest = (
            [d.fleet.endpoint_list.entry(n) for n in sorted(d.fleet.endpoint_list.listed) if n]
            if kind == "full"
            else []
        )
        for stream in d.fleet.endpoint_list.watchers:
            stream.send(m.WatchEvent(kind, d.fleet.endpoint_list.version, [*BAD_ENTRIES[name], *rest]))

    deployment = play(tmp_path, put)
    for number, assigner in deployment.assigners.items():
        seen = assigner.runtime.director.director.servers  # type: ignore[attr-defined]
        assert seen[0].endpoint.status == 1
        assert seen[0].endpoint.weight == 1.0
        assert len(seen) == 8
        assert any(e == "endpoint_rejected" for e, _ in deployment.log[f"assigner:{number}"].rows)


def test_news_of_an_unknown_kind_empties_nothing(tmp_path: Path) -> None:
    play(tmp_path, lambda d: [s.send(m.WatchEvent("all", 9, [])) for s in d.fleet.endpoint_list.watchers])


@pytest.mark.parametrize("name", BAD_SUMS)
def test_sums_out_of_range_end_their_stream_alone(name: str, tmp_path: Path) -> None:
    deployment = play(tmp_path, lambda d: d.proxies[0].control_plane.assigners[1].send(BAD_SUMS[name]))
    left = [what for e, what in deployment.log["assigner:1"].rows if e == "proxy_disconnected"]
    assert len(left) == 1
    assert left[0]["proxy_id"] == 0
    assert left[0]["reason"]


@pytest.mark.parametrize("name", BAD_ORDERS)
def test_an_order_that_cannot_be_is_refused_whole(name: str, tmp_path: Path) -> None:
    deployment = play(tmp_path, lambda d: d.assigners[1].proxy_updates.streams[0].send(BAD_ORDERS[name]))
    assert [e for e, _ in deployment.log["proxy:0"].rows] == ["assigner_connection_lost"]


@pytest.mark.parametrize(
    "line", [b"{}", b"\xff\xfe", b"[" * 3000, b'{"t":"order","batch":', b"x" * (5 << 20)]
)
def test_a_damaged_frame_ends_its_stream_alone(line: bytes, tmp_path: Path) -> None:
    deployment = play(tmp_path, lambda d: d.assigners[0].proxy_updates.streams[1].send_line(line))
    assert [e for e, _ in deployment.log["proxy:1"].rows] == ["assigner_connection_lost"]


def test_a_clients_time_without_end_is_refused(tmp_path: Path) -> None:
    asked: list[Any] = []

    def put(d: Deployment) -> None:
        asked.append(d.clients.streams[0])
        asked[0].send_line(encode(m.ClientRequest(10**6, 0, 1, 1e300, 0.05)))

    deployment = play(tmp_path, put)
    assert asked[0].closed
    assert "time left" in asked[0].close_reason
    assert not any(proxy.engine.requests for proxy in deployment.proxies.values())


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (m.WeightEntry(0, 1, -1.0, 1), "weight"),
        (m.WeightEntry(0, 1, 1e300, 1), "weight"),
        (m.WeightEntry(0, 1, 1.0, 1, "nowhere"), "address"),
        (m.WeightEntry(0, 1, 1.0, 0), "token"),
        (m.WeightEntry(99, 1, 1.0, 1), "no such slice"),
    ],
)
def test_the_store_refuses_a_line_that_cannot_be_and_takes_the_rest(line: m.WeightEntry, reason: str) -> None:
    book = OwnershipLedger(2, 1, 1.0, False)
    book.assigner_connected(0.0, 0)
    tokens = {n: book.slices[n].fencing_token for n in (0, 1)}
    line = replace_token(line, tokens) if reason != "token" else line
    refused = book.write(0, [line, m.WeightEntry(1, 5, 1.0, tokens[1], "127.0.0.1:5")], 3)
    assert list(refused) == [line.slice_id]
    assert reason in refused[line.slice_id]
    assert not book.slices[0].entries
    assert set(book.slices[1].entries) == {5}


def replace_token(line: m.WeightEntry, tokens: dict[int, int]) -> m.WeightEntry:
    return msgspec.structs.replace(line, fencing_token=tokens.get(line.slice_id, 1))

"""The adapter: frames in, frames out, and plain words on bad input."""

import io
import json
import struct
import subprocess
import sys

import pytest

from puffintide.bench_adapter.__main__ import serve
from puffintide.bench_adapter.action_encoder import encode_action, encode_reply
from puffintide.bench_adapter.errors import BenchProtocolError
from puffintide.bench_adapter.event_decoder import EventDecoder
from puffintide.bench_adapter.host import Host
from puffintide.decisions.actions import Action, SetAdmission, SetTimer, SetWeight
from puffintide.decisions.events import EndpointListUpdate, ServerLoadReport
from puffintide.decisions.settings import SettingsError, parse_settings

pytestmark = pytest.mark.processes

CONF = {
    "balancers": 1,
    "classes": [{"effect": "repeatable", "objectiveS": 1.0, "deadlineS": 4.0}],
    "familyInfo": {
        "agents": 3,
        "cycleS": 0.5,
        "egressPerS": 10000,
        "head": 12,
        "hearsPerS": 300,
        "mostWaiting": 15000,
        "pushDelayMaxS": 1.0,
        "pushDelayS": 0.4,
        "slices": 4,
        "unservedMaxS": 6.0,
        "unheardOf": True,
    },
    "limits": {},
    "me": 0,
    "rules": {
        "coldFrom": 0.2,
        "fallMultiple": 3.0,
        "overloadForS": 1.5,
        "stopSendingWithinS": 3.0,
        "warmWithinS": 18.0,
    },
    "zone": 0,
    "zones": ["a"],
}


def hello(conf: object = CONF) -> bytes:
    text = json.dumps(conf).encode()
    return struct.pack("<BHQI", 0, 0, 5, len(text)) + text


def batch(body: bytes, now: float = 1.0) -> bytes:
    return struct.pack("<Id", len(body), now) + body


def test_documented_events_are_read() -> None:
    digest = bytes.fromhex("09030000074a12030e000000010000004e62105839b4a83f000000000000f03f010000e040")
    listed = bytes.fromhex(
        "0e0000000002000000074a1203000000000001"
        "0000803f0000000000000000f211902c0100000100010000c03f6666666666661840"
        "010300000000002900000000000000 01"
    )
    ((who, event),) = EventDecoder().events(digest)
    assert who == 3
    assert isinstance(event, ServerLoadReport)
    assert (event.attempts, event.failed_attempts, event.load_values) == (14, 1, (7.0,))
    ((_, news),) = EventDecoder().events(listed)
    assert isinstance(news, EndpointListUpdate)
    assert [s.weight for s in news.endpoints] == [1.0, 1.5]


def test_documented_actions_are_written() -> None:
    assert encode_action(3, SetWeight(0x75, 0x2C9011F2, 0.75)).hex() == "4703007500f211902c0000403f"
    assert encode_action(3, SetTimer(0.5, 77)).hex() == "400300000000000000e03f4d000000"
    assert encode_action(3, SetAdmission(0x75, 2, 0.75, 1)).hex() == "4b0300750002000000403f01"
    assert encode_reply([]) == bytes(8)


def test_empty_batch_gets_an_empty_reply() -> None:
    sink = io.BytesIO()
    assert serve(io.BytesIO(batch(b"")), sink) == 0
    assert sink.getvalue() == bytes(8)


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b"\x01\x00", "length"),
        (batch(hello())[:-3], "ends after"),
        (batch(b"\xc8\x00\x00"), "unknown event code 200"),
        (batch(b"\x02\x00\x00\x01"), "inside a record"),
        (batch(struct.pack("<BHQI", 0, 0, 5, 900) + b"{}"), "runs past"),
        (batch(struct.pack("<BHQI", 0, 0, 5, 2) + b"{]"), "not JSON"),
        (batch(struct.pack("<BHI", 2, 4, 1)), "no hello"),
    ],
)
def test_malformed_input_is_one_plain_line(data: bytes, word: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "puffintide.bench_adapter"],
        input=data,
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert done.returncode != 0
    text = done.stderr.decode()
    assert word in text
    assert len(text.splitlines()) == 1
    assert "Traceback" not in text


def test_unknown_keys_are_skipped() -> None:
    assert parse_settings(json.dumps(CONF).encode(), 1).slice_count == 4


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("familyInfo.egressPerS", 0),
        ("familyInfo.head", None),
        ("rules.coldFrom", "much"),
        ("rules.warmWithinS", -1),
        ("classes", []),
        ("me", None),
    ],
)
def test_bad_settings_name_the_key(path: str, value: object) -> None:
    conf = json.loads(json.dumps(CONF))
    node = conf
    *parents, last = path.split(".")
    for part in parents:
        node = node[part]
    if value is None:
        del node[last]
    else:
        node[last] = value
    with pytest.raises(SettingsError, match=path):
        parse_settings(json.dumps(conf).encode(), 1)


def test_a_failure_in_the_decision_module_is_reported() -> None:
    host = Host()
    host.answer(1.0, hello())

    def fail(now_s: float, events: object) -> list[Action]:  # noqa: ARG001
        raise ValueError("no such thing")

    host.directors[0].handle = fail  # type: ignore[method-assign]
    reply = host.answer(2.0, struct.pack("<BHI", 2, 0, 1))
    assert reply[8] == 68
    assert b"no such thing" in reply


def test_instances_share_nothing() -> None:
    one, two = Host(), Host()
    text = hello()
    other = bytearray(text)
    other[1:3] = struct.pack("<H", 1)
    both = one.answer(1.0, text + bytes(other))
    alone = two.answer(1.0, text)
    assert both[8:].startswith(alone[8:])


def test_events_after_an_exit_need_a_hello() -> None:
    host = Host()
    host.answer(1.0, hello())
    host.answer(2.0, struct.pack("<BH", 5, 0))
    with pytest.raises(BenchProtocolError):
        host.answer(3.0, struct.pack("<BHI", 2, 0, 1))

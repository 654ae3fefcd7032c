"""Tests of the bench adapter: decoding of events, encoding of actions, and errors on invalid input."""

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
    """Return the hello record of instance 0 with seed 5."""
    settings_json = json.dumps(conf).encode()
    return struct.pack("<BHQI", 0, 0, 5, len(settings_json)) + settings_json


def batch(body: bytes, now: float = 1.0) -> bytes:
    return struct.pack("<Id", len(body), now) + body


def test_documented_events_are_decoded() -> None:
    load_report_record = bytes.fromhex(
        "09030000074a12030e000000010000004e62105839b4a83f000000000000f03f010000e040"
    )
    list_records = bytes.fromhex(
        "0e0000000002000000074a1203000000000001"
        "0000803f0000000000000000f211902c0100000100010000c03f6666666666661840"
        "010300000000002900000000000000 01"
    )
    ((instance, event),) = EventDecoder().decode_batch(load_report_record)
    assert instance == 3
    assert isinstance(event, ServerLoadReport)
    assert (event.attempts, event.failed_attempts, event.load_values) == (14, 1, (7.0,))
    ((_, list_update),) = EventDecoder().decode_batch(list_records)
    assert isinstance(list_update, EndpointListUpdate)
    assert [s.weight for s in list_update.endpoints] == [1.0, 1.5]


def test_documented_actions_are_encoded() -> None:
    assert encode_action(3, SetWeight(0x75, 0x2C9011F2, 0.75)).hex() == "4703007500f211902c0000403f"
    assert encode_action(3, SetTimer(0.5, 77)).hex() == "400300000000000000e03f4d000000"
    assert encode_action(3, SetAdmission(0x75, 2, 0.75, 1)).hex() == "4b0300750002000000403f01"
    assert encode_reply([]) == bytes(8)


def test_empty_batch_gets_an_empty_reply() -> None:
    sink = io.BytesIO()
    assert serve(io.BytesIO(batch(b"")), sink) == 0
    assert sink.getvalue() == bytes(8)


@pytest.mark.parametrize(
    ("data", "expected_text"),
    [
        (b"\x01\x00", "cannot read batch length"),
        (batch(hello())[:-3], "cannot read batch: input ends after"),
        (batch(b"\xc8\x00\x00"), "cannot decode record at byte 0: unknown event code 200"),
        (batch(b"\x02\x00\x00\x01"), "cannot read record fields at byte 3: 4 bytes expected, 1 left"),
        (
            batch(struct.pack("<BHQI", 0, 0, 5, 900) + b"{}"),
            "cannot read byte string at byte 15: 900 bytes expected, 2 left",
        ),
        (batch(struct.pack("<BHQI", 0, 0, 5, 2) + b"{]"), "not JSON"),
        (batch(struct.pack("<BHI", 2, 4, 1)), "the instance is not running"),
    ],
)
def test_malformed_input_is_reported_in_one_line(data: bytes, expected_text: str) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "puffintide.bench_adapter"],
        input=data,
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert completed.returncode != 0
    stderr = completed.stderr.decode()
    assert expected_text in stderr
    assert len(stderr.splitlines()) == 1
    assert "Traceback" not in stderr


def test_unknown_settings_keys_are_ignored() -> None:
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
def test_invalid_settings_error_names_the_key(path: str, value: object) -> None:
    conf = json.loads(json.dumps(CONF))
    node = conf
    *parents, key = path.split(".")
    for part in parents:
        node = node[part]
    if value is None:
        del node[key]
    else:
        node[key] = value
    with pytest.raises(SettingsError, match=path):
        parse_settings(json.dumps(conf).encode(), 1)


def test_exception_in_decision_module_is_sent_as_fault_record() -> None:
    host = Host()
    host.handle_batch(1.0, hello())

    def fail(now_s: float, events: object) -> list[Action]:  # noqa: ARG001
        raise ValueError("no such thing")

    host.directors[0].handle = fail  # type: ignore[method-assign]
    reply = host.handle_batch(2.0, struct.pack("<BHI", 2, 0, 1))
    assert reply[8] == 68
    assert b"no such thing" in reply


def test_instances_do_not_affect_each_other() -> None:
    host_of_two, host_of_one = Host(), Host()
    first_hello = hello()
    second_hello = bytearray(first_hello)
    second_hello[1:3] = struct.pack("<H", 1)
    reply_of_two = host_of_two.handle_batch(1.0, first_hello + bytes(second_hello))
    reply_of_one = host_of_one.handle_batch(1.0, first_hello)
    assert reply_of_two[8:].startswith(reply_of_one[8:])


def test_event_after_exit_without_hello_is_rejected() -> None:
    host = Host()
    host.handle_batch(1.0, hello())
    host.handle_batch(2.0, struct.pack("<BH", 5, 0))
    with pytest.raises(BenchProtocolError):
        host.handle_batch(3.0, struct.pack("<BHI", 2, 0, 1))

"""Tests the interpretation of responses to health checks."""

from __future__ import annotations

from puffintide.platform.health_check_response import classify_response, parse_load_report


def test_load_report_of_a_server_is_parsed() -> None:
    assert parse_load_report("TEXT inflight=7, queue=2, util=0.61\n") == {
        "inflight": 7,
        "queue": 2,
        "util": 0.61,
    }
    assert parse_load_report("TEXT inflight=7, queue=x, =, util") == {"inflight": 7}
    assert parse_load_report("TEXT inflight=7, inflight=8, util=1") == {"util": 1}
    assert parse_load_report("<html>") == {}
    assert parse_load_report("") == {}


def test_response_to_a_health_check_is_classified() -> None:
    responses = ((200, 0.3), (503, 0.1), (503, 0.3), (500, 0.1))
    assert [classify_response(status, elapsed_s, 0.4) for status, elapsed_s in responses] == [0, 2, 3, 1]

"""Tests the HTTP and line parsing of the platform's assigner."""

from __future__ import annotations

from collections.abc import Iterator

import h11
import pytest

from puffintide.platform.errors import MalformedResponseError
from puffintide.platform.http_exchange import HttpExchange
from puffintide.protocol.errors import LineTooLongError
from puffintide.protocol.line_buffer import LineBuffer


def splits(data: bytes) -> Iterator[list[bytes]]:
    """Yield the bytes in two pieces, split at every position, and then byte by byte."""
    yield from ([data[:k], data[k:]] for k in range(1, len(data)))
    yield [data[k : k + 1] for k in range(len(data))]


def test_lines_are_complete_however_the_bytes_are_split() -> None:
    data = b'{"a":1}\n\n{"b":2}\nrest'
    for pieces in splits(data):
        lines = LineBuffer(100)
        received = [line for piece in pieces for line in lines.feed(piece)]
        assert received == [b'{"a":1}', b"", b'{"b":2}']
        assert lines.feed(b"!\n") == [b"rest!"]


def feed_all(lines: LineBuffer, pieces: list[bytes]) -> None:
    for piece in pieces:
        lines.feed(piece)


@pytest.mark.parametrize(
    "pieces", [[b"x" * 11], [b"x" * 6, b"x" * 5], [b"x" * 11 + b"\n"], [b"ok\n" + b"x" * 11]]
)
def test_line_over_the_limit_is_rejected_before_it_is_buffered(pieces: list[bytes]) -> None:
    lines = LineBuffer(10)
    with pytest.raises(LineTooLongError):
        feed_all(lines, pieces)
    assert sum(map(len, lines._pieces)) == 0


def test_response_is_parsed_however_the_bytes_are_split() -> None:
    plain = b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"accepted":2}'
    for pieces in splits(plain):
        exchange = HttpExchange("h:1", 100)
        exchange.request("POST", "/x", b"{}")
        body = b"".join(p for piece in pieces for p in exchange.receive(piece))
        assert (exchange.status, body, exchange.complete, exchange.reusable) == (
            200,
            b'{"accepted":2}',
            True,
            True,
        )
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n5\r\n{}\n{}\r\n1\r\n\n\r\n"
    for pieces in splits(chunked):
        exchange = HttpExchange("h:1")
        exchange.request("GET", "/x")
        assert b"".join(p for piece in pieces for p in exchange.receive(piece)) == b"{}\n{}\n{}\n"
        assert not exchange.complete


def test_connection_takes_another_request_and_malformed_responses_raise() -> None:
    exchange = HttpExchange("h:1", 10)
    for _ in range(2):
        request = exchange.request("GET", "/ping")
        server = h11.Connection(h11.SERVER)
        server.receive_data(request)
        assert isinstance(server.next_event(), h11.Request)
        exchange.receive(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        assert exchange.status == 503
        assert exchange.complete
    for malformed in (b"garbage\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + b"x" * 11):
        new_exchange = HttpExchange("h:1", 10)
        new_exchange.request("GET", "/ping")
        with pytest.raises(MalformedResponseError):
            new_exchange.receive(malformed)

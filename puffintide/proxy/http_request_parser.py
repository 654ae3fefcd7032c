"""Parses the requests of one client connection with h11, one at a time and within limits. Performs no I/O.

h11 parses a head only once it is complete and within the limits. The number of header fields is limited too:
a head of very many short fields costs far more time and memory than its size suggests.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import h11

from puffintide.proxy.http_messages import HttpRequestError, head_too_large

LINE_FEED = b"\n"
END_OF_HEAD_LENGTH = 3  # Maximum length of what ends a head after its last line: LF, CR, LF.
MAX_CHUNKED_PART_BYTES = 2048  # Bytes of a chunked body that are parsed at once.
FIRST_PRINTABLE_BYTE = 0x21  # A head that starts below it is invalid, whatever follows.


class RequestParser:
    """Turns received bytes into h11's events, and the events of responses into bytes.

    Bytes that follow a request are kept until start_next_request().

    Args:
        max_head_bytes: Maximum size of a head in bytes.
        max_header_fields: Maximum number of header fields of a request.
    """

    def __init__(self, max_head_bytes: int, max_header_fields: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_header_fields = max_header_fields
        self._http = self._new_connection()
        self._unparsed = bytearray()
        self._is_chunked = False  # Whether the body of the current request is chunked.
        self._scanned = 0  # Number of bytes in which no end of a head was found.

    def _new_connection(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._max_head_bytes)

    @property
    def buffered_bytes(self) -> int:
        """Return the number of received bytes that are not parsed yet."""
        return len(self._unparsed)

    @property
    def awaits_head(self) -> bool:
        """Return whether the next event is the head of a request."""
        return self._http.their_state is h11.IDLE

    @property
    def is_request_complete(self) -> bool:
        """Return whether the current request was received completely and without an error."""
        return self._http.their_state is h11.DONE

    @property
    def must_close(self) -> bool:
        """Return whether the connection cannot carry another request."""
        return self._http.our_state is h11.MUST_CLOSE

    @property
    def can_respond(self) -> bool:
        """Return whether a response to the current request may begin."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._unparsed += data

    def next_event(self) -> Any:
        """Return the next event of the current request, h11.NEED_DATA, or h11.PAUSED after its end.

        Raises:
            h11.RemoteProtocolError: The request is malformed.
            HttpRequestError: The head is too large, or head or trailer have too many fields.
        """
        if self.awaits_head:
            head = self._take_head()
            if not head:
                return h11.NEED_DATA
            self._http.receive_data(head)
        event = self._http.next_event()
        while event is h11.NEED_DATA and self._unparsed and self._http.their_state is h11.SEND_BODY:
            self._http.receive_data(self._take_body())
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._check_field_count(self._http.trailing_data[0])  # Chunk header or trailer fields.
        if isinstance(event, h11.Request):
            self._is_chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
        return event

    def _take_body(self) -> bytes:
        """Remove the next part of the body from the buffer and return it.

        A chunked body may end with trailer fields, which h11 parses as soon as it has them all.
        """
        size = MAX_CHUNKED_PART_BYTES if self._is_chunked else len(self._unparsed)
        part = bytes(self._unparsed[:size])
        del self._unparsed[:size]
        return part

    def _take_head(self) -> bytes:
        """Remove a complete head from the buffer and return it, or nothing if it is incomplete."""
        if self._unparsed and self._unparsed[0] < FIRST_PRINTABLE_BYTE:
            end = len(self._unparsed)  # h11 finds the error.
        else:
            end = self._find_end_of_head()
        self._check_head(end or len(self._unparsed))
        self._scanned = 0 if end else len(self._unparsed)
        head = bytes(self._unparsed[:end])
        del self._unparsed[:end]
        return head

    def _find_end_of_head(self) -> int:
        """Return the length of a complete head, which ends with an empty line, or 0 if it is incomplete."""
        start = max(0, self._scanned - END_OF_HEAD_LENGTH)
        ends = [
            position + len(mark)
            for mark in (b"\n\r\n", b"\n\n")
            if (position := self._unparsed.find(mark, start)) >= 0
        ]
        return min(ends, default=0)

    def _check_head(self, length: int) -> None:
        """Check the size of a head, and its number of fields, of which each has a line."""
        if length > self._max_head_bytes:
            raise head_too_large(length, self._max_head_bytes)
        self._check_field_count(self._unparsed[:length])

    def _check_field_count(self, lines: bytes | bytearray) -> None:
        # The request line and the empty line are no fields.
        if lines.count(LINE_FEED) > self._max_header_fields + 2:
            raise HttpRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f"request has more than {self._max_header_fields} header or trailer fields",
            )

    def clear(self) -> None:
        """Discard all received bytes, as the connection has ended."""
        self._unparsed.clear()
        self._http = self._new_connection()

    def send(self, event: h11.Event) -> bytes:
        """Return the bytes of an event of the response."""
        return self._http.send(event) or b""

    def start_next_request(self) -> None:
        """Prepare for the next request after both request and response are complete."""
        following = self._http.trailing_data[0]
        if following:  # Only a new connection gives up the bytes that it has buffered.
            self._http = self._new_connection()
            self._unparsed[:0] = following
        else:
            self._http.start_next_cycle()
        self._is_chunked = False
        self._scanned = 0

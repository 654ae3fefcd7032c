"""One HTTP/1.1 exchange at a time with a party of the platform, as h11 reads it. Sans-I/O."""

from __future__ import annotations

import h11

HEAD_MOST = 16 * 1024


class Unreadable(Exception):
    """What came is no answer; the connection is of no further use."""


class Exchange:
    """ask() gives bytes to write, receive() the pieces of the answer's body."""

    def __init__(self, host: str, body_most: int) -> None:
        """body_most: bytes of one body that are read, 0: without end (a watch)."""
        self.host, self.body_most = host, body_most
        self.status: int | None = None
        self.done = False  # the whole answer is here
        self.reusable = False  # and the connection takes another request
        self._read = 0
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_MOST)

    def ask(self, method: str, target: str, body: bytes | None = None) -> bytes:
        if self.done:
            self._http.start_next_cycle()
            self.done, self.status, self._read = False, None, 0
        headers = [("Host", self.host)]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        request = h11.Request(method=method, target=target, headers=headers)
        out = self._http.send(request) or b""
        if body:
            out += self._http.send(h11.Data(data=body)) or b""
        return out + (self._http.send(h11.EndOfMessage()) or b"")

    def receive(self, data: bytes) -> list[bytes]:
        """Pieces of the body; b"" as data says that the connection has ended. Raises Unreadable."""
        pieces: list[bytes] = []
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self._read += len(event.data)
                    if self.body_most and self._read > self.body_most:
                        raise Unreadable(f"body over {self.body_most} bytes")
                    pieces.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self.done = True
                    # Bytes beyond the answer would be read as that to the next request.
                    self.reusable = self._http.our_state is h11.DONE and not self._http.trailing_data[0]
                elif isinstance(event, h11.InformationalResponse):
                    continue
                else:
                    return pieces
        except h11.RemoteProtocolError as error:
            raise Unreadable(str(error)) from None

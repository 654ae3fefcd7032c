"""Reads of all tables and ownerships, or of those changed since a revision."""

from __future__ import annotations

from collections.abc import Container

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from puffintide.protocol.stream import Stream
from puffintide.store.durable_state import DurableState

MAX_CACHED_READS = 20  # Maximum number of cached responses, one for each starting revision.
NO_KNOWN_REVISION = -1  # Starting revision of a read that requests all slices.


def encode_ownerships(ownerships: list[m.SliceOwnership]) -> list[bytes]:
    """Encode ownerships as the smallest possible number of messages."""
    size = m.MAX_OWNERSHIPS_PER_MESSAGE
    return [
        encode(m.SliceOwnerships(ownerships[first : first + size]))
        for first in range(0, len(ownerships), size)
    ]


class ReadHandler:
    """Answers reads from the durable state.

    A response is encoded once for each store revision and starting revision. It is sent at the pace of each reader.

    Args:
        durable: Durable state that is read.
        slice_ids: Slices of the deployment. Other stored slices are omitted.
    """

    def __init__(self, durable: DurableState, slice_ids: Container[int]) -> None:
        self.durable = durable
        self.slice_ids = slice_ids
        self._encoded: dict[int, list[bytes]] = {}  # Keyed by starting revision.
        self._encoded_revision = NO_KNOWN_REVISION

    def send(self, stream: Stream, request: m.ReadRequest) -> None:
        """Send the response to a read, and abandon a response that is still being sent on the stream."""
        lines = iter(self._lines_since(self._known_revision(request)))

        def send_while_writable() -> None:
            """Send one line at a time, so that the buffers of many slow readers do not fill the memory."""
            while stream.writable and not stream.closed:
                line = next(lines, None)
                if line is None:
                    stream.on_writable = None
                    return
                stream.send_line(line)

        stream.on_writable = send_while_writable
        send_while_writable()

    def _known_revision(self, request: m.ReadRequest) -> int:
        """Return the reader's revision if it belongs to this store, else NO_KNOWN_REVISION."""
        same_store = request.store_id == self.durable.store_id
        if same_store and 0 <= request.since_revision <= self.durable.revision:
            return request.since_revision
        return NO_KNOWN_REVISION

    def _lines_since(self, known_revision: int) -> list[bytes]:
        if self._encoded_revision != self.durable.revision:
            self._encoded_revision = self.durable.revision
            self._encoded = {}
        if known_revision not in self._encoded:
            if len(self._encoded) >= MAX_CACHED_READS:
                self._encoded.pop(next(iter(self._encoded)))
            self._encoded[known_revision] = self._encode_since(known_revision)
        return self._encoded[known_revision]

    def _encode_since(self, known_revision: int) -> list[bytes]:
        durable = self.durable
        slice_ids = [
            slice_id
            for slice_id in sorted(durable.slices)
            if slice_id in self.slice_ids and durable.slice_revisions.get(slice_id, 0) > known_revision
        ]
        lines = encode_ownerships([durable.ownership(slice_id) for slice_id in slice_ids])
        end = m.ReadComplete(len(slice_ids), durable.revision, durable.store_id)
        return [*lines, encode(end)]

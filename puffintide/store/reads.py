"""Reads of the store: all tables and ownership, or what changed since a revision."""

from __future__ import annotations

from collections.abc import Container

from puffintide.protocol import messages as m
from puffintide.protocol.codec import encode
from puffintide.protocol.stream import Stream
from puffintide.store.durable_state import DurableState

MAX_CACHED_READS = 20
EVERYTHING = -1  # the revision since which a read is that asks for all


def encode_ownerships(ownerships: list[m.SliceOwnership]) -> list[bytes]:
    """Encodes ownerships as the fewest messages that may hold them."""
    size = m.MAX_OWNERSHIPS_PER_MESSAGE
    return [
        encode(m.SliceOwnerships(ownerships[first : first + size]))
        for first in range(0, len(ownerships), size)
    ]


class Reads:
    """Answers reads from the durable state.

    A read is encoded once for each revision and starting point, and handed out as each reader takes it.

    Args:
        durable: The state that is read.
        slice_ids: The slices of the deployment; others that are stored are left out.
    """

    def __init__(self, durable: DurableState, slice_ids: Container[int]) -> None:
        self.durable = durable
        self.slice_ids = slice_ids
        self._encoded: dict[int, list[bytes]] = {}  # by the revision since which they are
        self._encoded_revision = EVERYTHING

    def send(self, stream: Stream, request: m.ReadRequest) -> None:
        """Sends the response to a read, in place of one that is still being sent on the stream."""
        lines = iter(self._lines_since(self._known_revision(request)))

        def send_while_writable() -> None:
            """Sends a line at a time, so that many slow readers do not fill the memory with buffers."""
            while stream.writable and not stream.closed:
                line = next(lines, None)
                if line is None:
                    stream.on_writable = None
                    return
                stream.send_line(line)

        stream.on_writable = send_while_writable
        send_while_writable()

    def _known_revision(self, request: m.ReadRequest) -> int:
        """The revision that the reader has of this very store."""
        same_store = request.store_id == self.durable.store_id
        if same_store and 0 <= request.since_revision <= self.durable.revision:
            return request.since_revision
        return EVERYTHING

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

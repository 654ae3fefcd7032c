"""Write leases: a proxy forwards writes to a slice only while the slice's assigner is connected.

They apply to deployments with a single writer per slice. A lease continues for a limited time after
the connection is lost.
"""

from __future__ import annotations

import math


class WriteLeases:
    """The write lease of each assigner: the time until which its slices accept writes.

    An assigner has no lease before its first update.
    """

    def __init__(self) -> None:
        self._expires_at_s: dict[int, float] = {}  # Keyed by assigner id.

    def grant(self, assigner_id: int) -> None:
        """Let the assigner's slices accept writes until the connection to it is lost."""
        self._expires_at_s[assigner_id] = math.inf

    def limit(self, assigner_id: int, expires_at_s: float) -> None:
        """End an assigner's lease at this time, unless it ends earlier."""
        granted_until_s = self._expires_at_s.get(assigner_id, 0.0)
        self._expires_at_s[assigner_id] = min(granted_until_s, expires_at_s)

    def is_valid(self, assigner_id: int, now_s: float) -> bool:
        """Return whether the assigner's slices accept writes now."""
        return now_s < self._expires_at_s.get(assigner_id, 0.0)

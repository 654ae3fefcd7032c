"""Admission control by slice and request class. This module does no I/O."""

from __future__ import annotations

from puffintide.decisions.actions import ALL_SLICES
from puffintide.decisions.settings import AdmissionMode
from puffintide.protocol.messages import AdmissionLevel

MAX_REQUEST_CLASSES = 16  # Number of bits in a class mask.


class AdmissionLevels:
    """The current admission fractions and retry modes, by assigner, slice and request class.

    A level for ALL_SLICES applies to every slice that the assigner owns.
    """

    def __init__(self) -> None:
        # Levels by request class, for each (assigner, slice).
        self.by_slice: dict[tuple[int, int], dict[int, AdmissionLevel]] = {}

    def __bool__(self) -> bool:
        """Return whether any level is set."""
        return bool(self.by_slice)

    def set(self, assigner_id: int, level: AdmissionLevel) -> None:
        """Set a level for the request classes in its mask; mask 0 means all classes."""
        by_class = self.by_slice.setdefault((assigner_id, level.slice_id), {})
        for class_index in range(MAX_REQUEST_CLASSES):
            if not level.class_mask or level.class_mask >> class_index & 1:
                by_class[class_index] = level

    def clear_slice(self, assigner_id: int, slice_id: int) -> None:
        """Remove the levels of one slice."""
        self.by_slice.pop((assigner_id, slice_id), None)

    def clear_assigner(self, assigner_id: int) -> None:
        """Remove all levels that this assigner set."""
        self.by_slice = {key: levels for key, levels in self.by_slice.items() if key[0] != assigner_id}

    def find(self, assigner_id: int, slice_id: int, class_index: int) -> AdmissionLevel | None:
        """Return the level set under exactly this slice id, which may be ALL_SLICES."""
        levels = self.by_slice.get((assigner_id, slice_id))
        return levels.get(class_index) if levels is not None else None

    def fraction(self, assigner_id: int, slice_id: int, class_index: int) -> float | None:
        """Return the lower of the slice's fraction and the ALL_SLICES fraction, or None if neither is set."""
        if not self.by_slice:
            return None
        slice_level = self.find(assigner_id, slice_id, class_index)
        all_slices_level = self.find(assigner_id, ALL_SLICES, class_index)
        if slice_level is None:
            return None if all_slices_level is None else all_slices_level.fraction
        return (
            slice_level.fraction
            if all_slices_level is None
            else min(slice_level.fraction, all_slices_level.fraction)
        )

    def retry_mode(self, assigner_id: int, slice_id: int, class_index: int) -> int | None:
        """Return the slice's own retry mode, else the ALL_SLICES retry mode, else None."""
        if not self.by_slice:
            return None
        level = self.find(assigner_id, slice_id, class_index)
        if level is None:
            level = self.find(assigner_id, ALL_SLICES, class_index)
        return None if level is None else level.retry_mode


class AdmissionControl:
    """Admits a fraction of the requests, spaced evenly instead of chosen at random."""

    def __init__(self, mode: AdmissionMode) -> None:
        self.mode = mode
        # Accumulated fractions by (assigner, class). A sum of at least 1 admits a request and is reduced by 1.
        self._credit: dict[tuple[int, int], float] = {}

    def admits(self, assigner_id: int, class_index: int, fraction: float | None) -> bool:
        """Decide whether the next request is admitted.

        Args:
            assigner_id: The assigner that owns the request's slice.
            class_index: The index of the request's class.
            fraction: The fraction of requests to admit, from 0 to 1; None means no limit.

        Returns:
            True if the request is admitted.
        """
        if fraction is None or self.mode == AdmissionMode.NONE:
            return True
        if fraction <= 0:
            return False
        if fraction >= 1:
            return True
        key = (assigner_id, class_index)
        credit = self._credit.get(key, 0.0) + fraction
        admitted = credit >= 1
        self._credit[key] = credit - admitted
        return admitted

    def rejects_all(self, fraction: float | None) -> bool:
        """Return whether this fraction rejects every request."""
        return self.mode != AdmissionMode.NONE and fraction is not None and fraction <= 0

"""Admission control: the fraction of each request class that is admitted to a slice. No I/O."""

from __future__ import annotations

from puffintide.decisions.actions import ALL_SLICES
from puffintide.decisions.settings import AdmissionMode
from puffintide.protocol.messages import AdmissionLevel

MAX_REQUEST_CLASSES = 16  # bits of a class mask


class AdmissionLevels:
    """Admission fractions and retry modes in force, by assigner, slice and request class.

    A level for ALL_SLICES holds for every slice that the assigner owns.
    """

    def __init__(self) -> None:
        self.by_slice: dict[tuple[int, int], dict[int, AdmissionLevel]] = {}  # (assigner, slice): by class

    def __bool__(self) -> bool:
        """Whether any level is in force."""
        return bool(self.by_slice)

    def set(self, assigner_id: int, level: AdmissionLevel) -> None:
        """Put a level in force for the classes of its mask; mask 0 stands for all classes."""
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
        """The level that was set for exactly this slice, or for ALL_SLICES."""
        levels = self.by_slice.get((assigner_id, slice_id))
        return levels.get(class_index) if levels is not None else None

    def fraction(self, assigner_id: int, slice_id: int, class_index: int) -> float | None:
        """The lower of the slice's fraction and that for all slices; None where none is set."""
        if not self.by_slice:
            return None
        own = self.find(assigner_id, slice_id, class_index)
        common = self.find(assigner_id, ALL_SLICES, class_index)
        if own is None:
            return None if common is None else common.fraction
        return own.fraction if common is None else min(own.fraction, common.fraction)

    def retry_mode(self, assigner_id: int, slice_id: int, class_index: int) -> int | None:
        """The slice's retry mode, else that for all slices; None where none is set."""
        if not self.by_slice:
            return None
        level = self.find(assigner_id, slice_id, class_index)
        if level is None:
            level = self.find(assigner_id, ALL_SLICES, class_index)
        return None if level is None else level.retry_mode


class AdmissionControl:
    """Admits a fraction of the requests, spread evenly instead of at random."""

    def __init__(self, mode: AdmissionMode) -> None:
        self.mode = mode
        self._credit: dict[tuple[int, int], float] = {}  # (assigner, class): admissions saved up

    def admits(self, assigner_id: int, class_index: int, fraction: float | None) -> bool:
        """Whether the next request is admitted.

        Args:
            assigner_id: Owner of the request's slice.
            class_index: The request's class.
            fraction: The fraction in force, 0 to 1; None: no limit.
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
        """Whether a fraction in force admits no request at all."""
        return self.mode != AdmissionMode.NONE and fraction is not None and fraction <= 0

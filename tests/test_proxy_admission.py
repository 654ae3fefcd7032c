"""Tests of admission control by fraction."""

from __future__ import annotations

from puffintide.decisions.settings import AdmissionMode
from puffintide.proxy.admission import AdmissionControl


def test_admission_fraction_is_spaced_evenly() -> None:
    admission = AdmissionControl(AdmissionMode.FRACTION)
    admitted = [admission.admits(0, 0, 0.3) for _ in range(1000)]
    assert sum(admitted) in (299, 300, 301)
    assert max(sum(admitted[start : start + 10]) for start in range(990)) <= 4
    assert admission.admits(0, 1, None)
    assert not admission.admits(0, 1, 0.0)
    assert all(AdmissionControl(AdmissionMode.NONE).admits(0, 0, 0.0) for _ in range(9))

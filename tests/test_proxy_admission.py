"""Admission control: fractions of requests."""

from __future__ import annotations

from puffintide.decisions.settings import AdmissionMode
from puffintide.proxy.admission import AdmissionControl


def test_an_admission_fraction_is_spread_evenly() -> None:
    admission = AdmissionControl(AdmissionMode.FRACTION)
    run = [admission.admits(0, 0, 0.3) for _ in range(1000)]
    assert sum(run) in (299, 300, 301)
    assert max(sum(run[k : k + 10]) for k in range(990)) <= 4
    assert admission.admits(0, 1, None)
    assert not admission.admits(0, 1, 0.0)
    assert all(AdmissionControl(AdmissionMode.NONE).admits(0, 0, 0.0) for _ in range(9))

"""Load shedding: admits a fraction of each request class when demand exceeds the fleet's capacity."""

from __future__ import annotations

from puffintide.decisions import parameters
from puffintide.decisions.actions import ALL_SLICES, SetAdmission
from puffintide.decisions.capacity import CapacityEstimator
from puffintide.decisions.settings import AdmissionMode
from puffintide.decisions.state import FleetState

ALL_CLASSES_MASK = 0
MAX_RETRY_MODE = 1  # Retries only after proof that the first attempt was not executed: safe for every class.
MIN_ADMITTED_RATE = 1e-9  # Smallest divisor, in requests per second; avoids a division by zero.


def update_admission_fractions(fleet: FleetState, estimator: CapacityEstimator) -> None:
    """Update the fraction of each request class that proxies should admit.

    Load is shed only once a capacity is learned and reports have settled after a start. Any earlier estimate
    of the capacity would be a guess.
    """
    if fleet.settings.admission_mode != AdmissionMode.FRACTION or not fleet.slices:
        return
    if not estimator.is_learned() or fleet.is_settling():
        return
    offered_rates = _offered_rates(fleet)
    work = {
        class_index: rate * fleet.settings.request_classes[class_index].latency_objective_s
        for class_index, rate in offered_rates.items()
    }
    current = {class_index: fleet.admission_fractions.get(class_index, 1.0) for class_index in offered_rates}
    capacity = _work_capacity(fleet, estimator, offered_rates, work, current)
    fractions = _compute_fractions(fleet, work, capacity, is_shedding=min(current.values()) < 1)
    change = max(abs(fraction - current[class_index]) for class_index, fraction in fractions.items())
    is_end_of_shedding = change > 0 and min(fractions.values()) == 1
    if change >= parameters.MIN_ADMISSION_CHANGE or is_end_of_shedding:
        fleet.admission_fractions = fractions
        fleet.admission_update_pending = True


def _offered_rates(fleet: FleetState) -> dict[int, float]:
    """Return the requests per second of each class for this assigner's slices, rejected requests included."""
    rates = dict.fromkeys(range(len(fleet.settings.request_classes)), 0.0)
    for _, slice_state in sorted(fleet.slices.items()):
        for class_index, rate in slice_state.request_rates.items():
            rates[class_index] += rate.per_second
    return rates


def _work_capacity(
    fleet: FleetState,
    estimator: CapacityEstimator,
    offered_rates: dict[int, float],
    work: dict[int, float],
    current: dict[int, float],
) -> float:
    """Return this assigner's part of the fleet's capacity, in units of work.

    Work is the rate of requests times the latency objective of their class.
    """
    ready = fleet.ready_servers()
    fleet_capacity = sum(estimator.usable_capacity(server.server_id) for server in ready)
    capacity = fleet_capacity * len(fleet.slices) / fleet.settings.slice_count
    admitted_work = sum(work[class_index] * fraction for class_index, fraction in current.items())
    admitted_rate = sum(offered_rates[class_index] * fraction for class_index, fraction in current.items())
    # Capacity is learned in requests of the mix of classes that is currently admitted.
    capacity *= admitted_work
    capacity /= max(admitted_rate, MIN_ADMITTED_RATE)
    # Clients resend rejected requests, so demand appears higher than it is while load is shed.
    if min(current.values()) < 1:
        loads = [server.load for server in ready if server.load is not None]
        mean_load = sum(loads) / max(1, len(loads))
        unused = max(0.0, parameters.ADMISSION_TARGET_UTILIZATION - mean_load)
        capacity *= 1 + parameters.RESENT_REQUESTS_FACTOR * unused
    return capacity


def _compute_fractions(
    fleet: FleetState, work: dict[int, float], capacity: float, is_shedding: bool
) -> dict[int, float]:
    """Return the fraction of each class that fits into the capacity.

    Classes with the lowest priority per unit of work are reduced first.
    """
    fractions = dict.fromkeys(work, 1.0)
    limit = parameters.ADMISSION_START_UTILIZATION
    if is_shedding:
        limit = parameters.ADMISSION_TARGET_UTILIZATION
    total_work = sum(work.values())
    if total_work <= capacity * limit:
        return fractions
    excess = total_work - capacity * parameters.ADMISSION_TARGET_UTILIZATION
    for class_index in sorted(work, key=lambda index: _priority_per_work(fleet, index)):
        if work[class_index] > 0:
            fraction = max(parameters.MIN_ADMISSION_FRACTION, 1 - excess / work[class_index])
            fractions[class_index] = fraction
            excess -= work[class_index] * (1 - fraction)
    return fractions


def _priority_per_work(fleet: FleetState, class_index: int) -> float:
    request_class = fleet.settings.request_classes[class_index]
    return request_class.priority_weight / request_class.latency_objective_s


def admission_actions(fleet: FleetState) -> list[SetAdmission]:
    """Return the actions that send the admission fractions and the retry mode to the proxies."""
    retry_mode = min(MAX_RETRY_MODE, fleet.settings.default_retry_mode)
    fractions = sorted(
        (1 << class_index, fraction) for class_index, fraction in fleet.admission_fractions.items()
    )
    if not fractions and retry_mode < fleet.settings.default_retry_mode:
        fractions = [(ALL_CLASSES_MASK, 1.0)]
    return [SetAdmission(ALL_SLICES, class_mask, fraction, retry_mode) for class_mask, fraction in fractions]

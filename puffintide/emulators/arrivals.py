"""Generates the requests of a scenario in advance from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.typing import NDArray

from puffintide.config.model import Config
from puffintide.config.schema import ClassSection, Fault, Load
from puffintide.emulators.errors import MissingSectionError

PROXY_WEIGHT_SIGMA = 0.6  # Sigma of the log-normal distribution of the traffic weights of proxies.

Column = NDArray[Any]  # One value per request.


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request to be sent by a client."""

    at_s: float  # Time since the start of the scenario, in seconds.
    proxy_id: int
    class_index: int
    key: int
    work_s: float
    honours_retry_after: bool


@dataclass(slots=True)
class _Columns:
    """All requests in order of time, with one column per property."""

    times_s: Column
    class_indexes: Column
    keys: Column
    proxy_ids: Column
    work_s: Column
    honours_retry_after: Column

    def arrivals(self) -> list[Arrival]:
        rows = zip(
            self.times_s,
            self.proxy_ids,
            self.class_indexes,
            self.keys,
            self.work_s,
            self.honours_retry_after,
            strict=True,
        )
        return [Arrival(float(t), int(p), int(c), int(k), float(w), bool(h)) for t, p, c, k, w, h in rows]


def draw_arrivals(config: Config) -> list[Arrival]:
    """Generate all requests of a scenario in order of time. The same seed gives the same requests.

    Args:
        config: The configuration of the scenario.

    Raises:
        MissingSectionError: The configuration has no section [load] or no section [day].
    """
    if config.load is None or config.day is None:
        raise MissingSectionError(("load", "day"))
    generator = np.random.default_rng(config.day.seed)
    times_s = _draw_times(generator, config.load, config.day.length_s)
    columns = _draw_columns(generator, config, config.load, times_s)
    for _, fault in sorted(config.faults.items()):
        _apply_fault(generator, config, config.load.keys, fault, columns)
    return columns.arrivals()


def _draw_times(generator: np.random.Generator, load: Load, length_s: float) -> Column:
    """Draw the times of a Poisson process whose rate follows the shape of the load, by thinning."""
    peak = max(level for _, level in load.shape)
    expected = load.requests_per_s * peak * length_s
    times_s = np.sort(generator.uniform(0, length_s, generator.poisson(expected)))
    levels = np.interp(times_s, [point[0] for point in load.shape], [point[1] for point in load.shape])
    accepted = generator.uniform(0, peak, len(times_s)) < levels
    return times_s[accepted]


def _draw_columns(generator: np.random.Generator, config: Config, load: Load, times_s: Column) -> _Columns:
    """Draw the other properties. The order of the draws determines the result for a seed."""
    count = len(times_s)
    proxy_count = config.deployment.proxies
    classes = list(config.classes.values())
    shares = np.array([request_class.share for request_class in classes])
    class_indexes = generator.choice(len(classes), count, p=shares / shares.sum())
    popularity = np.arange(1, load.keys + 1, dtype=float) ** -load.zipf
    keys = generator.choice(load.keys, count, p=popularity / popularity.sum())
    weights = generator.lognormal(0, PROXY_WEIGHT_SIGMA, proxy_count)
    proxy_ids = generator.choice(proxy_count, count, p=weights / weights.sum())
    work_s = _draw_work(generator, classes, class_indexes)
    honours = generator.uniform(size=count) < load.honour
    return _Columns(times_s, class_indexes, keys, proxy_ids, work_s, honours)


def _draw_work(generator: np.random.Generator, classes: list[ClassSection], class_indexes: Column) -> Column:
    """Draw log-normal work in seconds, with the mean and coefficient of variation of the request class."""
    work_s = np.empty(len(class_indexes))
    for class_index, request_class in enumerate(classes):
        sigma = np.sqrt(np.log(1 + request_class.work_cv**2))
        in_class = class_indexes == class_index
        work_s[in_class] = request_class.work_s * generator.lognormal(-(sigma**2) / 2, sigma, in_class.sum())
    return work_s


def _apply_fault(
    generator: np.random.Generator, config: Config, key_count: int, fault: Fault, columns: _Columns
) -> None:
    """Change the requests within the time of a fault, if the fault concerns the load."""
    count = len(columns.times_s)
    during = (columns.times_s >= fault.at_s) & (columns.times_s < fault.at_s + fault.for_s)
    match fault.kind:
        case "hot_key":  # size: fraction of all traffic that is moved to one key.
            affected = during & (generator.uniform(size=count) < fault.size)
            hot_key = int(generator.integers(key_count))
            columns.keys = np.where(affected, hot_key, columns.keys)
        case "heavy_tail":  # extra: fraction of requests; size: factor on their work.
            affected = during & (generator.uniform(size=count) < fault.extra)
            columns.work_s = np.where(affected, columns.work_s * fault.size, columns.work_s)
        case "shift":  # size: fraction of all traffic that is moved to the proxies of one zone.
            affected = during & (generator.uniform(size=count) < fault.size)
            zone_proxy_ids = _proxies_of_zone(config, fault.zone)
            columns.proxy_ids = np.where(affected, generator.choice(zone_proxy_ids, count), columns.proxy_ids)


def _proxies_of_zone(config: Config, zone: int | None) -> list[int]:
    zone_count = len(config.deployment.zones)
    return [proxy_id for proxy_id in range(config.deployment.proxies) if proxy_id % zone_count == zone]

"""The platform's names to the interface's numbers and back. Pure.

A host has the same number at every assigner and after a restart, as rankings go by it: it is drawn from the name
alone. Two names on one number are told apart by a second draw for the later one, and that is said.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from hashlib import blake2b

TRIES = 8
# Fields of load reports: the platform's names by those that the settings may use.
PLATFORM_FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
WIRE_FIELDS = {platform: wire for wire, platform in PLATFORM_FIELDS.items()}


def draw(host: str, salt: int = 0) -> int:
    """A number below 2**31."""
    digest = blake2b(host.encode("utf-8", "surrogatepass"), digest_size=4, salt=salt.to_bytes(2, "little"))
    return int.from_bytes(digest.digest(), "little") >> 1


class Hosts:
    """Numbers of hosts. Only those that are kept have a name to go back to."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self.clashes = 0

    def __len__(self) -> int:
        return len(self._names)

    def number(self, host: str) -> int:
        """The number of a host, kept from now on."""
        known = self._numbers.get(host)
        if known is not None:
            return known
        for salt in range(TRIES):
            number = draw(host, salt)
            if number not in self._names:
                break
            self.clashes += 1
        self._numbers[host], self._names[number] = number, host
        return number

    def known(self, host: str) -> int | None:
        return self._numbers.get(host)

    def name(self, number: int) -> str | None:
        return self._names.get(number)

    def keep(self, numbers: Collection[int]) -> None:
        """Forgets all others."""
        for number in self._names.keys() - set(numbers):
            del self._numbers[self._names.pop(number)]


class Names:
    """Zones, classes, kinds and report fields, by the order of the settings."""

    def __init__(
        self, zones: Sequence[str], classes: Sequence[str], kinds: Sequence[str], fields: Sequence[str]
    ) -> None:
        self.zones = {name: k for k, name in enumerate(zones)}
        self.classes = {name: k for k, name in enumerate(classes)}
        self.class_names = tuple(classes)
        self.kinds = {name: k for k, name in enumerate(kinds)}
        self.fields = [(name, PLATFORM_FIELDS.get(name, WIRE_FIELDS.get(name, name))) for name in fields]

    def values(self, report: Mapping[str, object] | None) -> tuple[float, ...]:
        """A load report in the order of the settings; what is missing or no number is no number (NaN)."""
        if not report:
            return ()
        out = []
        for name, other in self.fields:
            value = report.get(name, report.get(other))
            sound = isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < 1e9
            out.append(float(value) if sound and isinstance(value, int | float) else math.nan)
        return tuple(out) if any(v == v for v in out) else ()

    def classes_of(self, mask: int) -> list[str]:
        return [name for k, name in enumerate(self.class_names) if mask >> k & 1]


def parse_text_report(line: str) -> dict[str, float]:
    """A task's own report: `TEXT inflight=7, queue=2`. What is doubled or unreadable is left out."""
    out: dict[str, float] = {}
    doubled: set[str] = set()
    text = line.strip()
    if not text.startswith("TEXT"):
        return out
    for part in text[4:].split(","):
        name, _, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name in out:
            doubled.add(name)
        out[name] = number
    return {k: v for k, v in out.items() if k not in doubled}


# How a probe ended, as the interface numbers it.
ANSWERED, ERROR, TURNED_AWAY, TIMED_OUT, UNREACHABLE, BROKEN_OFF = range(6)


def probe_end(status: int, took_s: float, timeout_s: float) -> int:
    """An answer's meaning. Who is turned away at the door hears so at once; a 503 that took longer than half of the
    time a probe has is of a task that gave the wait up.
    """
    if status == 503:
        return TURNED_AWAY if took_s < timeout_s / 2 else TIMED_OUT
    return ANSWERED if status == 200 else ERROR

"""The audit's report: its rules, the violations found, and how near to their limits the rules came."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Rule(StrEnum):
    """The rules; the values are their names in the operators' tables."""

    AVAILABLE_SERVERS = "nobody left"
    NO_DUPLICATE_EXECUTION = "no effect twice"
    GRACEFUL_DRAINING = "drains kept"
    SLOW_START = "cold not pushed over"
    CHANNEL_CAPACITY = "short queue"
    SINGLE_OWNER = "one owner"
    REPLICA_AGREEMENT = "copies agree"


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a rule."""

    rule: Rule
    at_s: float
    subject: str  # who violated it
    value: float
    limit: float
    records: tuple[int, ...]  # numbers of the records that show it


@dataclass
class AuditReport:
    """What the audit found."""

    findings: list[Finding] = field(default_factory=list)
    peak_ratios: dict[Rule, float] = field(default_factory=lambda: dict.fromkeys(Rule, 0.0))  # value / limit
    case_counts: dict[Rule, int] = field(default_factory=lambda: dict.fromkeys(Rule, 0))
    drain_durations_s: list[float] = field(default_factory=list)  # notice of a loss to the last attempt there

    def add_case(
        self, rule: Rule, at_s: float, subject: str, value: float, limit: float, *records: int
    ) -> None:
        """Count a case of a rule; it is a violation if its value is above the limit."""
        self.case_counts[rule] += 1
        self.peak_ratios[rule] = max(self.peak_ratios[rule], value / limit if limit > 0 else 0.0)
        if value > limit:
            self.findings.append(Finding(rule, at_s, subject, value, limit, records))

    def add_violation(self, rule: Rule, at_s: float, subject: str, *records: int) -> None:
        """Add a violation of a rule that has no limit."""
        self.peak_ratios[rule] = max(self.peak_ratios[rule], 1.0)
        self.findings.append(Finding(rule, at_s, subject, 1.0, 0.0, records))

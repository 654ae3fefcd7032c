"""The report of the audit: the rules, their violations, and the peak ratio of value to limit per rule."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Rule(StrEnum):
    """The rules. The values are the names that are printed in tables for operators."""

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
    subject: str  # The processes and slices concerned, as text.
    value: float
    limit: float
    records: tuple[int, ...]  # Numbers of the records that show the violation.


@dataclass
class AuditReport:
    """The findings and measurements of an audit."""

    findings: list[Finding] = field(default_factory=list)
    # Largest ratio of value to limit.
    peak_ratios: dict[Rule, float] = field(default_factory=lambda: dict.fromkeys(Rule, 0.0))
    case_counts: dict[Rule, int] = field(default_factory=lambda: dict.fromkeys(Rule, 0))
    # Times from the notification of a server's loss to the last attempt at that server, in seconds.
    drain_durations_s: list[float] = field(default_factory=list)

    def add_case(
        self, rule: Rule, at_s: float, subject: str, value: float, limit: float, *records: int
    ) -> None:
        """Count a case to which a rule applies. It is a violation if its value is above the limit."""
        self.case_counts[rule] += 1
        self.peak_ratios[rule] = max(self.peak_ratios[rule], value / limit if limit > 0 else 0.0)
        if value > limit:
            self.findings.append(Finding(rule, at_s, subject, value, limit, records))

    def add_violation(self, rule: Rule, at_s: float, subject: str, *records: int) -> None:
        """Add a violation of a rule without counting a case. Its value has no limit to compare with."""
        self.peak_ratios[rule] = max(self.peak_ratios[rule], 1.0)
        self.findings.append(Finding(rule, at_s, subject, 1.0, 0.0, records))

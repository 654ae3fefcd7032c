"""Formats and prints the results of scenarios."""

from __future__ import annotations

from pathlib import Path

from rich.table import Table

from puffintide.audit.report import AuditReport, Rule
from puffintide.cli.common import console
from puffintide.scenarios.results import ExitCode, ScenarioResult, ServiceSummary, quantile

MAX_SHOWN_FINDINGS = 20
MAX_SHOWN_GAPS = 10
COMPARISON_HEADER = ["kind", "rules", "nearest", "worth served", "worst 10 s", "drain max s"]


def print_result(result: ScenarioResult, folder: Path) -> None:
    """Print the verdicts of the rules, the service, the findings and the gaps in the records."""
    report = result.report
    _print_rules(result, folder)
    _print_service(result.service)
    drains_s = report.drain_durations_s
    if drains_s:
        console.print(
            f"time from the notice of a server's drain or removal to the last request sent to it: "
            f"p50 {quantile(drains_s, 0.5):.2f} s, p99 {quantile(drains_s, 0.99):.2f} s, "
            f"max {drains_s[-1]:.2f} s"
        )
    for finding in report.findings[:MAX_SHOWN_FINDINGS]:
        console.print(
            f"{finding.rule}: at {finding.at_s:.3f}, {finding.subject}: value {finding.value:.3g}, limit "
            f"{finding.limit:.3g}, records {list(finding.records)}"
        )
    for gap in result.gaps[:MAX_SHOWN_GAPS]:
        console.print(f"records incomplete: {gap}")


def _print_rules(result: ScenarioResult, folder: Path) -> None:
    title = f"Rules, from the records in {folder}"
    table = Table("rule", "verdict", "cases", "nearest to its limit", title=title)
    for rule in Rule:
        cases = result.report.case_counts[rule]
        peak_ratio = result.report.peak_ratios[rule]
        table.add_row(rule, _verdict(result, rule), str(cases), f"{peak_ratio:.0%}")
    console.print(table)


def _verdict(result: ScenarioResult, rule: Rule) -> str:
    violations = sum(finding.rule == rule for finding in result.report.findings)
    if violations:
        return f"BROKEN {violations}x"
    if result.gaps:
        return "unknown"
    return "kept" if result.report.case_counts[rule] else "no case"


def _print_service(service: ServiceSummary) -> None:
    title = "Service, as clients saw it (stand-ins)"
    table = Table("class", "worth served", "p50 s", "p99 s", title=title)
    for name, score in service.score_by_class.items():
        latencies_s = service.latencies_s.get(name, [])
        p50_s = quantile(latencies_s, 0.5)
        p99_s = quantile(latencies_s, 0.99)
        table.add_row(name, f"{score:.3f}", f"{p50_s:.3f}", f"{p99_s:.3f}")
    table.add_row("all", f"{service.score:.3f}", "", "")
    table.add_row("worst 10 s", f"{service.worst_window_score:.3f}", "", "")
    console.print(table)
    reasons = ", ".join(f"{reason} {count}" for reason, count in sorted(service.failure_reasons.items()))
    console.print(f"{service.request_count} requests; not served: {reasons or 'none'}")


def comparison_row(name: str, result: ScenarioResult | str) -> list[str]:
    """Return the row of one scenario in a table that compares several.

    Args:
        name: Name of the scenario.
        result: Result of the scenario; a text is the reason why it was not run.
    """
    if isinstance(result, str):
        return [name, f"not played: {result}", "", "", "", ""]
    report = result.report
    nearest = max(Rule, key=lambda rule: report.peak_ratios[rule])
    drains_s = report.drain_durations_s
    return [
        name,
        _overall_verdict(report, result.gaps),
        f"{nearest} {report.peak_ratios[nearest]:.0%}",
        f"{result.service.score:.3f}",
        f"{result.service.worst_window_score:.3f}",
        f"{drains_s[-1]:.2f}" if drains_s else "",
    ]


def _overall_verdict(report: AuditReport, gaps: list[str]) -> str:
    broken = sorted({finding.rule for finding in report.findings})
    if broken:
        return "BROKEN: " + ", ".join(broken)
    return "unknown" if gaps else "kept"


def comparison_exit_code(results: list[ScenarioResult | str]) -> ExitCode:
    """Return the exit code of a command that shows several scenarios."""
    exit_code = ExitCode.RULES_KEPT
    for result in results:
        if isinstance(result, str):
            exit_code = max(exit_code, ExitCode.RECORDS_INCOMPLETE)
        elif result.report.findings:
            exit_code = ExitCode.RULE_BROKEN
        else:
            exit_code = max(exit_code, result.exit_code)
    return exit_code


def markdown_table(rows: list[list[str]]) -> str:
    """Format rows as a Markdown table."""
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)

"""Checks that involve more than one section of a configuration."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from puffintide.config import schema

MAX_CLASSES = 16  # Number of bits in a class mask.


def consistency_errors(
    path: str,
    sections: Mapping[str, schema.Section],
    classes: Mapping[str, schema.ClassSection],
    faults: Mapping[str, schema.Fault],
    zones: Mapping[str, schema.ZoneSection],
) -> list[str]:
    """Return one message for each inconsistency between sections.

    Args:
        path: Path of the configuration file, which each message starts with.
        sections: Valid sections that have no name, by title.
        classes: Valid [class NAME] sections, by name.
        faults: Valid [fault NAME] sections, by name.
        zones: Valid [zone NAME] sections, by name.

    Returns:
        The messages; empty if the sections are consistent.
    """
    errors: list[str] = []
    deployment = sections.get("deployment")
    if isinstance(deployment, schema.Deployment):
        errors += _assigner_errors(deployment, sections.get("assigner"), sections.get("peers"))
        errors += _fault_errors(deployment, sections.get("fleet"), faults)
        errors += _zone_errors(deployment, zones)
    if len(classes) > MAX_CLASSES:
        errors.append(f"{len(classes)} [class NAME] sections; at most {MAX_CLASSES} are allowed")
    return [f"{path}: {error}" for error in errors]


def _assigner_errors(
    deployment: schema.Deployment, assigner: schema.Section | None, peers: schema.Section | None
) -> Iterator[str]:
    if not isinstance(assigner, schema.AssignerProcess):
        return
    if assigner.id >= deployment.assigners:
        allowed = f"0 to {deployment.assigners - 1} ([deployment] assigners = {deployment.assigners})"
        yield f"[assigner] id = {assigner.id}: must be from {allowed}"
    if isinstance(peers, schema.PeersSection) and not 1 < len(peers.addresses) == deployment.assigners:
        yield (
            f"[peers] addresses: lists {len(peers.addresses)} assigners; must list all, and at least 2 "
            f"([deployment] assigners = {deployment.assigners})"
        )
    if assigner.zone >= len(deployment.zones):
        yield f"[assigner] zone = {assigner.zone}: must be from 0 to {len(deployment.zones) - 1}"


def _fault_errors(
    deployment: schema.Deployment, fleet: schema.Section | None, faults: Mapping[str, schema.Fault]
) -> Iterator[str]:
    for name, fault in sorted(faults.items()):
        if fault.zone >= len(deployment.zones):
            allowed = f"0 to {len(deployment.zones) - 1}"
            yield f"[fault {name}] zone = {fault.zone}: no such zone; allowed: {allowed}"
        if isinstance(fleet, schema.Fleet):
            server_count = fleet.servers + fleet.spare
            for server_id in fault.servers:
                if not 0 <= server_id < server_count:
                    allowed = f"0 to {server_count - 1}"
                    yield f"[fault {name}] servers = {server_id}: no such server; allowed: {allowed}"


def _zone_errors(deployment: schema.Deployment, zones: Mapping[str, schema.ZoneSection]) -> Iterator[str]:
    known = deployment.zones
    for name, section in sorted(zones.items()):
        if name not in known:
            yield f"[zone {name}]: no such zone; allowed: {', '.join(known)}"
        unknown = [other for other in section.near if other not in known or other == name]
        if unknown or len(set(section.near)) < len(section.near):
            yield (
                f"[zone {name}] near = {', '.join(section.near)!r}: "
                f"must list other zones, each at most once; zones: {', '.join(known)}"
            )

"""Errors that no section of a configuration shows alone."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from puffintide.config import schema

MAX_CLASSES = 16  # bits of a class mask


def consistency_errors(
    path: str,
    sections: Mapping[str, schema.Section],
    classes: Mapping[str, schema.ClassSection],
    faults: Mapping[str, schema.Fault],
    zones: Mapping[str, schema.ZoneSection],
) -> list[str]:
    """What does not fit together, one text for each error."""
    errors: list[str] = []
    deployment = sections.get("deployment")
    if isinstance(deployment, schema.Deployment):
        errors += _assigner_errors(deployment, sections.get("assigner"), sections.get("peers"))
        errors += _fault_errors(deployment, sections.get("fleet"), faults)
        errors += _zone_errors(deployment, zones)
    if len(classes) > MAX_CLASSES:
        errors.append(f"{len(classes)} classes; at most {MAX_CLASSES}")
    return [f"{path}: {error}" for error in errors]


def _assigner_errors(
    deployment: schema.Deployment, assigner: schema.Section | None, peers: schema.Section | None
) -> Iterator[str]:
    if not isinstance(assigner, schema.AssignerProcess):
        return
    if assigner.id >= deployment.assigners:
        allowed = f"0 to {deployment.assigners - 1}, as [deployment] assigners says"
        yield f"[assigner] id = {assigner.id}: allowed: {allowed}"
    if isinstance(peers, schema.PeersSection) and not 1 < len(peers.addresses) == deployment.assigners:
        yield f"[peers] addresses: {len(peers.addresses)} of the {deployment.assigners} assigners"
    if assigner.zone >= len(deployment.zones):
        yield f"[assigner] zone = {assigner.zone}: there are {len(deployment.zones)}"


def _fault_errors(
    deployment: schema.Deployment, fleet: schema.Section | None, faults: Mapping[str, schema.Fault]
) -> Iterator[str]:
    for name, fault in sorted(faults.items()):
        if fault.zone >= len(deployment.zones):
            yield f"[fault {name}] zone = {fault.zone}: no such zone"
        if isinstance(fleet, schema.Fleet):
            for server_id in fault.servers:
                if not 0 <= server_id < fleet.servers + fleet.spare:
                    yield f"[fault {name}] servers = {server_id}: no such server"


def _zone_errors(deployment: schema.Deployment, zones: Mapping[str, schema.ZoneSection]) -> Iterator[str]:
    known = deployment.zones
    for name, section in sorted(zones.items()):
        if name not in known:
            yield f"[zone {name}]: no such zone; allowed: {', '.join(known)}"
        unknown = [other for other in section.near if other not in known or other == name]
        if unknown or len(set(section.near)) < len(section.near):
            yield (
                f"[zone {name}] near = {', '.join(section.near)!r}: "
                f"must name other zones, each once: {', '.join(known)}"
            )

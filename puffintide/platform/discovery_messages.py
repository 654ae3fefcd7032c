"""Messages of discovery's watch: the endpoint list and its changes. Performs no I/O.

The platform's field names are mapped to the terms of this program here.
"""

from __future__ import annotations

import msgspec

from puffintide.decisions.events import EndpointStatus
from puffintide.platform.errors import InvalidMessageError, MalformedMessageError
from puffintide.platform.identifiers import HostRegistry, SettingsNames
from puffintide.platform.message_decoding import MS_PER_S, decode_json, quoted
from puffintide.protocol.messages import EndpointEntry


class _Member(
    msgspec.Struct,
    frozen=True,
    rename={
        "status": "health",
        "address": "dial",
        "zone": "site",
        "server_type": "class",
        "cell": "block",
        "weight": "share",
        "started_at_ms": "born_ms",
    },
):
    host: str
    status: str
    address: str = ""
    zone: str = ""
    server_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: int = 0  # Unix time


class _Members(msgspec.Struct, frozen=True, rename={"version": "seq", "is_snapshot": "whole"}):
    version: int
    is_snapshot: bool = False
    hosts: list[msgspec.Raw] = []


class EndpointListMessage(msgspec.Struct, frozen=True):
    """A snapshot of the endpoint list, or the endpoints that changed."""

    version: int
    is_snapshot: bool
    entries: list[EndpointEntry]
    errors: list[str]  # of the entries that were left out


STATUSES = {
    "left": EndpointStatus.REMOVED,
    "active": EndpointStatus.READY,
    "leaving": EndpointStatus.DRAINING,
}
_member_lists = msgspec.json.Decoder(_Members)
_members = msgspec.json.Decoder(_Member)


def decode_endpoint_list(
    text: bytes, names: SettingsNames, hosts: HostRegistry, unix_time_ms: float
) -> EndpointListMessage:
    """Decode a line of discovery's watch; an invalid entry does not affect the others.

    Raises:
        MalformedMessageError: The text is not JSON.
        InvalidMessageError: It is JSON, but no list.
    """
    members = decode_json(_member_lists, text)
    entries: list[EndpointEntry] = []
    errors: list[str] = []
    for raw in members.hosts:
        try:
            member = _decode_member(bytes(raw), names)
        except (InvalidMessageError, MalformedMessageError) as error:
            errors.append(str(error))
        else:
            entries.append(_endpoint_entry(member, names, hosts, unix_time_ms))
    return EndpointListMessage(members.version, members.is_snapshot, entries, errors)


def _decode_member(text: bytes, names: SettingsNames) -> _Member:
    member = decode_json(_members, text)
    if member.status not in STATUSES:
        raise InvalidMessageError(f"health {quoted(member.status)} of {quoted(member.host)}")
    if member.zone not in names.zones and STATUSES[member.status] is not EndpointStatus.REMOVED:
        raise InvalidMessageError(
            f"site {quoted(member.zone)} of {quoted(member.host)} is not in the settings"
        )
    return member


def _endpoint_entry(
    member: _Member, names: SettingsNames, hosts: HostRegistry, unix_time_ms: float
) -> EndpointEntry:
    age_s = -1.0  # not known
    if member.started_at_ms > 0:
        age_s = max(0.0, (unix_time_ms - member.started_at_ms) / MS_PER_S)
    return EndpointEntry(
        server_id=hosts.register(member.host),
        zone=names.zones.get(member.zone, 0),
        server_type=names.server_types.get(member.server_type, len(names.server_types)),
        cell=member.cell,
        status=STATUSES[member.status],
        weight=member.weight,
        incarnation=member.started_at_ms,
        age_s=age_s,
        address=member.address,
    )

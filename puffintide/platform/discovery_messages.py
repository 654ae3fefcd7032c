"""Messages of discovery's watch: the endpoint list and its changes. Performs no I/O.

This module maps the platform's field names to the terms of this program.
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
    started_at_ms: int = 0  # Unix time in milliseconds; 0 if unknown.


class _Members(msgspec.Struct, frozen=True, rename={"version": "seq", "is_snapshot": "whole"}):
    version: int
    is_snapshot: bool = False
    hosts: list[msgspec.Raw] = []


class EndpointListMessage(msgspec.Struct, frozen=True):
    """A snapshot of the endpoint list, or the endpoints that changed."""

    version: int
    is_snapshot: bool
    entries: list[EndpointEntry]
    errors: list[str]  # One error for each entry that is invalid and therefore not in `entries`.


STATUSES = {
    "left": EndpointStatus.REMOVED,
    "active": EndpointStatus.READY,
    "leaving": EndpointStatus.DRAINING,
}
_member_list_decoder = msgspec.json.Decoder(_Members)
_member_decoder = msgspec.json.Decoder(_Member)


def decode_endpoint_list(
    text: bytes, names: SettingsNames, hosts: HostRegistry, unix_time_ms: float
) -> EndpointListMessage:
    """Decode a line of discovery's watch.

    An invalid entry is reported in the message's errors and does not affect the others.

    Raises:
        MalformedMessageError: The text is not JSON.
        InvalidMessageError: The text is JSON, but not an endpoint list.
    """
    member_list = decode_json(_member_list_decoder, text)
    entries: list[EndpointEntry] = []
    errors: list[str] = []
    for raw in member_list.hosts:
        try:
            member = _decode_member(bytes(raw), names)
        except (InvalidMessageError, MalformedMessageError) as error:
            errors.append(str(error))
        else:
            entries.append(_endpoint_entry(member, names, hosts, unix_time_ms))
    return EndpointListMessage(member_list.version, member_list.is_snapshot, entries, errors)


def _decode_member(text: bytes, names: SettingsNames) -> _Member:
    member = decode_json(_member_decoder, text)
    if member.status not in STATUSES:
        raise InvalidMessageError(
            f"invalid endpoint entry of host {quoted(member.host)}: "
            f"health {quoted(member.status)} is not one of {', '.join(STATUSES)}"
        )
    if member.zone not in names.zones and STATUSES[member.status] is not EndpointStatus.REMOVED:
        raise InvalidMessageError(
            f"invalid endpoint entry of host {quoted(member.host)}: "
            f"site {quoted(member.zone)} is not in the settings"
        )
    return member


def _endpoint_entry(
    member: _Member, names: SettingsNames, hosts: HostRegistry, unix_time_ms: float
) -> EndpointEntry:
    age_s = -1.0  # The age is unknown.
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

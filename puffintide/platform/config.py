"""Parses the platform's configuration file into typed values. Only load_config() performs I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from puffintide.decisions.settings import Settings, SettingsError, parse_settings
from puffintide.platform.errors import ConfigError
from puffintide.platform.identifiers import SettingsNames

MAX_FILE_BYTES = 16 << 20
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_LIMIT = 1e9
DEFAULT_SOCKETS = 256
DEFAULT_MEMORY_MB = 64
QUOTED_CHARACTERS = 60  # Maximum characters of an invalid value in an error message.


Address = tuple[str, int]  # IPv4 address and port.


@dataclass(frozen=True)
class Config:
    """The configuration of an assigner."""

    name: str
    listen: Address
    discovery: Address
    relay: Address
    settings: Settings
    names: SettingsNames
    sockets: int  # Maximum number of open file descriptors.
    memory_mb: float
    last_endpoint_list: dict[str, Any] | None  # The last list this assigner used, in discovery's format.


def _quoted(value: object) -> str:
    return repr(str(value)[:QUOTED_CHARACTERS])


def parse_address(value: object, key: str) -> Address:
    """Parse an address of the form HOST:PORT, where the host is an IPv4 address.

    Host names are not resolved.

    Args:
        value: The value to parse.
        key: The configuration key of the value, which the error message names.

    Raises:
        ConfigError: The value is not such an address.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not (
        port.isascii() and port.isdigit() and 0 < int(port[: MAX_PORT_DIGITS + 1]) <= MAX_PORT
    ):
        raise ConfigError(f"{key}: cannot parse {_quoted(value)} as HOST:PORT")
    try:
        return str(IPv4Address(host)), int(port)
    except ValueError as error:
        raise ConfigError(f"{key}: host {_quoted(host)} is not an IPv4 address") from error


def _strings(document: dict[str, Any], key: str) -> list[str]:
    value = document.get(key, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ConfigError(f"settings.{key}: {_quoted(value)} is not a list of strings")
    return value


def _limit(document: dict[str, Any], key: str, default: float) -> float:
    limits = document.get("limits")
    value = limits.get(key, default) if isinstance(limits, dict) else default
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 < value < MAX_LIMIT:
        raise ConfigError(f"limits.{key}: {_quoted(value)} is not a number above 0 and below {MAX_LIMIT:g}")
    return float(value)


def _object(document: dict[str, Any], key: str) -> dict[str, Any]:
    value = document.get(key)
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: missing or not a JSON object (type {type(value).__name__})")
    return value


def _seed(document: dict[str, Any]) -> int:
    seed = document.get("seed", "0")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError) as error:
        raise ConfigError(f"seed: cannot parse {_quoted(seed)} as a hexadecimal number") from error


def _json_object(text: bytes) -> dict[str, Any]:
    if len(text) > MAX_FILE_BYTES:
        raise ConfigError(f"file exceeds the limit of {MAX_FILE_BYTES} bytes")
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"file is not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(f"expected a JSON object in the file, got {type(document).__name__}")
    return document


def parse_config(text: bytes) -> Config:
    """Parse the text of a configuration file.

    Raises:
        ConfigError: The text is not a JSON object, or a value is missing or invalid.
    """
    document = _json_object(text)
    settings_object = _object(document, "settings")
    store = _object(document, "store")
    try:
        settings = parse_settings(json.dumps(settings_object).encode(), _seed(document))
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from error
    classes = [str(row.get("name", index)) for index, row in enumerate(settings_object["classes"])]
    names = SettingsNames(
        _strings(settings_object, "zones"),
        classes,
        _strings(settings_object, "kinds"),
        settings.load_value_names,
    )
    last_endpoint_list = document.get("known")
    return Config(
        name=str(document.get("name", "")),
        listen=parse_address(document.get("listen"), "listen"),
        discovery=parse_address(document.get("discovery"), "discovery"),
        relay=parse_address(store.get("address"), "store.address"),
        settings=settings,
        names=names,
        sockets=int(_limit(document, "sockets", DEFAULT_SOCKETS)),
        memory_mb=_limit(document, "memory_mb", DEFAULT_MEMORY_MB),
        last_endpoint_list=last_endpoint_list if isinstance(last_endpoint_list, dict) else None,
    )


def load_config(path: str) -> Config:
    """Read and parse a configuration file.

    Raises:
        ConfigError: The file cannot be read or is invalid. The error message names the path.
    """
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"cannot read configuration file {path}: {error.strerror}") from error
    try:
        return parse_config(text)
    except ConfigError as error:
        raise ConfigError(f"invalid configuration file {path}: {error}") from error

"""The configuration file of the platform, as typed values; only load() performs I/O."""

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
QUOTED_CHARACTERS = 60  # of an invalid value, in an error


Address = tuple[str, int]  # IPv4 address and port


@dataclass(frozen=True)
class Config:
    """What an assigner is started with."""

    name: str
    listen: Address
    discovery: Address
    relay: Address
    settings: Settings
    names: SettingsNames
    sockets: int  # file descriptors that may be open
    memory_mb: float
    known: dict[str, Any] | None  # the last endpoint list of this assigner, in discovery's format


def _quoted(value: object) -> str:
    return repr(str(value)[:QUOTED_CHARACTERS])


def parse_address(value: object, key: str) -> Address:
    """Parse HOST:PORT, where the host is an IPv4 address: names are not resolved.

    Raises:
        ConfigError: The value is no such address; the text names the key.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not (
        port.isascii() and port.isdigit() and 0 < int(port[: MAX_PORT_DIGITS + 1]) <= MAX_PORT
    ):
        raise ConfigError(f"{key}: {_quoted(value)} is not HOST:PORT")
    try:
        return str(IPv4Address(host)), int(port)
    except ValueError as error:
        raise ConfigError(f"{key}: {_quoted(host)} is no IPv4 address") from error


def _strings(tree: dict[str, Any], key: str) -> list[str]:
    value = tree.get(key, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ConfigError(f"settings.{key}: not a list of names")
    return value


def _limit(tree: dict[str, Any], key: str, default: float) -> float:
    limits = tree.get("limits")
    value = limits.get(key, default) if isinstance(limits, dict) else default
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 < value < MAX_LIMIT:
        raise ConfigError(f"limits.{key}: {_quoted(value)} is not above 0")
    return float(value)


def _object(tree: dict[str, Any], key: str) -> dict[str, Any]:
    value = tree.get(key)
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: absent or no object")
    return value


def _seed(tree: dict[str, Any]) -> int:
    seed = tree.get("seed", "0")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError) as error:
        raise ConfigError(f"seed: {_quoted(seed)} is not hexadecimal") from error


def _json_object(text: bytes) -> dict[str, Any]:
    if len(text) > MAX_FILE_BYTES:
        raise ConfigError(f"over {MAX_FILE_BYTES} bytes")
    try:
        tree = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"not JSON: {error}") from error
    if not isinstance(tree, dict):
        raise ConfigError("not a JSON object")
    return tree


def parse_config(text: bytes) -> Config:
    """Parse the text of a configuration file.

    Raises:
        ConfigError: The text is no JSON object, or a value is absent or invalid.
    """
    tree = _json_object(text)
    tree_settings = _object(tree, "settings")
    store = _object(tree, "store")
    try:
        settings = parse_settings(json.dumps(tree_settings).encode(), _seed(tree))
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from error
    classes = [str(row.get("name", index)) for index, row in enumerate(tree_settings["classes"])]
    names = SettingsNames(
        _strings(tree_settings, "zones"), classes, _strings(tree_settings, "kinds"), settings.load_value_names
    )
    known = tree.get("known")
    return Config(
        name=str(tree.get("name", "")),
        listen=parse_address(tree.get("listen"), "listen"),
        discovery=parse_address(tree.get("discovery"), "discovery"),
        relay=parse_address(store.get("address"), "store.address"),
        settings=settings,
        names=names,
        sockets=int(_limit(tree, "sockets", DEFAULT_SOCKETS)),
        memory_mb=_limit(tree, "memory_mb", DEFAULT_MEMORY_MB),
        known=known if isinstance(known, dict) else None,
    )


def load_config(path: str) -> Config:
    """Read and parse a configuration file.

    Raises:
        ConfigError: The file can't be read or is invalid; the text names the path.
    """
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    try:
        return parse_config(text)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error

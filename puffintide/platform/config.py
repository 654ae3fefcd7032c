"""The configuration that the platform gives, as values. Pure but for load(), which reads the file."""

from __future__ import annotations

import json
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from puffintide.decisions.settings import Settings, SettingsError, parse_settings
from puffintide.platform.identifiers import Names

FILE_MOST = 16 << 20


class ConfigError(Exception):
    """The configuration can't be used; the text says which key and why."""


Address = tuple[str, int]


@dataclass(frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    relay: Address
    settings: Settings
    names: Names
    sockets: int
    memory_mb: float
    known: dict[str, Any] | None  # the list as last held, in discovery's form


def address(value: object, key: str) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port[:6]) < 65536):
        raise ConfigError(f"{key}: {str(value)[:60]!r} is not HOST:PORT")
    try:
        # A name would be looked up in a thread, through whatever the machine has for that; there is no DNS here.
        return str(IPv4Address(host)), int(port)
    except ValueError:
        raise ConfigError(f"{key}: {host[:60]!r} is no IPv4 address") from None


def _strings(tree: dict[str, Any], key: str) -> list[str]:
    value = tree.get(key, [])
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise ConfigError(f"settings.{key}: not a list of names")
    return value


def _limit(tree: dict[str, Any], key: str, usual: float) -> float:
    limits = tree.get("limits")
    value = limits.get(key, usual) if isinstance(limits, dict) else usual
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 < value < 1e9:
        raise ConfigError(f"limits.{key}: {str(value)[:60]!r} is not above 0")
    return float(value)


def parse(text: bytes) -> Config:
    """Values of a file's text, or a ConfigError."""
    if len(text) > FILE_MOST:
        raise ConfigError(f"over {FILE_MOST} bytes")
    try:
        tree = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"not JSON: {error}") from None
    if not isinstance(tree, dict):
        raise ConfigError("not a JSON object")
    settings = tree.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError("settings: absent or no object")
    store = tree.get("store")
    if not isinstance(store, dict):
        raise ConfigError("store: absent or no object")
    seed = tree.get("seed", "0")
    try:
        number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: {str(seed)[:60]!r} is not hexadecimal") from None
    try:
        parsed = parse_settings(json.dumps(settings).encode(), number)
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    classes = [str(row.get("name", k)) for k, row in enumerate(settings["classes"])]
    names = Names(_strings(settings, "zones"), classes, _strings(settings, "kinds"), parsed.load_value_names)
    known = tree.get("known")
    return Config(
        name=str(tree.get("name", "")),
        listen=address(tree.get("listen"), "listen"),
        discovery=address(tree.get("discovery"), "discovery"),
        relay=address(store.get("address"), "store.address"),
        settings=parsed,
        names=names,
        sockets=int(_limit(tree, "sockets", 256)),
        memory_mb=_limit(tree, "memory_mb", 64),
        known=known if isinstance(known, dict) else None,
    )


def load(path: str) -> Config:
    """The file's values. Raises ConfigError with the path."""
    try:
        with open(path, "rb") as file:
            text = file.read(FILE_MOST + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    try:
        return parse(text)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None

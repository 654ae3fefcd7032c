"""Reads configuration files. An error message names the file, section, key and value, and what is allowed."""

from __future__ import annotations

import configparser
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from puffintide.config import schema
from puffintide.config.consistency import consistency_errors
from puffintide.config.errors import ConfigError
from puffintide.config.model import Config

SECTIONS: dict[str, type[schema.Section]] = {
    "deployment": schema.Deployment,
    "channel": schema.ChannelSection,
    "reports": schema.ReportSection,
    "list": schema.ListSection,
    "probes": schema.ProbeSection,
    "rules": schema.Rules,
    "charge": schema.StoreSection,
    "zones": schema.ZonesSection,
    "operator": schema.OperatorSection,
    "peers": schema.PeersSection,
    "assigner": schema.AssignerProcess,
    "store": schema.StoreProcess,
    "proxy": schema.ProxyProcess,
    "tls": schema.Tls,
    "fleet": schema.Fleet,
    "load": schema.Load,
    "net": schema.Net,
    "day": schema.Day,
}
NAMED_SECTIONS: dict[str, type[schema.Section]] = {
    "class": schema.ClassSection,
    "fault": schema.Fault,
    "zone": schema.ZoneSection,
}
MAX_FILE_BYTES = 4 << 20

RawSections = dict[str, dict[str, str]]  # Values by section title and key.


@dataclass
class ParsedSections:
    """Valid sections, and the error messages of the invalid ones."""

    single: dict[str, schema.Section] = field(default_factory=dict)
    classes: dict[str, schema.ClassSection] = field(default_factory=dict)
    faults: dict[str, schema.Fault] = field(default_factory=dict)
    zones: dict[str, schema.ZoneSection] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)

    def add(self, title: str, section: schema.Section) -> None:
        """Add a valid section under its name, or under its title if it has no name."""
        name = title.partition(" ")[2].strip()
        match section:
            case schema.ClassSection():
                self.classes[name] = section
            case schema.Fault():
                self.faults[name] = section
            case schema.ZoneSection():
                self.zones[name] = section
            case _:
                self.single[title] = section


def read_config(path: str, required_sections: tuple[str, ...] = ()) -> Config:
    """Read and validate a configuration file.

    Args:
        path: Path of the INI file.
        required_sections: Titles of the sections that must be present in addition to [deployment].

    Returns:
        The validated configuration.

    Raises:
        ConfigError: The file cannot be read or is invalid; the error holds one message for each problem.
    """
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    try:
        if Path(path).stat().st_size > MAX_FILE_BYTES:
            raise ConfigError([f"{path}: file is larger than {MAX_FILE_BYTES} bytes"])
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=path)
    except OSError as error:
        raise ConfigError([f"{path}: cannot read the file: {error.strerror or error}"]) from error
    except UnicodeDecodeError as error:
        raise ConfigError([f"{path}: file is not valid UTF-8 at byte {error.start}"]) from error
    except configparser.Error as error:
        raise ConfigError([f"{path}: invalid INI file: {' '.join(str(error).split())}"]) from error
    sections = {title: dict(parser.items(title)) for title in parser.sections()}
    return parse_config(path, sections, required_sections)


def parse_config(path: str, sections: RawSections, required_sections: tuple[str, ...] = ()) -> Config:
    """Validate the sections of a configuration.

    Args:
        path: Path of the configuration file, which each error message starts with.
        sections: Values by section title and key.
        required_sections: Titles of the sections that must be present in addition to [deployment].

    Returns:
        The validated configuration.

    Raises:
        ConfigError: The configuration is invalid; the error holds one message for each problem.
    """
    parsed = ParsedSections()
    for title, values in sections.items():
        _parse_section(path, title, values, parsed)
    for title in ("deployment", *required_sections):
        if title not in sections:
            parsed.errors.append(f"{path}: [{title}]: required section is missing")
    if not any(title.startswith("class ") for title in sections):
        parsed.errors.append(f"{path}: [class NAME]: at least one such section is required")
    parsed.errors += consistency_errors(path, parsed.single, parsed.classes, parsed.faults, parsed.zones)
    if parsed.errors:
        raise ConfigError(parsed.errors)
    single: dict[str, Any] = parsed.single
    return Config(
        path=path, classes=parsed.classes, faults=parsed.faults, zone_sections=parsed.zones, **single
    )


def _section_model(title: str) -> type[schema.Section] | None:
    """Return the model of a section, or None if the title is unknown."""
    kind, _, name = title.partition(" ")
    return SECTIONS.get(title) or (NAMED_SECTIONS.get(kind) if name else None)


def _parse_section(path: str, title: str, values: dict[str, str], parsed: ParsedSections) -> None:
    model = _section_model(title)
    if model is None:
        allowed = ", ".join([*SECTIONS, *(f"{kind} NAME" for kind in NAMED_SECTIONS)])
        parsed.errors.append(f"{path}: [{title}]: unknown section; allowed: {allowed}")
        return
    try:
        parsed.add(title, model.model_validate(values))
    except ValidationError as error:
        for details in error.errors():
            text = _describe_error(str(details["type"]), str(details["msg"]), details["loc"], values, model)
            parsed.errors.append(f"{path}: [{title}] {text}")


def _describe_error(
    error_type: str,
    message: str,
    location: tuple[int | str, ...],
    values: dict[str, str],
    model: type[schema.Section],
) -> str:
    """Describe an error as `KEY = VALUE: MESSAGE`, or `: MESSAGE` if it is one of the whole section.

    Args:
        error_type: Type of the error in pydantic's terms.
        message: Message of pydantic or of a validator.
        location: Path of the invalid field; empty if a validator of the whole section failed.
        values: Values of the section by key.
        model: Model of the section.

    Returns:
        The message without file and section.
    """
    key = str(location[0]) if location else ""
    if error_type == "extra_forbidden":
        return f"{key}: unknown key; allowed: {', '.join(model.model_fields)}"
    if error_type == "missing":
        return f"{key}: required key is missing"
    value = f" = {values[key]!r}" if key in values else ""
    return f"{key}{value}: {message.removeprefix('Value error, ')}"

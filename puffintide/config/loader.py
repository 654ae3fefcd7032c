"""Reads an INI file against the schema. Every error names file, section, key, value and what is allowed."""

from __future__ import annotations

import configparser
from dataclasses import dataclass, field
from pathlib import Path

from pydantic import ValidationError

from puffintide.config import schema as s
from puffintide.decisions.settings import AdmissionMode, RepeatSafety, RequestClass, Settings


class ConfigError(Exception):
    """One line for each thing that is wrong."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


SECTIONS: dict[str, type[s.Section]] = {
    "deployment": s.Deployment,
    "channel": s.ChannelSection,
    "reports": s.ReportSection,
    "list": s.ListSection,
    "probes": s.ProbeSection,
    "rules": s.Rules,
    "charge": s.StoreSection,
    "zones": s.ZonesSection,
    "operator": s.OperatorSection,
    "peers": s.PeersSection,
    "assigner": s.AssignerProcess,
    "store": s.StoreProcess,
    "proxy": s.ProxyProcess,
    "tls": s.Tls,
    "fleet": s.Fleet,
    "load": s.Load,
    "net": s.Net,
    "day": s.Day,
}
NAMED: dict[str, type[s.Section]] = {"class": s.ClassSection, "fault": s.Fault, "zone": s.ZoneSection}
FILE_MOST = 4 << 20  # bytes


@dataclass(frozen=True)
class Config:
    """What a file holds, checked. Sections that it lacks stand at their defaults, or are None if they have none."""

    path: str
    deployment: s.Deployment
    channel: s.ChannelSection = field(default_factory=s.ChannelSection)
    reports: s.ReportSection = field(default_factory=s.ReportSection)
    list: s.ListSection = field(default_factory=s.ListSection)
    probes: s.ProbeSection = field(default_factory=s.ProbeSection)
    rules: s.Rules = field(default_factory=s.Rules)
    charge: s.StoreSection = field(default_factory=s.StoreSection)
    zones: s.ZonesSection = field(default_factory=s.ZonesSection)
    near: dict[str, s.ZoneSection] = field(default_factory=dict)  # by zone
    operator: s.OperatorSection | None = None
    peers: s.PeersSection | None = None
    classes: dict[str, s.ClassSection] = field(default_factory=dict)
    assigner: s.AssignerProcess | None = None
    store: s.StoreProcess | None = None
    proxy: s.ProxyProcess | None = None
    tls: s.Tls | None = None
    fleet: s.Fleet | None = None
    load: s.Load | None = None
    net: s.Net = field(default_factory=s.Net)
    day: s.Day | None = None
    faults: dict[str, s.Fault] = field(default_factory=dict)


def load(path: str, need: tuple[str, ...] = ()) -> Config:
    """The file's configuration. need: sections that must be there. Raises ConfigError with all errors."""
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
    try:
        if Path(path).stat().st_size > FILE_MOST:
            raise ConfigError([f"{path}: larger than {FILE_MOST} bytes"])
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=path)
    except OSError as error:
        raise ConfigError([f"{path}: {error.strerror or error}"]) from None
    except UnicodeDecodeError as error:
        raise ConfigError([f"{path}: not UTF-8 at byte {error.start}"]) from None
    except configparser.Error as error:
        raise ConfigError([f"{path}: {' '.join(str(error).split())}"]) from None
    return check(path, {name: dict(parser.items(name)) for name in parser.sections()}, need)


def check(path: str, sections: dict[str, dict[str, str]], need: tuple[str, ...] = ()) -> Config:
    """The same from sections at hand."""
    errors: list[str] = []
    found: dict[str, s.Section] = {}
    named: dict[str, dict[str, s.Section]] = {name: {} for name in NAMED}
    for title, values in sections.items():
        head, _, rest = title.partition(" ")
        model = SECTIONS.get(title) or (NAMED.get(head) if rest else None)
        if model is None:
            allowed = ", ".join([*SECTIONS, *(f"{n} NAME" for n in NAMED)])
            errors.append(f"{path}: [{title}]: unknown section; allowed: {allowed}")
            continue
        try:
            made = model.model_validate(values)
        except ValidationError as error:
            errors += [_tell(path, title, e, values, model) for e in error.errors()]
            continue
        if head in NAMED and rest:
            named[head][rest.strip()] = made
        else:
            found[title] = made
    for title in ("deployment", *need):
        if title not in sections:
            errors.append(f"{path}: [{title}]: section is missing")
    classes = {n: c for n, c in named["class"].items() if isinstance(c, s.ClassSection)}
    if not any(title.startswith("class ") for title in sections):
        errors.append(f"{path}: [class NAME]: at least one class of requests is needed")
    near = {n: z for n, z in named["zone"].items() if isinstance(z, s.ZoneSection)}
    errors += _across(path, found, classes, named["fault"], near)
    if errors:
        raise ConfigError(errors)
    faults = {n: f for n, f in named["fault"].items() if isinstance(f, s.Fault)}
    return Config(path=path, classes=classes, faults=faults, near=near, **found)  # type: ignore[arg-type]


def _tell(path: str, title: str, error: object, values: dict[str, str], model: type[s.Section]) -> str:
    assert isinstance(error, dict)
    where = str(error["loc"][0]) if error["loc"] else ""
    what = str(error["msg"]).removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        return f"{path}: [{title}] {where}: unknown key; allowed: {', '.join(model.model_fields)}"
    if error["type"] == "missing":
        return f"{path}: [{title}] {where}: key is missing"
    value = f" = {values[where]!r}" if where in values else ""
    return f"{path}: [{title}] {where}{value}: {what}"


def _across(
    path: str,
    found: dict[str, s.Section],
    classes: dict[str, s.ClassSection],
    faults: dict[str, s.Section],
    near: dict[str, s.ZoneSection],
) -> list[str]:
    """What no section can tell alone."""
    errors = []
    deployment, assigner, fleet = found.get("deployment"), found.get("assigner"), found.get("fleet")
    if isinstance(deployment, s.Deployment):
        if isinstance(assigner, s.AssignerProcess):
            if assigner.id >= deployment.assigners:
                errors.append(
                    f"{path}: [assigner] id = {assigner.id}: allowed: 0 to {deployment.assigners - 1}, "
                    "as [deployment] assigners says"
                )
            peers = found.get("peers")
            if isinstance(peers, s.PeersSection) and not 1 < len(peers.addresses) == deployment.assigners:
                errors.append(
                    f"{path}: [peers] addresses: {len(peers.addresses)} of the {deployment.assigners} assigners"
                )
            if assigner.zone >= len(deployment.zones):
                errors.append(f"{path}: [assigner] zone = {assigner.zone}: there are {len(deployment.zones)}")
        for name, fault in sorted(faults.items()):
            if isinstance(fault, s.Fault) and fault.zone >= len(deployment.zones):
                errors.append(f"{path}: [fault {name}] zone = {fault.zone}: no such zone")
            if isinstance(fault, s.Fault) and isinstance(fleet, s.Fleet):
                bad = [x for x in fault.servers if not 0 <= x < fleet.servers + fleet.spare]
                errors += [f"{path}: [fault {name}] servers = {x}: no such server" for x in bad]
        known = deployment.zones
        for name, section in sorted(near.items()):
            if name not in known:
                errors.append(f"{path}: [zone {name}]: no such zone; allowed: {', '.join(known)}")
            unknown = [z for z in section.near if z not in known or z == name]
            if unknown or len(set(section.near)) < len(section.near):
                errors.append(
                    f"{path}: [zone {name}] near = {', '.join(section.near)!r}: "
                    f"must name other zones, each once: {', '.join(known)}"
                )
    if len(classes) > 16:
        errors.append(f"{path}: {len(classes)} classes; at most 16")
    return errors


def tiers(config: Config) -> tuple[tuple[int, ...], ...]:
    """By zone, how near each zone is: 0 its own, then as [zone NAME] near says, then all others alike."""
    zones = config.deployment.zones
    if not config.near:
        return ()
    rows = []
    for name in zones:
        near = config.near[name].near if name in config.near else []
        rank = {name: 0} | {other: k + 1 for k, other in enumerate(near)}
        rows.append(tuple(rank.get(other, len(near) + 1) for other in zones))
    return tuple(rows)


def settings(config: Config, instance: int, zone: int, seed: int) -> Settings:
    """The module's settings as the file has them."""
    d, c, r = config.deployment, config.channel, config.reports
    return Settings(
        assigner_index=instance,
        assigner_count=d.assigners,
        seed=seed,
        zone=zone,
        zone_count=len(d.zones),
        request_classes=tuple(
            RequestClass(
                RepeatSafety(k.effect), k.group, k.window_s, k.aim_s, k.deadline_s, k.worth, k.own_zone_only
            )
            for k in config.classes.values()
        ),
        slice_count=d.slices,
        proxy_count=d.proxies,
        single_writer=d.single_writer,
        caches_keys=d.warm_keys,
        default_retry_mode=d.retry_default,
        retry_wait_objectives=d.retry_wait_aims,
        proxy_ejection_failures=d.shun_after,
        admission_mode=AdmissionMode(d.admit),
        channel_entries_per_s=c.lines_per_s,
        channel_header_entries=c.head_lines,
        channel_capacity_entries=c.limit,
        channel_delay_s=c.delay_s,
        channel_delay_max_s=c.delay_max_s,
        max_messages_per_window=c.messages_most,
        message_window_s=c.messages_span_s,
        report_period_s=r.period_s,
        report_entries_per_s=r.lines_per_s,
        load_value_names=tuple(r.names),
        health_checks_enabled=config.probes.allowed,
        watch_on_request=config.list.asked,
        drain_grace_s=config.rules.drain_grace_s,
        slow_start_min_fraction=config.rules.cold_from,
        slow_start_duration_s=config.rules.warm_within_s,
        collapse_load_ratio=config.rules.fall_multiple,
        collapse_duration_s=config.rules.fall_s,
        max_unserved_s=config.rules.bare_s,
        zone_distances=tiers(config),
    )

"""Defines the contents of a configuration file."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffintide.config import schema


@dataclass(frozen=True)
class Config:
    """Validated configuration.

    A section that the file lacks has its default values, or is None if it has no defaults.
    """

    path: str
    deployment: schema.Deployment
    channel: schema.ChannelSection = field(default_factory=schema.ChannelSection)
    reports: schema.ReportSection = field(default_factory=schema.ReportSection)
    list: schema.ListSection = field(default_factory=schema.ListSection)
    probes: schema.ProbeSection = field(default_factory=schema.ProbeSection)
    rules: schema.Rules = field(default_factory=schema.Rules)
    charge: schema.StoreSection = field(default_factory=schema.StoreSection)
    zones: schema.ZonesSection = field(default_factory=schema.ZonesSection)
    zone_sections: dict[str, schema.ZoneSection] = field(default_factory=dict)  # Keyed by zone name.
    operator: schema.OperatorSection | None = None
    peers: schema.PeersSection | None = None
    classes: dict[str, schema.ClassSection] = field(default_factory=dict)
    assigner: schema.AssignerProcess | None = None
    store: schema.StoreProcess | None = None
    proxy: schema.ProxyProcess | None = None
    tls: schema.Tls | None = None
    fleet: schema.Fleet | None = None
    load: schema.Load | None = None
    net: schema.Net = field(default_factory=schema.Net)
    day: schema.Day | None = None
    faults: dict[str, schema.Fault] = field(default_factory=dict)

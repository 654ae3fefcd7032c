"""Writes the configuration files of a scenario's processes and the initial tables of its store."""

from __future__ import annotations

import configparser
import json
from pathlib import Path

from puffintide.config.model import Config
from puffintide.emulators.fleet import value_for_server
from puffintide.scenarios.place import PortLayout, at

SHARED_SECTIONS = ("deployment", "channel", "reports", "list", "probes", "rules", "charge", "zones")
SHARED_SECTION_PREFIXES = ("class ", "zone ")
DATABASE = "kept.db"
BACKUP_FOLDER = "backups"
INITIAL_TABLES = "tables.jsonl"
STORE_CONFIG = "store.ini"
EMPTY_STORE_CONFIG = "store-refill.ini"  # Used by a store that restores its tables from replicas.
OPERATOR_CONFIG = "operator.ini"

Section = dict[str, str]


class ConfigFiles:
    """Writes the configuration files into the folder of a scenario.

    Args:
        config: The parsed configuration of the scenario.
        source: The INI text of the scenario.
        folder: The folder in which the files are written.
        layout: The ports of all processes and of the recording proxy's links.
        seed: The random seed of the assigners.
    """

    def __init__(self, config: Config, source: str, folder: Path, layout: PortLayout, seed: int) -> None:
        self.config = config
        self.folder = folder
        self.layout = layout
        self.seed = seed
        self._script = configparser.ConfigParser(interpolation=None)
        self._script.read_string(source)

    def write(self) -> None:
        """Write all configuration files and the initial tables, and create the backup folder."""
        for assigner_id in range(len(self.layout.assigners)):
            self._write(f"assigner-{assigner_id}.ini", self._assigner_sections(assigner_id))
        self._write_initial_tables()
        (self.folder / BACKUP_FOLDER).mkdir(exist_ok=True)
        listen = at(self.layout.store)
        database = str(self.folder / DATABASE)
        store = {
            "listen": listen,
            "start_tables": str(self.folder / INITIAL_TABLES),
            "file": database,
            "backups": str(self.folder / BACKUP_FOLDER),
        }
        empty_store = {"listen": listen, "file": database, "refill": "yes"}
        operator = {"store": listen, "assigners": ", ".join(map(at, self.layout.assigners))}
        self._write(OPERATOR_CONFIG, {"operator": operator})
        self._write(STORE_CONFIG, {"store": store})
        self._write(EMPTY_STORE_CONFIG, {"store": empty_store})

    def _assigner_sections(self, assigner_id: int) -> dict[str, Section]:
        assigner = {
            "id": str(assigner_id),
            "zone": str(assigner_id % len(self.config.deployment.zones)),
            "listen": at(self.layout.assigners[assigner_id]),
            "store": self.layout.proxied_address("store"),
            "list": self.layout.proxied_address("list"),
            "list_cache": str(self.folder / f"list-{assigner_id}.json"),
            "seed": str(self.seed),
        }
        sections = {"assigner": assigner}
        if self.config.peers is not None:
            addresses = ", ".join(self.layout.peers(assigner_id))
            sections["peers"] = dict(self._script.items("peers")) | {"addresses": addresses}
        return sections

    def _write(self, name: str, sections: dict[str, Section]) -> None:
        """Write a file with the scenario's shared sections and the given sections."""
        parser = configparser.ConfigParser(interpolation=None)
        for title in self._script.sections():
            if title in SHARED_SECTIONS or title.startswith(SHARED_SECTION_PREFIXES):
                parser[title] = dict(self._script.items(title))
        for title, values in sections.items():
            parser[title] = values
        with (self.folder / name).open("w", encoding="utf-8") as file:
            parser.write(file)

    def _write_initial_tables(self) -> None:
        """Write a table with one server for each slice; servers get slices in proportion to their cores."""
        fleet = self.config.fleet
        assert fleet is not None
        zone_count = len(self.config.deployment.zones)
        server_count = fleet.servers + fleet.spare
        positions: list[tuple[float, int]] = []
        for server_id in range(fleet.servers):
            cores = value_for_server(fleet.cores, server_id, zone_count, server_count)
            positions += [((k + 0.5) / cores, server_id) for k in range(cores)]
        server_order = [server_id for _, server_id in sorted(positions)]
        with (self.folder / INITIAL_TABLES).open("w", encoding="utf-8") as file:
            for slice_id in range(self.config.deployment.slices):
                server_id = server_order[slice_id % len(server_order)]
                address = self.layout.proxied_address(f"try:{server_id}")
                file.write(json.dumps({"slice": slice_id, "server": server_id, "address": address}) + "\n")

"""Allocates the ports of a scenario: those of its processes and those of the recording proxy's links."""

from __future__ import annotations

import json
import socket
from dataclasses import asdict, dataclass, field
from itertools import permutations
from pathlib import Path

from puffintide.config.model import Config
from puffintide.scenarios.errors import PortError
from puffintide.scenarios.link_faults import Link

FIRST_PORT = 20000
LAST_PORT = 32000  # Exclusive upper bound; ephemeral ports start above it.
FIRST_SCENARIO_PORT = 26000  # Lower ports are for tests that run at the same time as a scenario.


class Ports:
    """Allocates free ports of a range; each port is allocated once.

    Args:
        start: The offset in the range at which the search starts. An offset that differs between runs avoids
            collisions.
        first: The lowest port of the range.
        last: The exclusive upper bound of the range.
    """

    def __init__(self, start: int, first: int = FIRST_PORT, last: int = LAST_PORT) -> None:
        self.first = first
        self.last = last
        self.next = first + start % (last - first)
        self.allocated: set[int] = set()

    def take(self) -> int:
        """Allocate a port on which no process listens.

        Raises:
            PortError: No free port is left in the range.
        """
        for _ in range(self.last - self.first):
            port = self.next
            self.next += 1
            if self.next >= self.last:
                self.next = self.first
            if port in self.allocated:
                continue
            with socket.socket() as test_socket:
                try:
                    test_socket.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self.allocated.add(port)
            return port
        raise PortError(f"cannot allocate a port: no port from {self.first} to {self.last - 1} is free")


def at(port: int) -> str:
    """Return the loopback address of a port."""
    return f"127.0.0.1:{port}"


@dataclass
class PortLayout:
    """The ports of all processes, and the links of the recording proxy to them."""

    store: int
    news: int  # Port of the endpoint list.
    assigners: list[int]
    servers: list[int]
    fronts: list[int]  # Ports on which proxies accept clients.
    links: list[Link] = field(default_factory=list)

    def proxied_address(self, name: str) -> str:
        """Return the address of the recording proxy's link to a party; the other parties connect to it."""
        return at(next(link.port for link in self.links if link.name == name))

    def peers(self, assigner_id: int) -> list[str]:
        """Return the address of every assigner as one assigner uses it.

        Its own address is direct; those of the others lead through the recording proxy.
        """
        addresses = {link.name: at(link.port) for link in self.links}
        return [
            addresses.get(f"peer:{assigner_id}:{peer_id}", at(port))
            for peer_id, port in enumerate(self.assigners)
        ]

    def save(self, path: Path) -> None:
        """Write the layout to a file."""
        path.write_text(json.dumps(asdict(self)), encoding="utf-8")

    @staticmethod
    def read(path: Path) -> PortLayout:
        """Read a layout from a file."""
        row = json.loads(path.read_text(encoding="utf-8"))
        row["links"] = [Link(**link) for link in row["links"]]
        return PortLayout(**row)


def allocate_ports(config: Config, start: int) -> PortLayout:
    """Allocate the ports of a scenario.

    Args:
        config: The configuration of the scenario.
        start: The offset in the port range at which the search starts.

    Raises:
        PortError: The range has too few free ports.
    """
    ports = Ports(start, FIRST_SCENARIO_PORT)
    deployment = config.deployment
    fleet = config.fleet
    assert fleet is not None
    zone_count = len(deployment.zones)
    layout = PortLayout(
        store=ports.take(),
        news=ports.take(),
        assigners=[ports.take() for _ in range(deployment.assigners)],
        servers=[ports.take() for _ in range(fleet.servers + fleet.spare)],
        fronts=[ports.take() for _ in range(deployment.proxies)],
    )
    layout.links.append(Link("store", "store", ports.take(), at(layout.store)))
    layout.links.append(Link("list", "list", ports.take(), at(layout.news)))
    for k, port in enumerate(layout.assigners):
        layout.links.append(Link(f"order:{k}", "order", ports.take(), at(port), k % zone_count, k))
    if config.peers is not None:  # Each pair has two links, because either assigner can connect.
        for a, b in permutations(range(deployment.assigners), 2):
            target = at(layout.assigners[b])
            layout.links.append(Link(f"peer:{a}:{b}", "peer", ports.take(), target, b % zone_count, b))
    for k, port in enumerate(layout.servers):
        layout.links.append(Link(f"try:{k}", "try", ports.take(), at(port), k % zone_count, k))
    return layout

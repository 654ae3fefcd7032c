"""Where everything of a scenario listens: free ports of the parties, and those of the recording proxy."""

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
LAST_PORT = 32000  # exclusive; ephemeral ports begin above
FIRST_SCENARIO_PORT = 26000  # the range below is for tests that run beside a scenario


class Ports:
    """Allocates free ports of a range, each once.

    Args:
        start: offset in the range at which the search begins; one that differs between runs avoids collisions.
        first: lowest port of the range.
        last: end of the range, exclusive.
    """

    def __init__(self, start: int, first: int = FIRST_PORT, last: int = LAST_PORT) -> None:
        self.first = first
        self.last = last
        self.next = first + start % (last - first)
        self.allocated: set[int] = set()

    def take(self) -> int:
        """A port that nobody listens on. Raises PortError when none is left."""
        for _ in range(self.last - self.first):
            port = self.next
            self.next += 1
            if self.next >= self.last:
                self.next = self.first
            if port in self.allocated:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self.allocated.add(port)
            return port
        raise PortError(f"no free port from {self.first} to {self.last}")


def at(port: int) -> str:
    """The loopback address of a port."""
    return f"127.0.0.1:{port}"


@dataclass
class Place:
    """Ports of the parties, and the recording proxy's links in front of them."""

    store: int
    news: int  # of the endpoint list
    assigners: list[int]
    servers: list[int]
    fronts: list[int]  # of proxies, for clients
    links: list[Link] = field(default_factory=list)

    def tapped(self, name: str) -> str:
        """The address by which others reach a party: that of the recording proxy."""
        return at(next(link.port for link in self.links if link.name == name))

    def peers(self, assigner_id: int) -> list[str]:
        """The addresses by which an assigner reaches each of them, others through the recording proxy."""
        addresses = {link.name: at(link.port) for link in self.links}
        return [
            addresses.get(f"peer:{assigner_id}:{peer_id}", at(port))
            for peer_id, port in enumerate(self.assigners)
        ]

    def save(self, path: Path) -> None:
        """Write it to a file."""
        path.write_text(json.dumps(asdict(self)), encoding="utf-8")

    @staticmethod
    def read(path: Path) -> Place:
        """Read it from a file."""
        row = json.loads(path.read_text(encoding="utf-8"))
        row["links"] = [Link(**link) for link in row["links"]]
        return Place(**row)


def lay(config: Config, start: int) -> Place:
    """Select the ports of a scenario.

    Args:
        config: Of the scenario.
        start: Where to look first.

    Raises:
        PortError: There are not enough free ports.
    """
    ports = Ports(start, FIRST_SCENARIO_PORT)
    deployment = config.deployment
    fleet = config.fleet
    assert fleet is not None
    zone_count = len(deployment.zones)
    place = Place(
        store=ports.take(),
        news=ports.take(),
        assigners=[ports.take() for _ in range(deployment.assigners)],
        servers=[ports.take() for _ in range(fleet.servers + fleet.spare)],
        fronts=[ports.take() for _ in range(deployment.proxies)],
    )
    place.links.append(Link("store", "store", ports.take(), at(place.store)))
    place.links.append(Link("list", "list", ports.take(), at(place.news)))
    for k, port in enumerate(place.assigners):
        place.links.append(Link(f"order:{k}", "order", ports.take(), at(port), k % zone_count, k))
    if config.peers is not None:  # two links for each pair: either may dial
        for a, b in permutations(range(deployment.assigners), 2):
            target = at(place.assigners[b])
            place.links.append(Link(f"peer:{a}:{b}", "peer", ports.take(), target, b % zone_count, b))
    for k, port in enumerate(place.servers):
        place.links.append(Link(f"try:{k}", "try", ports.take(), at(port), k % zone_count, k))
    return place

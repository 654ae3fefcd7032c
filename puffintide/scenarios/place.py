"""Where everything of a day listens: ports picked free, the relay's beside the real ones."""

from __future__ import annotations

import json
import socket
from dataclasses import asdict, dataclass, field
from itertools import permutations
from pathlib import Path

from puffintide.config.loader import Config
from puffintide.scenarios.tap import Link

FIRST_PORT, LAST_PORT = 20000, 32000  # below the ports that the system deals to those who dial


class PortError(Exception):
    """No port is free."""


class Ports:
    """Deals ports that nobody listens on, from a start that differs between runs."""

    def __init__(self, start: int) -> None:
        self.next = FIRST_PORT + start % (LAST_PORT - FIRST_PORT)
        self.dealt: set[int] = set()

    def take(self) -> int:
        for _ in range(LAST_PORT - FIRST_PORT):
            port, self.next = self.next, self.next + 1
            if self.next >= LAST_PORT:
                self.next = FIRST_PORT
            if port in self.dealt:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            self.dealt.add(port)
            return port
        raise PortError(f"no free port from {FIRST_PORT} to {LAST_PORT}")


def at(port: int) -> str:
    return f"127.0.0.1:{port}"


@dataclass
class Place:
    """Real ports of the parties, and the relay's links in front of them."""

    store: int
    news: int  # the list of servers
    assigners: list[int]
    servers: list[int]
    fronts: list[int]
    links: list[Link] = field(default_factory=list)

    def tapped(self, name: str) -> str:
        """The address by which others reach a party."""
        return at(next(link.port for link in self.links if link.name == name))

    def peers(self, me: int) -> list[str]:
        """The addresses by which an assigner reaches the others: through the relay."""
        ways = {link.name: at(link.port) for link in self.links}
        return [ways.get(f"peer:{me}:{k}", at(port)) for k, port in enumerate(self.assigners)]

    def save(self, path: Path) -> None:
        path.write_text(json.dumps(asdict(self)), encoding="utf-8")

    @staticmethod
    def read(path: Path) -> Place:
        row = json.loads(path.read_text(encoding="utf-8"))
        row["links"] = [Link(**link) for link in row["links"]]
        return Place(**row)


def lay(config: Config, start: int) -> Place:
    """Ports for a day's configuration. start: where to look first. Raises PortError."""
    ports = Ports(start)
    d, fleet = config.deployment, config.fleet
    assert fleet is not None
    zones = len(d.zones)
    place = Place(
        store=ports.take(),
        news=ports.take(),
        assigners=[ports.take() for _ in range(d.assigners)],
        servers=[ports.take() for _ in range(fleet.servers + fleet.spare)],
        fronts=[ports.take() for _ in range(d.proxies)],
    )
    place.links.append(Link("store", "store", ports.take(), at(place.store)))
    place.links.append(Link("list", "list", ports.take(), at(place.news)))
    for k, port in enumerate(place.assigners):
        place.links.append(Link(f"order:{k}", "order", ports.take(), at(port), k % zones, k))
    if config.peers is not None:  # two ways for each pair: either may dial
        for a, b in permutations(range(d.assigners), 2):
            target = at(place.assigners[b])
            place.links.append(Link(f"peer:{a}:{b}", "peer", ports.take(), target, b % zones, b))
    for k, port in enumerate(place.servers):
        place.links.append(Link(f"try:{k}", "try", ports.take(), at(port), k % zones, k))
    return place

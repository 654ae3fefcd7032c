"""The operator's hand: one question or order to the store or an assigner, and its answer."""

from __future__ import annotations

import getpass
from typing import Any

from puffintide.config.loader import Config
from puffintide.protocol import messages as m
from puffintide.protocol.client import StreamClient
from puffintide.protocol.clock import monotonic_reactor
from puffintide.protocol.messages import AnyMessage
from puffintide.protocol.stream import Stream
from puffintide.replication.replica import Replica
from puffintide.tls.context import Contexts

LONGEST_S = 5.0


class HandError(Exception):
    """No answer, or a refusal; the text says which."""


def ask(
    config: Config,
    wanted: list[tuple[str, m.Message]],
    tls: Contexts | None = None,
    copies: dict[int, list[m.ReplicationDelta]] | None = None,
) -> list[AnyMessage | str]:
    """Sends each message to its address. An answer for each, or the reason why there is none; pieces of copies by
    the place of their question."""
    assert config.operator is not None
    copies = {} if copies is None else copies
    reactor: Any = monotonic_reactor()
    found: dict[int, AnyMessage | str] = {}
    read: list[m.SliceOwnership] = []
    pieces: dict[int, list[m.ReplicationDelta]] = {}
    hello = m.Hello(m.PROTOCOL_VERSION, "operator", config.operator.id, 0, config.deployment.name)

    def took(number: int, answer: AnyMessage | str) -> None:
        found.setdefault(number, answer)
        if len(found) == len(wanted):
            reactor.callLater(0, reactor.stop)

    def one(number: int, address: str, message: m.Message) -> StreamClient:
        def heard(stream: Stream, answer: AnyMessage) -> None:
            if isinstance(answer, m.Welcome):
                stream.send(message)
            elif isinstance(answer, m.SliceOwnerships):
                read.extend(answer.ownerships)
            elif isinstance(answer, m.ReadComplete):
                took(number, m.SliceOwnerships(list(read)))
            elif isinstance(answer, m.ReplicationDelta):
                pieces.setdefault(number, []).append(answer)
            elif isinstance(answer, m.VersionDigest):
                copies[number] = pieces.get(number, [])
                took(number, answer)
            elif isinstance(answer, m.ZoneCommands | m.ZoneStatusReport | m.CommandCompleted):
                took(number, answer)
            elif isinstance(answer, m.ConnectionRejected):
                took(number, answer.reason)

        return StreamClient(
            reactor,
            address,
            lambda: hello,
            heard,
            lambda why: took(number, why or "unreachable"),
            reconnect=False,
            tls=tls,
        )

    diallers = [one(k, address, message) for k, (address, message) in enumerate(wanted)]
    for dialler in diallers:
        reactor.callWhenRunning(dialler.start)
    reactor.callLater(LONGEST_S, reactor.stop)
    reactor.run()
    return [found.get(k, f"no answer within {LONGEST_S:g} s") for k in range(len(wanted))]


def order(config: Config, zone: str, what: str, pace: float, tls: Contexts | None = None) -> m.ZoneCommands:
    """Orders a zone drained, held or returned; gives what now stands. Raises HandError."""
    assert config.operator is not None
    if zone not in config.deployment.zones:
        raise HandError(f"zone {zone!r} is unknown; allowed: {', '.join(config.deployment.zones)}")
    hand = m.ZoneCommand(config.deployment.zones.index(zone), what, pace, getpass.getuser())
    answer = ask(config, [(config.operator.store, hand)], tls)[0]
    if not isinstance(answer, m.ZoneCommands):
        raise HandError(f"store {config.operator.store}: {answer}")
    return answer


def to_store(config: Config, message: m.Message, tls: Contexts | None = None) -> str:
    """An order to the store; what it said. Raises HandError."""
    assert config.operator is not None
    answer = ask(config, [(config.operator.store, message)], tls)[0]
    if isinstance(answer, m.CommandCompleted):
        return answer.note
    if not isinstance(answer, m.ZoneCommands):
        raise HandError(f"store {config.operator.store}: {answer}")
    return ""


def charges(config: Config, tls: Contexts | None = None) -> list[m.SliceOwnership]:
    """Tables and charge as the store has kept them. Raises HandError."""
    assert config.operator is not None
    answer = ask(config, [(config.operator.store, m.ReadRequest())], tls)[0]
    if not isinstance(answer, m.SliceOwnerships):
        raise HandError(f"store {config.operator.store}: {answer}")
    return answer.ownerships


def copies(config: Config, tls: Contexts | None = None) -> dict[str, Replica | str]:
    """What each assigner holds, by address; a text where it did not tell."""
    assert config.operator is not None
    addresses, pieces = config.operator.assigners, dict[int, list[m.ReplicationDelta]]()
    answers = ask(config, [(address, m.ReplicaRequest()) for address in addresses], tls, pieces)
    found: dict[str, Replica | str] = {}
    for k, (address, answer) in enumerate(zip(addresses, answers, strict=True)):
        replica = Replica(-1, 0, config.deployment.assigners)
        for piece in pieces.get(k, []):
            replica.apply(0.0, piece)
        found[address] = replica if isinstance(answer, m.VersionDigest) else str(answer)
    return found


def show(config: Config, tls: Contexts | None = None) -> dict[str, m.ZoneStatusReport | str]:
    """How each assigner judges the zones, by address; a text where it did not tell."""
    assert config.operator is not None
    addresses = config.operator.assigners
    answers = ask(config, [(address, m.ZoneStatusRequest()) for address in addresses], tls)
    return {
        address: answer if isinstance(answer, m.ZoneStatusReport) else str(answer)
        for address, answer in zip(addresses, answers, strict=True)
    }

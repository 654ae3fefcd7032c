"""The store on sockets: assigners write, proxies read and are told of changes of charge."""

from __future__ import annotations

from typing import Any

from puffintide.store.book import Book, Change
from puffintide.wire.codec import encode
from puffintide.wire.messages import (
    CHARGES_MOST,
    VERSION,
    AnyMessage,
    Charge,
    Charges,
    Hand,
    Hands,
    Hello,
    Message,
    Read,
    ReadEnd,
    Refused,
    Taken,
    Welcome,
    Write,
)
from puffintide.wire.session import Greeting
from puffintide.wire.stream import Acceptor, Stream

DUE_S = 0.1  # how often charge is looked over


class StoreService:
    def __init__(self, reactor: Any, book: Book, deployment: str, log: Any, zones: int = 1) -> None:
        self.reactor, self.book, self.deployment, self.log = reactor, book, deployment, log
        self.assigners: dict[int, Stream] = {}
        self.proxies: set[Stream] = set()
        self.hands: dict[int, Hand] = {}  # by zone
        self.zones = zones
        self.hand_number = 0

    def factory(self) -> Acceptor:
        def me() -> Welcome:
            return Welcome(VERSION, "store", 0)

        return Acceptor(self.reactor, me, self._message, self._lost, self._judge)

    def start(self) -> None:
        self._apply(self.book.due(self.reactor.seconds()))
        self.reactor.callLater(DUE_S, self.start)

    def _judge(self, hello: Greeting) -> str | None:
        if hello.role not in ("assigner", "proxy", "operator"):
            return f"role {hello.role!r} is not served by the store"
        if isinstance(hello, Hello) and hello.deployment != self.deployment:
            return f"deployment {hello.deployment!r} is not {self.deployment!r}, which this store holds"
        if hello.role == "assigner" and not 0 <= hello.id < self.book.assigners:
            return f"assigner {hello.id} is not among the {self.book.assigners} of this deployment"
        return None

    def _message(self, stream: Stream, message: AnyMessage) -> None:
        match message:
            case Hello(role="assigner"):
                self._joined(stream, message)
            case Hello(role="proxy"):
                stream.tag = ("proxy", message.id)
                self.proxies.add(stream)
            case Hello():
                stream.tag = ("operator", message.id)
            case Hand() if stream.tag and stream.tag[0] == "operator":
                self._hand(stream, message)
            case Read():
                for line in self._lines([self.book.charge(n) for n in sorted(self.book.slices)]):
                    stream.send_line(line)
                stream.send(ReadEnd(len(self.book.slices)))
            case Write() if stream.tag and stream.tag[0] == "assigner":
                refused = self.book.write(stream.tag[1], message.lines, message.clear, message.batch)
                for number, reason in sorted(refused.items()):
                    stream.send(Refused(message.batch, number, reason))
                    self.log.warning("write_refused", assigner=stream.tag[1], slice=number, reason=reason)
            case _:
                stream.refuse(f"a {type(message).__name__} is not for the store")

    def _joined(self, stream: Stream, hello: Hello) -> None:
        old = self.assigners.get(hello.id)
        if old is not None:
            old.abort("its assigner dialled anew")
        stream.tag = ("assigner", hello.id)
        self.assigners[hello.id] = stream
        now = self.reactor.seconds()
        self.log.info("assigner_joined", assigner=hello.id, life=hello.start)
        self._apply(self.book.joined(now, hello.id))
        if self.hands:
            stream.send(Hands([self.hands[z] for z in sorted(self.hands)]))

    def _hand(self, stream: Stream, hand: Hand) -> None:
        if not 0 <= hand.zone < self.zones or hand.what not in ("drain", "hold", "return"):
            stream.refuse(
                f"{hand.what!r} of zone {hand.zone}: there are {self.zones} zones; drain, hold or return"
            )
            return
        if not 0.1 <= hand.pace <= 10:
            stream.refuse(f"pace {hand.pace:g} is not from 0.1 to 10")
            return
        self.hand_number += 1
        kept = Hand(hand.zone, hand.what, hand.pace, hand.by[:100], self.hand_number)
        self.hands[hand.zone] = kept
        self.log.warning(
            "hand", zone=kept.zone, what=kept.what, pace=kept.pace, by=kept.by, number=kept.number
        )
        told = Hands([self.hands[z] for z in sorted(self.hands)])
        for assigner in sorted(self.assigners):
            self.assigners[assigner].send(told)
        stream.send(told)

    def _lost(self, stream: Stream, why: AnyMessage) -> None:
        self.proxies.discard(stream)
        if stream.tag and stream.tag[0] == "assigner" and self.assigners.get(stream.tag[1]) is stream:
            del self.assigners[stream.tag[1]]
            self.book.left(self.reactor.seconds(), stream.tag[1])
            self.log.warning("assigner_left", assigner=stream.tag[1], reason=stream.reason)

    def _apply(self, changes: list[Change]) -> None:
        """What one event changed goes out as one message to each party, encoded once for all proxies."""
        given: dict[int, list[Charge]] = {}
        for change in changes:
            charge = self.book.charge(change.slice)
            if change.old != change.new:
                self._send(change.old, Taken(change.slice, charge.token))
            given.setdefault(change.new, []).append(charge)
        for assigner, charges in sorted(given.items()):
            self.log.info("charge", assigner=assigner, slices=[c.slice for c in charges])
            for line in self._lines(charges):
                if assigner in self.assigners:
                    self.assigners[assigner].send_line(line)
                for proxy in sorted(self.proxies, key=lambda s: str(s.tag)):
                    proxy.send_line(line)

    @staticmethod
    def _lines(charges: list[Charge]) -> list[bytes]:
        return [
            encode(Charges(charges[first : first + CHARGES_MOST]))
            for first in range(0, len(charges), CHARGES_MOST)
        ]

    def _send(self, assigner: int, message: Message) -> None:
        stream = self.assigners.get(assigner)
        if stream is not None:
            stream.send(message)

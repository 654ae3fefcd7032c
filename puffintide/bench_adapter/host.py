"""Hosts the instances of the decision module: one Director each; nothing passes between them."""

from __future__ import annotations

import traceback

from puffintide.bench_adapter.action_encoder import encode_action, encode_fault, encode_reply
from puffintide.bench_adapter.errors import BenchProtocolError
from puffintide.bench_adapter.event_decoder import EventDecoder, Exit, Hello
from puffintide.decisions.director import Director
from puffintide.decisions.events import Event
from puffintide.decisions.settings import SettingsError, parse_settings


class Host:
    """Feeds batches of events to the instances, and collects their actions."""

    def __init__(self) -> None:
        self.decoder = EventDecoder()
        self.directors: dict[int, Director] = {}  # by instance

    def answer(self, now_s: float, body: bytes) -> bytes:
        """The reply to one batch.

        Raises:
            BenchProtocolError: The batch is malformed, or is for an instance that was not started.
            SettingsError: The settings of an instance are invalid.
        """
        records: list[bytes] = []
        for instance, events in sorted(self._events_by_instance(body).items()):
            records += self._run(instance, now_s, events)
        return encode_reply(records)

    def _events_by_instance(self, body: bytes) -> dict[int, list[Event]]:
        """Start and end instances as the batch says. Returns the events of those that run."""
        batches: dict[int, list[Event]] = {}
        for instance, event in self.decoder.events(body):
            if isinstance(event, Hello):
                self._start(instance, event)
                batches[instance] = []
            elif isinstance(event, Exit):
                self.directors.pop(instance, None)
                batches.pop(instance, None)
            elif instance in self.directors:
                batches.setdefault(instance, []).append(event)
            else:
                name = type(event).__name__
                raise BenchProtocolError(f"{name} for instance {instance}, which has had no hello")
        return batches

    def _start(self, instance: int, hello: Hello) -> None:
        try:
            settings = parse_settings(hello.settings, hello.seed)
        except SettingsError as error:
            raise SettingsError(f"hello of instance {instance}: {error}") from error
        self.directors[instance] = Director(settings)

    def _run(self, instance: int, now_s: float, events: list[Event]) -> list[bytes]:
        """The actions of an instance; a failure within the decision module is reported, not hidden."""
        try:
            actions = self.directors[instance].handle(now_s, events)
            return [encode_action(instance, action) for action in actions]
        except Exception as error:
            frames = traceback.extract_tb(error.__traceback__)
            place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else "?"
            return [encode_fault(instance, f"{type(error).__name__} in {place}: {error}")]

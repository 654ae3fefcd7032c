"""Host of the instances of the decision module: one Director each, without communication between them."""

from __future__ import annotations

import traceback

from puffintide.bench_adapter.action_encoder import encode_action, encode_fault, encode_reply
from puffintide.bench_adapter.errors import BenchProtocolError
from puffintide.bench_adapter.event_decoder import EventDecoder, Exit, Hello
from puffintide.decisions.director import Director
from puffintide.decisions.events import Event
from puffintide.decisions.settings import SettingsError, parse_settings


class Host:
    """Passes batches of events to the instances and collects their actions.

    Attributes:
        decoder: Decodes the batches.
        directors: Directors of the running instances, by instance number.
    """

    def __init__(self) -> None:
        self.decoder = EventDecoder()
        self.directors: dict[int, Director] = {}

    def handle_batch(self, now_s: float, body: bytes) -> bytes:
        """Process a batch and return the reply.

        Args:
            now_s: Time of the batch in seconds.
            body: The bytes that follow the time of the batch.

        Raises:
            BenchProtocolError: The batch is malformed, or refers to an instance that is not running.
            SettingsError: The settings of an instance are invalid.
        """
        records: list[bytes] = []
        for instance, events in sorted(self._events_by_instance(body).items()):
            records += self._run_director(instance, now_s, events)
        return encode_reply(records)

    def _events_by_instance(self, body: bytes) -> dict[int, list[Event]]:
        """Start and stop instances as the batch requires, and return the events of the running ones."""
        events_by_instance: dict[int, list[Event]] = {}
        for instance, event in self.decoder.decode_batch(body):
            if isinstance(event, Hello):
                self._start_instance(instance, event)
                events_by_instance[instance] = []
            elif isinstance(event, Exit):
                self.directors.pop(instance, None)
                events_by_instance.pop(instance, None)
            elif instance in self.directors:
                events_by_instance.setdefault(instance, []).append(event)
            else:
                name = type(event).__name__
                raise BenchProtocolError(
                    f"cannot handle {name} for instance {instance}: the instance is not running"
                )
        return events_by_instance

    def _start_instance(self, instance: int, hello: Hello) -> None:
        """Start an instance with the settings of its hello, in place of a running one of the same number."""
        try:
            settings = parse_settings(hello.settings, hello.seed)
        except SettingsError as error:
            raise SettingsError(f"cannot start instance {instance}: {error}") from error
        self.directors[instance] = Director(settings)

    def _run_director(self, instance: int, now_s: float, events: list[Event]) -> list[bytes]:
        """Run an instance on a batch of events and return its actions as records.

        An exception in the decision module is returned to the bench as a fault record.
        """
        try:
            actions = self.directors[instance].handle(now_s, events)
            return [encode_action(instance, action) for action in actions]
        except Exception as error:
            frames = traceback.extract_tb(error.__traceback__)
            location = f"{frames[-1].name}:{frames[-1].lineno}" if frames else "?"
            return [encode_fault(instance, f"{type(error).__name__} in {location}: {error}")]

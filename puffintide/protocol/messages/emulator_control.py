"""Messages by which a scenario controls emulators, and the result of a command."""

from __future__ import annotations

from msgspec import field

from puffintide.protocol.messages.base import Message


class EmulatorCommand(Message, tag="control", frozen=True, rename={"operation": "what", "arguments": "args"}):
    """Makes an emulator or a recording proxy inject a fault; the names are those of the scenario's faults."""

    operation: str
    arguments: dict[str, float | int | str | list[int]] = field(default_factory=dict)


class CommandCompleted(Message, tag="done", frozen=True):
    """A command has been carried out."""

    note: str = ""  # for the person who gave the command

"""Messages with which a scenario controls emulators, and the reply to a completed command."""

from __future__ import annotations

from msgspec import field

from puffintide.protocol.messages.base import Message


class EmulatorCommand(Message, tag="control", frozen=True, rename={"operation": "what", "arguments": "args"}):
    """Command to an emulator or a recording proxy to inject a fault; operations are named as in scenarios."""

    operation: str
    arguments: dict[str, float | int | str | list[int]] = field(default_factory=dict)


class CommandCompleted(Message, tag="done", frozen=True):
    """Reply that a command has been completed."""

    note: str = ""  # Text for the operator who issued the command.

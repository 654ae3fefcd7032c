"""Errors of the platform's assigner."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of the errors of this package."""


class ConfigError(PlatformError):
    """The configuration is unusable; the text names the key and the value."""


class UnknownServerError(PlatformError):
    """An order is for a server that has no host name."""


class InvalidMessageError(PlatformError):
    """A message has impossible values; the messages before and after it on the same connection are good."""


class StreamError(PlatformError):
    """A connection delivered what can't be read, and is of no further use."""


class LineTooLongError(StreamError):
    """A line exceeds the limit of its connection."""


class MalformedResponseError(StreamError):
    """What was received is no HTTP response, or one whose body exceeds its limit."""


class MalformedMessageError(StreamError):
    """A line is no message at all."""

"""Exceptions raised by the platform's assigner."""

from __future__ import annotations


class PlatformError(Exception):
    """Base class of the exceptions of this package."""


class ConfigError(PlatformError):
    """Raised for an invalid configuration. The message names the key and the value."""


class UnknownServerError(PlatformError):
    """Raised for an order that refers to a server without a registered host name."""


class InvalidMessageError(PlatformError):
    """Raised for a message with invalid values. Other messages on the same connection remain usable."""


class StreamError(PlatformError):
    """Raised for unreadable data on a connection, which must then be closed."""


class MalformedResponseError(StreamError):
    """Raised for data that is not an HTTP response, or for a response body that exceeds its limit."""


class MalformedMessageError(StreamError):
    """Raised for a line that is not JSON."""

"""Exceptions of the proxy package."""

from __future__ import annotations


class ProxyError(Exception):
    """Base class of the proxy's exceptions."""

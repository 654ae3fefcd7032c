"""Temporary ejection of servers with consecutive failed attempts. This module does no I/O."""

from __future__ import annotations

from collections.abc import Container

from puffintide.proxy.load_balancing import NO_SERVERS

MAX_UNLISTED_SERVERS = 64  # Failure counts kept beyond twice the number of listed servers.


class OutlierDetector:
    """Counts the consecutive failures of each server and ejects failing servers.

    Args:
        ejection_failures: The number of consecutive failures that eject a server; 0 disables ejection.
        ejection_s: The duration of an ejection in seconds.
    """

    def __init__(self, ejection_failures: int, ejection_s: float) -> None:
        self.ejection_failures = ejection_failures
        self.ejection_s = ejection_s
        self.consecutive_failures: dict[int, int] = {}  # Keyed by server id.
        self.ejected_until_s: dict[int, float] = {}  # Keyed by server id.

    def record_success(self, server_id: int) -> None:
        """Reset the consecutive failures of a server that answered successfully."""
        self.consecutive_failures.pop(server_id, None)

    def record_failure(self, now_s: float, server_id: int, listed_servers: dict[int, str]) -> None:
        """Count a failed attempt, and eject the server if it has reached the limit.

        Args:
            now_s: The current time in seconds.
            server_id: The server at which the attempt failed.
            listed_servers: The servers with a known address. Failure counts of other servers are dropped
                once there are too many.
        """
        if not self.ejection_failures:
            return
        failures = self.consecutive_failures.get(server_id, 0) + 1
        self.consecutive_failures[server_id] = failures
        if len(self.consecutive_failures) > 2 * len(listed_servers) + MAX_UNLISTED_SERVERS:
            self._evict_unlisted_servers(listed_servers)
        if failures >= self.ejection_failures:
            self.ejected_until_s[server_id] = now_s + self.ejection_s

    def _evict_unlisted_servers(self, listed_servers: Container[int]) -> None:
        listed_failures = {
            server_id: n for server_id, n in self.consecutive_failures.items() if server_id in listed_servers
        }
        self.consecutive_failures = listed_failures

    def ejected(self, now_s: float) -> frozenset[int]:
        """Return the servers that are ejected now."""
        if not self.ejected_until_s:
            return NO_SERVERS
        self.ejected_until_s = {
            server_id: until_s for server_id, until_s in self.ejected_until_s.items() if until_s > now_s
        }
        return frozenset(self.ejected_until_s)

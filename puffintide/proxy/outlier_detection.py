"""Outlier detection: servers whose attempts failed several times in a row are ejected for a while. No I/O."""

from __future__ import annotations

from collections.abc import Container

from puffintide.proxy.load_balancing import NO_SERVERS

MAX_FORGOTTEN_SERVERS = 64  # counts of servers that are in no table any more


class OutlierDetector:
    """Counts consecutive failures by server.

    Args:
        ejection_failures: Failures in a row after which a server is ejected; 0: never.
        ejection_s: For how long.
    """

    def __init__(self, ejection_failures: int, ejection_s: float) -> None:
        self.ejection_failures = ejection_failures
        self.ejection_s = ejection_s
        self.consecutive_failures: dict[int, int] = {}  # by server
        self.ejected_until_s: dict[int, float] = {}  # by server

    def record_success(self, server_id: int) -> None:
        """An attempt was answered successfully."""
        self.consecutive_failures.pop(server_id, None)

    def record_failure(self, now_s: float, server_id: int, known_servers: dict[int, str]) -> None:
        """An attempt failed.

        Args:
            now_s: The current time.
            server_id: Where it failed.
            known_servers: Those in a table; counts of others are dropped once there are too many.
        """
        if not self.ejection_failures:
            return
        failures = self.consecutive_failures.get(server_id, 0) + 1
        self.consecutive_failures[server_id] = failures
        if len(self.consecutive_failures) > 2 * len(known_servers) + MAX_FORGOTTEN_SERVERS:
            self._forget_others(known_servers)
        if failures >= self.ejection_failures:
            self.ejected_until_s[server_id] = now_s + self.ejection_s

    def _forget_others(self, known_servers: Container[int]) -> None:
        known = {
            server_id: n for server_id, n in self.consecutive_failures.items() if server_id in known_servers
        }
        self.consecutive_failures = known

    def ejected(self, now_s: float) -> frozenset[int]:
        """The servers that are ejected now."""
        if not self.ejected_until_s:
            return NO_SERVERS
        self.ejected_until_s = {
            server_id: until_s for server_id, until_s in self.ejected_until_s.items() if until_s > now_s
        }
        return frozenset(self.ejected_until_s)

"""The rules, one module each. The `check` function of a module adds to the report of an AuditContext."""

from __future__ import annotations

from puffintide.audit.rules import (
    available_servers,
    channel_capacity,
    duplicate_execution,
    graceful_draining,
    replica_agreement,
    single_owner,
    slow_start,
)

CHECKS = (
    available_servers.check,
    graceful_draining.check,
    duplicate_execution.check,
    slow_start.check,
    channel_capacity.check,
    single_owner.check,
    replica_agreement.check,
)

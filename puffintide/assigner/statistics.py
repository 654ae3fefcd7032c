"""Statistics of an assigner process for its log."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from puffintide.assigner.decision_loop import DecisionLoop
from puffintide.assigner.proxy_updates import ProxyUpdateSender
from puffintide.replication.peer_sessions import PeerSessions

SECONDS_DECIMALS = 3
KIB_PER_PAGE = 4
# Memory of this process in pages: the first number is the total size, the second one the resident size.
PROCESS_MEMORY = Path("/proc/self/statm")


def assigner_statistics(
    loop: DecisionLoop, proxy_updates: ProxyUpdateSender, peer_sessions: PeerSessions | None
) -> dict[str, Any]:
    """Return the fields of the log event "stats"."""
    channel = proxy_updates.channel
    cpu_times = os.times()
    statistics: dict[str, Any] = {
        "cpu_s": round(cpu_times.user + cpu_times.system, SECONDS_DECIMALS),
        "module_cpu_s": round(loop.module_cpu_s, SECONDS_DECIMALS),
        "rounds": loop.round_count,
        "decisions": loop.decision_count,
        "proxies": len(proxy_updates.streams),
        "slices": len(loop.runtime.fencing_tokens),
        "queued_entries": round(channel.queued_entries()),
        "max_queued_entries": round(channel.max_queued_entries),
        "messages": channel.messages_sent,
        "max_messages_per_window": channel.max_messages_per_window,
        "max_checkpoint_delay_s": round(proxy_updates.max_checkpoint_delay_s, SECONDS_DECIMALS),
        "rss_kb": resident_memory_kib(),
    }
    if peer_sessions is not None:
        statistics["replication"] = peer_sessions.counters()
    return statistics


def resident_memory_kib() -> int:
    """Return the resident memory of this process, in KiB."""
    return int(PROCESS_MEMORY.read_text(encoding="ascii").split()[1]) * KIB_PER_PAGE

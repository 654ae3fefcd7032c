"""Proxies that were cut off while tasks were let back in keep them shut out, and are left without a line."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin2"))
from stand import Platform, make_settings, play, trouble

ZONE_LOST_S = 9.0  # BRIEF, lisboa-main 2.6: 8.9 to 21 s.
NOTICE_S = 1.2  # Site file: discovery's notice_s is 1.1 to 4.8.
CUT_OFF_S = 7.0  # BRIEF, porto-norte: up to 51% of the relays reach no assigner for 6.2 to 18 s.
CUT_OFF_PART = 0.4
WATCHED_S = 45.0


async def script(platform: Platform) -> None:
    """Play the events of the case."""
    await asyncio.sleep(10.0)
    lost = [task for task in platform.tasks.values() if task.zone == "lis-b"]
    for task in lost:
        platform.stop_task(task)
    await asyncio.sleep(NOTICE_S)
    platform.list_change(*lost, health="left")
    await asyncio.sleep(ZONE_LOST_S - NOTICE_S - 1.0)
    cut_off = platform.proxies[: int(len(platform.proxies) * CUT_OFF_PART)]
    if trouble():
        platform.leave(cut_off)
    await asyncio.sleep(1.0)
    for task in lost:
        await platform.start_task(task)
    platform.list_change(*lost, health="active", born_ms=int(time.time() * 1000))
    await asyncio.sleep(CUT_OFF_S - 1.0)
    if trouble():
        platform.join(cut_off)
    await asyncio.sleep(WATCHED_S)


def broken(platform: Platform) -> list[str]:
    """Return what broke the rule."""
    count = len(platform.unserved_breaks)
    if not count:
        return []
    proxies = len({proxy for proxy, _ in platform.unserved_breaks})
    return [f"nobody left without a server: broken for {count} pairs of proxy and slice ({proxies} proxies)"]


if __name__ == "__main__":
    settings = make_settings()
    stand = Platform(
        Path(__file__).resolve().parent,
        task_count=30,
        proxy_count=150,
        slice_count=170,
        requests_per_s=260.0,
        settings=settings,
    )
    sys.exit(play(stand, script, broken))

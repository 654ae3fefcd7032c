"""Case: the fleet shrinks; urgent messages use up the window, and later drains are held back."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from common import main
from shared_platform import Platform

GRACE_S = 2.0  # The site's drain_grace_ms; the page has "2 s or more".
TASKS = 60  # The page expects 57 to 77.
DRAINED = 36  # To 40%; the page has 34 to 77%.
WITHIN_S = 9.2  # The page has 9.2 to 22 s.
LINE_S = 0.35  # Discovery gathers changes for 340 ms or more.
UNTIL_GONE_S = 4.5
QUIET_S = 5.0


async def play(trouble: bool) -> int:
    """Let tasks drain within some seconds, a few with each line of the list; without the trouble only one."""
    platform = Platform(
        Path(__file__).parent, GRACE_S, tasks=TASKS, proxies=16, slices=5 * TASKS, rate_per_proxy=15.0
    )
    try:
        await platform.start()
        await platform.wait_for_quiet(QUIET_S, 30.0)
        tasks = list(platform.tasks.values())[: DRAINED if trouble else 1]
        lines = round(WITHIN_S / LINE_S)
        for line in range(lines):
            first, last = (len(tasks) * k // lines for k in (line, line + 1))
            if last > first:
                platform.drain(tasks[first:last], UNTIL_GONE_S)
            await asyncio.sleep(WITHIN_S / lines)
        await asyncio.sleep(12.0)
        return platform.verdict()
    finally:
        await platform.stop()


main(play)

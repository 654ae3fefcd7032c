"""Case: the relay breaks calls for 2 s; drains told after that are held back for seconds."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from common import main
from shared_platform import Platform

GRACE_S = 3.6  # `stopSendingWithinS` in the example of the wire's page.
QUIET_S = 10.0  # The trouble begins when no call was made for this long.
MOST_WAIT_S = 45.0
TROUBLE_S = 2.0  # The page names 6 s.
UNTIL_GONE_S = 5.0  # From draining to the end of the task's process.
AFTER_S = 14.0


async def play(trouble: bool) -> int:
    """Let one task drain while the relay breaks calls, and one after the relay is well again."""
    platform = Platform(Path(__file__).parent, GRACE_S, tasks=12, proxies=8, slices=60, rate_per_proxy=20.0)
    try:
        await platform.start()
        await platform.wait_for_quiet(QUIET_S, MOST_WAIT_S)
        tasks = list(platform.tasks.values())
        begin_s = platform.record.now_s()
        if trouble:
            platform.record.write("trouble", what="the relay resets each call after its last byte")
            platform.break_call = lambda: platform.record.now_s() < begin_s + TROUBLE_S
        platform.drain([tasks[3]], UNTIL_GONE_S)
        await asyncio.sleep(TROUBLE_S + 0.5)
        platform.record.write("trouble_over")
        platform.drain([tasks[6]], UNTIL_GONE_S)
        await asyncio.sleep(AFTER_S)
        return platform.verdict()
    finally:
        await platform.stop()


main(play)

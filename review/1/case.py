"""Case: an assigner is cut off from the relay for 6 s; slices are left without a task for good."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))

from common import main
from two_assigners import TwoAssigners

GRACE_S = 3.6  # `stopSendingWithinS` in the example of the wire's page.
UNSERVED_S = 6.3  # `unservedMaxS` there, and 300 ms.
TAKEOVER_S = 2.6  # The page has 1.9 to 3.3 s.
CUT_S = 6.0
DRAIN_AFTER_S = 0.5  # From the end of the cut.
LIMITS_WAIT_S = 4.0  # From the end of the cut.
CALM_S = 12.0
CUT_AFTER_S = 0.35  # From a sign of life, so that all runs have the same timing.
AFTER_S = 25.0
UNTIL_GONE_S = 5.0


async def play(trouble: bool) -> int:
    """Cut the first of two assigners off from the relay; after that one task drains."""
    platform = TwoAssigners(
        Path(__file__).parent,
        GRACE_S,
        tasks=16,
        proxies=8,
        slices=80,
        rate_per_proxy=20.0,
        takeover_s=TAKEOVER_S,
        unserved_s=UNSERVED_S,
    )
    try:
        await platform.start()
        await asyncio.sleep(CALM_S)
        await platform.wait_for_sign_of_life(CUT_AFTER_S)
        platform.limits_from_s = platform.record.now_s() + CUT_S + LIMITS_WAIT_S
        if trouble:
            platform.spawn(platform.cut_off(CUT_S))
        await asyncio.sleep(CUT_S + DRAIN_AFTER_S)
        platform.drain(list(platform.tasks.values())[:1], UNTIL_GONE_S)
        await asyncio.sleep(AFTER_S)
        return platform.verdict()
    finally:
        await platform.stop()


main(play)

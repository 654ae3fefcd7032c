"""One spoilt line of a collector ends an assigner's decisions for good: later drains are not ordered."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin2"))
from stand import Platform, make_settings, play, trouble

SPOILT_WINDOW_MS = sys.float_info.min  # The field `window`, out of range: a usual one is 500 to 2,000 ms.
CALM_S = 10.0
TO_DRAIN_S = 5.0
ENDS_AFTER_S = 2.9  # LATER: "listed as draining, dead 0.36 to 2.9 s later".
WATCHED_S = 12.0


async def script(platform: Platform) -> None:
    """Play the events of the case."""
    await asyncio.sleep(CALM_S)
    if trouble():
        platform.send_report(msg="heat", partition=3, kind="status", n=5, bad=0, window=SPOILT_WINDOW_MS)
    await asyncio.sleep(TO_DRAIN_S)
    await platform.drain(*list(platform.tasks.values())[1:3], ends_after_s=ENDS_AFTER_S)
    await asyncio.sleep(WATCHED_S)


def broken(platform: Platform) -> list[str]:
    """Return what broke the rule."""
    if not platform.late_sends:
        return []
    worst = max(last for _, last, _ in platform.bad_sends.values())
    return [f"drains kept: broken by {platform.late_sends} requests, up to {worst:.1f} s after being told"]


if __name__ == "__main__":
    stand = Platform(
        Path(__file__).resolve().parent,
        task_count=14,
        proxy_count=8,
        slice_count=80,
        requests_per_s=130.0,
        settings=make_settings(),
    )
    sys.exit(play(stand, script, broken))

"""Clock port on the system's boot-time clock."""

import asyncio
import time


class SystemClock:
    """Clock that also counts the time during which the VM was suspended."""

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time."""
        await asyncio.sleep(seconds)

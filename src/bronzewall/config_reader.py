"""Polls the store for the availability zone."""

import asyncio
import random
from collections.abc import Callable

import attrs

from bronzewall.config_feed import ConfigFeed
from bronzewall.errors import SnapshotError, StoreError
from bronzewall.freshness import Freshness
from bronzewall.ports import Clock

POLL_INTERVAL_S = 0.3
# A slower answer is still used, but the zone counts as without a store
# until it arrives.
_SLOW_S = 0.4
_POLL_TIMEOUT_S = 5.0
_MAX_OPEN_POLLS = 4
# A VM that heard of no poll for this long polls by itself, less often the
# longer the store is silent.
_ALONE_AGE_S = 0.9
_ALONE_INTERVAL_S = 0.8
_MAX_ALONE_INTERVAL_S = 5.0


@attrs.define(kw_only=True, eq=False)
class ConfigReader:
    """Asks the store for the newest generation.

    :param zone: own availability zone.
    :param is_reader: whether this VM polls for its zone.
    :param on_polled: called after each answer or failure.
    """

    clock: Clock
    random: random.Random
    feed: ConfigFeed
    freshness: Freshness
    zone: str
    is_reader: Callable[[], bool]
    on_polled: Callable[[], None]
    stale_rows: int = 0
    failures: int = 0
    _alone_interval: float = _ALONE_INTERVAL_S
    _alone_at: float = 0
    _polls: set['asyncio.Task[None]'] = attrs.field(factory=set)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if self.is_reader() or self._is_alone():
                await self.poll()
            await self.clock.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """End the polls that are open."""
        for task in tuple(self._polls):
            task.cancel()
        await asyncio.gather(*self._polls, return_exceptions=True)

    async def poll(self) -> None:
        """Ask once; go on without the answer if it takes long."""
        sent = self.clock.now()
        if len(self._polls) < _MAX_OPEN_POLLS:
            task = asyncio.create_task(self._ask(sent))
            self._polls.add(task)
            task.add_done_callback(self._polls.discard)
            done, _ = await asyncio.wait({task}, timeout=_SLOW_S)
            if done:
                return
        self._note_silent(sent)

    def _is_alone(self) -> bool:
        """Return whether it is time for a poll though not a reader."""
        now = self.clock.now()
        heard = min(self.freshness.age(), self.freshness.silent_age(self.zone))
        if heard <= _ALONE_AGE_S:
            self._alone_interval = _ALONE_INTERVAL_S
            return False
        if now < self._alone_at:
            return False
        spread = 0.5 + self.random.random()
        self._alone_at = now + self._alone_interval * spread
        self._alone_interval = min(
            self._alone_interval * 2, _MAX_ALONE_INTERVAL_S
        )
        return True

    async def _ask(self, sent: float) -> None:
        generation_before = self.feed.generation
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_S):
                generation = await self.feed.poll()
        except (StoreError, TimeoutError):
            self._note_silent(sent)
            return
        except SnapshotError:
            self.failures += 1
            return
        if generation < generation_before:
            # An old copy of the row confirms nothing.
            self.stale_rows += 1
            return
        self.freshness.confirm(at=sent, generation=generation)
        self.on_polled()

    def _note_silent(self, sent: float) -> None:
        self.failures += 1
        self.freshness.note_silent(zone=self.zone, at=sent)
        self.on_polled()

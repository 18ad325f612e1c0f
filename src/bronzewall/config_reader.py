"""Polls the store on behalf of an availability zone."""

import asyncio
import random
from collections.abc import Callable

import attrs

from bronzewall.config_feed import ConfigFeed
from bronzewall.errors import SnapshotError, StoreError
from bronzewall.freshness import Freshness
from bronzewall.ports import Clock

POLL_INTERVAL_S = 0.3
# A slower answer is still used; until it arrives, the store counts as not
# answering in this zone.
_SLOW_ANSWER_S = 0.4
_POLL_TIMEOUT_S = 5.0
_MAX_OPEN_POLLS = 4
# A VM that has received no result of a poll for this long polls by itself.
# Its interval doubles while the store does not answer.
_FALLBACK_AGE_S = 0.9
_FALLBACK_INTERVAL_S = 0.8
_MAX_FALLBACK_INTERVAL_S = 5.0


@attrs.define(kw_only=True, eq=False)
class ConfigReader:
    """Polls the store for the newest generation.

    :param zone: own availability zone.
    :param is_reader: returns whether this VM polls for its zone.
    :param on_polled: called after each poll whose result was recorded.
    :param stale_rows: answers with an older generation than the own.
    :param failures: answers that were late, missing or unusable; a poll
        whose answer is late and then fails counts twice.
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
    _fallback_interval: float = _FALLBACK_INTERVAL_S
    _next_fallback_at: float = 0
    _polls: set['asyncio.Task[None]'] = attrs.field(factory=set)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if self.is_reader() or self._is_fallback_due():
                await self.poll()
            await self.clock.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Cancel the polls that have no answer yet."""
        for task in tuple(self._polls):
            task.cancel()
        await asyncio.gather(*self._polls, return_exceptions=True)

    async def poll(self) -> None:
        """Send one poll; return before its answer if that is slow."""
        sent_at = self.clock.now()
        if len(self._polls) < _MAX_OPEN_POLLS:
            task = asyncio.create_task(self._poll_store(sent_at))
            self._polls.add(task)
            task.add_done_callback(self._polls.discard)
            done, _ = await asyncio.wait({task}, timeout=_SLOW_ANSWER_S)
            if done:
                return
        self._record_no_answer(sent_at)

    def _is_fallback_due(self) -> bool:
        """Return whether a VM that is not a reader should poll now."""
        now = self.clock.now()
        last_contact_age = min(
            self.freshness.age(), self.freshness.no_answer_age(self.zone)
        )
        if last_contact_age <= _FALLBACK_AGE_S:
            self._fallback_interval = _FALLBACK_INTERVAL_S
            return False
        if now < self._next_fallback_at:
            return False
        jitter = 0.5 + self.random.random()
        self._next_fallback_at = now + self._fallback_interval * jitter
        self._fallback_interval = min(
            self._fallback_interval * 2, _MAX_FALLBACK_INTERVAL_S
        )
        return True

    async def _poll_store(self, sent_at: float) -> None:
        generation_before = self.feed.generation
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_S):
                generation = await self.feed.poll()
        except (StoreError, TimeoutError):
            self._record_no_answer(sent_at)
            return
        except SnapshotError:
            self.failures += 1
            return
        if generation < generation_before:
            # An old copy of the row does not confirm the own generation.
            self.stale_rows += 1
            return
        self.freshness.confirm(at=sent_at, generation=generation)
        self.on_polled()

    def _record_no_answer(self, sent_at: float) -> None:
        self.failures += 1
        self.freshness.record_no_answer(zone=self.zone, at=sent_at)
        self.on_polled()

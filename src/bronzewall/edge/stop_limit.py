"""Ends waits that would last beyond the end of a planned stop."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

import attrs

from bronzewall.edge.exchange import EdgeExchange
from bronzewall.ports import Clock
from bronzewall.problems import Reason, RefusalError

# Retry-After of requests that a stopping VM refuses, seconds. Any other VM can
# take them.
_RETRY_AFTER_S = 0.1


@attrs.define(kw_only=True, eq=False)
class StopLimit:
    """Limits how long requests wait in a VM that stops.

    What an instance runs is waited for until the end of the stop. Requests
    that no instance runs are refused while they can still be answered,
    wherever they wait.

    :param ends_at: clock time at which the requests in progress are cut off;
        infinite before a stop.
    :param last_arrival: requests whose last byte came after this clock time
        are taken only if their deadline is before the end.
    """

    clock: Clock
    ends_at: float = math.inf
    last_arrival: float = math.inf
    _last_starts: dict[asyncio.Timeout, tuple[EdgeExchange, float]] = (
        attrs.field(factory=dict)
    )

    def begin(self, *, notice: float, limit: float) -> None:
        """Start the stop; requests that wait already are limited too.

        :param notice: seconds until the balancer sends no more requests.
        :param limit: seconds until the requests in progress are cut off.
        """
        now = self.clock.now()
        self.last_arrival = now + notice
        self.ends_at = now + limit
        for timeout, (exchange, needed) in self._last_starts.items():
            self._limit(timeout, exchange, needed)

    def check_arrival(self, exchange: EdgeExchange) -> None:
        """Check that the end of the stop cannot cut off a late request.

        :raises RefusalError: it could.
        """
        is_late = exchange.received_at > self.last_arrival
        if is_late and exchange.deadline > self.ends_at:
            raise self._refusal(exchange)

    @contextlib.asynccontextmanager
    async def waiting(
        self, exchange: EdgeExchange, *, needed: float = 0
    ) -> AsyncIterator[None]:
        """Limit a wait of a request that no instance runs.

        :param needed: seconds that an instance is expected to need.
        :raises RefusalError: the end of the stop leaves no time for it.
        """
        if self.clock.now() >= self._last_start(exchange, needed):
            raise self._refusal(exchange)
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._last_starts[timeout] = (exchange, needed)
                self._limit(timeout, exchange, needed)
                yield
        except TimeoutError:
            if not timeout.expired():
                raise
            raise self._refusal(exchange) from None
        finally:
            self._last_starts.pop(timeout, None)

    def _last_start(self, exchange: EdgeExchange, needed: float) -> float:
        """Return the clock time by which an instance must have a request.

        The stop does not cut off a request whose deadline is before its end.
        """
        if exchange.deadline <= self.ends_at:
            return self.ends_at
        return self.ends_at - needed

    def _limit(
        self, timeout: asyncio.Timeout, exchange: EdgeExchange, needed: float
    ) -> None:
        last_start = self._last_start(exchange, needed)
        if last_start < math.inf:
            left = last_start - self.clock.now()
            timeout.reschedule(asyncio.get_running_loop().time() + left)

    def _refusal(self, exchange: EdgeExchange) -> RefusalError:
        left = self.ends_at - self.clock.now()
        return exchange.refusal(
            Reason.STOPPING,
            detail=f'this VM stops in {left:.2f} s',
            retry_after=_RETRY_AFTER_S,
        )

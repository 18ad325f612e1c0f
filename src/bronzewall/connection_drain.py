"""Ends the connections of callers in a planned stop."""

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import structlog

from bronzewall.ports import Clock

# Time between two looks at the connections, seconds.
_LOOK_INTERVAL_S = 0.05
_LOG = structlog.get_logger()


class DrainedEntry(Protocol):
    """Port to the server whose connections are ended."""

    def connections(self) -> Sequence[object]:
        """Return the open connections."""

    def close_idle(self) -> int:
        """Close connections without a request; return their number."""

    def has_unsent_answers(self) -> bool:
        """Return whether answers are still to be sent."""

    async def stop_listening(self) -> None:
        """Accept no further connection; all accepted ones are known then."""


@attrs.define(kw_only=True, eq=False)
class ConnectionDrain:
    """Ends connections so that no request is read and left unanswered.

    Requests can arrive between any look at the requests in progress and the end
    of the process. The stop is therefore complete only when no connection is
    left and none can be accepted.

    :param count_requests: returns the number of requests in progress.
    :param notice: seconds until the load balancer has noticed the stop.
    :param limit: seconds after which the rest is cut off.
    :param is_forced: returns whether to wait no longer.
    """

    clock: Clock
    entry: DrainedEntry
    count_requests: Callable[[], int]
    notice: float
    limit: float
    is_forced: Callable[[], bool] = bool

    async def run(self) -> bool:
        """Return whether all connections ended within the limit."""
        started = self.clock.now()
        is_listening = True
        while not self.is_forced() and self.clock.now() < started + self.limit:
            if self.clock.now() >= started + self.notice:
                self._close_idle()
                if is_listening and not self._is_busy():
                    await self.entry.stop_listening()
                    is_listening = False
                if not is_listening and not self.entry.connections():
                    return True
            await self.clock.sleep(_LOOK_INTERVAL_S)
        return not self.entry.connections()

    def _is_busy(self) -> bool:
        return bool(self.count_requests()) or self.entry.has_unsent_answers()

    def _close_idle(self) -> None:
        closed = self.entry.close_idle()
        if closed:
            _LOG.info('idle_connections_closed', connections=closed)

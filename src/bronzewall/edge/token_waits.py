"""Requests that wait for a token of their account."""

from collections import Counter, deque
from collections.abc import Callable

import attrs
import structlog

from bronzewall.edge.model import EdgeAccount
from bronzewall.edge.rate_limits import Admission
from bronzewall.errors import RateExceededError
from bronzewall.ports import Clock

# Longest wait, seconds: two statuses of the leader (0.25 s each), in which
# tokens of another zone arrive.
_MAX_WAIT_S = 0.5
# The same without contact to a leader, which brings the zone's tokens: after a
# start or the loss of a leader, VMs follow one within this time.
_MAX_WAIT_ALONE_S = 1.5
_MAX_WAIT_FRACTION_ALONE = 0.6
# Fraction of the time left that a request may wait; the rest is for the
# instance.
_MAX_WAIT_FRACTION = 0.25
# Time between two attempts, seconds; statuses come at most every 0.05 s.
_POLL_S = 0.02
# Most requests of one account, and of all, that wait on this VM. An account
# far over its rate is refused at once beyond that.
_MAX_WAITING = 8
_MAX_WAITING_TOTAL = 200
# Time after a wait without a token in which no further request of the account
# waits, seconds: it asks for more than its rate, and a wait would only delay
# refusals and the requests that do get a token.
_PAUSE_S = 2.0
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class TokenWaits:
    """Admits requests in the order of their arrival, account by account.

    :param on_short: called when a request finds no token, so that the leader
        hears of the demand.
    :param events: counters by name.
    """

    clock: Clock
    admission: Admission
    on_short: Callable[[], None]
    events: Counter[str]
    _queues_by_id: dict[str, deque[object]] = attrs.field(factory=dict)
    _refused_at_by_id: dict[str, float] = attrs.field(factory=dict)
    _waiting: int = 0

    async def admit(self, account: EdgeAccount, *, deadline: float) -> None:
        """Consume one token, once one is there.

        :param deadline: clock time by which the answer is due.
        :raises RateExceededError: no token came in time, or too many wait.
        """
        self.admission.count(account)
        now = self.clock.now()
        queue = self._queues_by_id.get(account.account_id)
        if queue is None:
            if self._is_admitted(account, now):
                return
            self.on_short()
        wait = self._longest_wait(deadline - now, now)
        if wait <= 0 or self._is_full(queue) or self._is_paused(account, now):
            self.events['token_wait_full'] += 1
            # A token that comes now belongs to the requests that wait.
            raise self.admission.refusal(account, now=now)
        await self._wait(account, ends_at=now + wait)

    def _is_full(self, queue: deque[object] | None) -> bool:
        waiting = 0 if queue is None else len(queue)
        return waiting >= _MAX_WAITING or self._waiting >= _MAX_WAITING_TOTAL

    def _longest_wait(self, remaining: float, now: float) -> float:
        """Return the seconds for which a request may wait.

        :param remaining: seconds until its deadline.
        """
        if self.admission.uses_zone_pool(now=now):
            return min(_MAX_WAIT_S, remaining * _MAX_WAIT_FRACTION)
        return min(_MAX_WAIT_ALONE_S, remaining * _MAX_WAIT_FRACTION_ALONE)

    def _is_paused(self, account: EdgeAccount, now: float) -> bool:
        refused_at = self._refused_at_by_id.get(account.account_id)
        if refused_at is None or now - refused_at < _PAUSE_S:
            return refused_at is not None
        del self._refused_at_by_id[account.account_id]
        return False

    async def _wait(self, account: EdgeAccount, *, ends_at: float) -> None:
        queue = self._queues_by_id.setdefault(account.account_id, deque())
        place = object()
        queue.append(place)
        self._waiting += 1
        began_at = self.clock.now()
        try:
            await self._take(account, queue, place, ends_at)
        except RateExceededError:
            self.events['token_wait_refused'] += 1
            now = self.clock.now()
            if self.admission.uses_zone_pool(now=now):
                self._refused_at_by_id[account.account_id] = now
            raise
        finally:
            self._waiting -= 1
            queue.remove(place)
            if not queue:
                self._queues_by_id.pop(account.account_id, None)
        self.events['token_wait_served'] += 1
        _LOG.info(
            'token_waited',
            account=account.account_id,
            seconds=round(self.clock.now() - began_at, 3),
        )

    async def _take(
        self,
        account: EdgeAccount,
        queue: deque[object],
        place: object,
        ends_at: float,
    ) -> None:
        """Try again and again once no other request is before this one.

        :raises RateExceededError: no token came in time.
        """
        while True:
            await self.clock.sleep(_POLL_S)
            now = self.clock.now()
            if now >= ends_at:
                self.admission.admit(account, now=now)
                return
            if queue[0] is place and self._is_admitted(account, now):
                return

    def _is_admitted(self, account: EdgeAccount, now: float) -> bool:
        try:
            self.admission.admit(account, now=now)
        except RateExceededError:
            return False
        return True

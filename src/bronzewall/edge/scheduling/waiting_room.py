"""Requests that wait for room at the instances of one service."""

import attrs

from bronzewall.edge.scheduling.fair_use import FairUse
from bronzewall.edge.scheduling.order import in_order
from bronzewall.edge.scheduling.pace import Pace
from bronzewall.edge.scheduling.return_times import ReturnTimes
from bronzewall.edge.scheduling.waiting_request import WaitingRequest

# Requests that wait on one VM for one service. Their bodies are within the
# VM's budget of body bytes; this bounds the time that ordering them takes.
MAX_WAITING = 256
# Fraction of the time between two sent requests below which the time between
# two arrivals means overload; both vary by about a tenth.
OVERLOAD_FRACTION = 0.9


@attrs.define(kw_only=True, eq=False)
class WaitingRoom:
    """Waiting requests of one service, and the pace at which they are sent.

    :param turn: number of requests that were sent.
    :param sent: pace at which requests are sent while others wait.
    :param arrived: pace at which callers send requests.
    """

    requests: list[WaitingRequest] = attrs.field(factory=list)
    fair_use: FairUse = attrs.field(factory=FairUse)
    returns: ReturnTimes = attrs.field(factory=ReturnTimes)
    turn: int = 0
    sent: Pace = attrs.field(factory=Pace)
    arrived: Pace = attrs.field(factory=Pace)

    def join(
        self, item: WaitingRequest, *, now: float
    ) -> WaitingRequest | None:
        """Add a request.

        :return: the request that has to leave because the room is full; it
            may be the new one.
        """
        self.requests.append(item)
        if item.is_first:
            self.arrived.count(now=now)
        if len(self.requests) <= MAX_WAITING:
            return None
        last = in_order(self.requests, fair_use=self.fair_use, now=now)[-1]
        self.leave(last)
        return last

    def leave(self, item: WaitingRequest) -> None:
        """Remove a request, if it still waits."""
        if item in self.requests:
            self.requests.remove(item)
        if not self.requests:
            # Without waiting requests the pace is that of the arrivals.
            self.sent.pause()

    def record_sent(self, item: WaitingRequest, *, now: float) -> None:
        """Count a request that is sent, whether it has waited or not."""
        self.turn += 1
        self.fair_use.charge(
            item.account_id,
            work=item.profile.expected_time,
            weight=item.weight,
        )
        if self.requests:
            self.sent.count(now=now)

    def is_overloaded(self, *, now: float) -> bool:
        """Return whether more requests come than are sent."""
        arrived, sent = self.arrived.gap(now=now), self.sent.gap(now=now)
        if arrived is None or sent is None:
            return False
        return arrived < sent * OVERLOAD_FRACTION

    def backlog(self, *, gap: float) -> float:
        """Return the expected seconds until all waiting requests are sent.

        :param gap: expected seconds between two requests that are sent.
        """
        return len(self.requests) * gap

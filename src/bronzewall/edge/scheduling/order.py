"""Order in which waiting requests are sent."""

from collections.abc import Iterable, Sequence

from bronzewall.edge.scheduling.fair_use import FairUse
from bronzewall.edge.scheduling.waiting_request import WaitingRequest

# One request in this many is taken from the least urgent rank, so that no kind
# of request starves while more urgent ones keep coming.
TURNS_PER_LEAST_URGENT = 8


def in_order(
    waiting: Iterable[WaitingRequest], *, fair_use: FairUse, now: float
) -> list[WaitingRequest]:
    """Return requests in the order in which they should be sent.

    The most urgent rank goes first. Within a rank, requests that can still be
    answered within their target latency precede those that cannot; then the
    accounts with the least use of their share; then the earliest end of the
    time in which sending still helps.

    :param now: clock time in seconds.
    """

    def place(item: WaitingRequest) -> tuple[float, bool, float, float]:
        is_late = now > item.in_time_until
        return (
            item.rank,
            is_late,
            fair_use.start_tag(item.account_id),
            item.expires_at if is_late else item.in_time_until,
        )

    return sorted(waiting, key=place)


def next_request(
    ordered: Sequence[WaitingRequest], *, turn: int
) -> WaitingRequest:
    """Return the request to send next.

    :param ordered: requests in their order, at least one.
    :param turn: number of requests that were sent before.
    """
    first, last = ordered[0], ordered[-1]
    if turn % TURNS_PER_LEAST_URGENT or first.rank == last.rank:
        return first
    least_urgent = (item for item in ordered if item.rank == last.rank)
    return min(least_urgent, key=lambda item: item.arrived)


def hopeless(
    ordered: Iterable[WaitingRequest],
    *,
    gap: float,
    is_overloaded: bool,
    now: float,
) -> list[WaitingRequest]:
    """Return the requests whose turn comes too late.

    While more requests come than are sent, those that would be late never get
    their turn: the ones behind them can still be answered in time.

    :param ordered: requests in their order.
    :param gap: expected seconds between two requests that are sent.
    :param is_overloaded: more requests come than are sent.
    """
    found: list[WaitingRequest] = []
    ahead = 0
    for item in ordered:
        turn_at = now + ahead * gap if ahead else now
        ends_at = item.in_time_until if is_overloaded else item.expires_at
        if turn_at >= ends_at:
            found.append(item)
        else:
            ahead += 1
    return found

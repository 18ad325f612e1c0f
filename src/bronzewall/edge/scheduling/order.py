"""Order in which waiting requests are sent."""

from collections.abc import Iterable, Sequence

from bronzewall.edge.scheduling.fair_use import FairUse
from bronzewall.edge.scheduling.waiting_request import WaitingRequest

# One request in this many is taken from the ranks below the most urgent one, so
# that no kind of request starves while more urgent ones keep coming.
TURNS_PER_LESS_URGENT = 8


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
    first = ordered[0]
    less_urgent = [item for item in ordered if item.rank > first.rank]
    if turn % TURNS_PER_LESS_URGENT or not less_urgent:
        return first
    return min(less_urgent, key=lambda item: item.arrived)


def hopeless(
    ordered: Sequence[WaitingRequest],
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
    less_urgent = 0
    first_rank = min((item.rank for item in ordered), default=0)
    for item in ordered:
        turns = ahead
        if item.rank > first_rank:
            turns = min(ahead, TURNS_PER_LESS_URGENT * (less_urgent + 1))
        if now + turns * gap >= _ends_at(item, is_overloaded=is_overloaded):
            found.append(item)
            continue
        ahead += 1
        less_urgent += item.rank > first_rank
    return found


def _ends_at(item: WaitingRequest, *, is_overloaded: bool) -> float:
    """Return the clock time from which sending a request no longer helps.

    A request that could not be in time when it came may be late.
    """
    if is_overloaded and item.in_time_until > item.arrived:
        return min(item.in_time_until, item.expires_at)
    return item.expires_at

"""Tests of the order of waiting requests."""

from scheduling_builders import a_waiting_request

from bronzewall.edge.scheduling.fair_use import FairUse
from bronzewall.edge.scheduling.order import (
    TURNS_PER_LESS_URGENT,
    hopeless,
    in_order,
    next_request,
)

FIRST_TURN = 1


def first_of(*waiting, fair_use=None, now=0, turn=FIRST_TURN):
    ordered = in_order(waiting, fair_use=fair_use or FairUse(), now=now)
    return next_request(ordered, turn=turn)


async def test_more_urgent_rank_goes_first() -> None:
    # Failure: purchases are refused while browsing is served.
    urgent = a_waiting_request(rank=0, in_time_until=0.9)
    other = a_waiting_request(rank=2, in_time_until=0.1)
    assert first_of(other, urgent) is urgent


async def test_late_requests_do_not_make_others_late() -> None:
    # Failure: in a standing queue served by age, every answer misses its
    # target latency although half of them could meet it.
    late = a_waiting_request(in_time_until=0.4, expires_at=0.9)
    in_time = a_waiting_request(in_time_until=0.8)
    assert first_of(late, in_time, now=0.3) is late
    assert first_of(late, in_time, now=0.5) is in_time


async def test_account_that_floods_waits_behind_the_others() -> None:
    # Failure: one account sends many times its usual and takes all room.
    fair_use = FairUse()
    for _ in range(5):
        fair_use.charge('flood', work=0.2, weight=1)
    flood = a_waiting_request('flood', in_time_until=0.1)
    small = a_waiting_request('small', in_time_until=0.8)
    assert first_of(flood, small, fair_use=fair_use) is small


async def test_within_an_account_the_earliest_end_goes_first() -> None:
    soon = a_waiting_request(in_time_until=0.3)
    later = a_waiting_request(in_time_until=0.7)
    assert first_of(later, soon) is soon


async def test_least_urgent_rank_does_not_starve() -> None:
    # Failure: while urgent requests keep coming, other kinds get nothing.
    urgent = a_waiting_request(rank=0)
    older = a_waiting_request(rank=2, arrived=0.1, in_time_until=0.9)
    newer = a_waiting_request(rank=2, arrived=0.2, in_time_until=0.3)
    chosen = [
        first_of(urgent, newer, older, turn=turn)
        for turn in range(TURNS_PER_LESS_URGENT)
    ]
    assert chosen.count(older) == 1
    assert chosen.count(urgent) == TURNS_PER_LESS_URGENT - 1


async def test_requests_whose_turn_comes_too_late_are_hopeless() -> None:
    # Failure: requests wait until their deadline although their turn is known
    # to come after it.
    items = [a_waiting_request(expires_at=0.25) for _ in range(4)]
    assert hopeless(items, gap=0.1, is_overloaded=False, now=0) == items[3:]


async def test_hopeless_requests_do_not_delay_those_behind_them() -> None:
    expired = a_waiting_request(expires_at=0)
    behind = a_waiting_request(expires_at=0.05)
    assert hopeless([expired, behind], gap=0.1, is_overloaded=False, now=0) == [
        expired
    ]


async def test_late_requests_are_hopeless_only_under_overload() -> None:
    # Failure: late requests are held until their deadline although newer ones
    # take all room, or are refused although the backlog is about to end.
    items = [a_waiting_request(in_time_until=0.25) for _ in range(4)]
    found = {
        is_overloaded: hopeless(
            items, gap=0.1, is_overloaded=is_overloaded, now=0
        )
        for is_overloaded in (False, True)
    }
    assert found == {False: [], True: items[3:]}


async def test_middle_ranks_do_not_starve() -> None:
    # Failure: of three ranks only the least urgent one gets turns beside the
    # most urgent one.
    urgent = a_waiting_request(rank=0)
    middle = a_waiting_request(rank=1, arrived=0.1)
    least = a_waiting_request(rank=2, arrived=0.2)
    assert first_of(urgent, middle, least, turn=0) is middle


async def test_deadline_holds_under_overload() -> None:
    # Failure: under overload a request is held beyond its deadline where its
    # target latency ends later.
    item = a_waiting_request(in_time_until=1.8, expires_at=0.9)
    assert hopeless([item], gap=0.1, is_overloaded=True, now=1) == [item]


async def test_less_urgent_requests_are_not_hopeless_before_their_turn() -> (
    None
):
    # Failure: urgent requests that wait make all others hopeless, although one
    # turn in eight is theirs.
    urgent = [a_waiting_request(rank=0) for _ in range(40)]
    other = a_waiting_request(rank=2, in_time_until=1.5)
    items = [*urgent, other]
    found = hopeless(items, gap=0.1, is_overloaded=False, now=0)
    assert other not in found


async def test_request_that_cannot_be_in_time_may_be_late() -> None:
    item = a_waiting_request(in_time_until=-0.1)
    assert not hopeless([item], gap=0.1, is_overloaded=True, now=0)

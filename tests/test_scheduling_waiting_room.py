"""Tests of the requests that wait for one service."""

import pytest
from scheduling_builders import a_waiting_request

from bronzewall.edge.scheduling.waiting_room import MAX_WAITING, WaitingRoom


async def test_full_room_gives_up_the_last_in_order() -> None:
    # Failure: urgent requests are refused because less urgent ones fill the
    # room, or the room grows without bound.
    room = WaitingRoom()
    least = a_waiting_request(rank=3)
    room.join(least, now=0)
    for _ in range(MAX_WAITING - 1):
        assert room.join(a_waiting_request(rank=1), now=0) is None
    assert room.join(a_waiting_request(rank=0), now=0) is least
    assert len(room.requests) == MAX_WAITING


async def test_newcomer_of_least_urgency_finds_no_place() -> None:
    room = WaitingRoom()
    for _ in range(MAX_WAITING):
        room.join(a_waiting_request(rank=1), now=0)
    newcomer = a_waiting_request(rank=2)
    assert room.join(newcomer, now=0) is newcomer


async def test_pace_counts_only_while_requests_wait() -> None:
    room = WaitingRoom()
    for number in range(10):
        item = a_waiting_request()
        room.join(item, now=number)
        room.leave(item)
        room.record_sent(item, now=number)
    assert room.sent.gap(now=9) is None
    items = [a_waiting_request() for _ in range(4)]
    for item in items:
        room.join(item, now=10)
    for number, item in enumerate(items[:3]):
        room.leave(item)
        room.record_sent(item, now=10 + number * 0.1)
    assert room.sent.gap(now=10.2) == pytest.approx(0.1)
    assert room.backlog(gap=0.1) == pytest.approx(0.1)

"""Tests of how the ends of two watches are spread."""

import heapq

import pytest

from bronzewall.edge.watch_schedule import WatchSchedule


@pytest.mark.parametrize('offset', [0, 0.01, 0.3, 0.6, 0.9, 1.1])
def test_the_store_is_heard_twice_in_a_period(offset: float) -> None:
    schedule = WatchSchedule(period=1.2)
    starts = [(float(0), 'one'), (offset, 'other')]
    ends = []
    while starts[0][0] < 20:
        now, name = heapq.heappop(starts)
        schedule.stop(name)
        end = now + schedule.start(name, now=now)
        ends.append(end)
        heapq.heappush(starts, (end, name))
    ends.sort()
    gaps = [
        later - earlier
        for earlier, later in zip(ends, ends[1:], strict=False)
        if earlier > 3
    ]
    assert max(gaps) < 0.65
    assert len(gaps) < 40

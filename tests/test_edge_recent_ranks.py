"""Tests of the queue time allowed beside more urgent requests."""

from bronzewall.edge.recent_ranks import RecentRanks
from bronzewall.types import ServiceName

_DRAFTS = ServiceName('drafts')
_INTAKE = ServiceName('intake')


def test_only_rank_may_queue_for_its_whole_time() -> None:
    # Capacity must not be reserved for more urgent requests that do not arrive.
    recent_ranks = RecentRanks()
    recent_ranks.record(_DRAFTS, 5, now=1)
    recent_ranks.record(_INTAKE, 0, now=1)
    assert recent_ranks.queue_fraction(_DRAFTS, 5, now=1) == 1


def test_each_more_urgent_rank_reduces_the_queue_time() -> None:
    # Requests of a middle rank must not wait behind the least urgent ones.
    recent_ranks = RecentRanks()
    for rank in (0, 1, 2):
        recent_ranks.record(_DRAFTS, rank, now=1)
    fractions = [
        recent_ranks.queue_fraction(_DRAFTS, rank, now=1) for rank in (0, 1, 2)
    ]
    assert fractions[0] == 1
    assert fractions == sorted(fractions, reverse=True)
    assert len(set(fractions)) == 3
    assert fractions[-1] > 0


def test_ranks_without_recent_requests_do_not_count() -> None:
    # Once no urgent requests arrive, the others may queue for their whole time.
    recent_ranks = RecentRanks()
    recent_ranks.record(_DRAFTS, 0, now=1)
    assert recent_ranks.queue_fraction(_DRAFTS, 1, now=2) < 1
    assert recent_ranks.queue_fraction(_DRAFTS, 1, now=60) == 1

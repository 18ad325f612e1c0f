"""Tests of how long requests may queue beside more urgent ones."""

from bronzewall.edge.recent_ranks import RecentRanks
from bronzewall.types import ServiceName

_DRAFTS = ServiceName('drafts')
_INTAKE = ServiceName('intake')


def test_only_rank_may_use_its_whole_time() -> None:
    # A low rank alone must not be refused for the sake of nobody.
    recent_ranks = RecentRanks()
    recent_ranks.record(_DRAFTS, 5, now=1)
    recent_ranks.record(_INTAKE, 0, now=1)
    assert recent_ranks.queue_fraction(_DRAFTS, 5, now=1) == 1


def test_each_more_urgent_rank_leaves_less_time() -> None:
    # Ranks in the middle must not wait behind the least urgent.
    recent_ranks = RecentRanks()
    for rank in (0, 1, 2):
        recent_ranks.record(_DRAFTS, rank, now=1)
    parts = [
        recent_ranks.queue_fraction(_DRAFTS, rank, now=1) for rank in (0, 1, 2)
    ]
    assert parts[0] == 1
    assert parts == sorted(parts, reverse=True)
    assert len(set(parts)) == 3
    assert parts[-1] > 0


def test_ranks_that_do_not_come_any_more_are_forgotten() -> None:
    # After urgent requests have ended, the others may queue again.
    recent_ranks = RecentRanks()
    recent_ranks.record(_DRAFTS, 0, now=1)
    assert recent_ranks.queue_fraction(_DRAFTS, 1, now=2) < 1
    assert recent_ranks.queue_fraction(_DRAFTS, 1, now=60) == 1

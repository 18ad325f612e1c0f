"""Tests of telling a shedding service from rejecting instances."""

import random

from bronzewall.edge.scheduling.shedding import Shedding


def play(shedding, *, rejects, count=40, start=0, seed=1):
    """Send requests to 12 instances in turn, 20 a second."""
    rng = random.Random(seed)
    now = start
    for number in range(count):
        name = f'i-{number % 12}'
        shedding.record(
            'drafts',
            name,
            is_rejected=rng.random() < rejects(name),
            now=now,
        )
        now += 0.05
    return now


def test_all_instances_reject_half() -> None:
    # Pattern: all instances of a service reject half of what comes; none of
    # them is worse than the others.
    for seed in range(10):
        shedding = Shedding()
        now = play(shedding, rejects=lambda _name: 0.55, seed=seed)
        assert shedding.is_general('drafts', now=now)


def test_two_of_twelve_reject_everything() -> None:
    # Pattern: two sick instances reject all; the others are better.
    shedding = Shedding()
    sick = ('i-3', 'i-7')
    now = play(shedding, rejects=lambda name: name in sick)
    assert not shedding.is_general('drafts', now=now)


def test_shedding_ends_when_answers_return() -> None:
    shedding = Shedding()
    now = play(shedding, rejects=lambda _name: 0.55)
    now = play(shedding, rejects=lambda _name: 0, start=now, count=60)
    assert not shedding.is_general('drafts', now=now)


def test_shedding_ends_without_requests() -> None:
    shedding = Shedding()
    now = play(shedding, rejects=lambda _name: 1)
    assert not shedding.is_general('drafts', now=now + 10)


def test_service_without_outcomes_does_not_shed() -> None:
    assert not Shedding().is_general('drafts', now=0)

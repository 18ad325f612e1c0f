"""Tests of what the latest outcomes tell about a service."""

import random

from bronzewall.edge.scheduling.service_outcomes import (
    Outcome,
    ServiceOutcomes,
)


def play(outcomes, *, share, bad=Outcome.REJECTED, count=40, start=0, seed=1):
    """Send requests to 12 instances in turn, 20 a second."""
    rng = random.Random(seed)
    now = start
    for number in range(count):
        name = f'i-{number % 12}'
        outcomes.record(
            'drafts',
            name,
            bad if rng.random() < share(name) else Outcome.ANSWERED,
            now=now,
        )
        now += 0.05
    return now


def test_all_instances_reject_half() -> None:
    # Pattern: all instances of a service reject half of what comes; none of
    # them is worse than the others.
    for seed in range(10):
        outcomes = ServiceOutcomes()
        now = play(outcomes, share=lambda _name: 0.55, seed=seed)
        assert outcomes.is_shedding('drafts', now=now)


def test_two_of_twelve_reject_everything() -> None:
    # Pattern: two sick instances reject all; the others are better.
    outcomes = ServiceOutcomes()
    sick = ('i-3', 'i-7')
    now = play(outcomes, share=lambda name: name in sick)
    assert not outcomes.is_shedding('drafts', now=now)


def test_shedding_ends_when_answers_return() -> None:
    outcomes = ServiceOutcomes()
    now = play(outcomes, share=lambda _name: 0.55)
    now = play(outcomes, share=lambda _name: 0, start=now, count=60)
    assert not outcomes.is_shedding('drafts', now=now)


def test_shedding_ends_without_requests() -> None:
    outcomes = ServiceOutcomes()
    now = play(outcomes, share=lambda _name: 1)
    assert not outcomes.is_shedding('drafts', now=now + 10)


def test_service_without_outcomes_does_not_shed() -> None:
    assert not ServiceOutcomes().is_shedding('drafts', now=0)


def test_failures_are_unserved_but_not_shedding() -> None:
    outcomes = ServiceOutcomes()
    now = play(outcomes, share=lambda _name: 0.5, bad=Outcome.FAILED)
    assert 0.25 <= outcomes.unserved_fraction('drafts', now=now) <= 0.75
    assert not outcomes.is_shedding('drafts', now=now)


def test_few_outcomes_tell_nothing() -> None:
    outcomes = ServiceOutcomes()
    now = play(outcomes, share=lambda _name: 1, bad=Outcome.FAILED, count=4)
    assert outcomes.unserved_fraction('drafts', now=now) == 0

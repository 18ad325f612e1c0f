"""Tests of the rule that decides whether a VM's keys are fresh."""

from typing import Any

import attrs
import pytest

from bronzewall.freshness import Freshness, StoreReport

_ZONES = ('a', 'b', 'c')


@attrs.define(kw_only=True)
class ManualClock:
    """Clock that tests advance."""

    at: float = 100
    wall_offset: float = 1e9

    def now(self) -> float:
        """Return the monotonic time."""
        return self.at

    def wall(self) -> float:
        """Return Unix time."""
        return self.at + self.wall_offset

    async def sleep(self, seconds: float) -> None:
        """Advance."""
        self.at += seconds


def _freshness(clock: ManualClock, generation: int = 5) -> Freshness:
    return Freshness(
        clock=clock, own_generation=lambda: generation, zones=lambda: _ZONES
    )


@pytest.mark.parametrize(
    ('confirmed', 'generation', 'silent', 'keys', 'may_serve'),
    [
        # No report yet.
        (None, 5, {}, 0, False),
        # Confirmed just now, and as long ago as allowed.
        (-0.1, 5, {}, 0, True),
        (-1.5, 5, {}, 0, True),
        (-1.6, 5, {}, 0, False),
        # The store has a generation that is not in force on this VM.
        (-0.1, 6, {}, 0, False),
        # An older generation was confirmed; keys withdrawn later are
        # known here, because the own generation is newer.
        (-0.1, 4, {}, 0, True),
        # The store did not answer: in all zones; in one zone too long ago;
        # without a report from one zone.
        (-60, 5, {'a': -1, 'b': -1, 'c': -1.4}, 0, True),
        (-60, 5, {'a': -1, 'b': -1, 'c': -1.6}, 0, False),
        (-60, 5, {'a': -1, 'b': -1}, 0, False),
        # A generation that is not in force here changed keys, then one that
        # is in force.
        (-60, 5, {'a': -1, 'b': -1, 'c': -1}, 6, False),
        (-60, 5, {'a': -1, 'b': -1, 'c': -1}, 5, True),
    ],
)
def test_serve_or_refuse(
    confirmed: Any,
    generation: int,
    silent: dict[str, float],
    keys: int,
    may_serve: bool,
) -> None:
    """Guards the rule of design.md 3.5."""
    clock = ManualClock()
    freshness = _freshness(clock)
    report = StoreReport(
        confirmed=confirmed,
        confirmed_generation=generation,
        keys_generation=keys,
        silent_by_zone=silent,
    )
    freshness.apply_report(report, sent_at=clock.now())
    assert freshness.may_serve_keyed() is may_serve


def test_delay_only_makes_the_confirmation_older() -> None:
    """Guards against a late ack whose times look too recent."""
    sender_clock, receiver_clock = ManualClock(at=7), ManualClock(at=1000)
    source, target = _freshness(sender_clock), _freshness(receiver_clock)
    sent = receiver_clock.now()
    # The heartbeat takes a second, the store confirms, the ack takes two.
    for clock in (sender_clock, receiver_clock):
        clock.at += 1
    received = sender_clock.now()
    source.confirm(at=sender_clock.now(), generation=5)
    report = source.report(received_at=received)
    receiver_clock.at += 2
    target.apply_report(report, sent_at=sent)
    assert target.age() == 3


def test_older_confirmation_changes_nothing() -> None:
    """Guards against duplicated and reordered acks."""
    clock = ManualClock()
    freshness = _freshness(clock)
    assert freshness.confirm(at=99.9, generation=5)
    for at in (99.9, 99.0):
        assert not freshness.confirm(at=at, generation=5)
    assert freshness.age() == pytest.approx(0.1)


def test_time_in_the_future_is_limited_to_now() -> None:
    """Guards against reports of a peer whose clock runs fast."""
    clock = ManualClock()
    freshness = _freshness(clock)
    freshness.apply_report(
        StoreReport(confirmed=50, silent_by_zone={'a': 50}), sent_at=100
    )
    clock.at += 2
    assert not freshness.may_serve_keyed()
    assert freshness.no_answer_age('a') == 2


def test_frozen_vm_refuses_until_confirmed_again() -> None:
    """Guards against stale keys that are used after a pause."""
    clock = ManualClock()
    freshness = _freshness(clock)
    freshness.confirm(at=clock.now(), generation=5)
    clock.at += 10
    assert not freshness.may_serve_keyed()
    freshness.confirm(at=clock.now(), generation=5)
    assert freshness.may_serve_keyed()


@pytest.mark.parametrize('jump', [3600, -3600])
def test_pause_that_the_clock_did_not_count(jump: float) -> None:
    """Guards against stale keys on a VM restored from a snapshot.

    Acks for heartbeats sent before the pause must be ignored too.
    """
    clock = ManualClock()
    freshness = _freshness(clock)
    freshness.confirm(at=clock.now(), generation=5)
    sent = clock.now()
    clock.at += 0.1
    clock.wall_offset += jump
    assert not freshness.may_serve_keyed()
    freshness.apply_report(
        StoreReport(confirmed=0, confirmed_generation=5), sent_at=sent
    )
    assert not freshness.may_serve_keyed()
    freshness.apply_report(
        StoreReport(confirmed=0, confirmed_generation=5), sent_at=clock.now()
    )
    assert freshness.may_serve_keyed()

"""Tests that requests that crash instances stay known."""

import asyncio

import pytest
from crashing_instances import CrashingInstances
from edge_builders import an_edge_instance
from edge_fleet import settled

from bronzewall.edge.crash_tracker import CRASH_INSTANCES, CrashTracker
from bronzewall.edge.zone_messages import BrokenRequest
from bronzewall.standins.virtual_time import run_virtual

# The users' bound on retries that reach instances later than this after the
# third crash, seconds.
_STABILITY_S = 3
_MOST_RETRIES = 3
_NAMES = ('a', 'b', 'c')


def _break(tracker: CrashTracker, number: int, now: float) -> None:
    item = BrokenRequest(fingerprint=b'x', instance_id=f'i-{number}')
    tracker.record((item,), now=now)


def _known_crasher() -> CrashTracker:
    tracker = CrashTracker()
    for number in range(CRASH_INSTANCES):
        _break(tracker, number, number)
    return tracker


@pytest.mark.parametrize('interval', [1, 7, 31, 60])
def test_request_that_comes_again_and_again(interval: int) -> None:
    """Guards against three more crashes after each refusal has ended."""
    tracker = _known_crasher()
    reached = 0
    for now in range(CRASH_INSTANCES, 2400, interval):
        if not tracker.is_refused(b'x', now=now):
            reached += 1
            _break(tracker, reached, now)
            assert tracker.is_refused(b'x', now=now)
    assert reached <= _MOST_RETRIES


def test_mended_request_is_found_by_one_attempt() -> None:
    """Guards against a refusal that a caller prolongs by insisting."""
    tracker = _known_crasher()
    for now in range(CRASH_INSTANCES, 32):
        assert tracker.is_refused(b'x', now=now)
    assert not tracker.is_refused(b'x', now=33)
    tracker.clear(b'x', now=33)
    _break(tracker, 9, 34)
    assert not tracker.is_refused(b'x', now=34)


def test_breaks_of_the_first_round_do_not_prolong_the_refusal() -> None:
    """Guards against attempts that were on their way when it began."""
    tracker = _known_crasher()
    for number in range(9):
        _break(tracker, number, CRASH_INSTANCES)
    assert not tracker.is_refused(b'x', now=33)


def test_knowledge_lasts_for_a_time_after_the_refusal() -> None:
    """Guards against three more crashes by a caller that pauses."""
    tracker = _known_crasher()
    _break(tracker, 9, 900)
    assert tracker.is_refused(b'x', now=1019)
    # The end of the second refusal, of 120 s, and of what is known after it.
    _break(tracker, 9, 1020 + 900)
    assert not tracker.is_refused(b'x', now=1921)


def test_known_requests_are_bounded() -> None:
    """Guards against memory and status messages that callers fill."""
    tracker = CrashTracker()
    for request in range(3000):
        tracker.record(
            [
                BrokenRequest(
                    fingerprint=request.to_bytes(2), instance_id=f'i-{number}'
                )
                for number in range(CRASH_INSTANCES)
            ],
            now=request / 1000,
        )
    assert len(tracker.refused(now=3)) == 500
    assert tracker.is_refused((2999).to_bytes(2), now=3)
    assert tracker.refused(now=2000) == []


@pytest.mark.parametrize('kills', [0, 1, 2])
def test_knowledge_survives_the_leaders_of_a_zone(kills: int) -> None:
    """Guards against knowledge that ends with the process that has it.

    The request comes each second for 75 s, at one VM after the other, while
    leaders are killed and started again.
    """

    async def main() -> None:
        fleet = await settled(*_NAMES)
        names = [f'i-{number}' for number in range(8)]
        fleet.list_instances(*[an_edge_instance(name) for name in names])
        await asyncio.sleep(2)
        crashing = CrashingInstances()
        reached = crashing.reached

        async def ask(vm_name: str) -> None:
            vm = fleet.vms[vm_name]
            crashing.install(vm, names)
            await vm.ask()

        for turn in range(75):
            if turn in (10, 40)[:kills]:
                await fleet.restart(fleet.leaders()[0])
            await ask(_NAMES[turn % len(_NAMES)])
            await asyncio.sleep(1)
        third = reached[CRASH_INSTANCES - 1]
        late = [at for at in reached if at > third + _STABILITY_S]
        assert len(late) <= _MOST_RETRIES
        await fleet.stop()

    run_virtual(main())

"""Tests of what a VM remembers of instances that have left."""

import attrs
import pytest
from edge_builders import an_edge_instance, an_edge_vm

from bronzewall.edge.departures import Departures
from bronzewall.standins.virtual_time import run_virtual

_LEAVING = an_edge_instance(started_ms=7, is_leaving=True)
_READY = attrs.evolve(_LEAVING, is_leaving=False)
_RESTARTED = attrs.evolve(_READY, started_ms=8)


def applied(departures: Departures, *listed, now: float = 0) -> list:
    """Return what is left of a list."""
    found = departures.apply(
        {item.instance_id: item for item in listed}, now=now
    )
    return list(found.values())


@pytest.mark.parametrize('started_ms', [6, 7])
def test_older_entry_does_not_end_the_leaving_of_an_instance(
    started_ms: int,
) -> None:
    # Guards against requests to an instance that has stated that it leaves,
    # after an older entry of it was read.
    departures = Departures()
    departures.record_leaving([_LEAVING])
    older = attrs.evolve(_READY, started_ms=started_ms)
    assert [item.is_leaving for item in applied(departures, older)] == [True]


def test_instance_that_started_again_is_used() -> None:
    departures = Departures()
    departures.record_leaving([_LEAVING])
    departures.record_gone([_LEAVING])
    departures.distrust(until=10)
    assert applied(departures, _RESTARTED, now=5) == [_RESTARTED]


def test_expired_entry_may_return() -> None:
    departures = Departures()
    departures.record_gone([_READY])
    assert applied(departures, _READY) == [_READY]


def test_ended_instance_does_not_return_with_a_restored_store() -> None:
    # Guards against requests to an instance that has ended since the copy was
    # made; one that is still listed later is running.
    departures = Departures()
    departures.record_gone([_READY])
    departures.distrust(until=10)
    assert not applied(departures, _READY, now=9)
    assert applied(departures, _READY, now=10) == [_READY]


def test_ended_instance_that_reports_again_is_used() -> None:
    # Guards against an instance that runs and stays unused after a restore.
    departures = Departures()
    departures.record_gone([_READY])
    departures.distrust(until=10)
    for count in (5, 5):
        departures.record_reports({_READY.instance_id: count})
        assert not applied(departures, _READY, now=1)
    departures.record_reports({_READY.instance_id: 6})
    assert applied(departures, _READY, now=2) == [_READY]


def test_counts_of_the_copy_before_are_not_compared() -> None:
    # Guards against an ended instance that seems to report because a second
    # copy is newer than the first.
    departures = Departures()
    departures.record_gone([_READY])
    for count in (3, 5):
        departures.distrust(until=10)
        departures.record_reports({_READY.instance_id: count})
        assert not applied(departures, _READY, now=1)


def test_memory_of_departures_is_bounded() -> None:
    departures = Departures()
    for number in range(30_000):
        instance = an_edge_instance(f'i-{number}', started_ms=1)
        departures.record_gone([instance])
        departures.record_leaving([instance])
    assert len(departures._gone_by_id) == len(departures._leaving_by_id)
    assert len(departures._gone_by_id) <= 10_000
    departures.distrust(until=1)
    assert not applied(departures, instance)


def test_process_without_a_stated_start_is_not_remembered() -> None:
    # Guards against an instance that is never used again: with no start, its
    # next process looks like the one that left.
    departures = Departures()
    departures.record_leaving([attrs.evolve(_LEAVING, started_ms=0)])
    unknown = attrs.evolve(_READY, started_ms=0)
    assert applied(departures, unknown) == [unknown]


def test_instance_whose_address_has_changed_is_not_gone() -> None:
    # Guards against a zone that uses no instance after a restore of the store:
    # all of them had changed their addresses before. Soak, seed 213.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(_READY)
        moved = attrs.evolve(_READY, address='10.0.0.9:9')
        vm.catalog.accept([moved], confirmed_at=vm.clock.now())
        vm.catalog.record_restore()
        vm.catalog.accept([moved], confirmed_at=vm.clock.now())
        assert vm.catalog.usable('drafts') == (moved,)

    run_virtual(main())


def test_list_of_a_leader_that_has_read_the_copy() -> None:
    # Guards against a leader that has just started and knows the copy only.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(_LEAVING)
        vm.catalog.adopt((_READY,), confirmed_at=vm.clock.now() + 1)
        assert not vm.catalog.usable('drafts')
        vm.catalog.adopt((_RESTARTED,), confirmed_at=vm.clock.now() + 2)
        assert vm.catalog.usable('drafts') == (_RESTARTED,)

    run_virtual(main())

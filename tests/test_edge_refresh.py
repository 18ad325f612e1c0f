"""Tests of how VMs renew old configurations and instance lists."""

import asyncio

import pytest
from edge_builders import an_edge_configuration, an_edge_instance
from edge_disturbances import Disturbances, oldest_use
from edge_fleet import settled

from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import VmId

# Seconds within which a change must be in force.
_BOUND_S = 2.0
# Calls of an undisturbed zone in the time that a case lasts.
_CALM_CALLS = 25
_CASES = {
    'turned away': Disturbances(),
    'half turned away, history dropped': Disturbances(
        away_share=0.5, loses_history=True
    ),
    'store silent for some': Disturbances(is_silent=True),
    'cut one way': Disturbances(has_cuts=True),
    'cut one way, store silent for some': Disturbances(
        vms=15, has_cuts=True, is_silent=True, loses_history=True
    ),
    'store restored': Disturbances(away_share=0, restores_store=True),
    'store restored, some turned away': Disturbances(restores_store=True),
    'store restored, leaders killed, frozen': Disturbances(
        away_share=0.2, restores_store=True, has_kills=True, has_freezes=True
    ),
    'leaders killed': Disturbances(has_kills=True),
    'frozen, cut, leaders killed': Disturbances(
        has_freezes=True, has_cuts=True, has_kills=True
    ),
}


# Seeds in which all candidates tried the store at once while it was away for a
# moment, and waited together.
_FOUND = (
    ('store restored, some turned away', 10),
    ('store restored, some turned away', 22),
    ('store restored, leaders killed, frozen', 42),
)


@pytest.mark.parametrize(
    ('name', 'seed'),
    [*((name, seed) for seed in range(3) for name in _CASES), *_FOUND],
)
def test_no_vm_uses_data_older_than_the_bound(name: str, seed: int) -> None:
    # Pattern: the store serves only some VMs of a zone while configurations
    # and instances change. A VM that followed a leader which did not hear it
    # kept what it had for as long as the leader lived.
    found: list[tuple[float, str, int]] = []

    async def main() -> None:
        found.append(await oldest_use(seed, _CASES[name]))

    run_virtual(main())
    age, vm_name, calls = found[0]
    assert age < _BOUND_S, vm_name
    # The calls grow with the changes of leaders and not with the VMs.
    assert calls < _CALM_CALLS * 8


def test_vm_without_the_store_gets_newer_data_from_a_member() -> None:
    # The leader does not hear this VM, and the store turns it away.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        fleet.network.block(sender=VmId('c'), receiver=VmId('a'))
        fleet.vms['c'].store.is_unavailable = True
        fleet.shared.publish(an_edge_configuration(2))
        fleet.list_instances(an_edge_instance(is_leaving=True))
        await asyncio.sleep(_BOUND_S)
        assert fleet.vms['c'].directory.version == 2
        assert not fleet.vms['c'].catalog.usable('drafts')
        await fleet.stop()

    run_virtual(main())


def test_zone_without_the_store_gets_newer_data_from_another_zone() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b')
        other = fleet.add('z', zone='dhofar-a')
        await other.reader.join()
        for vm in fleet.vms.values():
            await vm.reader._read_vms()
        fleet._run(
            'z',
            *other.reader.loops(),
            other.refresher.run(),
            fleet._tick(other),
        )
        await asyncio.sleep(2)
        for name in ('a', 'b'):
            fleet.vms[name].store.is_unavailable = True
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(_BOUND_S)
        for name in ('a', 'b'):
            assert fleet.vms[name].directory.version == 2
            assert fleet.vms[name].freshness.is_fresh()
        await fleet.stop()

    run_virtual(main())


def test_leader_that_is_not_heard_does_not_hold_a_vm_back() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        fleet.network.block(sender=VmId('c'), receiver=VmId('a'))
        fleet.network.block(sender=VmId('c'), receiver=VmId('b'))
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(_BOUND_S)
        assert fleet.vms['c'].directory.version == 2
        await fleet.stop()

    run_virtual(main())

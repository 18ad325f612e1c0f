"""Tests of what a VM uses after a restart of its process."""

import asyncio

import pytest
from edge_builders import an_edge_configuration, an_edge_instance
from edge_fleet import Fleet, settled

from bronzewall.standins.virtual_time import run_virtual

# Seconds for which the helping VM does not reach the store before the restart.
_AWAY_S = 6.0
_CHECKS = 40
_CHECK_S = 0.05


async def restarted(fleet: Fleet, *, reaches_store: bool) -> None:
    """Restart ``b`` while ``a`` has had no contact with the store."""
    for vm in fleet.vms.values():
        vm.store.is_unavailable = True
    await asyncio.sleep(0.1)
    # The key is withdrawn, and the only instance leaves.
    fleet.shared.publish(an_edge_configuration(2, accounts=()))
    fleet.list_instances(an_edge_instance(is_leaving=True))
    await asyncio.sleep(_AWAY_S)
    entry = fleet.vms['b'].fleet.own
    await fleet.kill('b')
    vm = fleet.add('b', zone=entry.placement.zone, started_ms=99_000)
    vm.store.is_unavailable = not reaches_store
    fleet._run(
        'b',
        vm.reader.join(),
        *vm.reader.loops(),
        vm.refresher.run(),
        fleet._tick(vm),
    )


@pytest.mark.parametrize('reaches_store', [True, False])
def test_withdrawn_key_and_left_instance_stay_unused(
    reaches_store: bool,
) -> None:
    # Pattern: a process is killed and starts again beside a zone leader whose
    # data is old. Neither may bring back what was withdrawn.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        await restarted(fleet, reaches_store=reaches_store)
        for _ in range(_CHECKS):
            await asyncio.sleep(_CHECK_S)
            vm = fleet.vms['b']
            assert (await vm.ask()).status in {401, 503}
            assert not vm.instances.requests
            if reaches_store and vm.directory.version >= 0:
                assert vm.directory.version == 2
                assert not vm.catalog.usable('drafts')
        assert (vm.directory.version == 2) == reaches_store
        await fleet.stop()

    run_virtual(main())

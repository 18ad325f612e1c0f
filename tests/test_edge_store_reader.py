"""Tests of what a VM reads from the store when it starts."""

import asyncio

import pytest
from edge_builders import (
    a_vm,
    an_edge_configuration,
    an_edge_instance,
    some_settings,
)
from edge_fleet import Fleet, settled
from structlog.testing import capture_logs

from bronzewall.edge.settings import edge_settings
from bronzewall.errors import SettingsError
from bronzewall.standins.virtual_time import run_virtual


async def first_start(strong: int, weak: int) -> tuple[Fleet, int]:
    """Start a zone for the first time; return it and the calls made."""
    fleet = Fleet()
    for number in range(strong + weak):
        fleet.add(
            f'vm-{number:02}',
            started_ms=number,
            strength=0.7 if number < strong else 0.4,
            first_start=True,
        )
    for name, vm in fleet.vms.items():
        fleet._run(
            name,
            vm.reader.join(),
            *vm.reader.loops(),
            vm.refresher.run(),
            fleet._tick(vm),
        )
    await asyncio.sleep(5)
    return fleet, sum(vm.store.calls for vm in fleet.vms.values())


@pytest.mark.parametrize('weak', [10, 30])
def test_calls_at_the_first_start_are_one_for_each_weak_vm(weak: int) -> None:
    # Pattern: 292 VMs start together where a call costs as much as a good part
    # of a request. Each VM read the list of all others.
    async def main() -> None:
        fleet, calls = await first_start(2, weak)
        assert all(vm.directory.version == 1 for vm in fleet.vms.values())
        assert all(vm.catalog.usable('drafts') for vm in fleet.vms.values())
        known = [len(vm.fleet.entries_by_id) for vm in fleet.vms.values()]
        assert set(known) == {weak + 2}
        # Both strong VMs read the list of VMs, and their leader the rest.
        assert calls - weak < 40
        await fleet.stop()

    run_virtual(main())


def test_first_start_of_weak_vms_only() -> None:
    async def main() -> None:
        fleet, _ = await first_start(0, 5)
        assert all(vm.directory.version == 1 for vm in fleet.vms.values())
        assert len(fleet.leaders()) == 1
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize(('text', 'flag'), [('true', True), ('false', False)])
def test_flag(text: str, flag: bool) -> None:
    settings = some_settings(a_vm(), first_start=text)
    assert settings.first_start is flag


def test_other_flag_is_rejected() -> None:
    given = {
        'vm_id': 'a',
        'region': 'r',
        'zone': 'z',
        'listen': 'a:1',
        'ready_listen': 'a:2',
        'peer_listen': 'a:3',
        'admin_listen': 'a:4',
        'store': 'a:5',
    }
    with pytest.raises(SettingsError):
        edge_settings({**given, 'first_start': 'perhaps'})


def test_changes_that_were_overtaken_are_applied() -> None:
    # Pattern: a configuration changes just after an instance leaves. The answer
    # of the configuration's watch comes first and confirms the list.
    async def main() -> None:
        fleet = await settled('a')
        vm = fleet.vms['a']
        fleet.list_instances(an_edge_instance(is_leaving=True))
        vm.catalog.confirm(vm.clock.now() + 0.1)
        await asyncio.sleep(0.05)
        assert not vm.catalog.usable('drafts')
        await fleet.stop()

    run_virtual(main())


def test_lost_history_is_no_lost_store() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b')
        vm = fleet.vms['a']
        fleet.shared.drop_history()
        fleet.list_instances(an_edge_instance(is_leaving=True))
        for _ in range(10):
            await asyncio.sleep(0.02)
            assert vm.leader.has_store
        assert not vm.catalog.usable('drafts')
        assert fleet.leaders() == ['a']
        await fleet.stop()

    run_virtual(main())


async def outage_calls(size: int, *, is_silent: bool) -> int:
    """Return the calls of a zone in an outage of the store of 6 s."""
    names = [f'vm-{number:02}' for number in range(size)]
    fleet = Fleet(*names)
    await fleet.start()
    await asyncio.sleep(3)
    before = sum(vm.store.calls for vm in fleet.vms.values())
    for vm in fleet.vms.values():
        vm.store.is_hung = is_silent
        vm.store.is_unavailable = not is_silent
    await asyncio.sleep(6)
    calls = sum(vm.store.calls for vm in fleet.vms.values()) - before
    for vm in fleet.vms.values():
        vm.store.is_hung = False
        vm.store.is_unavailable = False
    await asyncio.sleep(1.2)
    assert all(vm.freshness.is_fresh() for vm in fleet.vms.values())
    await fleet.stop()
    return calls


@pytest.mark.parametrize('is_silent', [False, True])
def test_calls_in_an_outage_do_not_grow_with_the_vms(is_silent: bool) -> None:
    # Pattern: the store is down for all. Each VM of a zone took over in turn
    # and tried three calls, again every two seconds; each call is billed.
    calls: dict[int, int] = {}

    async def main(size: int) -> None:
        calls[size] = await outage_calls(size, is_silent=is_silent)

    for size in (17, 34):
        run_virtual(main(size))
    assert calls[34] <= calls[17] * 1.2
    assert calls[17] < 80


def test_configuration_that_cannot_be_read_is_not_read_again_and_again() -> (
    None
):
    # Guards against a leader that reads an unreadable configuration without a
    # pause, with a log line for each read, and against keys that count as
    # confirmed although it may withdraw them.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        await asyncio.sleep(2)
        vms = fleet.vms.values()
        before = sum(vm.store.calls for vm in vms)
        with capture_logs() as lines:
            fleet.shared.store_raw(b'odd')
            await asyncio.sleep(4)
            assert sum(vm.store.calls for vm in vms) - before < 40
            fleet.list_instances(an_edge_instance('i-9'))
            await asyncio.sleep(4)
        events = [line['event'] for line in lines]
        assert 1 <= events.count('configuration_ignored') <= len(vms)
        for vm in vms:
            assert vm.directory.version == 1
            assert not vm.freshness.is_fresh()
            usable = vm.catalog.usable('drafts')
            assert [item.instance_id for item in usable] == ['i-9']
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(1)
        assert {vm.directory.version for vm in vms} == {2}
        assert all(vm.freshness.is_fresh() for vm in vms)
        await fleet.stop()

    run_virtual(main())

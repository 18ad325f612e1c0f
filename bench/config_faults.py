"""Faults of the configuration bench, one after another and combined."""

import asyncio

import attrs
from config_world import REGIONS, Fleet, Vm, now

from bronzewall.types import VmState

END_S = 130.0
_LIST_LAG_S = 8.0


async def inject_faults(fleet: Fleet) -> None:
    """Inject the faults of one run."""
    await until(12)
    await _outage(fleet, 15)
    await until(30)
    _one_way_cuts(fleet, pairs=60)
    await until(42)
    fleet.network.heal()
    await _region_cut(fleet, 'dhofar', 12)
    await until(57)
    await _restarts(fleet)
    await until(70)
    await _freeze(fleet, count=3, seconds=6)
    await until(80)
    _one_way_cuts(fleet, pairs=60)
    await _outage(fleet, 6)
    fleet.network.heal()
    await until(90)
    await _isolate(fleet, count=4, seconds=10)
    await until(104)
    # The store goes away while a region is cut off, and comes back first.
    cut = asyncio.create_task(_region_cut(fleet, 'sharqiyah', 12))
    await until(107)
    await _outage(fleet, 5)
    await cut


async def _outage(fleet: Fleet, seconds: float) -> None:
    fleet.is_store_down = True
    fleet.outages.append((now(), now() + seconds))
    down = {vm: vm.platform.faults.is_down for vm in fleet.vms_by_id.values()}
    fleet.switch_store(is_down=True, regions=REGIONS)
    await asyncio.sleep(seconds)
    fleet.is_store_down = False
    for vm in fleet.vms_by_id.values():
        vm.platform.faults.is_down = down.get(vm, False)


async def _region_cut(fleet: Fleet, region: str, seconds: float) -> None:
    inside = [
        vm
        for vm in fleet.vms_by_id.values()
        if vm.record.placement.region == region
    ]
    fleet.cut_regions.add(region)
    await _cut_off(fleet, inside, seconds, is_group=True)
    fleet.cut_regions.discard(region)


async def _isolate(fleet: Fleet, *, count: int, seconds: float) -> None:
    chosen = fleet.rng.sample(list(fleet.vms_by_id.values()), count)
    await _cut_off(fleet, chosen, seconds, is_group=False)


async def _cut_off(
    fleet: Fleet, chosen: list[Vm], seconds: float, *, is_group: bool
) -> None:
    start = now()
    ids = {vm.record.vm_id for vm in chosen}
    for vm in chosen:
        vm.platform.faults.is_down = True
        vm.disturbed.append((start, start + seconds))
        for other in fleet.records_by_id:
            if is_group and other in ids:
                continue
            fleet.network.block(sender=vm.record.vm_id, receiver=other)
            fleet.network.block(sender=other, receiver=vm.record.vm_id)
    await asyncio.sleep(seconds)
    fleet.network.heal()
    for vm in chosen:
        vm.platform.faults.is_down = fleet.is_store_down


async def _restarts(fleet: Fleet) -> None:
    chosen = fleet.rng.sample(list(fleet.vms_by_id.values()), 6)
    for vm in chosen[1:]:
        vm.is_dead = True
        await vm.kill()
        await asyncio.sleep(0.7)
        fleet.start_vm(vm.record).disturbed.append((0, now() + 2))
    gone = chosen[0]
    gone.is_dead = True
    await gone.kill()
    gone.disturbed.append((now(), END_S * 2))
    await asyncio.sleep(_LIST_LAG_S)
    destroyed = attrs.evolve(gone.record, state=VmState.DESTROYED)
    fleet.list_records({**fleet.records_by_id, destroyed.vm_id: destroyed})


async def _freeze(fleet: Fleet, *, count: int, seconds: float) -> None:
    running = [vm for vm in fleet.vms_by_id.values() if vm.is_running]
    chosen = fleet.rng.sample(running, count)
    for vm in chosen:
        vm.disturbed.append((now(), now() + seconds))
        vm.freeze()
    await asyncio.sleep(seconds)
    for vm in chosen:
        vm.clock.thawed.set()
    # Requests that waited in the sockets come before any message.
    fleet.probe()
    for vm in chosen:
        vm.thaw()


def _one_way_cuts(fleet: Fleet, *, pairs: int) -> None:
    ids = list(fleet.vms_by_id)
    for _ in range(pairs):
        sender, receiver = fleet.rng.sample(ids, 2)
        fleet.network.block(sender=sender, receiver=receiver)


async def until(at: float) -> None:
    """Wait until a virtual time."""
    await asyncio.sleep(max(0, at - now()))

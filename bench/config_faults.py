"""Faults of the configuration bench, in sequence and combined."""

import asyncio

import attrs
from config_world import REGIONS, Fleet, Vm, now

from bronzewall.types import VmState

END_S = 130.0
_LIST_LAG_S = 8.0


async def inject_faults(fleet: Fleet) -> None:
    """Inject the faults of one run at fixed virtual times."""
    await sleep_until(12)
    await _store_outage(fleet, 15)
    await sleep_until(30)
    _cut_one_way(fleet, pairs=60)
    await sleep_until(42)
    fleet.network.heal()
    await _cut_region(fleet, 'dhofar', 12)
    await sleep_until(57)
    await _restart_vms(fleet)
    await sleep_until(70)
    await _freeze(fleet, count=3, seconds=6)
    await sleep_until(80)
    _cut_one_way(fleet, pairs=60)
    await _store_outage(fleet, 6)
    fleet.network.heal()
    await sleep_until(90)
    await _isolate(fleet, count=4, seconds=10)
    await sleep_until(104)
    # The store fails while a region is cut off and recovers before it.
    cut = asyncio.create_task(_cut_region(fleet, 'sharqiyah', 12))
    await sleep_until(107)
    await _store_outage(fleet, 5)
    await cut


async def _store_outage(fleet: Fleet, seconds: float) -> None:
    fleet.is_store_down = True
    fleet.outages.append((now(), now() + seconds))
    down = {vm: vm.platform.faults.is_down for vm in fleet.vms_by_id.values()}
    fleet.switch_store(is_down=True, regions=REGIONS)
    await asyncio.sleep(seconds)
    fleet.is_store_down = False
    for vm in fleet.vms_by_id.values():
        vm.platform.faults.is_down = down.get(vm, False)


async def _cut_region(fleet: Fleet, region: str, seconds: float) -> None:
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
        vm.fault_periods.append((start, start + seconds))
        for other in fleet.records_by_id:
            if is_group and other in ids:
                continue
            fleet.network.block(sender=vm.record.vm_id, receiver=other)
            fleet.network.block(sender=other, receiver=vm.record.vm_id)
    await asyncio.sleep(seconds)
    fleet.network.heal()
    for vm in chosen:
        vm.platform.faults.is_down = fleet.is_store_down


async def _restart_vms(fleet: Fleet) -> None:
    chosen = fleet.rng.sample(list(fleet.vms_by_id.values()), 6)
    for vm in chosen[1:]:
        vm.is_dead = True
        await vm.kill()
        await asyncio.sleep(0.7)
        fleet.start_vm(vm.record).fault_periods.append((0, now() + 2))
    removed = chosen[0]
    removed.is_dead = True
    await removed.kill()
    removed.fault_periods.append((now(), END_S * 2))
    await asyncio.sleep(_LIST_LAG_S)
    destroyed = attrs.evolve(removed.record, state=VmState.DESTROYED)
    fleet.list_records({**fleet.records_by_id, destroyed.vm_id: destroyed})


async def _freeze(fleet: Fleet, *, count: int, seconds: float) -> None:
    running = [vm for vm in fleet.vms_by_id.values() if vm.is_running]
    chosen = fleet.rng.sample(running, count)
    for vm in chosen:
        vm.fault_periods.append((now(), now() + seconds))
        vm.freeze()
    await asyncio.sleep(seconds)
    for vm in chosen:
        vm.clock.thawed.set()
    # Requests queued in the sockets are handled before any message.
    fleet.probe()
    for vm in chosen:
        vm.thaw()


def _cut_one_way(fleet: Fleet, *, pairs: int) -> None:
    ids = list(fleet.vms_by_id)
    for _ in range(pairs):
        sender, receiver = fleet.rng.sample(ids, 2)
        fleet.network.block(sender=sender, receiver=receiver)


async def sleep_until(at: float) -> None:
    """Sleep until a virtual time in seconds."""
    await asyncio.sleep(max(0, at - now()))

"""A fleet of VMs over in-memory links and a shared in-memory store."""

import asyncio
import random

from edge_builders import (
    EdgeVm,
    a_vm,
    an_edge_configuration,
    an_edge_instance,
    an_edge_vm,
)

from bronzewall.standins.memory_link import MemoryNetwork
from bronzewall.standins.memory_store import SharedStore
from bronzewall.types import VmId

TICK_S = 0.05


class Fleet:
    """VMs that exchange messages and read a shared store."""

    def __init__(self, *names: str, zone: str = 'muscat-a') -> None:
        self.shared = SharedStore()
        self.network = MemoryNetwork(random=random.Random(1))
        self.vms: dict[str, EdgeVm] = {}
        self.tasks_by_name: dict[str, list] = {}
        for number, name in enumerate(names):
            self.add(name, zone=zone, started_ms=number)
        self.shared.publish(an_edge_configuration())
        self.list_instances(an_edge_instance())

    def add(
        self,
        name,
        *,
        zone='muscat-a',
        started_ms=0,
        zones=1,
        strength=1,
        **changes,
    ):
        vm = an_edge_vm(
            a_vm(name, zone, started_ms=started_ms, strength=strength),
            shared=self.shared,
            network=self.network,
            zones=zones,
            **changes,
        )
        self.vms[name] = vm
        return vm

    def list_instances(self, *instances) -> None:
        self.shared.instances_by_id = {
            item.instance_id: item for item in instances
        }

    async def start(self) -> None:
        for vm in self.vms.values():
            await vm.reader.join()
        for name, vm in self.vms.items():
            await vm.reader._read_vms()
            self._run(
                name, *vm.reader.loops(), vm.refresher.run(), self._tick(vm)
            )

    async def restart(self, name: str, pause: float = 0.2) -> None:
        """Kill a VM and start it again."""
        entry = self.vms[name].fleet.own
        await self.kill(name)
        await asyncio.sleep(pause)
        self.add(
            name,
            zone=entry.placement.zone,
            started_ms=int(self._now() * 1000),
        )
        self.run_vm(name)

    def run_vm(self, name: str) -> None:
        """Start a VM that was added."""
        vm = self.vms[name]
        self._run(
            name,
            vm.reader.join(),
            *vm.reader.loops(),
            vm.refresher.run(),
            self._tick(vm),
        )

    async def kill(self, name: str) -> None:
        """Stop a VM at once."""
        self.network.kill(VmId(name))
        await self._cancel(self.tasks_by_name.pop(name, []))

    def leaders(self) -> list[str]:
        return [name for name, vm in self.vms.items() if vm.election.is_leader]

    async def stop(self) -> None:
        for tasks in self.tasks_by_name.values():
            await self._cancel(tasks)

    def _run(self, name: str, *loops) -> None:
        self.tasks_by_name[name] = [
            asyncio.ensure_future(loop) for loop in loops
        ]

    async def _cancel(self, tasks) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _tick(self, vm) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if vm.fleet.own.vm_id not in self.network.frozen_ids:
                vm.tick()


async def settled(*names: str) -> Fleet:
    """Return a fleet of one zone that has elected its leader."""
    fleet = Fleet(*names)
    await fleet.start()
    await asyncio.sleep(3)
    return fleet

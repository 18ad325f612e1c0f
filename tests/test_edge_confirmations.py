"""Tests that data is confirmed only by readings that show it."""

import asyncio
import random

import attrs
import pytest
from edge_builders import an_edge_configuration, an_edge_instance
from edge_fleet import Fleet, settled
from edge_silent_store import SilentStore

from bronzewall.standins.virtual_time import run_virtual

_NAMES = ('a', 'b', 'c')
_WATCHES = ('watch_configuration', 'watch_instances')
_CHECK_S = 0.02
# Rounding of clock times, seconds.
_ROUNDING_S = 1e-6
_LENGTH_S = 30


@attrs.define(kw_only=True, eq=False)
class World:
    """A zone with the times at which the store took each change."""

    fleet: Fleet
    stores: dict[str, SilentStore]
    published_at: list[float] = attrs.field(factory=list)
    listed_at: dict[str, float] = attrs.field(factory=dict)

    @property
    def now(self) -> float:
        return self.fleet.vms['a'].clock.now()

    def publish(self) -> None:
        """Store the next configuration, which may withdraw a key."""
        self.published_at.append(self.now)
        self.fleet.shared.publish(
            an_edge_configuration(version=1 + len(self.published_at))
        )

    def add_instance(self) -> None:
        name = f'new-{len(self.listed_at)}'
        self.listed_at[name] = self.now
        self.fleet.list_instances(
            *self.fleet.shared.instances_by_id.values(),
            an_edge_instance(name, address=f'{name}:1'),
        )

    async def silence(self, name: str) -> None:
        """Let the next watch of the leader go silent when it has begun."""
        store = self.stores[self.fleet.leaders()[0]]
        opened = store.opened[name]
        while store.opened[name] == opened:
            await asyncio.sleep(_CHECK_S)
        store.silent.add(name)

    async def check(self, seconds: float) -> None:
        """Check all VMs for a time."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            for vm in self.fleet.vms.values():
                self._check_keys(vm)
                self._check_list(vm)
            await asyncio.sleep(_CHECK_S)

    def _check_keys(self, vm) -> None:
        """The next version came after the confirmation of this one."""
        later = self.published_at[max(0, vm.directory.version - 1) :]
        if later:
            excess = vm.freshness.confirmed_at - later[0]
            assert excess <= _ROUNDING_S, f'keys, {vm.fleet.own.vm_id}'

    def _check_list(self, vm) -> None:
        """The list has all instances that came before its confirmation."""
        known = vm.catalog.instances_by_id
        for name, at in self.listed_at.items():
            excess = vm.catalog.confirmed_at - at
            assert name in known or excess <= _ROUNDING_S, (
                f'{name}, {vm.fleet.own.vm_id}'
            )


async def _world() -> World:
    fleet = await settled(*_NAMES)
    stores = {}
    for name, vm in fleet.vms.items():
        stores[name] = SilentStore(store=vm.store)
        vm.reader.store = stores[name]
    await asyncio.sleep(3)
    return World(fleet=fleet, stores=stores)


def test_answer_about_instances_does_not_confirm_keys() -> None:
    """Guards against a lost watch that counts as "no key was withdrawn".

    One connection goes silent, then the store is away.
    """

    async def main() -> None:
        world = await _world()
        await world.silence('watch_configuration')
        world.publish()
        for _ in range(3):
            await world.check(0.3)
            world.add_instance()
        world.fleet.shared.is_unavailable = True
        await world.check(4)
        assert not any(
            vm.freshness.is_fresh() for vm in world.fleet.vms.values()
        )
        world.fleet.shared.is_unavailable = False
        await world.check(3)
        for vm in world.fleet.vms.values():
            assert vm.directory.version == 2
            assert vm.freshness.is_fresh()
        await world.fleet.stop()

    run_virtual(main())


def test_answer_about_the_configuration_does_not_confirm_the_list() -> None:
    """Guards against a list that is dated by a watch of something else."""

    async def main() -> None:
        world = await _world()
        await world.silence('watch_instances')
        world.add_instance()
        for _ in range(3):
            await world.check(0.3)
            world.publish()
        await world.check(4)
        await world.fleet.stop()

    run_virtual(main())


def test_late_changes_do_not_replace_a_newer_list() -> None:
    """Guards against older changes that are dated as a list of another VM."""

    async def main() -> None:
        world = await _world()
        vm = world.fleet.vms[world.fleet.leaders()[0]]
        vm.store.answer_delay = 0.3
        world.add_instance()
        await asyncio.sleep(0.1)
        # The answer about it is on its way, and another VM knows more.
        world.add_instance()
        await asyncio.sleep(0.1)
        listed = list(world.fleet.shared.instances_by_id.values())
        assert vm.catalog.adopt(listed, confirmed_at=world.now)
        await world.check(3)
        assert len(vm.catalog.instances_by_id) == 3
        await world.fleet.stop()

    run_virtual(main())


def test_quiet_store_confirms_both_tables_with_each_answer() -> None:
    """Guards against more calls, or older data, while nothing is written."""

    async def main() -> None:
        world = await _world()
        vm = world.fleet.vms[world.fleet.leaders()[0]]
        for _ in range(100):
            await world.check(0.05)
            assert vm.refresher.age.list_age() < 0.7
            assert vm.freshness.age() < 0.7
        await world.fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize('seed', range(24))
def test_confirmations_under_random_silence(seed: int) -> None:
    """Guards against any path by which one reading dates another one.

    Connections of any VM go silent, the store is away for some or all, and
    answers are late, while configurations and instances change.
    """
    chance = random.Random(seed)

    async def main() -> None:
        world = await _world()
        ends_at = world.now + _LENGTH_S
        while world.now < ends_at:
            name = chance.choice(_NAMES)
            store = world.fleet.vms[name].store
            match chance.randrange(7):
                case 0 | 1:
                    world.stores[name].silent.add(chance.choice(_WATCHES))
                case 2:
                    world.publish()
                case 3:
                    world.add_instance()
                case 4:
                    store.is_unavailable = not store.is_unavailable
                case 5:
                    shared = world.fleet.shared
                    shared.is_unavailable = not shared.is_unavailable
                case _:
                    store.answer_delay = chance.choice((0, 0.05, 0.3))
            await world.check(chance.uniform(0.05, 1.2))
        await world.fleet.stop()

    run_virtual(main())

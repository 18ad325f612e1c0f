"""Tests of limits that instances state for all VMs together."""

import pytest
from edge_limit_world import a_limit_world

from bronzewall.standins.virtual_time import run_virtual

_VMS = {'muscat-a': 8, 'muscat-b': 4, 'dhofar-a': 8}
_INSTANCES = {'muscat-a': 2, 'muscat-b': 2, 'dhofar-a': 2}


# Guards against VMs that together exceed the limit that an instance states.
@pytest.mark.parametrize('limit', [0.5, 1, 2.5])
@pytest.mark.parametrize('seed', range(2))
def test_vms_together_keep_a_stated_limit(limit: float, seed: int) -> None:
    async def main() -> float:
        world = await a_limit_world(_VMS, _INSTANCES, seed=seed)
        await world.load(2, rate=2)
        world.limits_by_id['muscat-b/i-0'] = limit
        await world.load(12, rate=2)
        await world.fleet.stop()
        return world.excess('muscat-b/i-0')

    assert run_virtual(main()) <= 0


# Guards against a VM that alone exceeds the limit that an instance states.
def test_one_vm_keeps_a_stated_limit() -> None:
    async def main() -> float:
        vms, instances = {'muscat-b': 1}, {'muscat-b': 2}
        world = await a_limit_world(vms, instances, seed=1)
        world.limits_by_id['muscat-b/i-0'] = 1
        await world.load(12, rate=10)
        await world.fleet.stop()
        return world.excess('muscat-b/i-0')

    assert run_virtual(main()) <= 0

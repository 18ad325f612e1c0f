"""Tests of VMs that reach no instance."""

import asyncio

import pytest
from edge_path_world import PathWorld, a_path_world

from bronzewall.standins.virtual_time import run_virtual

_VMS = {'muscat-a': 8, 'muscat-b': 4, 'dhofar-a': 8}
# Time after which callers of VMs without a path must be served, seconds.
_STABILITY_S = 3.0


async def _play(
    cut: list[str], *, how: str, prefix: str, seed: int = 1
) -> tuple[PathWorld, float]:
    """Return a world after a cut, and the time from which its bound holds."""
    world = await a_path_world(_VMS, seed=seed, how=how)
    await world.load(2, rate=1.5, prefix=prefix)
    world.cut(cut)
    bound_from = asyncio.get_running_loop().time() + _STABILITY_S
    await world.load(12, rate=1.5, prefix=prefix)
    await world.fleet.stop()
    return world, bound_from


def _most() -> list[str]:
    return [
        f'{zone}/vm-{number}'
        for zone, count in _VMS.items()
        for number in range(count * 5 // 8)
    ]


def _zone() -> list[str]:
    return [f'muscat-a/vm-{number}' for number in range(8)]


# Guards against callers that are refused because only their VM has no path.
@pytest.mark.parametrize('cut', [_most, _zone])
@pytest.mark.parametrize('how', ['silent', 'reset', 'new'])
@pytest.mark.parametrize('prefix', ['/drafts/', '/pages/'])
def test_callers_of_vms_without_a_path_are_served(
    prefix: str, how: str, cut
) -> None:
    async def main() -> bool:
        world, bound_from = await _play(cut(), how=how, prefix=prefix)
        return world.keeps_bound(since=bound_from)

    assert run_virtual(main())


# Guards against a lost path that counts as failures of the instances.
@pytest.mark.parametrize('how', ['silent', 'reset'])
def test_vms_with_a_path_trust_the_instances(how: str) -> None:
    async def main() -> float:
        world = await a_path_world(_VMS, seed=2, how=how)
        await world.load(2, rate=1.5)
        world.cut(_most())
        worst = [float(0)]
        load = asyncio.create_task(world.load(8, rate=1.5))
        while not load.done():
            await asyncio.sleep(0.1)
            for name in set(world.fleet.vms) - set(world.cut_at):
                vm = world.fleet.vms[name]
                estimates = vm.state.zone_estimates.significant(
                    now=vm.clock.now()
                )
                worst.extend(estimates.values())
        await world.fleet.stop()
        return max(worst)

    assert run_virtual(main()) < 0.3


# Guards against requests that are refused as crashing instances because the
# connections of VMs without a path broke.
def test_lost_path_makes_no_crash_suspects() -> None:
    async def main() -> tuple[int, int]:
        world = await a_path_world(_VMS, seed=3, how='reset')
        world.has_one_target = True
        await world.load(2, rate=1.5, prefix='/pages/')
        cut_at = asyncio.get_running_loop().time()
        world.cut(_most())
        await world.load(5, rate=1.5, prefix='/pages/')
        await world.fleet.stop()
        return world.served(is_cut=False, since=cut_at)

    served, total = run_virtual(main())
    assert served == total

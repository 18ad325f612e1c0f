"""Real daemons under load during replacement, ``kill -9`` and a freeze."""

import asyncio
import signal
from collections.abc import Mapping
from typing import Any

import aiohttp
import attrs
from harness import Target, run_bench

from bronzewall.demo import (
    broken_guarantees,
    demo_load,
    start_demo_fleet,
    summarize,
)
from bronzewall.standins.fleet import ProcessFleet, free_base_port
from bronzewall.types import VmId, VmState

_PORTS = 60
_FIRST_PORT = 18600
_ZONES = (
    'muscat-a',
    'muscat-b',
    'dhofar-a',
    'dhofar-b',
    'sharqiyah-a',
    'sharqiyah-b',
)
_RATE = 50.0
_DURATION_S = 44.0
_STEADY_S = 3.0
_KILLED = ('vm-1', 'vm-3', 'vm-5')
_FROZEN = 'vm-2'
_LIST_LAG_S = 1.0
_DOWN_S = 4.0
_FROZEN_S = 5.0
_GOOD_FRACTION = 0.95


@attrs.define(kw_only=True)
class Timeline:
    """Start and end of each fault, in seconds since the start of the run."""

    started: float
    events: dict[str, float] = attrs.field(factory=dict)

    def mark(self, name: str) -> None:
        """Record the current time under a name."""
        now = asyncio.get_running_loop().time()
        self.events[name] = round(now - self.started, 1)


async def _replace_all(fleet: ProcessFleet, timeline: Timeline) -> None:
    """Restart the VMs one after the other."""
    timeline.mark('replace_begin')
    for vm_id, record in tuple(fleet.records_by_id.items()):
        fleet.send_signal(vm_id, signal.SIGTERM)
        await fleet.processes_by_name[vm_id].wait()
        await fleet.start_vm(vm_id, record.placement.zone)
        entry = fleet.entry_points_by_id[vm_id]
        await fleet.wait_for(f'http://{entry.admin}/check')
    timeline.mark('replace_end')


async def _kill_half(fleet: ProcessFleet, timeline: Timeline) -> None:
    timeline.mark('kill')
    for name in _KILLED:
        fleet.send_signal(name, signal.SIGKILL)
    await asyncio.sleep(_LIST_LAG_S)
    states = {name.replace('-', '_'): VmState.DESTROYED for name in _KILLED}
    await fleet.list_vms(**states)
    await asyncio.sleep(_DOWN_S)
    for name in _KILLED:
        vm_id = VmId(name)
        await fleet.start_vm(vm_id, fleet.records_by_id[vm_id].placement.zone)
    await fleet.list_vms()
    await fleet.wait_until_ready()
    timeline.mark('restarted')


async def _freeze_one(fleet: ProcessFleet, timeline: Timeline) -> None:
    timeline.mark('freeze')
    fleet.send_signal(_FROZEN, signal.SIGSTOP)
    await asyncio.sleep(_FROZEN_S)
    fleet.send_signal(_FROZEN, signal.SIGCONT)
    timeline.mark('thaw')


async def _inject_faults(fleet: ProcessFleet, timeline: Timeline) -> None:
    """Inject all faults one after the other."""
    await asyncio.sleep(_STEADY_S)
    await _replace_all(fleet, timeline)
    await asyncio.sleep(_STEADY_S)
    await _kill_half(fleet, timeline)
    await asyncio.sleep(_STEADY_S)
    await _freeze_one(fleet, timeline)


def _recovered_after(
    outcomes: Mapping[int, Mapping[str, int]], begin: float
) -> int:
    """Return seconds from ``begin`` to the first 2 good seconds in a row."""
    good_seconds = 0
    for second in range(int(begin) + 1, int(_DURATION_S)):
        found = outcomes.get(second, {})
        total = sum(found.values())
        is_good = total and found.get('answered', 0) >= _GOOD_FRACTION * total
        good_seconds = good_seconds + 1 if is_good else 0
        if good_seconds == 2:
            return second - int(begin) - 1
    return int(_DURATION_S)


async def _measure(seed: int) -> dict[str, Any]:
    async with aiohttp.ClientSession() as session:
        fleet = ProcessFleet(
            base_port=free_base_port(_FIRST_PORT, count=_PORTS), session=session
        )
        try:
            await start_demo_fleet(fleet, _ZONES)
            load = demo_load(fleet, seed)
            timeline = Timeline(started=asyncio.get_running_loop().time())
            faults = asyncio.create_task(_inject_faults(fleet, timeline))
            load_result = await load.run(rate=_RATE, duration=_DURATION_S)
            await faults
            runs = await fleet.collect_runs()
        finally:
            await fleet.stop()
    counts = summarize(load_result, runs)
    outcomes = load_result.outcomes_by_second
    events = timeline.events
    cut_seconds = [second for second, found in outcomes.items() if found['cut']]
    planned = range(
        int(events['replace_begin']), int(events['replace_end']) + 1
    )
    expected_broken = ('cut', 'silent')
    broken = [
        name
        for name in broken_guarantees(counts)
        if name not in expected_broken
    ]
    return {
        'counts': counts,
        'events': events,
        'broken': len(broken),
        'cut_by_planned_replacement': sum(
            outcomes[second]['cut']
            for second in cut_seconds
            if second in planned
        ),
        'recovered_after_kill_s': _recovered_after(outcomes, events['kill']),
        'recovered_after_thaw_s': _recovered_after(outcomes, events['thaw']),
        'answered_share': round(counts['answered'] / counts['requests'], 4),
        'series': {
            kind: [
                [second, found[kind]]
                for second, found in sorted(outcomes.items())
            ]
            for kind in ('answered', 'cut', 'rate_exceeded')
        },
    }


def measure(seed: int) -> dict[str, Any]:
    """Run the fleet and its faults."""
    return asyncio.run(_measure(seed))


if __name__ == '__main__':
    run_bench(
        name='recovery',
        measure=measure,
        targets=(
            Target(figure='broken', at_most=0),
            Target(figure='cut_by_planned_replacement', at_most=0),
        ),
    )

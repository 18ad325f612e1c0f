"""Slopes of memory, CPU and traffic, and costs at the two-year size."""

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

import aiohttp
import attrs
from harness import Target, run_bench

from bronzewall.demo import demo_files, start_demo_fleet
from bronzewall.standins.fleet import ProcessFleet, free_base_port

_PORTS = 180
_FIRST_PORT = 19000
_ZONES = ('muscat-a', 'muscat-b', 'dhofar-a', 'dhofar-b')
_FLEET_SIZES = (5, 10, 20, 40)
_IDLE_S = 4.0
_SETTLE_S = 3.0
_CHANGES = 5
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_MIB = 1024 * 1024
# Sizes expected in two years.
_TWO_YEAR_SIZES = {
    'services': 4500,
    'instances': 200_000,
    'routes': 66_000,
    'accounts': 640_000,
}
_CPU_BUDGET = 0.018
_MEMORY_BUDGET_BYTES = 256 * _MIB
_BYTES_BUDGET_PER_S = 18_000
_LOAD_BUDGET_S = 9.0
_TWO_YEAR_VMS = 7700
_CHANGES_PER_DAY = 12_000
_SECONDS_PER_DAY = 86_400


@attrs.frozen(kw_only=True)
class Usage:
    """Totals of all VMs at one time."""

    at: float
    cpu_s: float
    messages: int
    sent_bytes: int


def _run_snapshot_process(action: str, path: str, **sizes: int) -> str:
    script = pathlib.Path(__file__).with_name('snapshot_process.py')
    flags = [f'--{name}={size}' for name, size in sizes.items()]
    finished = subprocess.run(
        [sys.executable, str(script), action, path, *flags],
        capture_output=True,
        text=True,
        check=True,
    )
    return finished.stdout


def _measure_snapshot(**sizes: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        path = str(pathlib.Path(folder) / 'parts')
        _run_snapshot_process('build', path, **sizes)
        accounts = sizes.get('accounts', 0)
        return dict(
            json.loads(_run_snapshot_process('load', path, accounts=accounts))
        )


def _memory_slopes() -> dict[str, float]:
    """Return the resident bytes per added object of each kind."""
    few = {'services': 300, 'instances': 600, 'routes': 600, 'accounts': 0}
    base = _measure_snapshot(**few)['resident_bytes']
    slopes = {}
    for name, more in (
        ('instances', 12_000),
        ('routes', 6000),
        ('accounts', 40_000),
    ):
        grown = _measure_snapshot(**{**few, name: more})['resident_bytes']
        slopes[name] = round((grown - base) / (more - few[name]), 1)
    return slopes


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS_PER_S


def _resident_bytes(pid: int) -> int:
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


async def _read_usage(fleet: ProcessFleet) -> Usage:
    cpu = float(0)
    messages, sent = 0, 0
    for vm_id, record in fleet.records_by_id.items():
        cpu += _cpu_seconds(fleet.processes_by_name[vm_id].pid)
        url = f'http://{record.admin_address}/debug'
        async with fleet.session.get(url) as response:
            counters = (await response.json())['link_counters']
        messages += counters.get('sent_messages', 0)
        sent += counters.get('sent_bytes', 0)
    return Usage(
        at=time.perf_counter(), cpu_s=cpu, messages=messages, sent_bytes=sent
    )


def _per_vm(before: Usage, after: Usage, vms: int) -> dict[str, float]:
    elapsed = (after.at - before.at) * vms
    return {
        'cpu_share': round((after.cpu_s - before.cpu_s) / elapsed, 5),
        'messages_per_s': round(
            (after.messages - before.messages) / elapsed, 2
        ),
        'bytes_per_s': round(
            (after.sent_bytes - before.sent_bytes) / elapsed, 1
        ),
    }


async def _idle_fleet(vms: int) -> dict[str, Any]:
    """Measure idle daemons, then the cost of configuration changes."""
    zones = [_ZONES[number % len(_ZONES)] for number in range(vms)]
    async with aiohttp.ClientSession() as session:
        fleet = ProcessFleet(
            base_port=free_base_port(_FIRST_PORT, count=_PORTS), session=session
        )
        try:
            await start_demo_fleet(fleet, zones)
            await asyncio.sleep(_SETTLE_S)
            first = await _read_usage(fleet)
            await asyncio.sleep(_IDLE_S)
            second = await _read_usage(fleet)
            for number in range(_CHANGES):
                files = demo_files(fleet)
                files['drafts.toml'] = files['drafts.toml'].replace(
                    'deadline = 3.0', f'deadline = {3 + number / 10}'
                )
                await fleet.publish_files(files)
            await asyncio.sleep(_IDLE_S)
            third = await _read_usage(fleet)
            pids = [
                fleet.processes_by_name[vm_id].pid
                for vm_id in fleet.records_by_id
            ]
            resident = max(map(_resident_bytes, pids))
        finally:
            await fleet.stop()
    idle = _per_vm(first, second, vms)
    busy = _per_vm(second, third, vms)
    span = third.at - second.at
    extra = (busy['bytes_per_s'] - idle['bytes_per_s']) * span / _CHANGES
    extra_cpu = (busy['cpu_share'] - idle['cpu_share']) * span / _CHANGES
    return {
        **idle,
        'resident_mib': round(resident / _MIB, 1),
        'bytes_per_change': round(extra, 1),
        'cpu_ms_per_change': round(extra_cpu * 1000, 3),
    }


def _fleet_slopes() -> dict[str, dict[str, Any]]:
    return {str(vms): asyncio.run(_idle_fleet(vms)) for vms in _FLEET_SIZES}


def _slope(fleets: dict[str, dict[str, Any]], figure: str) -> float:
    """Return the least-squares slope of a figure by fleet size."""
    sizes = [float(size) for size in fleets]
    found = [float(fleet[figure]) for fleet in fleets.values()]
    mean_size = sum(sizes) / len(sizes)
    mean = sum(found) / len(found)
    above = sum(
        (size - mean_size) * (figure_value - mean)
        for size, figure_value in zip(sizes, found, strict=True)
    )
    return above / sum((size - mean_size) ** 2 for size in sizes)


def measure(_seed: int) -> dict[str, Any]:
    """Measure all slopes and extrapolate to the two-year size."""
    full = _measure_snapshot(**_TWO_YEAR_SIZES)
    slopes = _memory_slopes()
    fleets = _fleet_slopes()
    largest = fleets[str(_FLEET_SIZES[-1])]
    changes_per_s = _CHANGES_PER_DAY / _SECONDS_PER_DAY
    cpu = (
        largest['cpu_share']
        + changes_per_s * max(largest['cpu_ms_per_change'], 0) / 1000
    )
    sent = largest['bytes_per_s'] + changes_per_s * max(
        largest['bytes_per_change'], 0
    )
    return {
        'full_snapshot': {
            name: round(found, 3) for name, found in full.items()
        },
        'memory_bytes_per': slopes,
        'idle_by_vms': fleets,
        'slope_per_vm': {
            figure: round(_slope(fleets, figure), 6)
            for figure in ('cpu_share', 'bytes_per_s', 'messages_per_s')
        },
        'extrapolated_to_vms': _TWO_YEAR_VMS,
        'full_resident_mib': round(full['resident_bytes'] / _MIB, 1),
        'full_load_s': round(full['load_s'], 2),
        'share_of_budget_at_two_years': {
            'memory': round(full['resident_bytes'] / _MEMORY_BUDGET_BYTES, 3),
            'load time': round(full['load_s'] / _LOAD_BUDGET_S, 3),
            'control CPU': round(cpu / _CPU_BUDGET, 3),
            'control bytes': round(sent / _BYTES_BUDGET_PER_S, 3),
        },
    }


if __name__ == '__main__':
    run_bench(
        name='slopes',
        measure=measure,
        targets=(
            Target(figure='full_resident_mib', at_most=256),
            Target(figure='full_load_s', at_most=9),
            Target(
                figure='share_of_budget_at_two_years.control CPU', at_most=1
            ),
            Target(
                figure='share_of_budget_at_two_years.control bytes', at_most=1
            ),
        ),
    )

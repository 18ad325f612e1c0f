"""Runs a small fleet as processes and counts the outcomes of requests."""

import asyncio
import json
import random
import signal
import sys
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp

from bronzewall.key_table import key_digest
from bronzewall.standins.fleet import ProcessFleet, free_base_port
from bronzewall.standins.load import (
    LoadAccount,
    LoadGenerator,
    LoadResult,
    LoadRoute,
)
from bronzewall.types import VmId

_SERVICES = ('drafts', 'intake')
_INSTANCES_PER_SERVICE = 3
_ZONES = ('muscat-a', 'dhofar-a', 'sharqiyah-a')
_KEYS_BY_ACCOUNT = {'gulf-daily': 'key-one', 'school-booklets': 'key-two'}
_FIRST_PORT = 18200
_PORT_COUNT = 60
_FAULT_AFTER_S = 5.0
_STOP_AFTER_S = 9.0
_REQUESTS_PER_S = 60.0
_DURATION_S = 15.0
# A count above 0 means that a guarantee was broken.
_COUNTS_THAT_MUST_BE_ZERO = (
    'repeated',
    'wrong_account',
    'cut',
    'silent',
    'false_not_run',
    'false_answered',
    'keys_seen',
)


async def run_demo(*, base_port: int, seed: int) -> dict[str, Any]:
    """Run the demo and return its counts.

    :param base_port: first of about 60 loopback ports.
    """
    async with aiohttp.ClientSession() as session:
        fleet = ProcessFleet(base_port=base_port, session=session)
        try:
            return await _measure(fleet, seed)
        finally:
            await fleet.stop()


def broken_guarantees(counts: Mapping[str, Any]) -> list[str]:
    """Return the names of the counts that must be zero and are not."""
    return [name for name in _COUNTS_THAT_MUST_BE_ZERO if counts[name]]


def summarize(
    result: LoadResult, runs: Sequence[Mapping[str, Any]]
) -> dict[str, Any]:
    """Return the counts of a run.

    :param result: outcomes that callers observed.
    :param runs: requests that upstream instances executed.
    """
    posts = Counter(run['marker'] for run in runs if run['method'] == 'POST')
    markers = {run['marker'] for run in runs}
    return {
        'requests': result.requests,
        'answered': result.answered,
        'refused': dict(result.refused),
        'repeated': sum(1 for count in posts.values() if count > 1),
        'wrong_account': result.wrong_account,
        'cut': result.cut,
        'silent': result.silent,
        'false_not_run': len(result.not_run_markers & markers),
        'false_answered': len(result.answered_markers - markers),
        'keys_seen': sum(1 for run in runs if run['saw_key']),
    }


def demo_files(fleet: ProcessFleet) -> dict[str, str]:
    """Return the operators' files of the demo by name."""
    accounts = [
        f'[[accounts]]\nid = "{name}"\nrate = 50.0\nburst = 40\n'
        f'key_digests = ["{key_digest(key).hex()}"]\n'
        for name, key in _KEYS_BY_ACCOUNT.items()
    ]
    files = {'accounts.toml': '\n'.join(accounts)}
    for service in _SERVICES:
        files[f'{service}.toml'] = _service_file(service, fleet)
    return files


def demo_load(fleet: ProcessFleet, seed: int) -> LoadGenerator:
    """Return the load of the demo: accounts, routes and entry points."""
    routes = []
    for service in _SERVICES:
        path = f'/{service}/item'
        routes.append(LoadRoute(method='GET', path=path, idempotent=True))
        routes.append(LoadRoute(method='POST', path=path, idempotent=False))
    return LoadGenerator(
        entry_points=tuple(fleet.entry_points_by_id.values()),
        accounts=[
            LoadAccount(account_id=name, key=key)
            for name, key in _KEYS_BY_ACCOUNT.items()
        ],
        routes=routes,
        random=random.Random(seed),
    )


async def start_demo_fleet(fleet: ProcessFleet, zones: Sequence[str]) -> None:
    """Start the platform, the upstreams and one VM per given zone."""
    await fleet.start_platform()
    for name in _instance_names():
        await fleet.start_upstream(name)
    for number, zone in enumerate(zones, start=1):
        await fleet.start_vm(VmId(f'vm-{number}'), zone)
    await fleet.list_vms()
    await fleet.publish_files(demo_files(fleet))
    await fleet.wait_until_ready()


async def _measure(fleet: ProcessFleet, seed: int) -> dict[str, Any]:
    await start_demo_fleet(fleet, _ZONES)
    faults = asyncio.create_task(_inject_faults(fleet))
    load = demo_load(fleet, seed)
    result = await load.run(rate=_REQUESTS_PER_S, duration=_DURATION_S)
    await faults
    return summarize(result, await fleet.collect_runs())


async def _inject_faults(fleet: ProcessFleet) -> None:
    await asyncio.sleep(_FAULT_AFTER_S)
    await fleet.control_upstream(_instance_names()[0], fault='hang')
    await asyncio.sleep(_STOP_AFTER_S - _FAULT_AFTER_S)
    fleet.send_signal('vm-2', signal.SIGTERM)


def _instance_names() -> list[str]:
    return [
        f'{service}-{number + 1}'
        for service in _SERVICES
        for number in range(_INSTANCES_PER_SERVICE)
    ]


def _service_file(service: str, fleet: ProcessFleet) -> str:
    parts = [f'[service]\nname = "{service}"\n']
    for number in range(_INSTANCES_PER_SERVICE):
        name, zone = f'{service}-{number + 1}', _ZONES[number]
        parts.append(
            f'[[instances]]\nid = "{name}"\n'
            f'address = "{fleet.upstreams_by_name[name]}"\n'
            f'region = "{zone.partition("-")[0]}"\nzone = "{zone}"\n'
        )
    for method, name in (('GET', 'read'), ('POST', 'write')):
        is_idempotent = 'true' if method == 'GET' else 'false'
        parts.append(
            f'[[routes]]\nname = "{name}"\npath = "/{service}/*"\n'
            f'methods = ["{method}"]\nidempotent = {is_idempotent}\n'
            'deadline = 3.0\n'
        )
    return '\n'.join(parts)


def main() -> None:
    """Run the demo, print the counts, exit 1 if a guarantee was broken."""
    base_port = free_base_port(_FIRST_PORT, count=_PORT_COUNT)
    counts = asyncio.run(run_demo(base_port=base_port, seed=1))
    sys.stdout.write(f'{json.dumps(counts)}\n')
    sys.exit(1 if broken_guarantees(counts) else 0)


if __name__ == '__main__':
    main()

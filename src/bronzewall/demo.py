"""Runs a small fleet as processes and counts what callers saw."""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import uuid
from collections import Counter
from typing import Any

import aiohttp
import attrs
import cbor2

from bronzewall import platform_wire
from bronzewall.adapters.platform_http import PlatformClient
from bronzewall.config_files import load_directory
from bronzewall.key_table import key_digest
from bronzewall.publication import publish
from bronzewall.standins.load import (
    EntryPoint,
    Load,
    LoadAccount,
    LoadResult,
    LoadRoute,
)
from bronzewall.types import Placement, VmId, VmRecord

_HOST = '127.0.0.1'
_SERVICES = ('drafts', 'intake')
_INSTANCES_PER_SERVICE = 3
_ZONES = ('muscat-a', 'dhofar-a', 'sharqiyah-a')
_ACCOUNT_KEYS = {'gulf-daily': 'key-one', 'school-booklets': 'key-two'}
_START_TIMEOUT_S = 20.0
_FAULT_AFTER_S = 5.0
_STOP_AFTER_S = 9.0
_BASE_PORT = 18200
_UPSTREAM_PORT_OFFSET = 10
_VM_PORT_OFFSET = 30
_RATE = 60.0
_DURATION_S = 15.0


@attrs.define(kw_only=True)
class DemoFleet:
    """Processes and addresses of one demo run."""

    base_port: int
    processes_by_name: dict[str, asyncio.subprocess.Process] = attrs.field(
        factory=dict
    )
    upstreams_by_name: dict[str, str] = attrs.field(factory=dict)
    entry_points: list[EntryPoint] = attrs.field(factory=list)
    records: list[VmRecord] = attrs.field(factory=list)

    @property
    def platform(self) -> str:
        """Address of the platform stand-in."""
        return f'{_HOST}:{self.base_port}'

    async def start(self) -> None:
        """Start the platform and the upstreams, then the VMs."""
        await self._spawn(
            'platform',
            ['bronzewall.standins', 'platform', '--listen', self.platform],
        )
        for number, name in enumerate(_instance_names()):
            address = (
                f'{_HOST}:{self.base_port + _UPSTREAM_PORT_OFFSET + number}'
            )
            self.upstreams_by_name[name] = address
            await self._spawn(
                name,
                [
                    'bronzewall.standins',
                    'upstream',
                    '--listen',
                    address,
                    '--name',
                    name,
                ],
            )
        for number, zone in enumerate(_ZONES):
            await self._start_vm(f'vm-{number + 1}', zone, number)

    async def stop(self) -> None:
        """End every process that is still running."""
        for process in self.processes_by_name.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        await asyncio.gather(
            *(proc.wait() for proc in self.processes_by_name.values())
        )

    async def _start_vm(self, name: str, zone: str, number: int) -> None:
        port = self.base_port + _VM_PORT_OFFSET + number * 3
        listen, peer, admin = (f'{_HOST}:{port + step}' for step in range(3))
        region = zone.partition('-')[0]
        self.entry_points.append(EntryPoint(listen=listen, admin=admin))
        self.records.append(
            VmRecord(
                vm_id=VmId(name),
                placement=Placement(region=region, zone=zone),
                peer_address=peer,
                admin_address=admin,
            )
        )
        environment = {
            'BRONZEWALL_VM_ID': name,
            'BRONZEWALL_REGION': region,
            'BRONZEWALL_ZONE': zone,
            'BRONZEWALL_LISTEN': listen,
            'BRONZEWALL_PEER_LISTEN': peer,
            'BRONZEWALL_ADMIN_LISTEN': admin,
            'BRONZEWALL_PLATFORM': f'http://{self.platform}',
            'BRONZEWALL_NOTICE_S': '1',
            'BRONZEWALL_LOG_LEVEL': 'warning',
        }
        await self._spawn(name, ['bronzewall', 'serve'], environment)

    async def _spawn(
        self,
        name: str,
        arguments: list[str],
        environment: dict[str, str] | None = None,
    ) -> None:
        module, *rest = arguments
        self.processes_by_name[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *rest,
            env={**os.environ, **(environment or {})},
        )


async def run_demo(*, base_port: int, seed: int) -> dict[str, Any]:
    """Run the demo and return its counts.

    :param base_port: first of about 50 loopback ports.
    """
    fleet = DemoFleet(base_port=base_port)
    try:
        await fleet.start()
        return await _measure(fleet, seed)
    finally:
        await fleet.stop()


async def _measure(fleet: DemoFleet, seed: int) -> dict[str, Any]:
    async with aiohttp.ClientSession() as session:
        await _wait_for(session, f'http://{fleet.platform}/vms')
        await _publish(fleet, session)
        for entry in fleet.entry_points:
            await _wait_for(session, f'http://{entry.admin}/check')
        faults = asyncio.create_task(_inject_faults(fleet, session))
        load = Load(
            entry_points=fleet.entry_points,
            accounts=[
                LoadAccount(account_id=name, key=key)
                for name, key in _ACCOUNT_KEYS.items()
            ],
            routes=_load_routes(),
            random=random.Random(seed),
        )
        seen = await load.run(rate=_RATE, duration=_DURATION_S)
        await faults
        runs = await _collect_runs(fleet, session)
    return _summary(seen, runs)


async def _publish(fleet: DemoFleet, session: aiohttp.ClientSession) -> None:
    client = PlatformClient(
        base_url=f'http://{fleet.platform}', session=session
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        _write_files(path, fleet)
        configuration = load_directory(path)
        await publish(
            services=tuple(configuration.services_by_name.values()),
            accounts=tuple(configuration.accounts_by_id.values()),
            publisher='demo',
            publication_id=uuid.uuid4().hex,
            table=client,
            objects=client,
        )
    wires = [platform_wire.vm_record_to_wire(rec) for rec in fleet.records]
    url = f'http://{fleet.platform}{platform_wire.VMS_PATH}'
    async with session.put(url, data=cbor2.dumps(wires)) as response:
        response.raise_for_status()


async def _inject_faults(
    fleet: DemoFleet, session: aiohttp.ClientSession
) -> None:
    await asyncio.sleep(_FAULT_AFTER_S)
    address = next(iter(fleet.upstreams_by_name.values()))
    url = f'http://{address}/-/control'
    async with session.post(url, json={'fault': 'hang'}) as response:
        response.raise_for_status()
    await asyncio.sleep(_STOP_AFTER_S - _FAULT_AFTER_S)
    fleet.processes_by_name['vm-2'].send_signal(signal.SIGTERM)


async def _collect_runs(
    fleet: DemoFleet, session: aiohttp.ClientSession
) -> list[dict[str, Any]]:
    runs: list[dict[str, Any]] = []
    for address in fleet.upstreams_by_name.values():
        async with session.get(f'http://{address}/-/runs') as response:
            runs.extend(await response.json())
    return runs


def _summary(seen: LoadResult, runs: list[dict[str, Any]]) -> dict[str, Any]:
    posts = Counter(run['marker'] for run in runs if run['method'] == 'POST')
    markers = {run['marker'] for run in runs}
    return {
        'requests': seen.requests,
        'answered': seen.answered,
        'refused': dict(seen.refused),
        'repeated': sum(1 for count in posts.values() if count > 1),
        'wrong_account': seen.wrong_account,
        'cut': seen.cut,
        'silent': seen.silent,
        'false_not_run': len(seen.not_run_markers & markers),
        'false_answered': len(seen.answered_markers - markers),
        'keys_seen': sum(1 for run in runs if run['saw_key']),
    }


def broken_promises(counts: dict[str, Any]) -> list[str]:
    """Return the names of the counts that must be zero and are not."""
    must_be_zero = (
        'repeated',
        'wrong_account',
        'cut',
        'silent',
        'false_not_run',
        'false_answered',
        'keys_seen',
    )
    return [name for name in must_be_zero if counts[name]]


async def _wait_for(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(_START_TIMEOUT_S):
        while True:
            if await _is_ok(session, url):
                return
            await asyncio.sleep(0.1)


async def _is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.ok
    except aiohttp.ClientError:
        return False


def _instance_names() -> list[str]:
    return [
        f'{service}-{number + 1}'
        for service in _SERVICES
        for number in range(_INSTANCES_PER_SERVICE)
    ]


def _load_routes() -> list[LoadRoute]:
    routes = []
    for service in _SERVICES:
        path = f'/{service}/item'
        routes.append(LoadRoute(method='GET', path=path, idempotent=True))
        routes.append(LoadRoute(method='POST', path=path, idempotent=False))
    return routes


def _write_files(path: pathlib.Path, fleet: DemoFleet) -> None:
    accounts = [
        f'[[accounts]]\nid = "{name}"\nrate = 50.0\nburst = 40\n'
        f'key_digests = ["{key_digest(key).hex()}"]\n'
        for name, key in _ACCOUNT_KEYS.items()
    ]
    (path / 'accounts.toml').write_text('\n'.join(accounts))
    for service in _SERVICES:
        parts = [f'[service]\nname = "{service}"\n']
        for number in range(_INSTANCES_PER_SERVICE):
            name, zone = f'{service}-{number + 1}', _ZONES[number]
            parts.append(
                f'[[instances]]\nid = "{name}"\n'
                f'address = "{fleet.upstreams_by_name[name]}"\n'
                f'region = "{zone.partition("-")[0]}"\nzone = "{zone}"\n'
            )
        parts.append(
            f'[[routes]]\nname = "read"\npath = "/{service}/*"\n'
            'methods = ["GET"]\nidempotent = true\ndeadline = 3.0\n'
        )
        parts.append(
            f'[[routes]]\nname = "write"\npath = "/{service}/*"\n'
            'methods = ["POST"]\nidempotent = false\ndeadline = 3.0\n'
        )
        (path / f'{service}.toml').write_text('\n'.join(parts))


def main() -> None:
    """Run the demo, print its counts and exit 1 if a promise broke."""
    counts = asyncio.run(run_demo(base_port=_BASE_PORT, seed=1))
    sys.stdout.write(f'{json.dumps(counts)}\n')
    sys.exit(1 if broken_promises(counts) else 0)


if __name__ == '__main__':
    main()

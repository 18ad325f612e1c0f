"""Fleet of processes on loopback for the demo and the benchmarks."""

import asyncio
import os
import pathlib
import signal
import socket
import sys
import tempfile
import uuid
from collections.abc import Mapping, Sequence

import aiohttp
import attrs
import cbor2

from bronzewall import platform_wire
from bronzewall.adapters.platform_http import PlatformClient
from bronzewall.config_files import load_directory
from bronzewall.errors import BronzewallError
from bronzewall.publication import publish
from bronzewall.standins.load import EntryPoint
from bronzewall.types import Placement, VmId, VmRecord, VmState

_HOST = '127.0.0.1'
_START_TIMEOUT_S = 30.0
_POLL_S = 0.1
_UPSTREAM_PORT_OFFSET = 10
_VM_PORT_OFFSET = 40
_PORTS_PER_VM = 3
_MAX_RANGES = 20


class NoFreePortsError(BronzewallError):
    """No range of consecutive free ports was found."""


def free_base_port(first: int, *, count: int) -> int:
    """Return the first of ``count`` consecutive free loopback ports.

    :param first: port from which to search.
    :raises NoFreePortsError: every range tried has a port in use.
    """
    for base in range(first, first + _MAX_RANGES * count, count):
        if all(_is_free(base + offset) for offset in range(count)):
            return base
    raise NoFreePortsError(
        f'no {count} consecutive free ports found from port {first}'
    )


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True


@attrs.define(kw_only=True)
class ProcessFleet:
    """Processes and addresses of one fleet.

    :param base_port: first of the loopback ports used: one for the
        platform, 30 for upstreams, then 3 for each VM.
    :param vm_environment: additional settings of every VM.
    """

    base_port: int
    session: aiohttp.ClientSession
    vm_environment: Mapping[str, str] = attrs.field(factory=dict)
    processes_by_name: dict[str, asyncio.subprocess.Process] = attrs.field(
        factory=dict
    )
    upstreams_by_name: dict[str, str] = attrs.field(factory=dict)
    entry_points_by_id: dict[VmId, EntryPoint] = attrs.field(factory=dict)
    records_by_id: dict[VmId, VmRecord] = attrs.field(factory=dict)

    @property
    def platform(self) -> str:
        """Address of the platform stand-in."""
        return f'{_HOST}:{self.base_port}'

    async def start_platform(self) -> None:
        """Start the platform stand-in and wait until it answers."""
        await self._spawn(
            'platform', _standin_arguments('platform', self.platform)
        )
        await self.wait_for(f'http://{self.platform}{platform_wire.VMS_PATH}')

    async def start_upstream(self, name: str, *, delay: float = 0.005) -> None:
        """Start an upstream instance.

        :param delay: seconds to run a request.
        """
        number = len(self.upstreams_by_name)
        port = self.base_port + _UPSTREAM_PORT_OFFSET + number
        address = f'{_HOST}:{port}'
        self.upstreams_by_name[name] = address
        arguments = _standin_arguments('upstream', address)
        await self._spawn(
            name, [*arguments, '--name', name, '--delay', str(delay)]
        )

    async def start_vm(self, vm_id: VmId, zone: str) -> None:
        """Start or restart a VM; :meth:`list_vms` then lists it as live.

        :param zone: availability zone; its name begins with the region.
        """
        region = zone.partition('-')[0]
        if vm_id not in self.records_by_id:
            self._allocate_addresses(vm_id, Placement(region=region, zone=zone))
        record = self.records_by_id[vm_id]
        settings = {
            'VM_ID': vm_id,
            'REGION': region,
            'ZONE': zone,
            'LISTEN': self.entry_points_by_id[vm_id].listen,
            'PEER_LISTEN': record.peer_address,
            'ADMIN_LISTEN': record.admin_address,
            'PLATFORM': f'http://{self.platform}',
            'NOTICE_S': '1',
            'LOG_LEVEL': 'error',
            **self.vm_environment,
        }
        environment = {
            f'BRONZEWALL_{name}': text for name, text in settings.items()
        }
        await self._spawn(vm_id, ['bronzewall', 'serve'], environment)

    async def list_vms(self, **states: VmState) -> None:
        """Publish the VM list.

        :param states: states by VM id with ``_`` for ``-``; default live.
        """
        wires = []
        for vm_id, record in self.records_by_id.items():
            state = states.get(vm_id.replace('-', '_'), VmState.LIVE)
            wires.append(
                platform_wire.vm_record_to_wire(
                    attrs.evolve(record, state=state)
                )
            )
        url = f'http://{self.platform}{platform_wire.VMS_PATH}'
        async with self.session.put(url, data=cbor2.dumps(wires)) as response:
            response.raise_for_status()

    async def publish_files(self, files_by_name: Mapping[str, str]) -> None:
        """Publish configuration files given as text."""
        client = PlatformClient(
            base_url=f'http://{self.platform}', session=self.session
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            for name, text in files_by_name.items():
                (path / name).write_text(text)
            configuration = load_directory(path)
        await publish(
            services=tuple(configuration.services_by_name.values()),
            accounts=tuple(configuration.accounts_by_id.values()),
            publisher='standins',
            publication_id=uuid.uuid4().hex,
            table=client,
            objects=client,
        )

    async def wait_until_ready(self) -> None:
        """Wait until every VM passes the load balancer's check."""
        for entry in self.entry_points_by_id.values():
            await self.wait_for(f'http://{entry.admin}/check')

    async def control_upstream(self, name: str, **faults: object) -> None:
        """Set faults of an upstream instance."""
        url = f'http://{self.upstreams_by_name[name]}/-/control'
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def collect_runs(self) -> list[dict[str, object]]:
        """Return the requests that all upstream instances ran."""
        runs: list[dict[str, object]] = []
        for address in self.upstreams_by_name.values():
            url = f'http://{address}/-/runs'
            async with self.session.get(url) as response:
                runs.extend(await response.json())
        return runs

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of this fleet."""
        self.processes_by_name[name].send_signal(number)

    async def stop(self) -> None:
        """Terminate all processes, VMs before the services they use."""
        await self._terminate([str(vm_id) for vm_id in self.records_by_id])
        await self._terminate(list(self.processes_by_name))

    async def wait_for(self, url: str) -> None:
        """Wait until a URL answers with success."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self._is_ok(url):
                await asyncio.sleep(_POLL_S)

    async def _is_ok(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.ok
        except aiohttp.ClientError:
            return False

    def _allocate_addresses(self, vm_id: VmId, placement: Placement) -> None:
        number = len(self.records_by_id)
        first = self.base_port + _VM_PORT_OFFSET + number * _PORTS_PER_VM
        listen, peer, admin = (f'{_HOST}:{first + step}' for step in range(3))
        self.entry_points_by_id[vm_id] = EntryPoint(listen=listen, admin=admin)
        self.records_by_id[vm_id] = VmRecord(
            vm_id=vm_id,
            placement=placement,
            peer_address=peer,
            admin_address=admin,
        )

    async def _terminate(self, names: Sequence[str]) -> None:
        running = [
            process
            for name, process in self.processes_by_name.items()
            if name in names and process.returncode is None
        ]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        await asyncio.gather(*(ended.wait() for ended in running))

    async def _spawn(
        self,
        name: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.processes_by_name[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            *arguments,
            env={**os.environ, **(environment or {})},
        )


def _standin_arguments(kind: str, listen: str) -> list[str]:
    return ['bronzewall.standins', kind, '--listen', listen]

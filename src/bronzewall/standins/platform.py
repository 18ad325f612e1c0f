"""Platform stand-in: table service, object store and VM list over HTTP."""

import asyncio
import json

import attrs
import cbor2
from aiohttp import web

from bronzewall import platform_wire
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.errors import (
    ObjectMissingError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.types import VmRecord

_OBJECT_ROUTE = f'{platform_wire.OBJECT_PATH}{{name:.*}}'
_MAX_OBJECT_BYTES = 268_435_456


@attrs.define(kw_only=True)
class PlatformStandin:
    """HTTP interface over the in-memory platform.

    Faults are set with ``POST /control`` and a JSON object of fields of
    :class:`StoreFaults`, or ``list_lag``.

    :param list_lag: seconds before a change of the VM list is visible.
    """

    platform: MemoryPlatform = attrs.field(
        factory=lambda: MemoryPlatform(clock=SystemClock())
    )
    list_lag: float = 0

    def application(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=_MAX_OBJECT_BYTES)
        app.add_routes(
            [
                web.post(platform_wire.READ_PATH, self._read),
                web.post(platform_wire.SCAN_PATH, self._scan),
                web.post(platform_wire.TRANSACT_PATH, self._transact),
                web.post(platform_wire.TIME_PATH, self._time),
                web.put(_OBJECT_ROUTE, self._put),
                web.get(_OBJECT_ROUTE, self._get),
                web.get(platform_wire.VMS_PATH, self._list_vms),
                web.put(platform_wire.VMS_PATH, self._set_vms),
                web.post('/control', self._control),
            ]
        )
        return app

    async def _read(self, request: web.Request) -> web.Response:
        fields = cbor2.loads(await request.read())
        try:
            row = await self.platform.read(**fields)
        except StoreUnavailableError:
            return _unavailable()
        return _cbor(platform_wire.row_to_wire(row))

    async def _scan(self, request: web.Request) -> web.Response:
        fields = cbor2.loads(await request.read())
        try:
            rows = await self.platform.scan(**fields)
        except StoreUnavailableError:
            return _unavailable()
        wire = {
            key: platform_wire.row_to_wire(row) for key, row in rows.items()
        }
        return _cbor(wire)

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        checks, writes = platform_wire.transaction_from_wire(
            await request.read()
        )
        try:
            await self.platform.transact(checks=checks, writes=writes)
        except StoreUnavailableError:
            return _unavailable()
        except StoreConflictError as exc:
            return web.Response(
                status=platform_wire.STATUS_CONFLICT, text=str(exc)
            )
        except StoreAnswerLostError:
            assert request.transport is not None
            # The answer below is not sent: the connection is closed.
            request.transport.abort()
        return _cbor(None)

    async def _time(self, _request: web.Request) -> web.Response:
        try:
            return _cbor(await self.platform.time())
        except StoreUnavailableError:
            return _unavailable()

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            await self.platform.put(name=request.match_info['name'], body=body)
        except StoreUnavailableError:
            return _unavailable()
        return _cbor(None)

    async def _get(self, request: web.Request) -> web.Response:
        try:
            body = await self.platform.get(name=request.match_info['name'])
        except StoreUnavailableError:
            return _unavailable()
        except ObjectMissingError:
            return web.Response(status=platform_wire.STATUS_MISSING)
        return web.Response(body=body)

    async def _list_vms(self, _request: web.Request) -> web.Response:
        try:
            await self.platform.operate()
        except StoreUnavailableError:
            return _unavailable()
        records = self.platform.store.vm_records
        return _cbor(
            [platform_wire.vm_record_to_wire(record) for record in records]
        )

    async def _set_vms(self, request: web.Request) -> web.Response:
        wires = cbor2.loads(await request.read())
        records = tuple(
            platform_wire.vm_record_from_wire(wire) for wire in wires
        )
        asyncio.get_running_loop().call_later(
            self.list_lag, self._apply_vms, records
        )
        return _cbor(None)

    def _apply_vms(self, records: tuple[VmRecord, ...]) -> None:
        self.platform.store.vm_records = records

    async def _control(self, request: web.Request) -> web.Response:
        for name, setting in json.loads(await request.read()).items():
            target = self if name == 'list_lag' else self.platform.faults
            setattr(target, name, setting)
        return _cbor(None)


async def serve_platform(*, listen: str) -> web.AppRunner:
    """Start the stand-in on ``host:port`` and return its runner."""
    runner = web.AppRunner(
        PlatformStandin().application(),
        access_log=None,
        # Hanging requests must not delay the end of the process.
        shutdown_timeout=0.1,
    )
    await runner.setup()
    host, _, port = listen.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def _cbor(wire: object) -> web.Response:
    return web.Response(body=cbor2.dumps(wire))


def _unavailable() -> web.Response:
    return web.Response(status=platform_wire.STATUS_DOWN)

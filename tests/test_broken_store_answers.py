"""Tests of answers of stores and of other VMs that break off at any byte."""

import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import cbor2
import pytest
from builders import a_vm_record
from cut_answers import CutServer, framings
from edge_builders import a_vm

from bronzewall.adapters.admin_client import AdminClient
from bronzewall.adapters.platform_http import PlatformClient, PlatformVmList
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.edge.composition import _open_store_session
from bronzewall.edge.ports import Revision
from bronzewall.errors import (
    AdminUnavailableError,
    StoreAnswerLostError,
    StoreError,
    StoreUnavailableError,
)
from bronzewall.metrics import Metrics
from bronzewall.platform.store import PlatformStore
from bronzewall.platform_wire import vm_record_to_wire
from bronzewall.published_change import PublishedChange
from bronzewall.standins.raw_upstream import RawUpstream

_FRAMINGS = ('sized', 'chunked', 'unframed')
_ROW = {'value': b'v' * 9, 'version': 3}
_RECORD = a_vm_record(admin_address='127.0.0.1:1')
Call = Callable[[str], Awaitable[object]]


async def outcomes(server: CutServer, call: Call) -> list[object]:
    """Return the result or error of a call for each cut, then uncut."""
    found: list[object] = []
    async with RawUpstream(script=server.run) as upstream:
        for cut in range(len(server.text) + 1):
            server.cut = cut
            try:
                found.append(await call(upstream.address))
            except Exception as exc:
                found.append(exc)
    return found


def read_instances(store: PlatformStore) -> Awaitable[Any]:
    return store.read_instances()


def watch_instances(store: PlatformStore) -> Awaitable[Any]:
    return store.watch_instances(after=Revision(era=0, number=3), wait=1)


def read_configuration(store: PlatformStore) -> Awaitable[Any]:
    return store.read_configuration()


def register(store: PlatformStore) -> Awaitable[Any]:
    return store.register((a_vm(),))


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize(
    'call', [read_instances, watch_instances, read_configuration, register]
)
async def test_cut_answer_of_the_users_store(
    call: Callable[[PlatformStore], Awaitable[Any]],
    framing: str,
    is_reset: bool,
) -> None:
    """Guards against a list without rows, or an older one, from a part."""
    value = base64.b64encode(b'{}').decode()
    rows = [{'key': key, 'value': value} for key in ('config', 'i-1')]
    document = {'tableRows': rows, 'hasMore': False, 'now': 1.5}
    body = json.dumps({**document, 'schemaVersion': 41}).encode()
    text = framings(body, 'application/json')[framing]
    session = _open_store_session()

    async def on(address: str) -> object:
        store = PlatformStore(
            address=address,
            session=session,
            clock=SystemClock(),
            metrics=Metrics(),
            region_by_zone={},
        )
        return await call(store)

    server = CutServer(text=text, is_reset=is_reset)
    *cut, whole = await outcomes(server, on)
    await session.close()
    if call is register and framing == 'unframed' and not is_reset:
        # The whole head shows that the rows were written.
        cut = cut[: text.index(b'\r\n\r\n')]
    assert all(isinstance(found, StoreUnavailableError) for found in cut)
    if framing == 'unframed' and is_reset:
        assert isinstance(whole, StoreUnavailableError)
    elif call is not register:
        assert whole.revision == Revision(era=0, number=41)


def read(client: PlatformClient) -> Awaitable[object]:
    return client.read(table='t', key='k')


def scan(client: PlatformClient) -> Awaitable[object]:
    return client.scan(table='t', prefix='')


def time(client: PlatformClient) -> Awaitable[object]:
    return client.time()


def get(client: PlatformClient) -> Awaitable[object]:
    return client.get(name='n')


def put(client: PlatformClient) -> Awaitable[object]:
    return client.put(name='n', body=b'')


def transact(client: PlatformClient) -> Awaitable[object]:
    return client.transact(checks=[], writes=[])


def read_vms(client: PlatformClient) -> Awaitable[object]:
    return PlatformVmList(client=client).read()


_OBJECT = b'object of some bytes'
_ANSWERS_BY_CALL = {
    read: cbor2.dumps(_ROW),
    scan: cbor2.dumps({'a': _ROW, 'b': _ROW}),
    time: cbor2.dumps(12.5),
    get: _OBJECT,
    put: b'done',
    transact: b'done',
    read_vms: cbor2.dumps([vm_record_to_wire(_RECORD)]),
}


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('call', _ANSWERS_BY_CALL)
async def test_cut_answer_of_the_platform(
    call: Callable[[PlatformClient], Awaitable[object]],
    framing: str,
    is_reset: bool,
) -> None:
    """Guards against half an object, and errors that end a reader's task.

    An answer that ends with its connection does not show whether it is whole.
    """
    body = _ANSWERS_BY_CALL[call]
    text = framings(body, 'application/octet-stream')[framing]
    async with aiohttp.ClientSession() as session:

        async def on(address: str) -> object:
            client = PlatformClient(
                base_url=f'http://{address}', session=session
            )
            return await call(client)

        server = CutServer(text=text, is_reset=is_reset)
        *cut, whole = await outcomes(server, on)
    expected: type[StoreError] = StoreUnavailableError
    if call is transact:
        expected = StoreAnswerLostError
    if framing == 'unframed':
        cut.append(whole)
    else:
        assert not isinstance(whole, Exception)
    assert all(isinstance(found, expected) for found in cut)


@pytest.mark.parametrize('body', [b'', b'\xff', b'\x81\xa0', b'\xf6'])
@pytest.mark.parametrize('call', [scan, time, read_vms])
async def test_malformed_answer_of_the_platform(
    call: Callable[[PlatformClient], Awaitable[object]], body: bytes
) -> None:
    """Guards against an error that ends the task of a reader."""
    text = framings(body, 'application/octet-stream')['sized']
    server = CutServer(text=text, is_reset=False, cut=len(text))
    async with (
        RawUpstream(script=server.run) as upstream,
        aiohttp.ClientSession() as session,
    ):
        client = PlatformClient(
            base_url=f'http://{upstream.address}', session=session
        )
        with pytest.raises(StoreUnavailableError):
            await call(client)


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', _FRAMINGS)
async def test_cut_report_of_a_vm(framing: str, is_reset: bool) -> None:
    """Guards against a part of a report, and against a command that fails."""
    text = framings(b'{"vm": "vm-1"}', 'application/json')[framing]
    async with aiohttp.ClientSession() as session:
        client = AdminClient(session=session)
        server = CutServer(text=text, is_reset=is_reset)
        *cut, whole = await outcomes(
            server, lambda address: client.fetch(address, '/status')
        )
    if framing == 'unframed':
        cut.append(whole)
    else:
        assert whole == {'vm': 'vm-1'}
    assert all(isinstance(found, AdminUnavailableError) for found in cut)


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', _FRAMINGS)
async def test_cut_answer_to_a_change(framing: str, is_reset: bool) -> None:
    """Guards against a publish that fails after it was stored."""
    body = json.dumps({'generation': 4, 'serves_keyed': True}).encode()
    text = framings(body, 'application/json')[framing]
    change = PublishedChange(generation=4, keys_generation=0)
    async with aiohttp.ClientSession() as session:
        client = AdminClient(session=session)

        async def on(address: str) -> object:
            record = a_vm_record(admin_address=address)
            return await client.send_change(record, change)

        server = CutServer(text=text, is_reset=is_reset)
        *cut, whole = await outcomes(server, on)
    if framing == 'unframed':
        cut.append(whole)
    else:
        assert whole.generation == 4
    assert cut == [None for _ in cut]

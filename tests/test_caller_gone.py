"""A caller that disconnects from the real HTTP server."""

import asyncio
import contextlib
import socket

import aiohttp
from builders import ACCOUNT_KEY, a_fleet, a_route

from bronzewall.adapters.entry_http import EntryServer
from bronzewall.types import VmId

_RUN_TIME_S = 0.2


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


async def test_run_continues_after_the_caller_disconnects() -> None:
    """Guards against an outcome that is lost with the caller's connection.

    The server cancels the handler when the connection closes. The run must
    still end, its outcome must be stored, and writing the answer to the
    closed connection must not fail.
    """
    route = a_route(methods=frozenset({'POST'}), idempotent=False)
    fleet = a_fleet([route], vms=1)
    fleet.upstreams.run_time = _RUN_TIME_S
    vm = fleet.vms_by_id[VmId('vm-0')]
    address = _free_address()
    server = EntryServer(
        listen=address,
        handler=vm.path.handle,
        on_bad_input=vm.path.bad_input,
        max_body_bytes=1000,
    )
    await server.start()
    headers = {
        'Authorization': f'Bearer {ACCOUNT_KEY}',
        'Idempotency-Key': 'k-1',
    }
    url = f'http://{address}/drafts/7'
    hang_up = aiohttp.ClientTimeout(total=_RUN_TIME_S / 4)
    async with aiohttp.ClientSession(headers=headers) as session:
        with contextlib.suppress(TimeoutError):
            await session.post(url, data=b'grid', timeout=hang_up)
        while vm.gate.pending:
            await asyncio.sleep(_RUN_TIME_S / 10)
        async with session.post(url, data=b'grid') as answer:
            assert answer.status == 201
            assert answer.headers['Bronzewall-Replay'] == 'full'
            document = await answer.json()
    assert [run.request_id for run in fleet.upstreams.runs] == [document['ran']]
    await server.stop()
    await fleet.close()

"""Tests of reads of the platform's store over slow and silent links.

Pattern: all VMs start again after a loss of power, and those on links of
5 Mbit/s read a configuration of 400 kB. The transfer takes longer than the
limit within which the store must answer.
"""

import asyncio
import base64
import json
import time

import pytest

from bronzewall.adapters.system_clock import SystemClock
from bronzewall.edge.composition import _open_store_session
from bronzewall.errors import StoreUnavailableError
from bronzewall.metrics import Metrics
from bronzewall.platform.store import PlatformStore
from bronzewall.standins.raw_upstream import RawConnection, RawUpstream

_PARTS = 12
_PART_S = 0.1
# Longest time until a read from a silent store is abandoned, seconds: VMs must
# learn within it that another one should read.
_SILENCE_S = 1.0


def an_answer() -> bytes:
    value = base64.b64encode(b'{}' + b' ' * 400_000).decode()
    document = {
        'tableRows': [{'key': 'config', 'value': value}],
        'hasMore': False,
        'now': 1.5,
        'schemaVersion': 41,
    }
    body = json.dumps(document).encode()
    head = (
        'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def read_through(script) -> object:
    session = _open_store_session()
    async with RawUpstream(script=script) as upstream:
        store = PlatformStore(
            address=upstream.address,
            session=session,
            clock=SystemClock(),
            metrics=Metrics(),
            region_by_zone={},
        )
        try:
            return await store.read_configuration()
        finally:
            await session.close()


async def test_configuration_is_read_over_a_slow_link() -> None:
    # Failure: the read is abandoned again and again although its bytes keep
    # coming, and the VM refuses everything as not configured.
    async def script(connection: RawConnection, _number: int) -> None:
        await connection.read_request()
        answer = an_answer()
        size = len(answer) // _PARTS + 1
        for start in range(0, len(answer), size):
            await connection.send(answer[start : start + size])
            await asyncio.sleep(_PART_S)

    reading = await read_through(script)
    assert reading.revision.number == 41


@pytest.mark.parametrize('sent', [0, 1000])
async def test_silent_store_is_given_up_soon(sent: int) -> None:
    async def script(connection: RawConnection, _number: int) -> None:
        await connection.read_request()
        await connection.send(an_answer()[:sent])
        await asyncio.sleep(10)

    started = time.monotonic()
    with pytest.raises(StoreUnavailableError):
        await read_through(script)
    assert time.monotonic() - started < _SILENCE_S

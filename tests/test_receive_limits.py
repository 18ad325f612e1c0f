"""Tests of instances that send bytes without end, against raw upstreams."""

import asyncio
import contextlib
import gc
import itertools
import resource
import time

import pytest
from edge_builders import NAMES
from test_instance_http import HEAD, WHOLE, a_request

from bronzewall.adapters.instance_http import open_instance_client
from bronzewall.adapters.receive_limits import ReceivedBytes, ReceiveLimits
from bronzewall.errors import UpstreamBrokenError, UpstreamError
from bronzewall.standins.raw_upstream import RawUpstream

LIMITS = ReceiveLimits(answer_bytes=1_000_000, total_bytes=8_000_000)
PART = b'x' * 65_536
CHUNK = b'10000\r\n' + PART + b'\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Time within which an endless answer ends, seconds; the caller waits for 20 s.
_END_S = 3.0
# Longest time for which the event loop may be held, seconds.
_HOLD_S = 0.1
_ENDLESS = {
    'head': (HEAD, b'X-More: ' + b'y' * 4000 + b'\r\n'),
    'line': (b'HTTP/1.1 200 OK\r\nX-Long: ', PART),
    'interim answers': (b'', b'HTTP/1.1 102 Wait\r\n\r\n' * 500),
    'chunked body': (CHUNKED, CHUNK),
    'body until close': (HEAD + b'Connection: close\r\n\r\n', PART),
    'body of a length': (
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        PART,
    ),
    'chunk extension': (CHUNKED + b'4;', PART),
    'chunk size': (CHUNKED, b'0' * 65_536),
    'trailers': (CHUNKED + b'0\r\n', b'X-T: ' + b'y' * 4000 + b'\r\n'),
    'garbage': (b'', PART),
    'spaces': (b'', b'\r\n' * 30_000),
}


def endless(name: str):
    start, repeated = _ENDLESS[name]

    async def script(connection, _number):
        await connection.read_request()
        with contextlib.suppress(OSError):
            await connection.send(start)
            while True:
                await connection.send(repeated)

    return script


async def greatest_hold(stop: asyncio.Event) -> float:
    """Return the longest time for which the event loop did not run."""
    greatest = float(0)
    while not stop.is_set():
        before = time.perf_counter()
        await asyncio.sleep(0.005)
        greatest = max(greatest, time.perf_counter() - before - 0.005)
    return greatest


@pytest.mark.parametrize('name', _ENDLESS)
async def test_endless_answer_ends_at_its_limit(name: str) -> None:
    # A full collection of what other tests of the process have left takes
    # longer than the bound; after one, none is due during the exchange.
    gc.collect()
    client = open_instance_client(NAMES, LIMITS)
    stop = asyncio.Event()
    watch = asyncio.create_task(greatest_hold(stop))
    async with RawUpstream(script=endless(name)) as upstream:
        async with asyncio.timeout(_END_S):
            with pytest.raises(UpstreamBrokenError):
                await client.send(a_request(upstream.address, timeout=20))
            await upstream.connections[0].closed.wait()
    stop.set()
    assert await watch < _HOLD_S
    assert not client.connector._conns
    await client.session.close()


@pytest.mark.parametrize('repeated', [PART, WHOLE * 1000])
async def test_bytes_after_a_whole_answer_end_the_connection(
    repeated: bytes,
) -> None:
    client = open_instance_client(NAMES, LIMITS)

    async def script(connection, _number):
        await connection.read_request()
        with contextlib.suppress(OSError):
            await connection.send(WHOLE)
            while True:
                await connection.send(repeated)

    async with RawUpstream(script=script) as upstream:
        answer = await client.send(a_request(upstream.address))
        assert answer.body == b'body'
        async with asyncio.timeout(_END_S):
            await upstream.connections[0].closed.wait()
    await client.session.close()


async def test_answer_at_the_limit_passes_unchanged() -> None:
    client = open_instance_client(NAMES, LIMITS)
    body = bytes(itertools.islice(itertools.cycle(range(251)), 1_000_000))
    chunks = [body[at : at + 777] for at in range(0, len(body), 777)]
    text = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in chunks)

    async def script(connection, _number):
        await connection.read_request()
        await connection.send(CHUNKED + text + b'0\r\n\r\n')

    async with RawUpstream(script=script) as upstream:
        answer = await client.send(a_request(upstream.address))
    assert answer.body == body
    await client.session.close()


async def test_other_answers_go_on_beside_fifty_endless_ones() -> None:
    # Pattern: sick instances stream without end at a VM of 200 MB. Each such
    # answer took over a gigabyte in the time of one request.
    client = open_instance_client(
        NAMES, ReceiveLimits(answer_bytes=4_000_000, total_bytes=32_000_000)
    )

    async def answer(connection, _number):
        while True:
            await connection.read_request()
            await connection.send(WHOLE)

    async def try_endless(address: str) -> None:
        with contextlib.suppress(UpstreamError):
            await client.send(a_request(address, timeout=20))

    async with (
        RawUpstream(script=endless('chunked body')) as sick,
        RawUpstream(script=answer) as sound,
    ):
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        tasks = [
            asyncio.create_task(try_endless(sick.address)) for _ in range(50)
        ]
        answered = 0
        while not all(task.done() for task in tasks):
            await client.send(a_request(sound.address, timeout=10))
            answered += 1
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    # 200 MB less what the process holds itself.
    assert grown_kb < 150_000
    assert answered
    await client.session.close()


def test_largest_answer_ends_first() -> None:
    ended = []
    received = ReceivedBytes(
        limits=ReceiveLimits(answer_bytes=100_000, total_bytes=100_000)
    )
    received.start('small', lambda _reason: ended.append('small'))
    received.start('large', lambda _reason: ended.append('large'))
    received.add('large', 90_000)
    received.add('small', 20_000)
    assert ended == ['large']
    assert received.total == 20_000
    received.stop('small')
    assert not received.total

"""Answers whose status or status line is none that an answer can have.

Operators saw a caller get an answer with status 000 of an instance in trouble.
"""

import asyncio
import contextlib
import math
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest
import structlog
from edge_builders import NAMES, a_caller_request, an_edge_vm

from bronzewall.adapters.admin_client import AdminClient
from bronzewall.adapters.instance_http import open_instance_client
from bronzewall.adapters.platform_http import (
    PlatformClient,
    open_platform_session,
)
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.adapters.upstream_http import AiohttpUpstreams, open_session
from bronzewall.edge.composition import _open_store_session
from bronzewall.edge.ports import InstanceRequest
from bronzewall.edge.relay_peers import RelayPeer
from bronzewall.errors import (
    AdminUnavailableError,
    StoreAnswerLostError,
    StoreError,
    UpstreamBrokenError,
)
from bronzewall.metrics import Metrics
from bronzewall.platform.store import PlatformStore
from bronzewall.standins.raw_upstream import RawUpstream
from bronzewall.types import ServiceName, VmId

# Every status that is neither an interim nor a final answer, by its digits.
_ODD_STATUSES = (
    '000',
    '001',
    '007',
    '010',
    '020',
    '042',
    '099',
    '101',
    '600',
    '601',
    '666',
    '700',
    '820',
    '999',
)
_ODD_LINES = (
    *(f'HTTP/1.1 {status} Odd' for status in _ODD_STATUSES),
    'HTTP/2.0 200 OK',
    'HTTP/0.9 200 OK',
    'HTTP/3.0 200 OK',
    'HTTP/1.2 200 OK',
    'HTTP/1.9 200 OK',
    'HTTP/11 200 OK',
    'http/1.1 200 OK',
    'HTTP/1.1 20 OK',
    'HTTP/1.1 2 OK',
    'HTTP/1.1 0200 OK',
    'HTTP/1.1 2000 OK',
    'HTTP/1.1 20000000000000000000 OK',
    'HTTP/1.1 -200 OK',
    'HTTP/1.1 +200 OK',
    'HTTP/1.1 2_0 OK',
    'HTTP/1.1 20x OK',
    'HTTP/1.1 0x1F4 OK',
    'HTTP/1.1 ok',
    'HTTP/1.1 ',
    'HTTP/1.1',
    'ICY 200 OK',
)
_GOOD_LINES = (
    'HTTP/1.1 200 OK',
    'HTTP/1.1 200 ',
    'HTTP/1.1 299 Odd',
    'HTTP/1.1 304 Not Modified',
    'HTTP/1.1 418 Teapot',
    'HTTP/1.1 599 Odd',
    'HTTP/1.0 200 OK',
)
_HEADERS = (
    'T-Attempt: a-1\r\nT-Seal: s\r\nBronzewall-Request-Id: a-1\r\n'
    'Content-Type: application/json\r\nContent-Length: 4\r\n\r\nbody'
)
_GOOD = f'HTTP/1.1 200 OK\r\n{_HEADERS}'
_NOT_MODIFIED = 304
Read = Callable[[str, int], Awaitable[object]]


def answer_with(line: str) -> str:
    return f'{line}\r\n{_HEADERS}'


@contextlib.asynccontextmanager
async def a_server(answers: list[str]) -> AsyncIterator[RawUpstream]:
    """Serve some answers one after the other on one connection."""

    async def script(connection, _number) -> None:
        for answer in answers:
            await connection.read_request()
            await connection.send(answer.encode())

    async with RawUpstream(script=script) as upstream:
        yield upstream


def an_instance_request(address: str, method: str) -> InstanceRequest:
    return InstanceRequest(
        instance_id='i-1',
        address=address,
        method=method,
        target='/x',
        headers=(('Host', 'h'), ('T-Attempt', 'a-1')),
        body=b'body' if method == 'POST' else b'',
        attempt_id='a-1',
        timeout=2.0,
        connect_timeout=0.3,
    )


async def read_as_edge(address: str, calls: int, method: str = 'GET') -> Any:
    client = open_instance_client(NAMES)
    try:
        for _ in range(calls):
            answer = await client.send(an_instance_request(address, method))
    finally:
        await client.session.close()
    return answer.status


async def post_as_edge(address: str, calls: int) -> Any:
    return await read_as_edge(address, calls, 'POST')


async def read_as_product(address: str, calls: int) -> Any:
    session = open_session()
    upstreams = AiohttpUpstreams(session=session)
    request = RawUpstream(script=None, address=address).request(
        request_id='a-1'
    )
    try:
        for _ in range(calls):
            exchange = await upstreams.exchange(request)
            body = [chunk async for chunk in exchange.answer.body]
            if exchange.answer.status != _NOT_MODIFIED:
                assert b''.join(body) == b'body'
    finally:
        await session.close()
    return exchange.answer.status


_UPSTREAM_READERS = (read_as_edge, post_as_edge, read_as_product)


@pytest.mark.parametrize('read', _UPSTREAM_READERS)
@pytest.mark.parametrize('calls', [1, 2])
@pytest.mark.parametrize('line', _ODD_LINES)
async def test_odd_answer_is_a_broken_exchange(
    line: str, calls: int, read: Read
) -> None:
    # Guards against an answer that a caller cannot understand, on new
    # connections and on those in use again.
    answers = [*(_GOOD for _ in range(calls - 1)), answer_with(line)]
    async with a_server(answers) as upstream:
        with pytest.raises(UpstreamBrokenError):
            await read(upstream.address, calls)
        assert len(upstream.connections) == 1


@pytest.mark.parametrize('read', _UPSTREAM_READERS)
@pytest.mark.parametrize('line', _GOOD_LINES)
async def test_other_answers_pass(line: str, read: Read) -> None:
    # Guards against a check that refuses answers of sound instances.
    async with a_server([answer_with(line)]) as upstream:
        assert await read(upstream.address, 1) == int(line.split()[1])


@pytest.mark.parametrize('read', _UPSTREAM_READERS)
@pytest.mark.parametrize('status', [100, 102, 103, 150, 199])
async def test_interim_answers_pass(status: int, read: Read) -> None:
    # Guards against a check that takes an interim answer for an odd one.
    interim = f'HTTP/1.1 {status} Wait\r\nX-A: b\r\n\r\n'
    async with a_server([interim + _GOOD]) as upstream:
        assert await read(upstream.address, 1) == 200


@pytest.mark.parametrize('read', _UPSTREAM_READERS)
@pytest.mark.parametrize('line', ['HTTP/1.1 000 Odd', 'HTTP/1.1 700 Odd'])
async def test_odd_answer_after_an_interim_one(line: str, read: Read) -> None:
    # Guards against a check of the first status line only.
    interim = 'HTTP/1.1 103 Hints\r\nX-A: b\r\n\r\n'
    async with a_server([interim + answer_with(line)]) as upstream:
        with pytest.raises(UpstreamBrokenError):
            await read(upstream.address, 1)


@pytest.mark.parametrize('line', ['HTTP/1.1 600 Odd', 'HTTP/2.0 200 OK'])
async def test_odd_answer_is_counted_and_logged(line: str) -> None:
    # Guards against a broken instance that operators cannot tell from a lost
    # connection.
    events: Counter[str] = Counter()
    client = open_instance_client(NAMES, events=events)
    async with a_server([answer_with(line)]) as upstream:
        with structlog.testing.capture_logs() as lines:
            with pytest.raises(UpstreamBrokenError):
                await client.send(an_instance_request(upstream.address, 'GET'))
    await client.session.close()
    assert events['answers_with_odd_status'] == 1
    logged = [one for one in lines if one['event'] == 'status_line_not_valid']
    assert [one['status'] for one in logged] == [int(line.split()[1])]


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize('line', ['HTTP/1.1 000 Odd', 'HTTP/1.1 600 Odd'])
async def test_caller_gets_no_odd_answer(line: str, is_relayed: bool) -> None:
    # Guards against an odd status that reaches a caller, or a refusal that
    # says that nothing ran. The VM that relays may be of an older build.
    vm = an_edge_vm()
    vm.serve_alone()
    client = open_instance_client(NAMES)
    answer = answer_with(line).replace('Bronzewall-Request-Id: a-1\r\n', '')
    async with a_server([answer]) as upstream:

        async def behave(request: InstanceRequest) -> Any:
            return await client.send(
                an_instance_request(upstream.address, request.method)
            )

        name = 'vm-2' if is_relayed else 'i-1'
        vm.instances.behaviours_by_id[name] = behave
        if is_relayed:
            vm.instance_paths.path_to(ServiceName('drafts')).is_lost = True
            service = ServiceName('drafts')
            vm.sender.relay.peers._peer_by_service[service] = RelayPeer(
                service=service,
                vm_id=VmId('vm-2'),
                address=upstream.address,
                ticket='ticket',
                used_until=math.inf,
            )
        found = await vm.ask(a_caller_request(method='POST'))
    await client.session.close()
    assert found.status == 502
    assert b'"ran": "unknown"' in found.body


def a_platform_store(address: str) -> PlatformStore:
    return PlatformStore(
        address=address,
        session=_open_store_session(),
        clock=SystemClock(),
        metrics=Metrics(),
        region_by_zone={},
    )


async def read_store(address: str) -> None:
    store = a_platform_store(address)
    try:
        await store.read_configuration()
    finally:
        await store.close()


async def read_platform(address: str) -> None:
    async with open_platform_session() as session:
        client = PlatformClient(base_url=f'http://{address}', session=session)
        await client.get_path('/x')


async def write_platform(address: str) -> None:
    async with open_platform_session() as session:
        client = PlatformClient(base_url=f'http://{address}', session=session)
        await client.transact(checks=(), writes=())


async def read_admin(address: str) -> None:
    async with open_platform_session() as session:
        await AdminClient(session=session).fetch(address, '/status')


@pytest.mark.parametrize(
    ('read', 'error'),
    [
        (read_store, StoreError),
        (read_platform, StoreError),
        (write_platform, StoreAnswerLostError),
        (read_admin, AdminUnavailableError),
    ],
)
@pytest.mark.parametrize('line', _ODD_LINES)
async def test_odd_answer_of_a_store(line: str, read: Any, error: Any) -> None:
    # Guards against an answer of a store that is taken as one, and against a
    # transaction that is taken as not done though it may be.
    async with a_server([answer_with(line).replace('body', 'null')]) as found:
        with pytest.raises(error):
            async with asyncio.timeout(5):
                await read(found.address)

"""Tests of answers that break off at any byte, from instance to caller."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import attrs
import pytest
from cut_answers import (
    BODY,
    FRAMED,
    SIZED,
    START,
    UNFRAMED,
    WHOLE_CHUNKED,
    cut_one_byte_later_each_time,
    send_cut,
)
from edge_builders import (
    HOST,
    KEY,
    NAMES,
    PATH,
    EdgeVm,
    a_caller_request,
    a_vm,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)
from stopping_vm import free_ports
from test_instance_http import a_request

from bronzewall.adapters.entry_http import EntryServer
from bronzewall.adapters.instance_http import (
    InstanceClient,
    open_instance_client,
)
from bronzewall.edge.relay_peers import RelayPeer
from bronzewall.errors import UpstreamBrokenError
from bronzewall.standins.raw_upstream import RawConnection, RawUpstream
from bronzewall.types import RequestId

# Statuses that promise that a request has not run.
_PROMISES = (b'408', b'421', b'429', b'503')


@contextlib.asynccontextmanager
async def a_client() -> AsyncIterator[InstanceClient]:
    client = open_instance_client(NAMES)
    try:
        yield client
    finally:
        await client.session.close()


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('name', FRAMED)
async def test_cut_answer_is_no_answer(name: str, is_reset: bool) -> None:
    """Guards against a head, length or chunk that counts though cut short."""
    text, body = FRAMED[name]
    script = cut_one_byte_later_each_time(text, is_reset=is_reset)
    async with a_client() as client, RawUpstream(script=script) as upstream:
        for _ in text:
            with pytest.raises(UpstreamBrokenError):
                await client.send(a_request(upstream.address))
        answer = await client.send(a_request(upstream.address))
        assert answer.body == body
        # No connection was used again, and no request was sent twice.
        assert len(upstream.connections) == len(text) + 1


@pytest.mark.parametrize('name', FRAMED)
async def test_cut_answer_to_head_is_no_answer(name: str) -> None:
    """Guards against a cut head that counts because no body is due."""
    text, _ = FRAMED[name]
    end = text.replace(b'\n\n', b'\n\r\n').rindex(b'\n\r\n') + 3
    if b'chunked' in text:
        end = text.index(b'chunked') + len(b'chunked\r\n\r\n')
    script = cut_one_byte_later_each_time(text, is_reset=False)
    async with a_client() as client, RawUpstream(script=script) as upstream:
        request = a_request(upstream.address, method='HEAD')
        for _ in range(end - (name == 'bare line ends')):
            with pytest.raises(UpstreamBrokenError):
                await client.send(request)
        assert (await client.send(request)).body == b''


@pytest.mark.parametrize('is_reset', [False, True])
async def test_answer_without_length_ends_with_an_orderly_close(
    is_reset: bool,
) -> None:
    """Guards against a reset that counts as the end of a body."""
    head_size = len(UNFRAMED) - len(BODY)
    script = cut_one_byte_later_each_time(UNFRAMED, is_reset=is_reset)
    async with a_client() as client, RawUpstream(script=script) as upstream:
        for sent in range(len(UNFRAMED) + 1):
            if is_reset or sent < head_size:
                with pytest.raises(UpstreamBrokenError):
                    await client.send(a_request(upstream.address))
            else:
                answer = await client.send(a_request(upstream.address))
                assert answer.body == BODY[: sent - head_size]


@pytest.mark.parametrize(
    'status',
    [b'503 Full\r\nT-Not-Run: 1', b'421 Other', b'500 Failed', b'429 Many'],
)
@pytest.mark.parametrize('is_reset', [False, True])
async def test_cut_refusal_is_no_proof(status: bytes, is_reset: bool) -> None:
    """Guards against a "not run" that is read from a cut answer."""
    text = SIZED.replace(b'200 OK', status)
    script = cut_one_byte_later_each_time(text, is_reset=is_reset)
    async with a_client() as client, RawUpstream(script=script) as upstream:
        for _ in text:
            with pytest.raises(UpstreamBrokenError):
                await client.send(a_request(upstream.address))


@attrs.define(kw_only=True, eq=False)
class Instance:
    """An instance that breaks off the answers that it gives first.

    :param cuts: bytes of each answer that is broken off.
    """

    text: bytes
    is_reset: bool
    cuts: list[int]
    heads: list[bytes] = attrs.field(factory=list)

    async def run(self, connection: RawConnection, _number: int) -> None:
        while True:
            self.heads.append(await connection.read_request())
            if self.cuts:
                cut = self.cuts.pop()
                await send_cut(
                    connection, self.text, cut, is_reset=self.is_reset
                )
                return
            await connection.send(SIZED)


@contextlib.asynccontextmanager
async def a_front(vm: EdgeVm, client: InstanceClient) -> AsyncIterator[int]:
    """Connect a VM to callers and instances over loopback; yield its port."""
    vm.path.sender.instances = client
    port = free_ports(1)[0]
    entry = EntryServer(
        listen=f'127.0.0.1:{port}',
        handler=vm.path.handle,
        on_bad_input=vm.path.bad_input,
        max_body_bytes=1000,
        is_parallel=True,
    )
    await entry.start()
    try:
        yield port
    finally:
        await entry.stop()


async def ask(port: int, method: str = 'GET') -> bytes:
    """Return all that a caller receives."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    lines = [
        f'{method} {PATH} HTTP/1.1',
        f'Host: {HOST}',
        'T-Attempt: a-1',
        'T-Deadline: 2000',
        f'Authorization: Bearer {KEY}',
        'Connection: close',
        '',
        '',
    ]
    writer.write('\r\n'.join(lines).encode())
    received = await reader.read()
    writer.close()
    return received


def assert_own_failure(received: bytes) -> None:
    """Check that an answer is a 502 that nobody takes for an instance's."""
    head, _, body = received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 502 ')
    assert b't-seal' not in received.lower()
    assert json.loads(body)['ran'] == 'unknown'


def assert_whole(received: bytes) -> None:
    head, _, body = received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200 ')
    assert b'T-Seal: s' in head
    assert b'Content-Length: 50' in head
    assert body == BODY


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('text', [SIZED, WHOLE_CHUNKED])
@pytest.mark.parametrize('idempotent', [False, True])
async def test_caller_gets_a_whole_answer_or_a_failure(
    text: bytes, is_reset: bool, idempotent: bool
) -> None:
    """Guards against short answers, and against work that runs twice.

    Only an idempotent request goes to the second instance.
    """
    for cut, _ in enumerate(text):
        instance = Instance(text=text, is_reset=is_reset, cuts=[cut])
        async with (
            a_client() as client,
            RawUpstream(script=instance.run) as one,
            RawUpstream(script=instance.run) as other,
        ):
            vm = an_edge_vm(a_vm())
            vm.serve_alone(
                an_edge_instance('i-1', address=one.address),
                an_edge_instance('i-2', address=other.address),
                configuration=an_edge_configuration(
                    routes=(an_edge_route(idempotent=idempotent),)
                ),
            )
            async with a_front(vm, client) as port:
                received = await ask(port, 'GET' if idempotent else 'POST')
            # The failure is recorded once a probe shows that the path holds.
            await vm.instance_paths.path_to('drafts').settle()
            events = vm.path.metrics.events
            assert events['attempt_UpstreamBrokenError'] == 1
            now = vm.clock.now()
            failing = [
                vm.state.failure_probability(name, now=now)
                for name in ('i-1', 'i-2')
            ]
            assert max(failing) > min(failing)
            counts = sorted((len(one.connections), len(other.connections)))
        if idempotent:
            assert_whole(received)
            assert (len(instance.heads), counts) == (2, [1, 1])
        else:
            assert_own_failure(received)
            assert (len(instance.heads), counts) == (1, [0, 1])


@pytest.mark.parametrize(
    'text', [START, START + b'Bad Name: 1\r\n\r\n', b'T-Seal: s\r\n\r\n']
)
async def test_refusal_quotes_neither_answer_nor_request(text: bytes) -> None:
    """Guards against headers of instances and of the fleet in refusals."""
    instance = Instance(text=text, is_reset=False, cuts=[len(text)])
    async with (
        a_client() as client,
        RawUpstream(script=instance.run) as upstream,
    ):
        vm = an_edge_vm(a_vm())
        vm.serve_alone(
            an_edge_instance('i-1', address=upstream.address),
            configuration=an_edge_configuration(
                routes=(an_edge_route(idempotent=False),)
            ),
        )
        async with a_front(vm, client) as port:
            received = await ask(port)
    assert_own_failure(received)
    for hidden in ('T-Account', 'T-Target', upstream.address):
        assert hidden.encode() not in received


async def test_attempts_bound_the_instances_that_break_off() -> None:
    """Guards against a request that is sent on while answers break off."""
    instance = Instance(text=SIZED, is_reset=False, cuts=[60 for _ in range(9)])
    async with a_client() as client, contextlib.AsyncExitStack() as stack:
        upstreams = [
            await stack.enter_async_context(RawUpstream(script=instance.run))
            for _ in range(4)
        ]
        vm = an_edge_vm(a_vm())
        vm.serve_alone(
            *(
                an_edge_instance(f'i-{number}', address=upstream.address)
                for number, upstream in enumerate(upstreams)
            )
        )
        async with a_front(vm, client) as port:
            assert_own_failure(await ask(port))
        assert len(instance.heads) == 2


async def test_cut_answer_on_a_kept_connection() -> None:
    """Guards against a rest of the answer before that completes a cut one."""
    cuts: list[int] = []
    for cut, _ in enumerate(SIZED):
        cuts.append(cut)

        async def script(connection: RawConnection, _number: int) -> None:
            await connection.read_request()
            await connection.send(SIZED)
            await connection.read_request()
            await send_cut(connection, SIZED, cuts.pop(), is_reset=False)

        async with a_client() as client, RawUpstream(script=script) as upstream:
            await client.send(a_request(upstream.address))
            with pytest.raises(UpstreamBrokenError):
                await client.send(a_request(upstream.address))
            assert len(upstream.connections) == 1
            assert not client.connector._conns


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize(
    'text',
    [
        SIZED,
        # What another VM answers to a request that it refuses.
        START.replace(b'200 OK', b'503 Busy').replace(b'T-Seal: s\r\n', b'')
        + b'Bronzewall-Request-Id: a-1\r\nContent-Length: 44\r\n\r\n'
        + b'{"reason": "overloaded", "ran": "no", "x":0}',
    ],
)
async def test_cut_answer_of_another_vm(text: bytes, is_reset: bool) -> None:
    """Guards against a relayed request that is reported as not run.

    It may have run on an instance, so it goes to no second VM.
    """
    script = cut_one_byte_later_each_time(text, is_reset=is_reset)
    async with a_client() as client, RawUpstream(script=script) as upstream:
        vm = an_edge_vm(a_vm())
        vm.serve_alone()
        relay = vm.path.sender.relay
        relay.instances = client
        for _ in text:
            exchange = vm.gate.open(
                a_caller_request(), RequestId('a-1'), vm.clock.now()
            )
            relay.peers._peer_by_service[exchange.service] = RelayPeer(
                service=exchange.service,
                vm_id='vm-2',
                address=upstream.address,
                ticket='t',
                used_until=vm.clock.now() + 9,
            )
            with pytest.raises(UpstreamBrokenError):
                await relay.send(exchange)
            assert exchange.runs == 1
        assert len(upstream.connections) == len(text)

"""Tests of refusals that an instance writes once more, over raw sockets."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable

import attrs
import pytest
from edge_builders import NAMES, a_caller_request, an_edge_vm

from bronzewall.adapters.instance_http import (
    InstanceClient,
    open_instance_client,
)
from bronzewall.adapters.platform_http import (
    PlatformClient,
    open_platform_session,
)
from bronzewall.edge.composition import _open_store_session
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.edge.relay_peers import RelayPeer
from bronzewall.errors import (
    StoreUnavailableError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamShedError,
    UpstreamTimeoutError,
    WrongInstanceError,
)
from bronzewall.problems import Reason, RefusalError, problem_document
from bronzewall.standins.raw_upstream import RawUpstream, Script
from bronzewall.types import RequestId, ServiceName, VmId

NOT_RUN_ERRORS = (UpstreamShedError, WrongInstanceError)


def an_answer(status: str, *lines: str, body: str = '') -> bytes:
    """Return an answer with a length."""
    head = (f'HTTP/1.1 {status}', *lines, f'Content-Length: {len(body)}')
    return '\r\n'.join((*head, '', body)).encode()


def a_success(attempt_id: str) -> bytes:
    """Return the answer to a request that has run."""
    return an_answer(
        '200 OK', f'T-Attempt: {attempt_id}', 'T-Seal: s', body='body'
    )


def a_failure(attempt_id: str) -> bytes:
    """Return the answer to a request that has run and failed."""
    return an_answer(
        '500 Failed', f'T-Attempt: {attempt_id}', 'T-Seal: s', body='fail'
    )


def a_refusal(attempt_id: str, *lines: str) -> bytes:
    """Return the answer to a request that has not run."""
    return an_answer(
        '503 Full', 'T-Not-Run: 1', f'T-Attempt: {attempt_id}', *lines
    )


SILENT_REFUSAL = an_answer('503 Full', 'Date: now', 'T-Not-Run: 1')


@attrs.frozen(kw_only=True)
class Instance:
    """One raw upstream and the client that calls it."""

    client: InstanceClient
    upstream: RawUpstream

    async def send(self, attempt_id: str, **changes) -> InstanceAnswer:
        """Send a request."""
        fields = {
            'instance_id': 'i-1',
            'address': self.upstream.address,
            'method': 'GET',
            'target': '/x',
            'headers': (('Host', 'h'), ('T-Attempt', attempt_id)),
            'body': b'',
            'attempt_id': attempt_id,
            'timeout': 2.0,
            'connect_timeout': 0.3,
        }
        return await self.client.send(InstanceRequest(**{**fields, **changes}))

    async def outcome(self, attempt_id: str, **changes):
        """Return the answer's status and body, or the type of the error."""
        try:
            answer = await self.send(attempt_id, **changes)
        except UpstreamError as exc:
            return type(exc)
        return answer.status, answer.body


@contextlib.asynccontextmanager
async def an_instance(script: Script) -> AsyncIterator[Instance]:
    client = open_instance_client(NAMES)
    try:
        async with RawUpstream(script=script) as upstream:
            yield Instance(client=client, upstream=upstream)
    finally:
        await client.session.close()


def answers_in_turn(*answers: bytes) -> Script:
    """Return a script that sends one of the answers for each request."""

    async def script(connection, _number) -> None:
        for answer in answers:
            await connection.read_request()
            await connection.send(answer)

    return script


def beginnings(text: bytes) -> list[bytes]:
    """Return every beginning of an answer, but not the whole of it."""
    return [text[:end] for end in range(1, len(text))]


COPIES: dict[str, Callable[[str], bytes]] = {
    'refusal': a_refusal,
    'refusal without an echo': lambda _attempt_id: SILENT_REFUSAL,
    'success': a_success,
    'failure': a_failure,
}


@pytest.mark.parametrize('copy', COPIES.values(), ids=COPIES)
@pytest.mark.parametrize('own', [a_success, a_failure])
async def test_half_copy_before_an_answer_is_not_its_beginning(
    copy, own
) -> None:
    # Guards against a header block that begins with a part of an earlier
    # answer: its "not run" or its status, with the echo of a request that ran.
    earlier, answer = copy('a-1'), own('a-2')
    whole = {(200, b'body'), (500, b'fail')}
    for half in beginnings(earlier):
        script = answers_in_turn(earlier, half + answer)
        async with an_instance(script) as instance:
            await instance.outcome('a-1')
            found = await instance.outcome('a-2', timeout=0.5)
            assert found not in NOT_RUN_ERRORS, half
            assert found not in whole, half


@pytest.mark.parametrize('copy', COPIES.values(), ids=COPIES)
async def test_copy_within_a_header_block_is_no_part_of_it(copy) -> None:
    # Guards against a "not run" or a status that a copy of an earlier answer
    # adds to the answer within which it is written.
    earlier, answer = copy('a-1'), a_success('a-2')
    for cut in range(1, answer.index(b'\r\n\r\n')):
        text = answer[:cut] + earlier + answer[cut:]
        async with an_instance(answers_in_turn(earlier, text)) as instance:
            await instance.outcome('a-1')
            found = await instance.outcome('a-2', timeout=0.5)
            assert found is UpstreamBrokenError, text


@pytest.mark.parametrize('copy', COPIES.values(), ids=COPIES)
async def test_connection_ends_with_an_answer_to_another_request(copy) -> None:
    # Guards against further use of a connection on which answers are one
    # request late: each request that follows would lose its answer.
    ran = []

    async def script(connection, number) -> None:
        attempt_id = 'a-1'
        if number:
            attempt_id = 'a-3'
        await connection.read_request()
        await connection.send(a_success(attempt_id))
        await connection.read_request()
        ran.append(number)
        await connection.send(copy('a-1'))

    async with an_instance(script) as instance:
        assert await instance.outcome('a-1') == (200, b'body')
        assert await instance.outcome('a-2') is UpstreamBrokenError
        async with asyncio.timeout(2):
            await instance.upstream.connections[0].closed.wait()
        assert await instance.outcome('a-3') == (200, b'body')
    assert ran == [0]


async def test_answer_to_another_request_is_not_awaited() -> None:
    # Guards against a wait until the deadline for the rest of a copy, and
    # against what it states about idle connections.
    text = a_success('a-1').replace(b'T-Seal', b'Keep-Alive: timeout=1\r\nT-S')
    async with an_instance(
        answers_in_turn(a_success('a-1'), text[:-2])
    ) as instance:
        await instance.send('a-1')
        before = instance.client.connector._keepalive_timeout
        assert await instance.outcome('a-2') is UpstreamBrokenError
        assert instance.client.connector._keepalive_timeout == before


@pytest.mark.parametrize(
    'lines',
    [
        ('T-Attempt: a-2', 'T-Attempt: a-1'),
        ('T-Attempt: a-1', 'T-Attempt: a-2'),
        ('T-Attempt: a-2, a-1',),
        ('T-Attempt: a-2', 'T-Attempt:'),
    ],
)
@pytest.mark.parametrize('is_first', [True, False])
@pytest.mark.parametrize('status', ['503 Full', '421 Other', '200 OK'])
async def test_answer_that_names_two_requests_is_believed_for_neither(
    lines: tuple[str, ...], is_first: bool, status: str
) -> None:
    # Guards against the use of the first of several ids: the rest of a
    # header block may be a copy's.
    earlier = () if is_first else (a_success('a-0'),)
    text = an_answer(status, *lines, 'T-Seal: s', 'T-Not-Run: 1')
    script = answers_in_turn(*earlier, text)
    async with an_instance(script) as instance:
        for _ in earlier:
            await instance.send('a-0')
        assert await instance.outcome('a-2') is UpstreamBrokenError
        async with asyncio.timeout(2):
            await instance.upstream.connections[0].closed.wait()


NOT_RUN = ('T-Attempt: a-1', 'T-Not-Run: 1')


@pytest.mark.parametrize(
    'text',
    [
        # Success, and the two failures that count as run.
        an_answer('200 OK', *NOT_RUN, 'T-Seal: s'),
        an_answer('500 Failed', *NOT_RUN),
        an_answer('504 Late', *NOT_RUN),
        an_answer('302 Found', *NOT_RUN),
        an_answer('503 Full', *NOT_RUN, 'T-Not-Run: 0'),
        an_answer('503 Full', *NOT_RUN, 'Content-Length: 4'),
        # The instance that was asked says that it is another one.
        an_answer('421 Other', *NOT_RUN, 'T-Instance: i-1'),
        an_answer('421 Other', 'T-Attempt: a-1', 'T-Instance: i-1'),
        an_answer('421 Other', *NOT_RUN, 'T-Instance: i-2', 'T-Instance: i-1'),
    ],
)
async def test_refusal_that_contradicts_itself_proves_nothing(
    text: bytes,
) -> None:
    # Guards against a header of a copy that turns another answer into the
    # statement that the request has not run.
    async with an_instance(answers_in_turn(text)) as instance:
        assert await instance.outcome('a-1') is UpstreamBrokenError
        async with asyncio.timeout(2):
            await instance.upstream.connections[0].closed.wait()


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        ('400 Bad', UpstreamShedError),
        ('408 Late', UpstreamShedError),
        ('429 Many', UpstreamShedError),
        ('503 Full', UpstreamShedError),
        ('421 Other', WrongInstanceError),
    ],
)
async def test_true_refusal_is_believed(
    status: str, error: type[UpstreamError]
) -> None:
    # Guards against rules so strict that no refusal passes.
    text = an_answer(status, *NOT_RUN)
    async with an_instance(answers_in_turn(text, text)) as instance:
        assert await instance.outcome('a-1') is error


@pytest.mark.parametrize(
    'refusal', [a_refusal('a-1'), an_answer('421 Other', 'T-Attempt: a-1')]
)
async def test_second_refusal_of_an_attempt_is_not_believed(
    refusal: bytes,
) -> None:
    # Guards against a copy of the refusal of an attempt that comes while the
    # instance runs the same attempt: the echoed id is right.
    script = answers_in_turn(refusal, a_success('a-0'), refusal)
    async with an_instance(script) as instance:
        assert await instance.outcome('a-1') in NOT_RUN_ERRORS
        assert await instance.outcome('a-0') == (200, b'body')
        assert await instance.outcome('a-1') is UpstreamBrokenError
        assert len(instance.upstream.connections) == 1
        # On a connection that has not refused it, a refusal is its own.
        assert await instance.outcome('a-1') in NOT_RUN_ERRORS


@pytest.mark.parametrize('others', [1, 20, 50, 200])
async def test_refusal_is_remembered_as_long_as_its_connection(
    others: int,
) -> None:
    # Guards against a copy that comes after many further refusals.
    sent = [f'a-{number}' for number in range(others)]

    async def script(connection, _number) -> None:
        while True:
            head = await connection.read_request()
            attempt_id = head.partition(b'T-Attempt: ')[2].split()[0]
            await connection.send(a_refusal(attempt_id.decode()))

    async with an_instance(script) as instance:
        for attempt_id in sent:
            assert await instance.outcome(attempt_id) in NOT_RUN_ERRORS
        is_kept = len(instance.upstream.connections) == 1
        found = await instance.outcome('a-0')
        assert (found is UpstreamBrokenError) == is_kept
        # The memory of a connection is bounded, and new ones are few.
        assert is_kept == (others < 32)
        assert len(instance.upstream.connections) <= 1 + others / 30


async def test_connection_that_begins_with_an_answer_is_not_used() -> None:
    # Guards against a refusal that was written before any request was sent;
    # on a new connection it needs no echo.
    async def script(connection, _number) -> None:
        await connection.send(SILENT_REFUSAL)

    async with an_instance(script) as instance:
        host, _, port = instance.upstream.address.partition(':')
        _, handler = await asyncio.get_running_loop().create_connection(
            instance.client.connector._factory, host, int(port)
        )
        async with asyncio.timeout(2):
            await instance.upstream.connections[0].closed.wait()
        assert not handler.is_connected()


REFUSED_WRITE = an_answer('503 Down', body='down')


@pytest.mark.parametrize(
    'open_session', [open_platform_session, _open_store_session]
)
async def test_refused_write_of_the_store_is_not_read_from_a_copy(
    open_session,
) -> None:
    # Guards against a write that was done and is reported as not done, since
    # a copy of an earlier refusal had come on the idle connection.
    done = []

    async def script(connection, number) -> None:
        head = await connection.read_request()
        if number:
            assert b'POST /table/transact ' in head
            done.append(number)
            await connection.send(an_answer('200 OK'))
            return
        await connection.send(REFUSED_WRITE)
        await asyncio.sleep(0.02)
        await connection.send(REFUSED_WRITE)

    async with (
        RawUpstream(script=script) as store,
        open_session() as session,
    ):
        client = PlatformClient(
            base_url=f'http://{store.address}', session=session
        )
        with pytest.raises(StoreUnavailableError):
            await client.transact(checks=(), writes=())
        await asyncio.sleep(0.1)
        await client.transact(checks=(), writes=())
    assert done == [1]


CHUNKS = 'HTTP/1.1 200 OK\r\nT-Attempt: a-1\r\nT-Seal: s\r\n{}\r\n\r\n{}'
FORMS = {
    'length': ('GET', a_success('a-1')),
    'no body': ('GET', an_answer('404 None', 'T-Attempt: a-1')),
    'HEAD': ('HEAD', a_success('a-1').removesuffix(b'body')),
    '204': ('GET', an_answer('204 None', 'T-Attempt: a-1', 'T-Seal: s')),
    '304': ('GET', b'HTTP/1.1 304 Same\r\nT-Attempt: a-1\r\n\r\n'),
    'interim': ('GET', b'HTTP/1.1 103 Hints\r\n\r\n' + a_success('a-1')),
    'chunks': (
        'GET',
        CHUNKS.format(
            'Transfer-Encoding: chunked', '4\r\nbody\r\n0\r\n\r\n'
        ).encode(),
    ),
    'trailers': (
        'GET',
        CHUNKS.format(
            'Transfer-Encoding: chunked',
            '4\r\nbody\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n',
        ).encode(),
    ),
}


@pytest.mark.parametrize('form', FORMS)
async def test_refusal_with_the_end_of_an_answer_is_dropped(form: str) -> None:
    # Guards against the use of a connection after bytes that came with the end
    # of an answer. Both requests have one id, so that the echo can't help.
    method, answer = FORMS[form]
    text = answer + a_refusal('a-1')
    cuts = [cut for cut in range(1, len(text)) if cut != len(answer)]

    def script_of(cut: int) -> Script:
        async def script(connection, number) -> None:
            await connection.read_request()
            if number:
                await connection.send(answer)
                return
            await connection.send(text[:cut])
            await asyncio.sleep(0.001)
            await connection.send(text[cut:])

        return script

    for cut in cuts:
        async with an_instance(script_of(cut)) as instance:
            for _ in range(2):
                status, _ = await instance.outcome('a-1', method=method)
                assert status == int(answer.rpartition(b'HTTP/1.1 ')[2][:3])
            assert len(instance.upstream.connections) == 2


@pytest.mark.parametrize('surplus', [a_refusal('a-1'), SILENT_REFUSAL])
@pytest.mark.parametrize(
    'begin',
    [
        CHUNKS.format('Transfer-Encoding: chunked', '').encode(),
        CHUNKS.format('Transfer-Encoding: chunked', '4\r\nbo').encode(),
        CHUNKS.format('Transfer-Encoding: chunked', '4\r\nbody\r\n').encode(),
        CHUNKS.format('Content-Length: 4000', 'body').encode(),
    ],
)
async def test_refusal_after_the_beginning_of_an_answer_is_no_refusal(
    begin: bytes, surplus: bytes
) -> None:
    # Guards against "not run" after an instance began to answer.
    async with an_instance(answers_in_turn(begin + surplus)) as instance:
        found = await instance.outcome('a-1', timeout=0.1)
        assert found in (UpstreamBrokenError, UpstreamTimeoutError)


@pytest.mark.parametrize(
    ('interim', 'is_believed'),
    [('100 Continue', True), ('102 Processing', False), ('103 Hints', False)],
)
@pytest.mark.parametrize('status', ['503 Full', '421 Other'])
@pytest.mark.parametrize('is_split', [True, False])
async def test_refusal_after_the_start_of_work_is_not_believed(
    interim: str, is_believed: bool, status: str, is_split: bool
) -> None:
    # Guards against "not run" for a request of which the instance has said
    # that it works on it.
    async def script(connection, _number) -> None:
        await connection.read_request()
        head = f'HTTP/1.1 {interim}\r\n\r\n'.encode()
        if is_split:
            await connection.send(head)
            await asyncio.sleep(0.005)
            head = b''
        await connection.send(head + an_answer(status, *NOT_RUN))

    async with an_instance(script) as instance:
        found = await instance.outcome('a-1')
        assert (found in NOT_RUN_ERRORS) == is_believed
        assert is_believed or found is UpstreamBrokenError


def a_refusal_of_a_vm(attempt_id: str) -> bytes:
    """Return the answer of a VM that has refused a relayed request."""
    problem = problem_document(
        refusal=RefusalError(reason=Reason.OVERLOADED, retry_after=0.3),
        request_id=RequestId(attempt_id),
        is_exact=True,
    )
    lines = [f'{name}: {text}' for name, text in problem.headers]
    head = ('HTTP/1.1 503 Busy', *lines, f'T-Attempt: {attempt_id}', '', '')
    return '\r\n'.join(head).encode() + problem.body


@pytest.mark.parametrize('second_id', ['a-2', 'a-1'])
async def test_refusal_of_another_vm_is_not_read_from_a_copy(
    second_id: str,
) -> None:
    # Guards against "not run" for a relayed request that the other VM serves:
    # it would be sent to a third VM, and its rate token be given back.
    refusal = a_refusal_of_a_vm('a-1')
    vm = an_edge_vm()
    vm.serve_alone()
    async with an_instance(answers_in_turn(refusal, refusal)) as instance:
        vm.instances.behaviours_by_id['vm-2'] = instance.client.send
        peer = RelayPeer(
            service=ServiceName('drafts'),
            vm_id=VmId('vm-2'),
            address=instance.upstream.address,
            ticket='ticket',
            used_until=math.inf,
        )
        errors = []
        for attempt_id in ('a-1', second_id):
            exchange = vm.gate.open(
                a_caller_request(), RequestId(attempt_id), vm.clock.now()
            )
            with pytest.raises(UpstreamError) as raised:
                await vm.sender.relay._send_to(peer, exchange)
            errors.append((type(raised.value), exchange.runs))
        assert len(instance.upstream.connections) == 1
    assert errors == [(UpstreamShedError, 0), (UpstreamBrokenError, 1)]

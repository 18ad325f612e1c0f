"""Tests of the client of upstreams against raw TCP upstreams."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from bronzewall.adapters.upstream_http import AiohttpUpstreams, open_session
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.ports import UpstreamRequest
from bronzewall.standins.raw_upstream import (
    RawConnection,
    RawUpstream,
    Script,
)


def _ok(*headers: bytes, body: bytes = b'') -> bytes:
    """Return a 200 answer with the given headers and body."""
    return b'\r\n'.join((b'HTTP/1.1 200 OK', *headers, b'', body))


CHUNKED = b'Transfer-Encoding: chunked'
# Connections are used again only if the answer echoes the request's id.
WHOLE = _ok(b'Bronzewall-Request-Id: r-1', b'Content-Length: 4', body=b'good')
SILENT = _ok(b'Content-Length: 4', body=b'good')
SHED = b'HTTP/1.1 503 Busy\r\nX-Load-Shed: 1\r\nContent-Length: 0\r\n\r\n'
CROSSED = _ok(b'Content-Length: 5', body=b'wrong')


@pytest.fixture
async def upstreams() -> AsyncIterator[AiohttpUpstreams]:
    """Return the adapter with its own session."""
    session = open_session()
    yield AiohttpUpstreams(session=session)
    await session.close()


async def _read(upstreams: AiohttpUpstreams, request: UpstreamRequest) -> bytes:
    exchange = await upstreams.exchange(request)
    try:
        return b''.join([chunk async for chunk in exchange.answer.body])
    finally:
        exchange.close()


def _send_once(answer: bytes, *, is_reset: bool = False) -> Script:
    """Return a script that answers once, then closes or resets."""

    async def script(connection: RawConnection, _number: int) -> None:
        await connection.read_request()
        await connection.send(answer)
        if is_reset:
            connection.reset()
        connection.writer.close()

    return script


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize(
    'answer',
    [
        pytest.param(_ok(b'Content-Length: 9', body=b'half'), id='short'),
        pytest.param(_ok(CHUNKED, body=b'4\r\nhalf\r\n'), id='no-last-chunk'),
        pytest.param(_ok(CHUNKED, body=b'9\r\nhalf'), id='half-chunk'),
        pytest.param(_ok(CHUNKED, body=b'zz\r\nhalf'), id='bad-chunk-size'),
        pytest.param(_ok(body=b'half'), id='no-length'),
        pytest.param(b'', id='no-answer'),
        pytest.param(b'nonsense\r\n\r\n', id='not-http'),
        pytest.param(
            _ok(
                CHUNKED,
                b'Content-Length: 4',
                body=b'4\r\ngood\r\n0\r\n\r\n',
            ),
            id='chunked-and-length',
        ),
        pytest.param(
            _ok(b'Content-Length: 4', b'Content-Length: 6', body=b'goodxx'),
            id='two-lengths',
        ),
        pytest.param(_ok(b'Content-Length: -4', body=b'good'), id='bad-length'),
        pytest.param(
            _ok(
                b'Bronzewall-Request-Id: r-0',
                b'Content-Length: 4',
                body=b'late',
            ),
            id='crossed',
        ),
        pytest.param(
            _ok(
                b'Bronzewall-Request-Id: r-1',
                b'Bronzewall-Request-Id: r-0',
                b'Content-Length: 4',
                body=b'late',
            ),
            id='two-ids',
        ),
    ],
)
async def test_incomplete_answer_raises(
    upstreams: AiohttpUpstreams, answer: bytes, is_reset: bool
) -> None:
    """Guards against accepting a partial answer or one to another request."""
    async with RawUpstream(
        script=_send_once(answer, is_reset=is_reset)
    ) as server:
        with pytest.raises(UpstreamBrokenError):
            await _read(upstreams, server.request())
        assert len(server.connections) == 1


async def test_shed_answer_is_not_run(upstreams: AiohttpUpstreams) -> None:
    """Guards against counting an explicit refusal as a run request."""
    shed = b'HTTP/1.1 503 Busy\r\nX-Load-Shed: 1\r\nContent-Length: 0\r\n\r\n'
    async with RawUpstream(script=_send_once(shed)) as server:
        with pytest.raises(UpstreamShedError):
            await _read(upstreams, server.request())


async def test_shed_answer_after_the_start_of_work_is_not_believed(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against "not run" for a request that the upstream works on."""
    answer = b'HTTP/1.1 102 Processing\r\n\r\n' + SHED
    async with RawUpstream(script=_send_once(answer)) as server:
        with pytest.raises(UpstreamBrokenError):
            await _read(upstreams, server.request())


async def test_refused_connection_is_not_run(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against reporting an unknown outcome when nothing was sent."""
    async with RawUpstream(script=_send_once(WHOLE)) as server:
        request = server.request()
    with pytest.raises(ConnectFailedError):
        await _read(upstreams, request)


async def test_passed_deadline_sends_nothing(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against a timeout of 0, which aiohttp treats as none."""
    async with RawUpstream(script=_send_once(WHOLE)) as server:
        with pytest.raises(ConnectFailedError):
            await _read(upstreams, server.request(timeout=0))
        assert not server.connections


async def test_late_answer_is_not_given_to_the_next_request(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against reuse of a connection after an abandoned exchange."""

    async def script(connection: RawConnection, number: int) -> None:
        await connection.read_request()
        if number:
            await connection.send(WHOLE)
            return
        await connection.reader.read()
        await connection.send(CROSSED)

    async with RawUpstream(script=script) as server:
        with pytest.raises(UpstreamTimeoutError):
            await _read(upstreams, server.request(timeout=0.05))
        assert await _read(upstreams, server.request()) == b'good'
        assert len(server.connections) == 2


async def test_unread_answer_is_not_given_to_the_next_request(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against reuse after only a part of the body was read."""

    async def script(connection: RawConnection, number: int) -> None:
        await connection.read_request()
        if number:
            await connection.send(WHOLE)
            return
        await connection.send(_ok(b'Content-Length: 9', body=b'half'))

    async with RawUpstream(script=script) as server:
        exchange = await upstreams.exchange(server.request())
        exchange.close()
        assert await _read(upstreams, server.request()) == b'good'


async def test_complete_answer_keeps_the_connection(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against a new connection, about 1 ms, for each request."""

    async def script(connection: RawConnection, _number: int) -> None:
        while True:
            await connection.read_request()
            await connection.send(WHOLE)

    async with RawUpstream(script=script) as server:
        for _ in range(3):
            assert await _read(upstreams, server.request()) == b'good'
        assert len(server.connections) == 1


async def test_connection_of_an_upstream_without_echo_is_not_reused(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against a late second copy that nothing tells apart."""

    async def script(connection: RawConnection, _number: int) -> None:
        await connection.read_request()
        await connection.send(SILENT)
        await connection.read_request()
        # The copy of the first answer comes before the second answer.
        await connection.send(SILENT)

    async with RawUpstream(script=script) as server:
        for number in range(2):
            request = server.request(request_id=f'r-{number}')
            assert await _read(upstreams, request) == b'good'
        assert len(server.connections) == 2


@pytest.mark.parametrize(
    'late',
    [
        WHOLE,
        SILENT,
        b'HTTP/1.1 503 Busy\r\nX-Load-Shed: 1\r\nContent-Length: 0\r\n\r\n',
    ],
)
@pytest.mark.parametrize('is_before', [True, False])
async def test_late_copy_is_no_answer_to_the_next_request(
    upstreams: AiohttpUpstreams, late: bytes, is_before: bool
) -> None:
    """Guards against an answer, or a "not run", of the request before."""
    may_send = asyncio.Event()

    async def script(connection: RawConnection, number: int) -> None:
        await connection.read_request()
        await connection.send(WHOLE)
        if number:
            return
        if is_before:
            await connection.send(late)
            may_send.set()
            return
        await connection.read_request()
        await connection.send(late)

    async with RawUpstream(script=script) as server:
        assert await _read(upstreams, server.request()) == b'good'
        if is_before:
            # The copy is there before the next request is sent.
            await may_send.wait()
            await asyncio.sleep(0.05)
            assert await _read(upstreams, server.request()) == b'good'
            return
        with pytest.raises(UpstreamBrokenError):
            await _read(upstreams, server.request(request_id='r-2'))


@pytest.mark.parametrize('late', [WHOLE, SILENT, SHED])
async def test_half_copy_is_no_beginning_of_the_next_answer(
    upstreams: AiohttpUpstreams, late: bytes
) -> None:
    """Guards against a header block put together from two answers."""
    failure = (
        b'HTTP/1.1 500 Failed\r\nBronzewall-Request-Id: r-2\r\n'
        b'Content-Length: 4\r\n\r\nfail'
    )

    def script_of(half: bytes) -> Script:
        async def script(connection: RawConnection, _number: int) -> None:
            await connection.read_request()
            await connection.send(WHOLE)
            await connection.read_request()
            await connection.send(half + failure)

        return script

    for end in range(len(late) - 1, 0, -1):
        async with RawUpstream(script=script_of(late[:end])) as server:
            await _read(upstreams, server.request())
            # An answer without a body may also time out: it is not complete.
            with pytest.raises((UpstreamBrokenError, UpstreamTimeoutError)):
                await _read(
                    upstreams, server.request(request_id='r-2', timeout=0.5)
                )


HALF_HEAD = b'HTTP/1.1 200 OK\r\nConte'


@pytest.mark.parametrize(
    ('with_answer', 'after_answer'),
    [(CROSSED, b''), (b'', CROSSED), (b'', HALF_HEAD)],
)
async def test_second_answer_without_request_is_dropped(
    upstreams: AiohttpUpstreams, with_answer: bytes, after_answer: bytes
) -> None:
    """Guards against using an unsolicited answer for the next request."""
    may_send = asyncio.Event()

    async def script(connection: RawConnection, number: int) -> None:
        await connection.read_request()
        if number:
            await connection.send(WHOLE)
            return
        await connection.send(WHOLE + with_answer)
        await may_send.wait()
        await connection.send(after_answer)

    async with RawUpstream(script=script) as server:
        assert await _read(upstreams, server.request()) == b'good'
        may_send.set()
        await server.connections[0].closed.wait()
        assert await _read(upstreams, server.request()) == b'good'
        assert len(server.connections) == 2


async def test_rest_of_an_unsolicited_answer_is_never_read(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against reading the rest of a partial answer as a new one."""

    async def script(connection: RawConnection, _number: int) -> None:
        await connection.read_request()
        await connection.send(WHOLE + HALF_HEAD)
        await connection.read_request()
        await connection.send(CROSSED.removeprefix(HALF_HEAD))

    async with RawUpstream(script=script) as server:
        for _ in range(2):
            assert await _read(upstreams, server.request()) == b'good'
        assert len(server.connections) == 2


async def test_endless_body_ends_at_the_deadline(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against waiting for an endless answer past the deadline."""

    async def script(connection: RawConnection, _number: int) -> None:
        await connection.read_request()
        await connection.send(_ok(CHUNKED))
        while not connection.writer.is_closing():
            await connection.send(b'4\r\nmore\r\n')
            await asyncio.sleep(0.01)

    async with RawUpstream(script=script) as server:
        with pytest.raises(UpstreamTimeoutError):
            await _read(upstreams, server.request(timeout=0.1))


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_request_is_not_resent_when_a_kept_connection_breaks(
    upstreams: AiohttpUpstreams, method: str
) -> None:
    """Guards against automatic retries by aiohttp."""
    heads: list[bytes] = []

    async def script(connection: RawConnection, _number: int) -> None:
        heads.append(await connection.read_request())
        await connection.send(WHOLE)
        heads.append(await connection.read_request())
        connection.reset()

    async with RawUpstream(script=script) as server:
        await _read(upstreams, server.request(method=method))
        with pytest.raises(UpstreamBrokenError):
            await _read(upstreams, server.request(method=method))
        assert len(heads) == 2
        assert len(server.connections) == 1


async def _cancel(
    call: Callable[[], Awaitable[object]], started: asyncio.Event
) -> None:
    task = asyncio.ensure_future(call())
    await started.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_cancellation_reaches_the_upstream(
    upstreams: AiohttpUpstreams,
) -> None:
    """Guards against work that continues for a disconnected caller."""
    started = asyncio.Event()

    async def script(connection: RawConnection, _number: int) -> None:
        await connection.read_request()
        started.set()

    async with RawUpstream(script=script) as server:
        # Long enough that only the cancellation can close the connection.
        request = server.request(timeout=60)
        await _cancel(lambda: _read(upstreams, request), started)
        async with asyncio.timeout(5):
            await server.connections[0].closed.wait()


@pytest.mark.parametrize('late', [WHOLE, SILENT, SHED])
async def test_connection_ends_with_an_answer_to_another_request(
    upstreams: AiohttpUpstreams, late: bytes
) -> None:
    """Guards against a connection whose answers are one request late."""

    async def script(connection: RawConnection, number: int) -> None:
        await connection.read_request()
        await connection.send(WHOLE)
        if not number:
            await connection.read_request()
            await connection.send(late)

    async with RawUpstream(script=script) as server:
        assert await _read(upstreams, server.request()) == b'good'
        with pytest.raises(UpstreamBrokenError):
            await _read(upstreams, server.request(request_id='r-2'))
        async with asyncio.timeout(2):
            await server.connections[0].closed.wait()
        assert await _read(upstreams, server.request()) == b'good'

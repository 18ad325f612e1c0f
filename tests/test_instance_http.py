"""Tests of the client of instances against raw TCP upstreams."""

import asyncio

import pytest
from edge_builders import NAMES

from bronzewall.adapters.instance_http import open_instance_client
from bronzewall.edge.ports import InstanceRequest
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamShedError,
    UpstreamTimeoutError,
    WrongInstanceError,
)
from bronzewall.standins.raw_upstream import RawUpstream

HEAD = b'HTTP/1.1 200 OK\r\nT-Attempt: a-1\r\nT-Seal: s\r\n'
WHOLE = HEAD + b'Content-Length: 4\r\n\r\nbody'
UNFRAMED = HEAD + b'Connection: close\r\n\r\nbody'


def a_request(address: str, **changes) -> InstanceRequest:
    fields = {
        'instance_id': 'i-1',
        'address': address,
        'method': 'GET',
        'target': '/x',
        'headers': (('Host', 'h'), ('T-Attempt', 'a-1')),
        'body': b'',
        'attempt_id': 'a-1',
        'timeout': 2.0,
        'connect_timeout': 0.3,
    }
    return InstanceRequest(**{**fields, **changes})


async def exchange(script, **changes):
    """Return the answer of an upstream that runs a script."""
    client = open_instance_client(NAMES)
    try:
        async with RawUpstream(script=script) as upstream:
            return await client.send(a_request(upstream.address, **changes))
    finally:
        await client.session.close()


def respond_with(text: bytes, *, then: str = 'keep'):
    async def script(connection, _number):
        await connection.read_request()
        await connection.send(text)
        if then == 'close':
            connection.writer.close()
        if then == 'reset':
            await asyncio.sleep(0.05)
            connection.reset()

    return script


async def test_whole_answer() -> None:
    answer = await exchange(respond_with(WHOLE))
    assert (answer.status, answer.body) == (200, b'body')


async def test_answer_without_length_is_whole_when_closed() -> None:
    assert (
        await exchange(respond_with(UNFRAMED, then='close'))
    ).body == b'body'


@pytest.mark.parametrize(
    ('script', 'error'),
    [
        # A reset does not complete an answer without a length.
        (respond_with(UNFRAMED, then='reset'), UpstreamBrokenError),
        (respond_with(WHOLE[:-2], then='close'), UpstreamBrokenError),
        (respond_with(b'', then='close'), UpstreamBrokenError),
        (respond_with(b'', then='reset'), UpstreamBrokenError),
        (respond_with(b'no answer at all\r\n\r\n'), UpstreamBrokenError),
        (
            respond_with(WHOLE.replace(b'T-Attempt: a-1', b'T-Attempt: a-0')),
            UpstreamBrokenError,
        ),
        (
            respond_with(WHOLE.replace(b'T-Attempt: a-1\r\n', b'')),
            UpstreamBrokenError,
        ),
        (
            respond_with(WHOLE.replace(b'T-Seal: s\r\n', b'')),
            UpstreamBrokenError,
        ),
        (
            respond_with(
                b'HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            ),
            UpstreamShedError,
        ),
        (
            respond_with(
                b'HTTP/1.1 421 Other\r\nT-Instance: i-2\r\n'
                b'Content-Length: 0\r\n\r\n'
            ),
            WrongInstanceError,
        ),
    ],
)
async def test_invalid_answer_raises(script, error) -> None:
    with pytest.raises(error):
        await exchange(script)


async def test_unresponsive_instance_times_out() -> None:
    with pytest.raises(UpstreamTimeoutError):
        await exchange(respond_with(b''), timeout=0.1)


async def test_refused_connection_raises_connect_failed() -> None:
    client = open_instance_client(NAMES)
    with pytest.raises(ConnectFailedError):
        await client.send(a_request('127.0.0.1:1'))
    await client.session.close()


async def test_unsolicited_answer_is_not_used_for_the_next_request() -> None:
    # The instance sends a second answer after a complete one.
    client = open_instance_client(NAMES)
    unsolicited = WHOLE.replace(b'body', b'evil')

    async def script(connection, number):
        await connection.read_request()
        await connection.send(WHOLE)
        if number == 0:
            await asyncio.sleep(0.05)
            await connection.send(unsolicited)

    async with RawUpstream(script=script) as upstream:
        first = await client.send(a_request(upstream.address))
        await asyncio.sleep(0.2)
        second = await client.send(a_request(upstream.address))
        assert (first.body, second.body) == (b'body', b'body')
        assert len(upstream.connections) == 2
    await client.session.close()


@pytest.mark.parametrize(
    'late',
    [
        WHOLE,
        WHOLE.replace(b'T-Attempt: a-1\r\n', b''),
        b'HTTP/1.1 503 Full\r\nT-Attempt: a-1\r\nT-Not-Run: 1\r\n'
        b'Content-Length: 0\r\n\r\n',
        b'HTTP/1.1 503 Full\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 421 Other\r\nT-Attempt: a-1\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n',
    ],
)
async def test_late_copy_says_nothing_about_the_next_request(
    late: bytes,
) -> None:
    # A copy of a "not run" answer to the request before must not let this one
    # be sent again or be refused as not run: the instance runs it.
    client = open_instance_client(NAMES)

    async def script(connection, _number):
        await connection.read_request()
        await connection.send(WHOLE)
        await connection.read_request()
        await connection.send(late)

    async with RawUpstream(script=script) as upstream:
        await client.send(a_request(upstream.address))
        with pytest.raises(UpstreamBrokenError):
            await client.send(a_request(upstream.address, attempt_id='a-2'))
        assert len(upstream.connections) == 1
    await client.session.close()


@pytest.mark.parametrize('extra', [WHOLE, b'garbage' * 99, b'HTTP/1.1 20'])
async def test_whole_answer_is_used_despite_bytes_behind_it(
    extra: bytes,
) -> None:
    # Answers that are complete are delivered, so that a request that has run
    # is not reported as lost.
    client = open_instance_client(NAMES)
    async with RawUpstream(script=respond_with(WHOLE + extra)) as upstream:
        for _ in range(2):
            answer = await client.send(a_request(upstream.address))
            assert answer.body == b'body'
        assert len(upstream.connections) == 2
    await client.session.close()


@pytest.mark.parametrize(
    'framing',
    [
        b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
        b'Content-Length: 4\r\n\r\nbody',
    ],
)
@pytest.mark.parametrize('cut', [0, 20, 27, 30])
async def test_answer_after_interim_answers(framing: bytes, cut: int) -> None:
    text = b'HTTP/1.1 102 Wait\r\n\r\n' * 2 + HEAD + framing

    async def script(connection, _number):
        await connection.read_request()
        await connection.send(text[:cut])
        await asyncio.sleep(0.01)
        await connection.send(text[cut:])

    assert (await exchange(script)).body == b'body'


async def test_switch_of_protocols_is_no_answer() -> None:
    switch = b'HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n'
    with pytest.raises(UpstreamBrokenError):
        await exchange(respond_with(switch))


async def test_connection_is_not_reused_after_an_early_answer() -> None:
    # The instance still expects the rest of the request body on the connection
    # and would read another request as that rest.
    client = open_instance_client(NAMES)

    async def script(connection, _number):
        await connection.read_request()
        await connection.send(
            b'HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n'
        )

    async with RawUpstream(script=script) as upstream:
        for _ in range(2):
            await client.send(
                a_request(
                    upstream.address, method='POST', body=b'x' * 8_000_000
                )
            )
        assert len(upstream.connections) == 2
    await client.session.close()


async def test_idle_connections_are_closed_before_instances_close_them() -> (
    None
):
    client = open_instance_client(NAMES)
    text = WHOLE.replace(b'T-Seal', b'Keep-Alive: timeout=1\r\nT-Seal')
    async with RawUpstream(script=respond_with(text)) as upstream:
        await client.send(a_request(upstream.address))
    assert client.connector._keepalive_timeout <= 0.6
    await client.session.close()


async def test_idle_connections_to_a_removed_address_are_closed() -> None:
    client = open_instance_client(NAMES)
    async with RawUpstream(script=respond_with(WHOLE)) as upstream:
        await client.send(a_request(upstream.address))
        client.close_idle([upstream.address])
        await asyncio.wait_for(upstream.connections[0].closed.wait(), 2)
    await client.session.close()


@pytest.mark.parametrize(
    ('text', 'limit'),
    [
        (b'2.5', 2.5),
        (b'0', 0),
        (b'1e3', 1000),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'many', None),
        (b'', None),
    ],
)
async def test_stated_limit_is_read(text: bytes, limit: float | None) -> None:
    stated = b'T-Limit: ' + text + b'\r\n'
    answer = WHOLE.replace(b'T-Seal', stated + b'T-Seal')
    assert (await exchange(respond_with(answer))).request_limit == limit


async def test_limit_of_a_request_that_was_not_run_is_read() -> None:
    answer = (
        b'HTTP/1.1 503 Busy\r\nT-Attempt: a-1\r\nT-Not-Run: 1\r\n'
        b'T-Limit: 1.4\r\nContent-Length: 0\r\n\r\n'
    )
    with pytest.raises(UpstreamShedError) as raised:
        await exchange(respond_with(answer))
    assert raised.value.request_limit == 1.4


@pytest.mark.parametrize(
    ('stated', 'is_leaving'),
    [(b'T-Leaving: 1\r\n', True), (b'T-Leaving: 0\r\n', False), (b'', False)],
)
async def test_leaving_is_read(stated: bytes, is_leaving: bool) -> None:
    answer = WHOLE.replace(b'T-Seal', stated + b'T-Seal')
    assert (await exchange(respond_with(answer))).is_leaving == is_leaving


async def test_leaving_is_read_from_a_request_that_was_not_run() -> None:
    answer = (
        b'HTTP/1.1 503 Busy\r\nT-Attempt: a-1\r\nT-Not-Run: 1\r\n'
        b'T-Leaving: 1\r\nContent-Length: 0\r\n\r\n'
    )
    with pytest.raises(UpstreamShedError) as raised:
        await exchange(respond_with(answer))
    assert raised.value.is_leaving


@pytest.mark.parametrize(
    ('text', 'pause'),
    [
        (b'2', 2),
        (b'0.25', 0.25),
        (b'0', 0),
        (b'-1', 0),
        (b'nan', 0),
        (b'inf', 0),
        (b'Fri, 04 Dec 2026 19:00:00 GMT', 0),
    ],
)
@pytest.mark.parametrize('is_not_run', [True, False])
async def test_pause_of_an_instance_is_read(
    text: bytes, pause: float, is_not_run: bool
) -> None:
    not_run = b'T-Not-Run: 1\r\n' if is_not_run else b''
    answer = (
        b'HTTP/1.1 503 Busy\r\nT-Attempt: a-1\r\nRetry-After: '
        + text
        + b'\r\n'
        + not_run
        + b'Content-Length: 0\r\n\r\n'
    )
    if is_not_run:
        with pytest.raises(UpstreamShedError) as raised:
            await exchange(respond_with(answer))
        assert raised.value.pause == pause
    else:
        assert (await exchange(respond_with(answer))).pause == pause


async def test_pause_of_another_status_is_not_read() -> None:
    answer = WHOLE.replace(b'T-Seal', b'Retry-After: 3\r\nT-Seal')
    assert (await exchange(respond_with(answer))).pause == 0

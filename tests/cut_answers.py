"""Answers of instances, and ways to break them off."""

import asyncio

import attrs

from bronzewall.standins.raw_upstream import RawConnection, Script

BODY = b'x' * 50
START = b'HTTP/1.1 200 OK\r\nT-Attempt: a-1\r\nT-Seal: s\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNKS = b'19;a=b\r\n' + BODY[:25] + b'\r\n19\r\n' + BODY[25:] + b'\r\n0\r\n'
INTERIM = (
    b'HTTP/1.1 100 Continue\r\n\r\n'
    b'HTTP/1.1 103 Early Hints\r\nT-Attempt: a-1\r\nT-Seal: s\r\n\r\n'
)
SIZED = START + b'Content-Length: 50\r\nX-Last: 1\r\n\r\n' + BODY
# Ends with the connection.
UNFRAMED = START + b'Connection: close\r\n\r\n' + BODY
WHOLE_CHUNKED = START + CHUNKED + CHUNKS + b'\r\n'
NO_CONTENT = START.replace(b'200 OK', b'204 No Content') + b'\r\n'
NOT_MODIFIED = START.replace(b'200 OK', b'304 Not Modified') + (
    b'Content-Length: 50\r\n\r\n'
)
# Answers by the bytes of their body that the caller gets.
FRAMED = {
    'sized': (SIZED, BODY),
    'length first': (
        START.replace(b'T-Attempt', b'Content-Length: 50\r\nT-Attempt')
        + b'X-Last: 1\r\n\r\n'
        + BODY,
        BODY,
    ),
    'empty': (START + b'Content-Length: 0\r\n\r\n', b''),
    'chunked': (WHOLE_CHUNKED, BODY),
    'trailers': (
        START + CHUNKED + CHUNKS + b'X-One: 1\r\nX-Two: 2\r\n\r\n',
        BODY,
    ),
    'interim, sized': (INTERIM + SIZED, BODY),
    'interim, chunked': (INTERIM + WHOLE_CHUNKED, BODY),
    'HTTP/1.0': (SIZED.replace(b'HTTP/1.1', b'HTTP/1.0'), BODY),
    'no content': (NO_CONTENT, b''),
    'not modified': (NOT_MODIFIED, b''),
    'bare line ends': (SIZED.replace(b'\r\n', b'\n'), BODY),
}


async def send_cut(
    connection: RawConnection, text: bytes, cut: int, *, is_reset: bool
) -> None:
    """Send the start of an answer in two parts, then end the connection."""
    await connection.send(text[: cut // 2])
    # Lets the receiver read the first part by itself.
    await asyncio.sleep(0)
    await connection.send(text[cut // 2 : cut])
    connection.end(is_reset=is_reset)


def cut_one_byte_later_each_time(text: bytes, *, is_reset: bool) -> Script:
    """Return a script that sends one byte more on each connection."""

    async def script(connection: RawConnection, number: int) -> None:
        await connection.read_request()
        await send_cut(connection, text, number, is_reset=is_reset)

    return script


@attrs.define(kw_only=True, eq=False)
class CutServer:
    """Server that breaks off each answer after the same number of bytes.

    aiohttp asks again on another connection if the first one breaks.
    """

    text: bytes
    is_reset: bool
    cut: int = 0

    async def run(self, connection: RawConnection, _number: int) -> None:
        """Answer one request."""
        await connection.read_request()
        await send_cut(connection, self.text, self.cut, is_reset=self.is_reset)


def framings(body: bytes, content_type: str) -> dict[str, bytes]:
    """Return answers with a body, one for each way to mark its end."""
    head = f'HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n'.encode()
    size = len(body)
    return {
        'sized': head + b'Content-Length: %d\r\n\r\n' % size + body,
        'chunked': head + CHUNKED + b'%x\r\n%b\r\n0\r\n\r\n' % (size, body),
        'unframed': head + b'\r\n' + body,
    }

"""A server for callers and connections to it over real sockets."""

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from bronzewall.adapters.caller_timeouts import CallerTimeouts
from bronzewall.adapters.entry_http import EntryServer
from bronzewall.metrics import Metrics
from bronzewall.ports import AnswerWriter, CallerRequest
from bronzewall.refusals import refuse_bad_input
from bronzewall.types import RequestId

HEAD = b'GET /drafts/1 HTTP/1.1\r\nHost: a\r\n\r\n'
_CLOSE_LIMIT_S = 20


@attrs.define(kw_only=True, eq=False)
class RawCaller:
    """One connection of a caller."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def ask(self, payload: bytes = HEAD) -> bytes:
        """Send a request and return the header block of the answer."""
        self.writer.write(payload)
        return await self.reader.readuntil(b'\r\n\r\n')

    async def rest(self) -> bytes:
        """Return what comes until the server closes."""
        async with asyncio.timeout(_CLOSE_LIMIT_S):
            return await self.reader.read()


@attrs.define(kw_only=True, eq=False)
class RawServer:
    """A server that counts what it refuses."""

    entry: EntryServer
    metrics: Metrics
    port: int
    _callers: list[RawCaller] = attrs.field(factory=list)

    @property
    def events(self) -> Counter[str]:
        """Counted events."""
        return self.metrics.events

    async def connect(self, receive_bytes: int | None = None) -> RawCaller:
        """Open a connection.

        :param receive_bytes: size of the caller's receive buffer.
        """
        opened = socket.socket()
        if receive_bytes is not None:
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        opened.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            opened, ('127.0.0.1', self.port)
        )
        reader, writer = await asyncio.open_connection(sock=opened)
        caller = RawCaller(reader=reader, writer=writer)
        self._callers.append(caller)
        return caller

    def close_callers(self) -> None:
        """Close all connections."""
        for caller in self._callers:
            caller.writer.close()


async def answer_empty(_request: CallerRequest, writer: AnswerWriter) -> None:
    """Answer without a body."""
    await writer.start(status=200, headers=[('Content-Length', '0')])
    await writer.finish()


@contextlib.asynccontextmanager
async def a_raw_server(
    port: int,
    timeouts: CallerTimeouts,
    handler: Callable[
        [CallerRequest, AnswerWriter], Awaitable[None]
    ] = answer_empty,
) -> AsyncIterator[RawServer]:
    """Run a server for callers."""
    metrics = Metrics()
    entry = EntryServer(
        listen=f'127.0.0.1:{port}',
        handler=handler,
        on_bad_input=lambda error: refuse_bad_input(
            error, metrics=metrics, request_id=RequestId('r')
        ),
        max_body_bytes=1000,
        timeouts=timeouts,
        events=metrics.events,
    )
    await entry.start()
    server = RawServer(entry=entry, metrics=metrics, port=port)
    try:
        yield server
    finally:
        server.close_callers()
        await entry.stop()

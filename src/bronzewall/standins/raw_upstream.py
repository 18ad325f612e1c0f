"""Raw TCP upstream that runs a script; it can send invalid HTTP."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import attrs

from bronzewall.ports import UpstreamRequest
from bronzewall.types import InstanceId

# Value of the socket option SO_LINGER: on, 0 seconds. Closing the socket then
# sends a TCP reset.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.define(kw_only=True, eq=False)
class RawConnection:
    """One accepted connection.

    :param closed: set when the client closed the connection.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def read_request(self) -> bytes:
        """Return the request line and headers of the next request."""
        return await self.reader.readuntil(b'\r\n\r\n')

    async def send(self, answer: bytes) -> None:
        """Send bytes."""
        self.writer.write(answer)
        await self.writer.drain()

    def reset(self) -> None:
        """Reset the connection."""
        transport = self.writer.transport
        if not transport.is_closing():
            transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        transport.abort()

    def end(self, *, is_reset: bool) -> None:
        """Reset the connection, or close it in an orderly way."""
        if is_reset:
            self.reset()
        else:
            self.writer.close()


Script = Callable[[RawConnection, int], Awaitable[None]]


@attrs.define(kw_only=True, eq=False)
class RawUpstream:
    """Server that runs a script on each connection.

    :param script: called with the connection and its number from 0.
    """

    script: Script
    connections: list[RawConnection] = attrs.field(factory=list)
    heads: list[bytes] = attrs.field(factory=list)
    address: str = ''
    _server: asyncio.Server | None = None

    async def __aenter__(self) -> 'RawUpstream':
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._run, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def __aexit__(self, *_details: object) -> None:
        """Stop listening and abort all connections."""
        assert self._server is not None
        self._server.close()
        for connection in self.connections:
            connection.reset()

    def request(
        self,
        *,
        method: str = 'GET',
        timeout: float = 2,
        request_id: str = 'r-1',
    ) -> UpstreamRequest:
        """Return a request to this server."""
        return UpstreamRequest(
            instance_id=InstanceId('raw'),
            address=self.address,
            method=method,
            target='/x',
            headers=[('Bronzewall-Request-Id', request_id)],
            body=b'',
            timeout=timeout,
        )

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = RawConnection(reader=reader, writer=writer)
        self.connections.append(connection)
        number = len(self.connections) - 1
        try:
            await self.script(connection, number)
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            connection.reset()
        finally:
            connection.closed.set()
            writer.close()

"""Loopback proxy that delays, resets or blocks connections."""

import asyncio
import socket
import struct

import attrs

_CHUNK = 65_536
_POLL_S = 0.02


@attrs.define(kw_only=True, eq=False)
class FaultyProxy:
    """Forwards connections to one address, with faults.

    :param delay: seconds added to each chunk.
    :param blocked: directions in which bytes are held, ``up`` (towards the
        target) and ``down``.
    """

    target: str
    listen: str = '127.0.0.1:0'
    delay: float = 0
    blocked: set[str] = attrs.field(factory=set)
    address: str = ''
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen on ``listen``; port 0 takes a free port."""
        host, _, port = self.listen.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    def refuse(self) -> None:
        """Refuse new connections; open ones live on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def accept(self) -> None:
        """Accept connections again, at the same address."""
        if self._server is None:
            self.listen = self.address
            await self.start()

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            opened = writer.get_extra_info('socket')
            if opened is not None and opened.fileno() >= 0:
                opened.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
            writer.transport.abort()
        self._writers.clear()

    def heal(self) -> None:
        """Remove the delay and the blocks."""
        self.delay = 0
        self.blocked.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pipe(reader, far_writer, 'up'),
                self._pipe(far_reader, writer, 'down'),
            )
        except (OSError, asyncio.CancelledError):
            # One side closed or failed: both are closed.
            pass  # noqa: WPS420
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _pipe(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        while chunk := await reader.read(_CHUNK):
            if self.delay:
                await asyncio.sleep(self.delay)
            while direction in self.blocked:
                await asyncio.sleep(_POLL_S)
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

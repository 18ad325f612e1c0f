"""Callers that read large answers slowly, and the VM that serves them."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import attrs
from edge_builders import (
    HOST,
    an_edge_account,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
)
from test_relay_http import a_daemon, start

from bronzewall.edge.daemon import EdgeDaemon
from bronzewall.standins.memory_store import SharedStore
from bronzewall.standins.raw_upstream import RawUpstream

LARGE_BYTES = 540_000
# A small receive buffer, so that the caller's kernel does not read for it.
_RECEIVE_BYTES = 8192
_CHUNK_BYTES = 1024
_CHUNK_S = _CHUNK_BYTES / 5000
_START_S = 5.0


async def _answer(connection, _number) -> None:
    """Answer each request with a body whose size is in its path."""
    while True:
        head = await connection.read_request()
        size = int(head.split(b' ')[1].rpartition(b'/')[2])
        attempt_id = next(
            line.partition(b': ')[2]
            for line in head.split(b'\r\n')
            if line.lower().startswith(b't-attempt')
        )
        await connection.send(
            b'HTTP/1.1 200 OK\r\nT-Attempt: %b\r\nT-Seal: s\r\n'
            b'Content-Length: %d\r\n\r\n' % (attempt_id, size) + b'x' * size
        )


@attrs.define(kw_only=True, eq=False)
class SlowCaller:
    """One connection whose caller reads 5 kB a second.

    :param read: bytes of the answer that were read.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    read: int = 0
    status: bytes = b''
    headers: bytes = b''

    async def read_head(self) -> bytes:
        """Return the status of the answer."""
        self.headers = await self.reader.readuntil(b'\r\n\r\n')
        self.status = self.headers.split(b' ')[1]
        return self.status

    async def read_slowly(self) -> None:
        """Read on, a little at a time."""
        while chunk := await self.reader.read(_CHUNK_BYTES):
            self.read += len(chunk)
            await asyncio.sleep(_CHUNK_S)

    async def read_rest(self, size: int) -> bytes:
        """Return what is left of a body at full speed."""
        return await self.reader.readexactly(size - self.read)


@attrs.define(kw_only=True, eq=False)
class SlowWorld:
    """One VM over loopback."""

    daemon: EdgeDaemon
    _callers: list[SlowCaller] = attrs.field(factory=list)

    async def ask(
        self, size: int = LARGE_BYTES, *, key: str = 'key-a'
    ) -> SlowCaller:
        """Open a connection and request an answer of some bytes."""
        host, _, port = self.daemon.settings.listen.rpartition(':')
        opened = socket.socket()
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        opened.setblocking(False)
        await asyncio.get_running_loop().sock_connect(opened, (host, int(port)))
        reader, writer = await asyncio.open_connection(
            sock=opened, limit=_RECEIVE_BYTES
        )
        caller = SlowCaller(reader=reader, writer=writer)
        self._callers.append(caller)
        number = len(self._callers)
        writer.write(
            f'GET /drafts/{size} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'T-Attempt: a-{number}\r\nT-Deadline: 4000\r\n'
            f'Authorization: Bearer {key}\r\n\r\n'.encode()
        )
        return caller

    def held(self) -> int:
        """Return the bytes of answers that callers have not taken."""
        return sum(
            connection.untaken_bytes()
            for connection in self.daemon.entry.connections()
        )

    def close_callers(self) -> None:
        """Close all connections."""
        for caller in self._callers:
            caller.writer.transport.abort()


@contextlib.asynccontextmanager
async def a_slow_world(**settings) -> AsyncIterator[SlowWorld]:
    """Run a VM with two accounts and an instance with large answers."""
    async with RawUpstream(script=_answer) as upstream:
        shared = SharedStore()
        shared.publish(
            an_edge_configuration(
                routes=(an_edge_route(timeout=4.0),),
                accounts=tuple(
                    an_edge_account(account_id=name, keys=(f'key-{name}',))
                    for name in 'ab'
                ),
            )
        )
        instance = an_edge_instance(address=upstream.address, slots=100)
        shared.instances_by_id = {instance.instance_id: instance}
        daemon = a_daemon('vm-1', shared, **settings)
        await start(daemon)
        async with asyncio.timeout(_START_S):
            while not (
                daemon.is_ready() and daemon.reader.catalog.instances_by_id
            ):
                await asyncio.sleep(0.02)
        world = SlowWorld(daemon=daemon)
        try:
            yield world
        finally:
            world.close_callers()
            await daemon.entry.stop(timeout=1)
            await daemon._stop_background()

"""Peer link over websockets, one task per peer connection."""

import asyncio
import socket
from collections import Counter
from collections.abc import Mapping

import attrs
import structlog
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosedError, WebSocketException

from bronzewall.ports import PayloadHandler
from bronzewall.types import VmId

# Messages per peer. Bounds the memory used for a peer that has stopped
# reading; every protocol that uses the link tolerates lost messages.
_QUEUE_LIMIT = 1000
_MAX_MESSAGE_BYTES = 67_108_864
_OPEN_TIMEOUT_S = 2
_RECONNECT_DELAY_S = 0.5
# The connection fails when sent bytes are not acknowledged for this long.
_USER_TIMEOUT_MS = 1500
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class WebSocketLink:
    """Implements the port ``PeerLink`` of one VM.

    Each VM sends over connections that it opened itself and receives over
    those that peers opened, so a failure in one direction does not affect
    the other one.

    :param listen: ``host:port`` on which peers connect.
    """

    listen: str
    counters: Counter[str] = attrs.field(factory=Counter)
    _addresses_by_id: dict[VmId, str] = attrs.field(factory=dict)
    _queues_by_id: dict[VmId, asyncio.Queue[bytes]] = attrs.field(factory=dict)
    _tasks_by_id: dict[VmId, asyncio.Task[None]] = attrs.field(factory=dict)
    _handler: PayloadHandler | None = None
    _server: Server | None = None

    async def start(self) -> None:
        """Listen for peers."""
        host, _, port = self.listen.rpartition(':')
        self._server = await serve(
            self._receive,
            host,
            int(port),
            compression=None,
            max_size=_MAX_MESSAGE_BYTES,
        )

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks_by_id.values():
            task.cancel()
        await asyncio.gather(
            *self._tasks_by_id.values(), return_exceptions=True
        )
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def on_payload(self, handler: PayloadHandler) -> None:
        """Set the receive handler."""
        self._handler = handler

    def set_addresses(self, addresses_by_id: Mapping[VmId, str]) -> None:
        """Set the address of each peer and drop peers that are not listed."""
        self._addresses_by_id = dict(addresses_by_id)
        for vm_id in set(self._tasks_by_id) - set(addresses_by_id):
            self._tasks_by_id.pop(vm_id).cancel()
            self._queues_by_id.pop(vm_id, None)

    def send(self, *, to: VmId, payload: bytes) -> None:
        """Queue one message; drop the oldest if the queue is full."""
        if to not in self._addresses_by_id:
            self.counters['unknown_peer'] += 1
            return
        queue = self._queues_by_id.get(to)
        if queue is None:
            queue = asyncio.Queue(maxsize=_QUEUE_LIMIT)
            self._queues_by_id[to] = queue
            self._tasks_by_id[to] = asyncio.create_task(
                self._transmit(to, queue)
            )
        if queue.full():
            self.counters['dropped'] += 1
            queue.get_nowait()
        queue.put_nowait(payload)

    async def _transmit(self, to: VmId, queue: asyncio.Queue[bytes]) -> None:
        while True:
            try:
                await self._transmit_connected(to, queue)
            except (OSError, WebSocketException, ValueError) as exc:
                # An address from which no URL can be built raises
                # ``ValueError``. The peer may get another address.
                self.counters['connection_lost'] += 1
                _LOG.debug('peer_connection_lost', peer=to, error=str(exc))
            # Messages queued before a reconnect are outdated: the validity
            # of the quota shares and heartbeats in them runs from when they
            # were sent.
            while not queue.empty():
                queue.get_nowait()
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _transmit_connected(
        self, to: VmId, queue: asyncio.Queue[bytes]
    ) -> None:
        async with connect(
            f'ws://{self._addresses_by_id[to]}',
            compression=None,
            open_timeout=_OPEN_TIMEOUT_S,
            proxy=None,
        ) as connection:
            _set_user_timeout(connection)
            while True:
                payload = await queue.get()
                await connection.send(payload)
                self.counters['sent_messages'] += 1
                self.counters['sent_bytes'] += len(payload)

    async def _receive(self, connection: ServerConnection) -> None:
        try:
            async for payload in connection:
                self._handle(payload)
        except ConnectionClosedError:
            self.counters['connection_broken'] += 1

    def _handle(self, payload: str | bytes) -> None:
        if isinstance(payload, str):
            self.counters['text_message'] += 1
        elif self._handler is not None:
            self._handler(payload)


def _set_user_timeout(connection: ClientConnection) -> None:
    """Make the connection fail if the peer stops acknowledging bytes."""
    opened = connection.transport.get_extra_info('socket')
    if opened is not None:
        opened.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
        )

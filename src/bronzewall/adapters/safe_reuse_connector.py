"""Connection pool that drops connections with unsolicited data."""

import asyncio
import functools
from collections.abc import Collection
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler


class _SafeReuseHandler(ResponseHandler):
    """Connection that is not reused if data arrived while it was idle.

    aiohttp checks a connection when it is returned to the pool, not when it
    is taken out. An answer that arrives in between would be mistaken for the
    answer to the next request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a connection that has not sent a request yet."""
        super().__init__(loop)
        self.is_idle = False

    def is_connected(self) -> bool:
        """Return whether the connection may be used."""
        return super().is_connected() and not self.should_close

    def set_response_params(self, **settings: Any) -> None:
        """Prepare to receive an answer."""
        self.is_idle = False
        super().set_response_params(**settings)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer whose connection ended with an error.

        An answer without a length is complete only after a clean close.
        aiohttp also accepts a reset connection as its end.
        """
        payload = getattr(self, '_payload', None)
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Receive a part of an answer; abort the connection if it is idle."""
        # aiohttp calls this with empty data when it resumes reading.
        if self.is_idle and data:
            self.force_close()
            self.abort()
            return
        super().data_received(data)


class SafeReuseConnector(aiohttp.TCPConnector):
    """Connector without limits; the dispatcher limits connections."""

    def __init__(self, **options: Any) -> None:
        """Create a connector of :class:`_SafeReuseHandler` connections.

        :param options: passed on to ``TCPConnector``.
        """
        super().__init__(limit=0, limit_per_host=0, **options)
        make_handler: Any = functools.partial(
            _SafeReuseHandler, loop=self._loop
        )
        self._factory = make_handler

    def limit_keepalive(self, seconds: float) -> None:
        """Lower the time after which idle connections are closed.

        :param seconds: ignored if the present limit is shorter.
        """
        current = self._keepalive_timeout or seconds
        self._keepalive_timeout = min(current, seconds)

    def close_idle(self, addresses: Collection[str]) -> None:
        """Close the idle connections to the given addresses.

        :param addresses: each ``host:port``.
        """
        for key in tuple(self._conns):
            if f'{key.host}:{key.port}' in addresses:
                for protocol, _ in self._conns.pop(key):
                    protocol.close()

    def _release(
        self, key: Any, protocol: Any, *, should_close: bool = False
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        protocol.is_idle = True

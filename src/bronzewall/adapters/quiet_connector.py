"""Connection pool that drops connections on which data came unasked."""

import asyncio
import functools
from collections.abc import Collection
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler


class _QuietHandler(ResponseHandler):
    """Connection that is not used again after data came while it was idle.

    aiohttp checks a connection when it enters the pool, not when it leaves
    it; an answer that arrives in between would be taken as the answer to
    the next request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start before the first request."""
        super().__init__(loop)
        self.is_idle = False

    def is_connected(self) -> bool:
        """Return whether the connection may be used."""
        return super().is_connected() and not self.should_close

    def set_response_params(self, **settings: Any) -> None:
        """Expect an answer."""
        self.is_idle = False
        super().set_response_params(**settings)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer; one without a length is whole only if closed.

        aiohttp takes the end of the connection as the end of such an
        answer, also when the connection was reset.
        """
        payload = getattr(self, '_payload', None)
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take over a part of an answer, or give up the connection."""
        # aiohttp passes no data when it resumes reading.
        if self.is_idle and data:
            self.force_close()
            self.abort()
            return
        super().data_received(data)


class QuietConnector(aiohttp.TCPConnector):
    """Connector without limits; the dispatcher limits connections."""

    def __init__(self, **options: Any) -> None:
        """Make connections of the checked kind.

        :param options: passed on to ``TCPConnector``.
        """
        super().__init__(limit=0, limit_per_host=0, **options)
        make_handler: Any = functools.partial(_QuietHandler, loop=self._loop)
        self._factory = make_handler

    def keep_idle_for(self, seconds: float) -> None:
        """Close idle connections after a time, if it is shorter."""
        known = self._keepalive_timeout or seconds
        self._keepalive_timeout = min(known, seconds)

    def close_idle(self, addresses: Collection[str]) -> None:
        """Close the idle connections to some addresses, ``host:port``."""
        for key in tuple(self._conns):
            if f'{key.host}:{key.port}' in addresses:
                for protocol, _ in self._conns.pop(key):
                    protocol.close()

    def _release(
        self, key: Any, protocol: Any, *, should_close: bool = False
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        protocol.is_idle = True

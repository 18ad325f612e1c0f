"""aiohttp request handler that answers bad input with problem documents."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from bronzewall.problems import Problem

# A caller that sends its first header block slower than this holds a
# connection for nothing; the balancer in front sends headers at once.
_HEADER_TIMEOUT_S = 10.0

BadInputReporter = Callable[[str], Problem]


class ProblemRequestHandler(RequestHandler):
    """Request handler of one caller's connection."""

    __slots__ = ('_arrivals', '_header_timer', '_on_bad_input')

    def __init__(
        self, manager: Any, *, on_bad_input: BadInputReporter, **options: Any
    ) -> None:
        """Keep the reporter of bad input."""
        super().__init__(manager, **options)
        self._on_bad_input = on_bad_input
        self._header_timer: asyncio.TimerHandle | None = None
        self._arrivals: deque[float] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer of the first header block."""
        super().connection_made(transport)
        self._header_timer = self._loop.call_later(
            _HEADER_TIMEOUT_S, self._check_headers
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer."""
        if self._header_timer is not None:
            self._header_timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Note when each request came.

        aiohttp handles the requests of a connection one after the other; a
        later one may have waited for long when its turn comes.
        """
        before = len(self._messages)
        super().data_received(data)
        came = len(self._messages) - before
        now = self._loop.time()
        self._arrivals.extend(now for _ in range(came))

    def take_waited(self) -> float:
        """Return the seconds for which the next request waited its turn."""
        if not self._arrivals:
            return 0
        return self._loop.time() - self._arrivals.popleft()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 400,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that cannot be parsed."""
        self.take_waited()
        problem = self._on_bad_input(type(exc).__name__)
        response = web.Response(
            status=problem.status,
            headers=CIMultiDict(problem.headers),
            body=problem.body,
        )
        # After bad framing the next request's start is not known.
        response.force_close()
        return response

    def _check_headers(self) -> None:
        if self._request_count == 0:
            self._on_bad_input('HeaderTimeout')
            self.force_close()


class ProblemServer(web.Server):
    """Server whose connections use :class:`ProblemRequestHandler`."""

    def __init__(
        self, handler: Any, *, on_bad_input: BadInputReporter, **options: Any
    ) -> None:
        """Keep the reporter of bad input."""
        super().__init__(handler, **options)
        self._on_bad_input = on_bad_input

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return ProblemRequestHandler(
            self,
            loop=self._loop,
            on_bad_input=self._on_bad_input,
            **self._kwargs,
        )

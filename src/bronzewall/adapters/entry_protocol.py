"""aiohttp request handler that answers bad input with problem documents."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import structlog
from aiohttp import HttpVersion10, web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from bronzewall.adapters.buffered_answers import BufferedAnswer, drop_answer
from bronzewall.problems import Problem

# Limit for the first header block of a connection. The load balancer in front
# sends headers at once; a slower sender only occupies the connection.
_HEADER_TIMEOUT_S = 10.0
# A caller sends its first request within this time, seconds.
_FIRST_REQUEST_S = 1.0

# Time for which a connection is read after its last answer, seconds. A caller
# closes it as soon as it has read that the answer is the last one.
_LINGER_S = 1.0

# RFC 9112, 9.3.2: pipelined requests may run concurrently if all of them have
# safe methods.
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
# Limit per connection; each buffered answer occupies memory until it is sent.
_MAX_BUFFERED_ANSWERS = 8
_LOG = structlog.get_logger()

BadInputReporter = Callable[[str], Problem]
BufferedAnswerStarter = Callable[
    [RawRequestMessage], 'asyncio.Task[BufferedAnswer] | None'
]


@attrs.frozen(kw_only=True)
class PendingRequest:
    """A received request of a connection that is not handled yet.

    :param message: the parsed message, ``None`` if it was not recorded.
    :param received_at: event loop time in seconds.
    :param answer_task: task that prepares the answer, if it was started.
    """

    message: Any = None
    received_at: float
    answer_task: 'asyncio.Task[BufferedAnswer] | None' = None


class ProblemRequestHandler(RequestHandler):
    """Request handler of one caller's connection."""

    __slots__ = (
        '_has_dropped_input',
        '_header_timer',
        '_lingering',
        '_on_bad_input',
        '_opened_at',
        '_pending_requests',
        '_start_buffered_answer',
    )

    def __init__(
        self,
        manager: Any,
        *,
        on_bad_input: BadInputReporter,
        start_buffered_answer: BufferedAnswerStarter | None,
        **options: Any,
    ) -> None:
        """Store the callbacks for bad input and for pipelined requests."""
        super().__init__(manager, **options)
        self._on_bad_input = on_bad_input
        self._start_buffered_answer = start_buffered_answer
        self._header_timer: asyncio.TimerHandle | None = None
        self._pending_requests: deque[PendingRequest] = deque()
        self._opened_at = float(0)
        self._has_dropped_input = False
        self._lingering: asyncio.Event | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer of the first header block."""
        super().connection_made(transport)
        self._opened_at = self._loop.time()
        self._header_timer = self._loop.call_later(
            _HEADER_TIMEOUT_S, self._check_header_timeout
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer and the tasks of answers that cannot be sent."""
        if self._header_timer is not None:
            self._header_timer.cancel()
        for pending in self._pending_requests:
            if pending.answer_task is not None:
                drop_answer(pending.answer_task)
        if self._lingering is not None:
            self._lingering.set()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Record when each request arrived; start those that may run now.

        aiohttp handles the requests of a connection one after the other, so
        a pipelined request may be queued for long before it is handled.
        """
        if self._lingering is not None:
            return
        if self._close or self._force_close:
            self._log_dropped_input(len(data))
        known_count = len(self._messages)
        # aiohttp sets ``_waiter`` while the connection waits for a request.
        is_idle = self._waiter is not None and not known_count
        super().data_received(data)
        now = self._loop.time()
        messages = tuple(self._messages)
        for count in range(known_count + 1, len(messages) + 1):
            is_queued = count > 1 or not is_idle
            answer_task = self._start_if_concurrent(messages[:count], is_queued)
            self._pending_requests.append(
                PendingRequest(
                    message=messages[count - 1][0],
                    received_at=now,
                    answer_task=answer_task,
                )
            )

    def pop_pending_request(self, request: web.BaseRequest) -> PendingRequest:
        """Return and remove what is recorded of a request, if anything.

        aiohttp queues the requests behind an upgrade request without a call
        of ``data_received``.
        """
        message = request._message  # noqa: SLF001, WPS437
        pending = self._pending_requests
        if not pending or pending[0].message is not message:
            return PendingRequest(received_at=self._loop.time())
        return pending.popleft()

    def has_started_answers(self) -> bool:
        """Return whether answers to queued requests are being prepared."""
        return any(
            pending.answer_task is not None
            for pending in self._pending_requests
        )

    def has_unsent_answers(self) -> bool:
        """Return whether answers are prepared or not taken by the caller."""
        return (
            self.has_started_answers()
            or self._lingering is not None
            or bool(self.transport and self.transport.get_write_buffer_size())
        )

    async def linger(self) -> None:
        """End the connection after its last answer.

        Input that nobody reads would reset the connection when it is closed,
        and the caller could lose the end of the answer (RFC 9112, 9.6).
        Requests behind the last answer count as not read.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self._lingering = asyncio.Event()
        self.transport.write_eof()
        # A caller may leave the close to this side.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LINGER_S):
                await self._lingering.wait()

    def close(self) -> None:
        """Close the connection after the request in progress, if any.

        aiohttp's method only stops reading: a connection without a request
        would stay open, and drop what comes on it.
        """
        is_waiting = self._waiter is not None or not self._request_count
        super().close()
        if is_waiting and not self._messages:
            self.force_close()

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is in progress on it.

        A request is in progress until its whole answer is sent. A new
        connection is left open, because its first request is on its way.

        :return: whether it was closed.
        """
        # aiohttp sets ``_waiter`` while the connection waits for a request.
        is_waiting = self._waiter is not None and not self._messages
        is_new = self._loop.time() - self._opened_at <= _FIRST_REQUEST_S
        if not is_waiting or is_new or self.has_unsent_answers():
            return False
        self.close()
        return True

    def queueing_time(self, pending: PendingRequest) -> float:
        """Return the seconds for which a request was queued."""
        return self._loop.time() - pending.received_at

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 400,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that cannot be parsed."""
        problem = self._on_bad_input(type(exc).__name__)
        response = web.Response(
            status=problem.status,
            headers=CIMultiDict(problem.headers),
            body=problem.body,
        )
        # After a framing error the start of the next request is unknown.
        response.force_close()
        return response

    def _start_if_concurrent(
        self, messages: Sequence[Any], is_queued: bool
    ) -> 'asyncio.Task[BufferedAnswer] | None':
        """Start the answer to the last message if it may run concurrently."""
        if self._start_buffered_answer is None or not is_queued:
            return None
        current = self._current_request
        if current is not None and current.method not in _SAFE_METHODS:
            return None
        buffered_count = sum(
            pending.answer_task is not None
            for pending in self._pending_requests
        )
        if buffered_count >= _MAX_BUFFERED_ANSWERS or not all(
            map(_may_run_concurrently, messages)
        ):
            return None
        return self._start_buffered_answer(messages[-1][0])

    def _log_dropped_input(self, received: int) -> None:
        """Log the first input that aiohttp drops while it closes."""
        if not self._has_dropped_input:
            self._has_dropped_input = True
            _LOG.warning('input_dropped', received=received)

    def _check_header_timeout(self) -> None:
        if self._request_count == 0:
            self._on_bad_input('HeaderTimeout')
            self.force_close()


def _may_run_concurrently(parsed: Any) -> bool:
    """Return whether a parsed request may run concurrently with others."""
    message, payload = parsed
    return (
        isinstance(message, RawRequestMessage)
        and message.version >= HttpVersion10
        and message.method in _SAFE_METHODS
        and payload is EMPTY_PAYLOAD
    )


class ProblemServer(web.Server):
    """Server whose connections use :class:`ProblemRequestHandler`."""

    def __init__(
        self,
        handler: Any,
        *,
        on_bad_input: BadInputReporter,
        start_buffered_answer: BufferedAnswerStarter | None = None,
        **options: Any,
    ) -> None:
        """Store the callbacks for bad input and for pipelined requests."""
        super().__init__(handler, **options)
        self._on_bad_input = on_bad_input
        self._start_buffered_answer = start_buffered_answer

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return ProblemRequestHandler(
            self,
            loop=self._loop,
            on_bad_input=self._on_bad_input,
            start_buffered_answer=self._start_buffered_answer,
            **self._kwargs,
        )

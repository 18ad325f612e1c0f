"""aiohttp request handler that answers bad input with problem documents."""

import asyncio
import contextlib
from collections import Counter, deque
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
from bronzewall.adapters.caller_timeouts import CallerTimeouts, last_answer
from bronzewall.adapters.tcp_state import (
    acknowledged_bytes,
    unacknowledged_bytes,
)
from bronzewall.problems import Problem

# A caller sends its first request within this time, seconds.
_FIRST_REQUEST_S = 1.0

# Looks at a connection within its idle time. The end of an answer that a caller
# takes slowly falls between two looks, so that the connection may be closed
# after 7/8 of the limit; callers reuse connections for up to four fifths of it.
_IDLE_CHECKS = 8

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
        '_busy_at',
        '_find_timeouts',
        '_has_dropped_input',
        '_header_timer',
        '_lingering',
        '_on_bad_input',
        '_opened_at',
        '_pending_requests',
        '_stalled_at',
        '_start_buffered_answer',
        '_taken_bytes',
        'events',
    )

    def __init__(
        self,
        manager: Any,
        *,
        on_bad_input: BadInputReporter,
        start_buffered_answer: BufferedAnswerStarter | None,
        find_timeouts: Callable[[], CallerTimeouts],
        events: Counter[str],
        **options: Any,
    ) -> None:
        """Store the callbacks for bad input and for pipelined requests."""
        # With a keep-alive timeout of 0, aiohttp notes the end of each answer
        # and calls ``_process_keepalive``, which applies the present limit.
        super().__init__(manager, keepalive_timeout=0, **options)
        self._on_bad_input = on_bad_input
        self._start_buffered_answer = start_buffered_answer
        self._find_timeouts = find_timeouts
        self.events = events
        self._header_timer: asyncio.TimerHandle | None = None
        self._pending_requests: deque[PendingRequest] = deque()
        self._opened_at = float(0)
        self._has_dropped_input = False
        self._busy_at = float(0)
        self._stalled_at: float | None = None
        self._taken_bytes = 0
        self._lingering: asyncio.Event | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer of the idle connection."""
        self._opened_at = self._loop.time()
        self._next_keepalive_close_time = self._opened_at
        super().connection_made(transport)
        self.apply_timeouts()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer and the tasks of answers that cannot be sent."""
        self._stop_header_timer()
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
        is_idle = self._is_waiting()
        super().data_received(data)
        # Empty lines before a request line are not a part of it (RFC 9112,
        # 2.2); some callers end a body with one. One ends a header block.
        is_timed = self._header_timer is not None
        if is_idle and (is_timed or data.strip(b'\r\n')):
            self._time_header()
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

    def untaken_bytes(self) -> int:
        """Return the bytes sent that the caller has not acknowledged."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size() + unacknowledged_bytes(
            self.transport
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

        A request is in progress from its first byte until its whole answer is
        sent. A new connection is left open, because its first request is on
        its way.

        :return: whether it was closed.
        """
        is_new = self._loop.time() - self._opened_at <= _FIRST_REQUEST_S
        is_idle = self._is_waiting() and self._header_timer is None
        if not is_idle or is_new or self.has_unsent_answers():
            return False
        self.close()
        return True

    def abort(self) -> None:
        """Drop the connection with what the caller does not take."""
        transport = self.transport
        if transport is not None:
            transport.abort()

    def apply_timeouts(self) -> None:
        """Check at once, and from now on, the idle time allowed now."""
        if self._keepalive_handle is not None:
            self._keepalive_handle.cancel()
        self._process_keepalive()

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

    def _is_waiting(self) -> bool:
        """Return whether no request is in progress or waits to be handled."""
        # aiohttp sets ``_waiter`` while the connection waits for a request.
        return self._waiter is not None and not self._messages

    def _time_header(self) -> None:
        """Time the header block whose bytes are being received, if any.

        Bytes that come while a request is in progress are not timed. If the
        caller then sends no more, the connection is closed as an idle one.
        """
        if not self._is_waiting():
            self._stop_header_timer()
        elif self._header_timer is None:
            self._header_timer = self._loop.call_later(
                self._find_timeouts().header, self._refuse_late_header
            )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _refuse_late_header(self) -> None:
        """Answer and close: a request without its header block never runs."""
        self._header_timer = None
        problem = self._on_bad_input('HeaderTimeout')
        if self.transport is not None:
            self.transport.write(last_answer(problem))
        self.force_close()

    def _is_stalled(self, now: float) -> bool:
        """Return whether the caller takes nothing of an answer for too long.

        A caller that reads slowly acknowledges a little now and then.
        """
        transport = self.transport
        if transport is None or not self.untaken_bytes():
            self._stalled_at = None
            return False
        taken = acknowledged_bytes(transport)
        if self._stalled_at is None or taken != self._taken_bytes:
            self._stalled_at = now
            self._taken_bytes = taken
        return now - self._stalled_at >= self._find_timeouts().idle

    def _process_keepalive(self) -> None:
        """Close the connection if it has been idle for too long.

        aiohttp calls this at the end of an answer unless a call is due
        already, so that there is one timer for a connection.
        """
        self._keepalive_handle = None
        if self._force_close or not self._keepalive:
            return
        now = self._loop.time()
        idle_timeout = self._find_timeouts().idle
        if self._is_stalled(now):
            self.events['stalled_callers_cut'] += 1
            _LOG.warning('caller_stalled', untaken=self.untaken_bytes())
            self.abort()
            return
        # A caller that still takes an answer cannot send the next request yet.
        is_idle = (
            self._is_waiting()
            and self._header_timer is None
            and not self.untaken_bytes()
        )
        if not is_idle:
            self._busy_at = now
        idle_s = now - max(self._busy_at, self._next_keepalive_close_time)
        if idle_s >= idle_timeout:
            self.events['idle_connections_closed'] += 1
            _LOG.info('caller_idle', seconds=round(idle_s, 3))
            self.force_close()
            return
        self._keepalive_handle = self._loop.call_later(
            min(idle_timeout - idle_s, idle_timeout / _IDLE_CHECKS),
            self._process_keepalive,
        )


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
        find_timeouts: Callable[[], CallerTimeouts] = CallerTimeouts,
        events: Counter[str] | None = None,
        **options: Any,
    ) -> None:
        """Store the callbacks for bad input and for pipelined requests.

        :param find_timeouts: returns the time limits in force.
        :param events: counts connections that were closed.
        """
        super().__init__(handler, **options)
        self._on_bad_input = on_bad_input
        self._start_buffered_answer = start_buffered_answer
        self._find_timeouts = find_timeouts
        self.events: Counter[str] = Counter() if events is None else events

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return ProblemRequestHandler(
            self,
            loop=self._loop,
            on_bad_input=self._on_bad_input,
            start_buffered_answer=self._start_buffered_answer,
            find_timeouts=self._find_timeouts,
            events=self.events,
            **self._kwargs,
        )

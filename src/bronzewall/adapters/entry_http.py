"""HTTP server for callers over aiohttp."""

import asyncio
import math
import socket
import struct
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import structlog
from aiohttp import HttpVersion10, HttpVersion11, web
from aiohttp.http_parser import RawRequestMessage
from multidict import CIMultiDict

from bronzewall.adapters.body_budget import BodyBudget, BodyBytes
from bronzewall.adapters.buffered_answers import (
    BufferedAnswer,
    BufferSpace,
    drop_answer,
    start_buffered_answer,
)
from bronzewall.adapters.caller_timeouts import CallerTimeouts
from bronzewall.adapters.entry_protocol import (
    BadInputReporter,
    ProblemRequestHandler,
    ProblemServer,
)
from bronzewall.errors import (
    BodyTimeoutError,
    BodyTooLargeError,
    CallerGoneError,
)
from bronzewall.ports import CallerHandler, CallerRequest, Headers

_BODY_TIMEOUT_S = 10.0
_MAX_LINE_BYTES = 8192
# Bodies are written in slices of this size, bytes. asyncio copies what the
# kernel does not take at once, so a body written as a whole is held twice.
_SLICE_BYTES = 65_536
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Values of the socket option SO_LINGER: whether it is on, and seconds. On with
# 0 seconds, closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_ORDERLY_CLOSE = struct.pack('ii', 0, 0)
# Connections that the kernel keeps until they are accepted.
_BACKLOG = 128
# Event loop iterations from accepting a connection to ``connection_made``, with
# one to spare: asyncio starts a task, which makes the transport.
_ACCEPT_STEPS = 4
_LOG = structlog.get_logger()


class _DelayedHeadersResponse(web.StreamResponse):
    """Response whose headers are sent with the first chunk of the body.

    Sending them alone costs one more system call for each request.
    """

    _send_headers_immediately = False


@attrs.define(kw_only=True, eq=False)
class AiohttpAnswerWriter:
    """Port ``AnswerWriter`` for one aiohttp request.

    To callers of HTTP/1.0, the connection's end marks the end of a body without
    a length. Until the answer is finished, each way to close the connection
    resets it, so that the caller does not take a part for the whole.

    :param is_last: returns whether to close the connection after an answer
        that starts now.
    """

    request: web.BaseRequest
    is_last: Callable[[], bool]
    response: web.StreamResponse | None = None

    @property
    def is_started(self) -> bool:
        """Whether the status line may have been sent."""
        return self.response is not None

    async def start(self, *, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        response = _DelayedHeadersResponse(
            status=status, headers=CIMultiDict(headers)
        )
        self.response = response
        if self.is_last():
            response.force_close()
        if self._is_ended_by_close():
            self._set_linger(_RESET_ON_CLOSE)
        try:
            await response.prepare(self.request)
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        assert self.response is not None
        try:
            for start in range(0, len(chunk), _SLICE_BYTES):
                await self.response.write(chunk[start : start + _SLICE_BYTES])
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    async def finish(self) -> None:
        """End the body."""
        assert self.response is not None
        try:
            await self.response.write_eof()
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc
        if self._is_ended_by_close():
            self._set_linger(_ORDERLY_CLOSE)

    def abort(self) -> None:
        """Abort the connection."""
        transport = self.request.transport
        if transport is not None:
            transport.abort()

    def _is_ended_by_close(self) -> bool:
        """Return whether the body has neither a length nor chunks."""
        return (
            self.response is not None
            and self.response.content_length is None
            and self.request.version < HttpVersion11
        )

    def _set_linger(self, linger: bytes) -> None:
        transport = self.request.transport
        if transport is not None:
            connection = transport.get_extra_info('socket')
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@attrs.define(kw_only=True, eq=False)
class EntryServer:
    """Accepts callers' requests.

    :param listen: ``host:port``.
    :param on_bad_input: counts a request that cannot be parsed and
        returns the answer to it.
    :param max_body_bytes: largest request body.
    :param max_total_body_bytes: bytes of all request bodies in progress.
    :param max_line_bytes: largest line of a header block.
    :param is_parallel: handle pipelined requests without a body
        concurrently and buffer their answers until they may be sent.
    :param timeouts: time limits of connections.
    :param events: counts connections that were closed.
    :param buffers: space for the answers to pipelined requests.
    :param options: further options of aiohttp's server.
    """

    listen: str
    handler: CallerHandler
    on_bad_input: BadInputReporter
    max_body_bytes: int
    max_total_body_bytes: float = math.inf
    max_line_bytes: int = _MAX_LINE_BYTES
    is_parallel: bool = False
    timeouts: CallerTimeouts = CallerTimeouts()
    events: Counter[str] = attrs.field(factory=Counter)
    buffers: BufferSpace = attrs.field(factory=BufferSpace)
    options: Mapping[str, Any] = attrs.field(factory=dict)
    _bodies: BodyBudget = attrs.field(
        default=attrs.Factory(
            lambda server: BodyBudget(limit=server.max_total_body_bytes),
            takes_self=True,
        )
    )
    _is_draining: bool = False
    _runner: web.ServerRunner | None = None
    _listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for callers."""
        server = ProblemServer(
            self._handle,
            on_bad_input=self.on_bad_input,
            start_buffered_answer=self._start_buffered_answer
            if self.is_parallel
            else None,
            find_timeouts=lambda: self.timeouts,
            events=self.events,
            handler_cancellation=True,
            max_line_size=self.max_line_bytes,
            max_field_size=self.max_line_bytes,
            # Bodies are passed on as they were sent, with the header that
            # names their coding.
            auto_decompress=False,
            access_log=None,
            **self.options,
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        host, _, port = self.listen.rpartition(':')
        self._listener = await asyncio.get_running_loop().create_server(
            server, host, int(port), backlog=_BACKLOG
        )

    def drain(self) -> None:
        """Close each connection after its next answer.

        A caller that reuses a connection could otherwise send a request
        on it while the server closes it. Pipelined requests that may have
        been sent to instances already are answered before.
        """
        self._is_draining = True

    def apply_timeouts(self, timeouts: CallerTimeouts) -> None:
        """Put time limits in force, also for open connections."""
        if timeouts == self.timeouts:
            return
        _LOG.info('caller_timeouts', header=timeouts.header, idle=timeouts.idle)
        self.timeouts = timeouts
        for connection in self.connections():
            connection.apply_timeouts()

    def connections(self) -> list[ProblemRequestHandler]:
        """Return the open connections of callers."""
        if self._runner is None or self._runner.server is None:
            return []
        return [
            connection
            for connection in self._runner.server.connections
            if isinstance(connection, ProblemRequestHandler)
        ]

    def has_unsent_answers(self) -> bool:
        """Return whether answers are still to be sent.

        Those in the kernel's buffers are sent after the process has ended,
        unless the caller sends more.
        """
        return any(found.has_unsent_answers() for found in self.connections())

    def close_idle(self) -> int:
        """Close the connections on which no request is in progress.

        A caller whose request crosses the close knows that it was not read.

        :return: number of connections that were closed.
        """
        return sum(
            connection.close_if_idle() for connection in self.connections()
        )

    async def stop_listening(self) -> None:
        """Accept no further connection; all accepted ones are known then.

        asyncio forgets a connection, and leaves it open, if its listener is
        closed between the two steps in which it is accepted.
        """
        listener, self._listener = self._listener, None
        if listener is None:
            return
        loop = asyncio.get_running_loop()
        for listening in listener.sockets:
            loop.remove_reader(listening)
        for _ in range(_ACCEPT_STEPS):
            await asyncio.sleep(0)
        listener.close()

    async def stop(self, timeout: float | None = None) -> None:
        """Close idle connections and wait for requests in progress.

        :param timeout: seconds after which those in progress are cut off.
        """
        if self._runner is None:
            return
        await self.stop_listening()
        try:
            async with asyncio.timeout(timeout):
                await self._runner.cleanup()
        except TimeoutError:
            connections = self.connections()
            _LOG.warning('connections_cut', connections=len(connections))
            for connection in connections:
                connection.abort()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        assert isinstance(request.protocol, ProblemRequestHandler)
        protocol = request.protocol
        pending = protocol.pop_pending_request(request)
        if request.version < HttpVersion10:
            # The parser accepts HTTP/0.9, whose answers have no status line.
            problem = self.on_bad_input('HttpVersion')
            return web.Response(
                status=problem.status,
                headers=CIMultiDict(problem.headers),
                body=problem.body,
            )
        writer = AiohttpAnswerWriter(
            request=request,
            is_last=lambda: (
                self._is_draining and not protocol.has_started_answers()
            ),
        )
        try:
            if pending.answer_task is None:
                waited = protocol.queueing_time(pending)
                await self._run_handler(request, writer, waited)
            else:
                await _send_buffered_answer(pending.answer_task, writer)
        except Exception:
            # aiohttp answers the error in the middle of a started answer
            # unless the connection is closed.
            if writer.is_started:
                writer.abort()
            raise
        assert writer.response is not None
        if self._is_draining and not writer.response.keep_alive:
            await protocol.linger()
        return writer.response

    async def _run_handler(
        self,
        request: web.BaseRequest,
        writer: AiohttpAnswerWriter,
        waited: float,
    ) -> None:
        with self._bodies.body() as counted:
            await self.handler(
                self._caller_request(request, waited, counted), writer
            )

    def _start_buffered_answer(
        self, message: RawRequestMessage
    ) -> 'asyncio.Task[BufferedAnswer] | None':
        # While this VM stops, the answer before it closes the connection.
        if self._is_draining or not self.buffers.has_room():
            return None
        request = CallerRequest(
            method=message.method,
            target=message.path,
            path=message.url.path,
            headers=tuple(message.headers.items()),
            read_body=_no_body,
        )
        return start_buffered_answer(self.handler, request, self.buffers)

    def _caller_request(
        self, request: web.BaseRequest, waited: float, counted: BodyBytes
    ) -> CallerRequest:
        assert isinstance(request.protocol, ProblemRequestHandler)

        async def read_body() -> bytes:
            try:
                async with asyncio.timeout(_BODY_TIMEOUT_S):
                    return await self._read_body(request, counted)
            except TimeoutError:
                raise BodyTimeoutError(
                    f'body not received in {_BODY_TIMEOUT_S} s'
                ) from None

        return CallerRequest(
            method=request.method,
            target=request.raw_path,
            path=request.path,
            headers=tuple(request.headers.items()),
            read_body=read_body,
            waited=waited,
            untaken=request.protocol.untaken_bytes,
        )

    async def _read_body(
        self, request: web.BaseRequest, counted: BodyBytes
    ) -> bytes:
        if not request.can_read_body:
            return b''
        # The stated length is checked before the first byte is read.
        self._check_size(request.content_length or 0, counted)
        _invite_body(request)
        body = bytearray()
        async for chunk in request.content.iter_any():
            body.extend(chunk)
            self._check_size(len(body), counted)
        return bytes(body)

    def _check_size(self, size: int, counted: BodyBytes) -> None:
        if size > self.max_body_bytes:
            raise BodyTooLargeError(f'body exceeds {self.max_body_bytes} bytes')
        counted.reserve(size)


def _invite_body(request: web.BaseRequest) -> None:
    """Tell a caller that waits for it that its body will be read."""
    expected = request.headers.get('Expect', '').lower()
    if expected != '100-continue' or request.version < HttpVersion11:
        return
    if request.transport is not None:
        request.transport.write(_CONTINUE)


async def _no_body() -> bytes:
    return b''


async def _send_buffered_answer(
    answer_task: 'asyncio.Task[BufferedAnswer]', writer: AiohttpAnswerWriter
) -> None:
    """Send a buffered answer; cancel its task if the caller disconnects."""
    try:
        answer = await answer_task
    except asyncio.CancelledError:
        drop_answer(answer_task)
        raise
    try:
        await answer.deliver(writer)
    finally:
        answer.release()

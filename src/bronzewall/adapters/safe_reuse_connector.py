"""Connection pool that drops connections with unsolicited data."""

import asyncio
import functools
import re
import sys
from collections import Counter
from collections.abc import Collection
from http import HTTPStatus
from typing import Any

import aiohttp
import structlog
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpVersion10, HttpVersion11
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD

from bronzewall.adapters.receive_limits import ReceivedBytes, ReceiveLimits
from bronzewall.wire_checks import whole_number

_END_OF_HEAD = b'\r\n\r\n'
# The start of an answer inside the header block of another one. The parser
# takes it as a part of a header or of the reason phrase.
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}')
# RFC 9110, 15: statuses outside 100 to 599 are not valid.
_CLASSES = range(1, 6)
_STATUSES_OF_A_CLASS = 100
_VERSIONS = (HttpVersion10, HttpVersion11)
# RFC 9110, 5.5: control characters but HTAB are invalid in header values. The
# parser accepts them and aiohttp refuses to write them to a caller.
_CONTROL_CHARACTER = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
# Interim answers of a server that works on the request.
_STATUSES_AT_WORK = frozenset((HTTPStatus.PROCESSING, HTTPStatus.EARLY_HINTS))
# A connection is closed after this many refused requests, since it remembers
# their ids, which takes up to 1.4 KB.
_MAX_REFUSED = 32
_LOG = structlog.get_logger()


class SafeReuseHandler(ResponseHandler):
    """Connection that is not used if data arrived while it was idle.

    aiohttp checks a connection when it is returned to the pool, not when it
    is taken out. An answer that arrives in between would be mistaken for the
    answer to the next request. A new connection is idle until its first
    request.

    ``is_first`` is whether at most one request was sent on the connection,
    ``has_begun`` whether an interim answer says that the work has begun.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        received: ReceivedBytes,
        events: Counter[str],
    ) -> None:
        """Create a connection that has not sent a request yet.

        :param received: counts the bytes of all connections.
        :param events: counts answers that are none.
        """
        super().__init__(loop)
        self.events = events
        self.is_idle = True
        self.is_first = True
        self.has_begun = False
        self._has_sent = False
        self._refused_digests: tuple[int, ...] = ()
        self._received = received
        self._head_bytes = 0
        self._has_head = False
        # Bytes of the body that are still to come, if it has a length.
        self._body_left: int | None = None

    def is_connected(self) -> bool:
        """Return whether the connection may be used."""
        return super().is_connected() and not self.should_close

    def set_response_params(self, **settings: Any) -> None:
        """Prepare to receive an answer."""
        self.is_idle = False
        self.is_first = not self._has_sent
        self._has_sent = True
        self.has_begun = False
        self._head_bytes = 0
        self._has_head = False
        self._body_left = None
        self._received.start(self, self.fail)
        super().set_response_params(**settings)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receive the header block of an answer, which may be interim."""
        message, payload = data
        problem = _status_problem(message)
        if problem is not None:
            self.events['answers_with_odd_status'] += 1
            _LOG.warning(
                'status_line_not_valid', status=message.code, problem=problem
            )
            self.fail(problem)
            return
        if _is_spliced(message):
            self.fail('a status line inside a header block')
            return
        if any(
            _CONTROL_CHARACTER.search(text) for _, text in message.raw_headers
        ):
            self.fail('a control character in a header')
            return
        self._has_head = message.code >= HTTPStatus.OK
        self.has_begun = self.has_begun or message.code in _STATUSES_AT_WORK
        length = whole_number(
            message.headers.get('Content-Length', ''), limit=sys.maxsize
        )
        if not self._has_head:
            self._body_left = None
        elif payload is EMPTY_PAYLOAD:
            self._body_left = 0
        elif length is not None and not message.chunked:
            self._body_left = length
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer whose connection ended with an error.

        An answer without a length is complete only after a clean close.
        aiohttp also accepts a reset connection as its end.
        """
        self._received.stop(self)
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
        self._received.add(self, len(data))
        if not data:
            super().data_received(data)
        while data and self.transport is not None:
            part, data = self._next_part(data)
            if part:
                super().data_received(part)
                self._check_end(part)
        self._fail_malformed_body()

    def fail(self, reason: str) -> None:
        """End an answer that exceeds a limit and close the connection."""
        exc = aiohttp.ClientPayloadError(reason)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(exc)
        self.set_exception(exc)
        transport = self.transport
        if transport is not None:
            transport.abort()
        # Bytes that the event loop has read already are ignored.
        self.transport = None

    def record_refusal(self, request_id: str) -> bool:
        """Return whether this is the first refusal of a request here.

        If a caller sends an id again, a second refusal may be a copy of the
        first one that comes while the request runs.
        """
        # Hashes bound the memory for ids that callers choose.
        digest = hash(request_id)
        is_first = digest not in self._refused_digests
        self._refused_digests = (*self._refused_digests, digest)
        if len(self._refused_digests) >= _MAX_REFUSED:
            self.force_close()
        return is_first

    def finish(self) -> None:
        """Note that the answer was read; more bytes belong to no request."""
        self.is_idle = True
        self._received.stop(self)

    def _next_body_part(self, data: bytes) -> bytes:
        """Return the bytes that belong to the body.

        More bytes belong to no request; the connection is not used again.
        """
        if self._body_left is None:
            return data
        part = data[: self._body_left]
        self._body_left -= len(part)
        if len(part) < len(data):
            self.force_close()
        return part

    def _check_end(self, part: bytes) -> None:
        """Do not use the connection again if bytes follow a chunked body."""
        payload = self._payload
        if payload is None or not payload.is_eof() or self._body_left == 0:
            return
        if not part.endswith(_END_OF_HEAD):
            self.force_close()

    def _fail_malformed_body(self) -> None:
        """End the body after a parser error; aiohttp would wait for more."""
        payload = self._payload
        exc = self._exception
        if exc is None or payload is None or payload.is_eof():
            return
        payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))

    def _next_part(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the bytes to parse now and the rest."""
        if self._has_head:
            return self._next_body_part(data), b''
        # The parser forgets an answer if bytes that follow it in the same
        # part are malformed. The header block is therefore a part by itself.
        end = data.find(_END_OF_HEAD) + len(_END_OF_HEAD)
        if end < len(_END_OF_HEAD):
            end = len(data)
        self._head_bytes += end
        if self._head_bytes > self._received.limits.head_bytes:
            self.fail(f'no header block after {self._head_bytes} bytes')
            return b'', b''
        return data[:end], data[end:]


def _status_problem(message: RawResponseMessage) -> str | None:
    """Return why a status line belongs to no answer.

    The parser accepts any three digits and more versions of HTTP. A caller
    could not understand such an answer, and its statements, such as that
    nothing has run, cannot be believed.
    """
    if message.version not in _VERSIONS:
        version = message.version
        return f'a status line of HTTP/{version.major}.{version.minor}'
    if message.code // _STATUSES_OF_A_CLASS not in _CLASSES:
        return f'status {message.code:03}'
    if message.code == HTTPStatus.SWITCHING_PROTOCOLS:
        return 'a change of protocol that was not requested'
    return None


def _is_spliced(message: RawResponseMessage) -> bool:
    """Return whether a header block was put together from two answers.

    If the start of a copy of an earlier answer comes before an answer, or a
    whole one within its header block, the status of one answer appears with
    the headers of the other.
    """
    texts = [message.reason.encode(errors='surrogateescape')]
    texts.extend(text for _, text in message.raw_headers)
    return any(map(_STATUS_LINE.search, texts))


def handler_of(response: aiohttp.ClientResponse) -> SafeReuseHandler:
    """Return the connection of an answer, also after it was released."""
    protocol = response._protocol  # noqa: SLF001, WPS437
    assert isinstance(protocol, SafeReuseHandler)
    return protocol


def discard(response: aiohttp.ClientResponse) -> None:
    """Close the connection of an answer that belongs to another request.

    An answer without a body is released to the pool on arrival; then closing
    the answer does not close the connection. Call this before any other
    request can take the connection, thus before anything is awaited.
    """
    response.close()
    handler_of(response).close()


class SafeReuseConnector(aiohttp.TCPConnector):
    """Connector without limits; the dispatcher limits connections."""

    def __init__(
        self,
        *,
        limits: ReceiveLimits | None = None,
        events: Counter[str] | None = None,
        **options: Any,
    ) -> None:
        """Create a connector of :class:`SafeReuseHandler` connections.

        :param limits: limits on the bytes of answers.
        :param events: counts answers that are none.
        :param options: passed on to ``TCPConnector``.
        """
        super().__init__(limit=0, limit_per_host=0, **options)
        received = ReceivedBytes(limits=limits or ReceiveLimits())
        make_handler: Any = functools.partial(
            SafeReuseHandler,
            loop=self._loop,
            received=received,
            events=Counter() if events is None else events,
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
        protocol.finish()

"""Requests to upstreams over aiohttp's client, with Bronzewall's errors."""

from collections.abc import Collection, Iterator
from contextlib import contextmanager
from typing import Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamTimeoutError,
)
from bronzewall.ports import UpstreamRequest

# aiohttp rounds timeouts above this threshold up to whole seconds, which would
# extend a deadline.
_CEIL_THRESHOLD_S = 1e9
# Headers that aiohttp adds by default.
_AIOHTTP_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding')


def open_no_retry_session(
    connector: aiohttp.BaseConnector,
    *,
    max_line_bytes: int,
    skip_headers: Collection[str] = (),
) -> aiohttp.ClientSession:
    """Return a client session that never resends a request.

    :param max_line_bytes: largest line of an answer's header block.
    :param skip_headers: further headers that aiohttp must not add.
    """
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=(*_AIOHTTP_HEADERS, *skip_headers),
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=max_line_bytes,
        max_field_size=max_line_bytes,
    )
    # aiohttp resends idempotent methods when a reused connection is closed.
    # Here the route, not the method, decides whether a request may run twice.
    session._retry_connection = False  # noqa: SLF001, WPS437
    return session


def start_request(
    session: aiohttp.ClientSession,
    request: UpstreamRequest,
    *,
    connect_timeout: float,
) -> Any:
    """Return aiohttp's request, to be awaited or used in ``async with``.

    :param connect_timeout: seconds to open a new connection.
    """
    return session.request(
        request.method,
        _request_url(request),
        headers=CIMultiDict(request.headers),
        data=request.body or None,
        timeout=aiohttp.ClientTimeout(
            total=request.timeout,
            connect=connect_timeout,
            ceil_threshold=_CEIL_THRESHOLD_S,
        ),
        allow_redirects=False,
    )


def _request_url(request: UpstreamRequest) -> URL:
    """Return the URL from which aiohttp writes the request line.

    The whole target, query included, is the path of the URL. A target that
    is parsed into parts and put together again can change: an empty query
    loses its "?".
    """
    return URL.build(
        scheme='http',
        authority=request.address,
        path=request.target,
        encoded=True,
    )


@contextmanager
def translate_errors(timeout: float) -> Iterator[None]:
    """Translate aiohttp's errors to those of the upstream ports.

    :param timeout: seconds that the exchange may take.
    :raises ConnectFailedError: nothing was sent.
    :raises UpstreamTimeoutError: no complete answer came in time.
    :raises UpstreamBrokenError: the connection broke, or the answer is not
        HTTP.
    """
    if timeout <= 0:
        # aiohttp treats 0 as "no timeout".
        raise ConnectFailedError('deadline passed before the request was sent')
    try:
        yield
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as exc:
        raise ConnectFailedError(repr(exc)) from exc
    except TimeoutError as exc:
        raise UpstreamTimeoutError(
            f'no complete answer within {timeout:.3f} s'
        ) from exc
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        raise UpstreamBrokenError(_describe(exc)) from exc


def _describe(exc: Exception) -> str:
    """Return a description that may be shown to callers.

    Some of aiohttp's errors hold the request or the part of an answer that
    was received.
    """
    if isinstance(exc, aiohttp.ServerDisconnectedError):
        return 'the connection ended before the end of the header block'
    if isinstance(exc, aiohttp.ClientResponseError):
        # Further lines quote the answer.
        problem = exc.message.partition('\n')[0].rstrip(':')
        return f'malformed answer: {problem}'
    return repr(exc)

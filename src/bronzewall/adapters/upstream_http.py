"""Exchanges with upstream instances over aiohttp's client."""

from collections import Counter
from collections.abc import AsyncIterator

import aiohttp
import attrs

from bronzewall import headers as header_rules
from bronzewall.adapters.safe_reuse_connector import (
    SafeReuseConnector,
    discard,
    handler_of,
)
from bronzewall.adapters.upstream_calls import (
    open_no_retry_session,
    start_request,
    translate_errors,
)
from bronzewall.errors import (
    UpstreamBrokenError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.ports import UpstreamAnswer, UpstreamRequest

_STATUS_SHED = 503
_CONNECT_TIMEOUT_S = 1.0
_MAX_LINE_BYTES = 16_384
_NO_BODY_STATUSES = frozenset((204, 304))


@attrs.define(kw_only=True, eq=False)
class AiohttpExchange:
    """One exchange over aiohttp."""

    answer: UpstreamAnswer
    response: aiohttp.ClientResponse

    def close(self) -> None:
        """Close the connection unless the whole answer was read."""
        # aiohttp releases the connection at the end of the body, and closing
        # it afterwards does nothing. Closing it earlier prevents the reuse of
        # a connection with an unread answer.
        self.response.close()


@attrs.define(kw_only=True, eq=False)
class AiohttpUpstreams:
    """Port ``UpstreamHttp`` with one connection pool for all instances."""

    session: aiohttp.ClientSession

    async def exchange(self, request: UpstreamRequest) -> AiohttpExchange:
        """Send a request and wait for the start of the answer."""
        with translate_errors(request.timeout):
            response = await start_request(
                self.session,
                request,
                connect_timeout=min(_CONNECT_TIMEOUT_S, request.timeout),
            )
        problem = _identity_problem(request, response) or _framing_problem(
            request, response
        )
        if _is_shed(response) and handler_of(response).has_begun:
            problem = 'refused after the work has begun'
        if problem is not None:
            discard(response)
            raise UpstreamBrokenError(f'{request.instance_id}: {problem}')
        answer = UpstreamAnswer(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=_body(response),
        )
        if _is_shed(response):
            response.close()
            raise UpstreamShedError(f'{request.instance_id} shed the request')
        return AiohttpExchange(answer=answer, response=response)


def open_session(
    events: Counter[str] | None = None,
) -> aiohttp.ClientSession:
    """Return a client session that never resends a request.

    :param events: counts answers that are none.
    """
    return open_no_retry_session(
        SafeReuseConnector(events=events), max_line_bytes=_MAX_LINE_BYTES
    )


def _is_shed(response: aiohttp.ClientResponse) -> bool:
    """Return whether an upstream states that it did not run the request."""
    return response.status == _STATUS_SHED and (
        header_rules.SHED in response.headers
    )


def _framing_problem(
    request: UpstreamRequest, response: aiohttp.ClientResponse
) -> str | None:
    """Return why an answer may be incomplete or belong to another request."""
    lengths = set(response.headers.getall('Content-Length', ()))
    is_chunked = 'Transfer-Encoding' in response.headers
    if len(lengths) + is_chunked > 1:
        return 'conflicting body lengths'
    has_body = request.method != 'HEAD' and (
        response.status not in _NO_BODY_STATUSES
    )
    if has_body and not lengths and not is_chunked:
        return 'an answer without a length may be truncated'
    return None


def _identity_problem(
    request: UpstreamRequest, response: aiohttp.ClientResponse
) -> str | None:
    """Return why an answer may belong to another request.

    A connection is used again only while its answers echo the request's id:
    a second copy of an answer may arrive after the next request was sent.
    """
    # Several different ids are the headers of several answers.
    echoed = set(response.headers.getall(header_rules.REQUEST_ID, ()))
    if echoed == {header_rules.find(request.headers, header_rules.REQUEST_ID)}:
        return None
    if not echoed:
        handler = handler_of(response)
        handler.force_close()
        if handler.is_first:
            return None
    return 'the answer belongs to another request'


async def _body(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except TimeoutError as exc:
        raise UpstreamTimeoutError(
            'answer not complete before the deadline'
        ) from exc
    except (aiohttp.ClientError, OSError) as exc:
        raise UpstreamBrokenError(repr(exc)) from exc

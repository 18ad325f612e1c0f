"""Exchanges with upstream instances over aiohttp's client."""

from collections.abc import AsyncIterator

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from bronzewall import headers as header_rules
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.ports import UpstreamAnswer, UpstreamRequest

_STATUS_SHED = 503
_CONNECT_TIMEOUT_S = 1.0
_MAX_LINE_BYTES = 16_384


@attrs.define(kw_only=True, eq=False)
class AiohttpExchange:
    """One exchange over aiohttp."""

    answer: UpstreamAnswer
    response: aiohttp.ClientResponse

    def close(self) -> None:
        """Close the connection unless the whole answer was read."""
        # aiohttp releases the connection by itself at the end of the
        # body; closing then does nothing, and before then it prevents
        # the reuse of a connection with an unread answer.
        self.response.close()


@attrs.define(kw_only=True, eq=False)
class AiohttpUpstreams:
    """Port ``UpstreamHttp`` with one connection pool for all instances."""

    session: aiohttp.ClientSession

    async def exchange(self, request: UpstreamRequest) -> AiohttpExchange:
        """Send a request and wait for the start of the answer."""
        response = await self._request(request)
        answer = UpstreamAnswer(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=_body(response),
        )
        if response.status == _STATUS_SHED and (
            header_rules.SHED in response.headers
        ):
            response.close()
            raise UpstreamShedError(f'{request.instance_id} shed the request')
        return AiohttpExchange(answer=answer, response=response)

    async def _request(
        self, request: UpstreamRequest
    ) -> aiohttp.ClientResponse:
        timeout = aiohttp.ClientTimeout(
            total=request.timeout,
            connect=min(_CONNECT_TIMEOUT_S, request.timeout),
        )
        try:
            return await self.session.request(
                request.method,
                URL(f'http://{request.address}{request.target}', encoded=True),
                headers=CIMultiDict(request.headers),
                data=request.body or None,
                timeout=timeout,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise ConnectFailedError(str(exc)) from exc
        except TimeoutError as exc:
            raise UpstreamTimeoutError(
                f'no answer within {request.timeout:.3f} s'
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise UpstreamBrokenError(repr(exc)) from exc


def open_session() -> aiohttp.ClientSession:
    """Return a client session that never resends a request."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, limit_per_host=0),
        auto_decompress=False,
        skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=_MAX_LINE_BYTES,
        max_field_size=_MAX_LINE_BYTES,
    )
    # aiohttp resends idempotent methods by itself when a kept connection
    # is closed. The routes, not the methods, say what may run twice.
    session._retry_connection = False  # noqa: SLF001, WPS437
    return session


async def _body(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except TimeoutError as exc:
        raise UpstreamTimeoutError('answer not complete in time') from exc
    except (aiohttp.ClientError, OSError) as exc:
        raise UpstreamBrokenError(repr(exc)) from exc

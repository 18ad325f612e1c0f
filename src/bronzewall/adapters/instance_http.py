"""Exchanges with discovered instances over aiohttp's client."""

import math
import socket
from collections import Counter
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs
import structlog
from multidict import CIMultiDictProxy

from bronzewall.adapters.receive_limits import ReceiveLimits
from bronzewall.adapters.safe_reuse_connector import (
    SafeReuseConnector,
    discard,
    handler_of,
)
from bronzewall.adapters.tcp_probe import accepts_connections
from bronzewall.adapters.upstream_calls import (
    open_no_retry_session,
    start_request,
    translate_errors,
)
from bronzewall.edge.ports import HeaderNames, InstanceAnswer, InstanceRequest
from bronzewall.edge.settings import ANSWER_BYTES, TOTAL_ANSWER_BYTES
from bronzewall.errors import (
    UpstreamBrokenError,
    UpstreamShedError,
    WrongInstanceError,
)
from bronzewall.wire_checks import whole_number

_MAX_LINE_BYTES = 32_768
_STATUS_WRONG_INSTANCE = 421
# Statuses of answers that may state that a request has not run.
_STATUSES_NOT_RUN = frozenset((400, 408, _STATUS_WRONG_INSTANCE, 429, 503))
# Statuses that promise a caller that a request has not run.
_STATUSES_OF_REFUSALS = frozenset((408, _STATUS_WRONG_INSTANCE, 429, 503))
_STATUS_SUCCESS = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
# Idle connections are closed well before instances close them; a request that
# is sent while the instance closes the connection would be lost.
_IDLE_S = 4.0
# Fraction of an instance's stated idle timeout during which an idle connection
# is kept.
_IDLE_FRACTION = 0.6
# A longer idle timeout does not matter, seconds.
_MAX_IDLE_S = 3600
# The connection fails when sent bytes are not acknowledged for this long; the
# peer is then unreachable. TCP retransmits lost packets after 0.2 s.
_USER_TIMEOUT_MS = 1500
_TIMEOUT_PARAMETER = 'timeout='
_RETRY_AFTER = 'Retry-After'
# Any other value states that the instance leaves.
_NOT_LEAVING = '0'
_LOG = structlog.get_logger()
# Answers are received as a whole before they are passed on, bytes.
_LIMITS = ReceiveLimits(
    answer_bytes=ANSWER_BYTES, total_bytes=TOTAL_ANSWER_BYTES
)


@attrs.define(kw_only=True, eq=False)
class InstanceClient:
    """Port ``InstanceHttp`` with one connection pool for all instances."""

    names: HeaderNames
    session: aiohttp.ClientSession
    connector: SafeReuseConnector

    async def send(self, request: InstanceRequest) -> InstanceAnswer:
        """Send a request and return the whole answer."""
        with translate_errors(request.timeout):
            return await self._send(request)

    async def can_connect(self, address: str) -> bool:
        """Return whether an address accepts a connection in time."""
        return await accepts_connections(address)

    def close_idle(self, addresses: Sequence[str]) -> None:
        """Close idle connections to addresses that are no longer in use."""
        self.connector.close_idle(addresses)

    async def _send(self, request: InstanceRequest) -> InstanceAnswer:
        async with start_request(
            self.session, request, connect_timeout=request.connect_timeout
        ) as response:
            self._check_request(request, response)
            is_sent = _is_request_sent(response)
            body = await response.read()
            if not is_sent:
                # The instance answered before it had the whole request body.
                # It still expects the rest, so the connection can't be reused.
                response.close()
            self._apply_idle_timeout(response.headers)
            self._check_answer(request, response)
            return InstanceAnswer(
                status=response.status,
                headers=tuple(response.headers.items()),
                body=body,
                request_limit=self._request_limit(request, response),
                is_leaving=self._is_leaving(response),
                pause=_pause(request, response),
            )

    def _is_leaving(self, response: aiohttp.ClientResponse) -> bool:
        stated = response.headers.get(self.names.leaving, _NOT_LEAVING)
        return stated != _NOT_LEAVING

    def _request_limit(
        self, request: InstanceRequest, response: aiohttp.ClientResponse
    ) -> float | None:
        """Return the limit that an answer states; a malformed one is none."""
        text = response.headers.get(self.names.request_limit)
        if text is None:
            return None
        try:
            limit = float(text)
        except ValueError:
            limit = math.nan
        if 0 <= limit < math.inf:
            return limit
        _LOG.warning('limit_not_valid', instance=request.instance_id, text=text)
        return None

    def _check_request(
        self, request: InstanceRequest, response: aiohttp.ClientResponse
    ) -> None:
        """Raise an error unless this is the final answer to this request.

        A late copy of an answer to an earlier request may say that it has
        not run; this request may run nevertheless.
        """
        problem = (
            self._identity_problem(request, response)
            or self._contradiction(request, response)
            or self._repetition(request, response)
        )
        if problem is not None:
            discard(response)
            raise UpstreamBrokenError(f'{request.instance_id}: {problem}')

    def _identity_problem(
        self, request: InstanceRequest, response: aiohttp.ClientResponse
    ) -> str | None:
        """Return why an answer may belong to another request."""
        # Several different ids are the headers of several answers.
        echoed = set(response.headers.getall(self.names.attempt_id, ()))
        is_first = handler_of(response).is_first
        is_needed = not is_first or response.status in _STATUS_SUCCESS
        if echoed != {request.attempt_id} and (echoed or is_needed):
            return f'answer to attempt {sorted(echoed)}'
        if response.status < HTTPStatus.OK:
            return f'no final answer, status {response.status}'
        return None

    def _contradiction(
        self, request: InstanceRequest, response: aiohttp.ClientResponse
    ) -> str | None:
        """Return which statements of an answer exclude one another.

        Its headers may be those of several answers.
        """
        headers = response.headers
        status = response.status
        lengths = set(headers.getall('Content-Length', ()))
        not_run = set(headers.getall(self.names.not_run, ()))
        responders = headers.getall(self.names.instance_id, ())
        if len(lengths) + ('Transfer-Encoding' in headers) > 1:
            return 'conflicting body lengths'
        if len(not_run) > 1 or (not_run and status not in _STATUSES_NOT_RUN):
            return f'status {status} with {sorted(not_run)} for "not run"'
        is_wrong = status == _STATUS_WRONG_INSTANCE
        if is_wrong and request.instance_id in responders:
            return 'calls itself another instance'
        if (is_wrong or not_run) and handler_of(response).has_begun:
            return '"not run" after the work has begun'
        return None

    def _repetition(
        self, request: InstanceRequest, response: aiohttp.ClientResponse
    ) -> str | None:
        """Return whether a refusal may be a copy with the id of this request.

        The status alone counts too: so another VM refuses a request.
        """
        is_refusal = (
            response.status in _STATUSES_OF_REFUSALS
            or self.names.not_run in response.headers
        )
        if is_refusal and not handler_of(response).record_refusal(
            request.attempt_id
        ):
            return f'second refusal of attempt {request.attempt_id}'
        return None

    def _check_answer(
        self, request: InstanceRequest, response: aiohttp.ClientResponse
    ) -> None:
        """Raise an error unless the instance ran the request."""
        headers = response.headers
        instance_id = request.instance_id
        if response.status == _STATUS_WRONG_INSTANCE:
            responder = headers.get(self.names.instance_id)
            raise WrongInstanceError(f'{instance_id}: answered by {responder}')
        if self.names.not_run in headers:
            raise UpstreamShedError(
                f'{instance_id}: request not run, status {response.status}',
                request_limit=self._request_limit(request, response),
                is_leaving=self._is_leaving(response),
                pause=_pause(request, response),
            )
        if response.status in _STATUS_SUCCESS and (
            self.names.answer_signature not in headers
        ):
            raise UpstreamBrokenError(
                f'{instance_id}: answer without a signature'
            )

    def _apply_idle_timeout(self, headers: CIMultiDictProxy[str]) -> None:
        """Keep idle connections for less time than the instance does."""
        keep_alive = headers.get('Keep-Alive', '')
        _, parameter, text = keep_alive.partition(_TIMEOUT_PARAMETER)
        seconds = whole_number(
            text.partition(',')[0].strip(), limit=_MAX_IDLE_S
        )
        if parameter and seconds is not None:
            self.connector.limit_keepalive(seconds * _IDLE_FRACTION)


def open_instance_client(
    names: HeaderNames,
    limits: ReceiveLimits = _LIMITS,
    *,
    events: Counter[str] | None = None,
) -> InstanceClient:
    """Return a client that never resends a request on its own.

    :param limits: limits on the bytes of answers.
    :param events: counts answers that are none.
    """
    connector = SafeReuseConnector(
        limits=limits,
        events=events,
        keepalive_timeout=_IDLE_S,
        socket_factory=_open_socket,
    )
    session = open_no_retry_session(
        connector,
        max_line_bytes=_MAX_LINE_BYTES,
        skip_headers=('Content-Type',),
    )
    return InstanceClient(names=names, session=session, connector=connector)


def _pause(request: InstanceRequest, response: aiohttp.ClientResponse) -> float:
    """Return the seconds for which an instance wants no requests.

    A malformed number is none; dates are not used by instances.
    """
    text = response.headers.get(_RETRY_AFTER)
    if text is None or response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if 0 <= seconds < math.inf:
        return seconds
    _LOG.warning('pause_not_valid', instance=request.instance_id, text=text)
    return 0


def _is_request_sent(response: aiohttp.ClientResponse) -> bool:
    """Return whether the whole request was written."""
    writer = response._writer  # noqa: SLF001, WPS437
    return writer is None or writer.done()


def _open_socket(addr_info: Any) -> socket.socket:
    """Return a socket that fails when the peer stops acknowledging."""
    family, socket_type, protocol = addr_info[:3]
    opened = socket.socket(family, socket_type, protocol)
    opened.setblocking(False)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )
    return opened

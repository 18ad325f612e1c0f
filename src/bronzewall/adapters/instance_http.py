"""Exchanges with discovered instances over aiohttp's client."""

import socket
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import aiohttp
import attrs
from multidict import CIMultiDictProxy

from bronzewall.adapters.quiet_connector import QuietConnector
from bronzewall.adapters.upstream_calls import (
    open_quiet_session,
    start_call,
    typed_errors,
)
from bronzewall.edge.ports import HeaderNames, InstanceAnswer, InstanceRequest
from bronzewall.errors import (
    UpstreamBrokenError,
    UpstreamShedError,
    WrongInstanceError,
)

_MAX_LINE_BYTES = 32_768
_STATUS_WRONG_INSTANCE = 421
_STATUS_SUCCESS = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
# Idle connections are closed after this time, well before instances close
# them; a request sent in that moment would be lost.
_IDLE_S = 4.0
# Part of an instance's stated idle timeout for which a connection is used.
_IDLE_PART = 0.6
# Bytes that a peer has not acknowledged for this long mean that it is cut
# off, milliseconds. Lost packets are sent again after 0.2 s.
_USER_TIMEOUT_MS = 1500
_TIMEOUT_MARK = 'timeout='


@attrs.define(kw_only=True, eq=False)
class InstanceClient:
    """Port ``InstanceHttp`` with one connection pool for all instances."""

    names: HeaderNames
    session: aiohttp.ClientSession
    connector: QuietConnector

    async def send(self, request: InstanceRequest) -> InstanceAnswer:
        """Send a request and return the whole answer."""
        with typed_errors(request.timeout):
            return await self._send(request)

    def forget(self, addresses: Sequence[str]) -> None:
        """Close idle connections to addresses that are not used any more."""
        self.connector.close_idle(addresses)

    async def _send(self, request: InstanceRequest) -> InstanceAnswer:
        async with start_call(
            self.session, request, connect_timeout=request.connect_timeout
        ) as response:
            is_sent = _is_request_sent(response)
            body = await response.read()
            if not is_sent:
                # The instance answered early and expects the rest of the
                # body; nothing else may be sent on this connection.
                response.close()
            self._note_idle_timeout(response.headers)
            self._check(request, response)
            return InstanceAnswer(
                status=response.status,
                headers=tuple(response.headers.items()),
                body=body,
            )

    def _check(
        self, request: InstanceRequest, response: aiohttp.ClientResponse
    ) -> None:
        """Raise unless this is the instance's answer to this request."""
        headers = response.headers
        where = request.instance_id
        if response.status == _STATUS_WRONG_INSTANCE:
            other = headers.get(self.names.instance_id)
            raise WrongInstanceError(f'{where}: {other} answered')
        if self.names.not_run in headers:
            raise UpstreamShedError(f'{where}: not run, {response.status}')
        lengths = set(headers.getall('Content-Length', ()))
        if len(lengths) + ('Transfer-Encoding' in headers) > 1:
            raise UpstreamBrokenError(f'{where}: conflicting lengths')
        echoed = headers.get(self.names.attempt_id)
        if echoed != request.attempt_id and (
            echoed is not None or response.status in _STATUS_SUCCESS
        ):
            response.close()
            raise UpstreamBrokenError(f'{where}: answer to {echoed}')
        if response.status in _STATUS_SUCCESS and (
            self.names.answer_signature not in headers
        ):
            raise UpstreamBrokenError(f'{where}: answer without a seal')

    def _note_idle_timeout(self, headers: CIMultiDictProxy[str]) -> None:
        """Use connections for no longer than instances keep them."""
        stated = headers.get('Keep-Alive', '')
        _, mark, text = stated.partition(_TIMEOUT_MARK)
        seconds = text.partition(',')[0].strip()
        if mark and seconds.isdigit():
            self.connector.keep_idle_for(int(seconds) * _IDLE_PART)


def open_instance_client(names: HeaderNames) -> InstanceClient:
    """Return a client that never resends a request by itself."""
    connector = QuietConnector(
        keepalive_timeout=_IDLE_S, socket_factory=_open_socket
    )
    session = open_quiet_session(
        connector, max_line_bytes=_MAX_LINE_BYTES, left_out=('Content-Type',)
    )
    return InstanceClient(names=names, session=session, connector=connector)


def _is_request_sent(response: aiohttp.ClientResponse) -> bool:
    """Return whether the whole request was written."""
    writer = response._writer  # noqa: SLF001, WPS437
    return writer is None or writer.done()


def _open_socket(addr_info: Any) -> socket.socket:
    """Return a socket that notices when the peer is cut off."""
    family, kind, protocol = addr_info[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )
    return opened

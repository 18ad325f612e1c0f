"""Table service, object store and VM list over HTTP."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

import aiohttp
import attrs
import cbor2

from bronzewall import platform_wire
from bronzewall.adapters.safe_reuse_connector import SafeReuseConnector
from bronzewall.adapters.stated_end import check_stated_end
from bronzewall.errors import (
    ObjectMissingError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from bronzewall.types import Row, RowCheck, RowWrite, VmRecord
from bronzewall.wire_checks import shown

_HTTP_OK = 200
_DecodedT = TypeVar('_DecodedT')


def open_platform_session(
    events: Counter[str] | None = None,
) -> aiohttp.ClientSession:
    """Return a session for calls to the platform and to VMs.

    Their answers carry no id of the request: one that comes on an idle
    connection must not be the answer to the next request.

    :param events: counts answers that are none.
    """
    return aiohttp.ClientSession(connector=SafeReuseConnector(events=events))


@attrs.define(kw_only=True)
class PlatformClient:
    """Ports ``TableService`` and ``ObjectStore`` over one base URL.

    :param timeout: seconds for one operation.
    """

    base_url: str
    session: aiohttp.ClientSession
    timeout: float = 2.0

    async def read(self, *, table: str, key: str) -> Row | None:
        """Return one row."""
        body = cbor2.dumps({'table': table, 'key': key})
        answer = await self._request(platform_wire.READ_PATH, body)
        return _decode(answer, platform_wire.row_from_wire)

    async def scan(self, *, table: str, prefix: str) -> Mapping[str, Row]:
        """Return rows by key."""
        body = cbor2.dumps({'table': table, 'prefix': prefix})
        answer = await self._request(platform_wire.SCAN_PATH, body)
        return _decode(answer, _rows_from_wire)

    async def transact(
        self, *, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Apply the writes if the checks hold."""
        body = platform_wire.transaction_to_wire(checks, writes)
        try:
            status, answer = await self._send(platform_wire.TRANSACT_PATH, body)
        except aiohttp.ClientConnectorError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise StoreAnswerLostError(str(exc)) from exc
        if status == platform_wire.STATUS_CONFLICT:
            raise StoreConflictError(answer.decode())
        if status != _HTTP_OK:
            raise StoreUnavailableError(f'status {status}')

    async def time(self) -> float:
        """Return the time of the service's clock."""
        answer = await self._request(platform_wire.TIME_PATH, b'')
        return _decode(answer, float)

    async def put(self, *, name: str, body: bytes) -> None:
        """Store an object; the operation is idempotent."""
        await self._request(platform_wire.OBJECT_PATH + name, body, 'PUT')

    async def get(self, *, name: str) -> bytes:
        """Return an object."""
        return await self._request(platform_wire.OBJECT_PATH + name, b'', 'GET')

    async def get_path(self, path: str) -> bytes:
        """Return the body of a GET request."""
        return await self._request(path, b'', 'GET')

    async def _request(
        self, path: str, body: bytes, method: str = 'POST'
    ) -> bytes:
        try:
            status, answer = await self._send(path, body, method)
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if status == platform_wire.STATUS_MISSING:
            raise ObjectMissingError(path)
        if status != _HTTP_OK:
            raise StoreUnavailableError(f'status {status}')
        return answer

    async def _send(
        self, path: str, body: bytes, method: str = 'POST'
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(total=self.timeout)
        async with self.session.request(
            method, self.base_url + path, data=body, timeout=timeout
        ) as response:
            check_stated_end(response)
            return response.status, await response.read()


@attrs.define(kw_only=True)
class PlatformVmList:
    """Port ``VmList`` over the platform's HTTP interface."""

    client: PlatformClient

    async def read(self) -> Sequence[VmRecord]:
        """Return the records."""
        answer = await self.client.get_path(platform_wire.VMS_PATH)
        return _decode(answer, _vm_records_from_wire)


def _decode(answer: bytes, convert: Callable[[Any], _DecodedT]) -> _DecodedT:
    """Return what an answer encodes.

    :raises StoreUnavailableError: it is malformed.
    """
    try:
        return convert(cbor2.loads(answer))
    except Exception as exc:
        raise StoreUnavailableError(f'malformed answer: {shown(exc)}') from exc


def _rows_from_wire(wire: Any) -> dict[str, Row]:
    return {key: Row(**row) for key, row in wire.items()}


def _vm_records_from_wire(wire: Any) -> tuple[VmRecord, ...]:
    return tuple(platform_wire.vm_record_from_wire(one) for one in wire)

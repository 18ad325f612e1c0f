"""Protocols of the services and connections outside the process."""

from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
    Sequence,
)
from typing import Protocol

import attrs

from bronzewall.types import (
    InstanceId,
    Row,
    RowCheck,
    RowWrite,
    VmId,
    VmRecord,
)

Headers = Sequence[tuple[str, str]]
PayloadHandler = Callable[[bytes], None]


class Clock(Protocol):
    """Time source; all values are seconds."""

    def now(self) -> float:
        """Return monotonic time that also counts suspended time."""

    def wall(self) -> float:
        """Return Unix time."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time."""


class TableService(Protocol):
    """The platform's transactional table service."""

    async def read(self, *, table: str, key: str) -> Row | None:
        """Return a row, or ``None`` if absent.

        :raises StoreUnavailableError: the service did not answer.
        """

    async def scan(self, *, table: str, prefix: str) -> Mapping[str, Row]:
        """Return the rows whose key starts with the prefix.

        :raises StoreUnavailableError: the service did not answer.
        """

    async def transact(
        self, *, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Apply all writes if all checks hold.

        :raises StoreConflictError: a check failed, nothing was written.
        :raises StoreUnavailableError: nothing was written.
        :raises StoreAnswerLostError: the writes may have taken effect.
        """

    async def time(self) -> float:
        """Return the service's clock in seconds.

        :raises StoreUnavailableError: the service did not answer.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, *, name: str, body: bytes) -> None:
        """Store an object.

        :raises StoreUnavailableError: the store did not answer.
        """

    async def get(self, *, name: str) -> bytes:
        """Return an object.

        :raises ObjectMissingError: there is no such object.
        :raises StoreUnavailableError: the store did not answer.
        """


class VmList(Protocol):
    """The platform's lagging list of VMs."""

    async def read(self) -> Sequence[VmRecord]:
        """Return the list.

        :raises StoreUnavailableError: the platform did not answer.
        """


class PeerLink(Protocol):
    """Unreliable datagram-like link between VMs."""

    def send(self, *, to: VmId, payload: bytes) -> None:
        """Queue one message; it may be lost, reordered or duplicated."""

    def on_payload(self, handler: PayloadHandler) -> None:
        """Set the handler of received messages."""

    def set_addresses(self, addresses_by_id: Mapping[VmId, str]) -> None:
        """Set the ``host:port`` of each peer."""


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """A request to one upstream instance.

    :param address: ``host:port`` of the instance.
    :param target: path and query in wire form.
    :param timeout: seconds until the whole answer must have started.
    """

    instance_id: InstanceId
    address: str
    method: str
    target: str
    headers: Headers
    body: bytes
    timeout: float


@attrs.frozen(kw_only=True)
class UpstreamAnswer:
    """Start of an upstream's answer; ``body`` yields chunks.

    Iterating ``body`` raises :class:`UpstreamBrokenError` when the answer
    ends before its stated length, so a short body never looks complete.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]


class UpstreamExchange(Protocol):
    """One exchange; ``close`` must be called exactly once."""

    answer: UpstreamAnswer

    def close(self) -> None:
        """Release the connection; an unfinished one is never reused."""


class UpstreamHttp(Protocol):
    """HTTP client towards upstream instances."""

    async def exchange(self, request: UpstreamRequest) -> UpstreamExchange:
        """Send a request and wait for the start of the answer.

        :raises ConnectFailedError: nothing was sent.
        :raises UpstreamShedError: the instance refused explicitly.
        :raises UpstreamTimeoutError: no answer in time, outcome unknown.
        :raises UpstreamBrokenError: the exchange broke, outcome unknown.
        """


class AnswerWriter(Protocol):
    """Answer to one caller."""

    @property
    def is_started(self) -> bool:
        """Whether the status line may have been sent."""

    async def start(self, *, status: int, headers: Headers) -> None:
        """Send the status line and headers."""

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""

    async def finish(self) -> None:
        """End the body, so that the caller receives it as complete."""

    def abort(self) -> None:
        """Close the connection, so that the caller sees a cut-off body."""


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request.

    :param target: path and query in wire form.
    :param path: decoded path without the query.
    :param read_body: reads the whole body, or raises
        :class:`BodyTooLargeError`, :class:`BodiesTooLargeError` or
        :class:`BodyTimeoutError`.
    :param waited: seconds since the request arrived on its connection.
    :param untaken: returns the bytes of answers on its connection that the
        caller has not acknowledged.
    """

    method: str
    target: str
    path: str
    headers: Headers
    read_body: Callable[[], Awaitable[bytes]]
    waited: float = 0
    untaken: Callable[[], int] = int


CallerHandler = Callable[[CallerRequest, AnswerWriter], Awaitable[None]]

"""Protocols of the store and of the HTTP client, as the edge uses them."""

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from typing import Protocol

import attrs

from bronzewall.edge.model import EdgeConfiguration, EdgeInstance, VmEntry
from bronzewall.ports import Headers, UpstreamRequest
from bronzewall.types import InstanceId


@attrs.frozen(kw_only=True)
class Revision:
    """Position in the history of the whole store.

    Equal revisions state that nothing was written in between, in any table.

    :param era: incremented when the store is restored from a copy, whose
        positions are then assigned again.
    :param number: position within the era.
    """

    era: int
    number: int


@attrs.frozen(kw_only=True)
class ConfigurationReading:
    """Result of reading the configuration from the store.

    :param raw: the stored form, or ``None`` if it has not changed.
    :param revision: revision of the store up to which the result is valid.
    :param confirmed_at: clock time at which it was certainly up to date.
    :param is_whole: it states all evacuated zones and not only changes.
    :param evacuated: zones that are evacuated, or since a revision.
    :param returned: zones that were taken back since a revision.
    """

    raw: bytes | None
    revision: Revision
    confirmed_at: float
    is_whole: bool = False
    evacuated: AbstractSet[str] = frozenset()
    returned: AbstractSet[str] = frozenset()


@attrs.frozen(kw_only=True)
class InstancesReading:
    """All instances that the store lists.

    :param revision: revision of the store up to which the result is valid.
    :param confirmed_at: clock time at which it was certainly up to date.
    :param report_counts_by_id: reports that instances have written since their
        start, where they state it.
    """

    instances: tuple[EdgeInstance, ...]
    revision: Revision
    confirmed_at: float
    report_counts_by_id: Mapping[InstanceId, int] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class InstanceChanges:
    """Entries of instances that changed since a revision.

    :param listed: new and changed entries.
    :param gone: ids whose entry was removed or cannot be read.
    :param revision: revision of the store up to which the result is valid.
    :param confirmed_at: clock time at which it was certainly up to date.
    """

    listed: tuple[EdgeInstance, ...]
    gone: tuple[InstanceId, ...]
    revision: Revision
    confirmed_at: float


@attrs.frozen(kw_only=True)
class VmsReading:
    """VMs that registered themselves.

    :param revision: revision of the store up to which the result is valid.
    """

    entries: tuple[VmEntry, ...]
    revision: Revision


class FleetStore(Protocol):
    """The platform's store, as far as the edge uses it.

    Every call raises :class:`StoreUnavailableError` if the store did not
    answer, and the ``watch`` calls :class:`StoreHistoryLostError` if the
    changes since a revision are no longer available.
    """

    async def read_configuration(self) -> ConfigurationReading:
        """Return the configuration; ``raw`` is ``None`` if there is none."""

    async def watch_configuration(
        self, *, after: Revision, wait: float
    ) -> ConfigurationReading:
        """Return the next change, or ``raw=None`` if there was none.

        :param after: revision of the previous reading.
        :param wait: seconds to wait for a change.
        """

    async def read_instances(self) -> InstancesReading:
        """Return the instances."""

    async def watch_instances(
        self, *, after: Revision, wait: float
    ) -> InstanceChanges:
        """Return the next changes, or none when the wait ends.

        :param after: revision of the previous reading.
        :param wait: seconds to wait for a change.
        """

    async def register(self, entries: Sequence[VmEntry]) -> None:
        """Write entries of VMs."""

    async def read_vms(self) -> VmsReading:
        """Return the VMs."""

    async def watch_vms(self, *, after: Revision, wait: float) -> VmsReading:
        """Return the VMs that registered since a revision.

        :param after: revision of the previous reading.
        :param wait: seconds to wait for a change.
        """

    async def close(self) -> None:
        """Close the connections."""

    def decode_configuration(self, raw: bytes) -> EdgeConfiguration:
        """Decode a configuration from its stored form.

        :raises StoreEntryError: the stored form is not valid.
        """


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Names of the headers that callers, VMs and instances exchange.

    :param attempt_id: id of one attempt by a caller; instances echo it.
    :param deadline_ms: milliseconds that the sender will wait.
    :param answer_signature: marks an answer as created by the instance.
    :param account: account for which a request runs.
    :param target_instance: the only instance that may run the request.
    :param not_run: states that the instance did not run the request.
    :param instance_id: the instance that answered.
    :param request_limit: requests a second that the instance accepts from
        all VMs together.
    :param leaving: states that the instance leaves.
    """

    attempt_id: str
    deadline_ms: str
    answer_signature: str
    account: str
    target_instance: str
    not_run: str
    instance_id: str
    request_limit: str
    leaving: str


@attrs.frozen(kw_only=True)
class InstanceRequest(UpstreamRequest):
    """A request to one instance; ``timeout`` includes the whole answer.

    :param attempt_id: id that the instance must echo.
    :param connect_timeout: seconds to open a new connection.
    """

    attempt_id: str
    connect_timeout: float


@attrs.frozen(kw_only=True)
class InstanceAnswer:
    """A complete answer of an instance.

    :param request_limit: requests a second that the instance accepts from
        all VMs together, or ``None`` if it states no limit.
    :param is_leaving: the instance states that it leaves.
    :param pause: seconds for which the instance, which answers 503, wants no
        request of this VM.
    """

    status: int
    headers: Headers
    body: bytes
    request_limit: float | None = None
    is_leaving: bool = False
    pause: float = 0


class InstanceHttp(Protocol):
    """HTTP client for instances."""

    async def send(self, request: InstanceRequest) -> InstanceAnswer:
        """Send a request and return the whole answer.

        :raises ConnectFailedError: nothing was sent.
        :raises UpstreamShedError: the instance did not run the request.
        :raises WrongInstanceError: another instance answers at the address.
        :raises UpstreamTimeoutError: timed out, outcome unknown.
        :raises UpstreamBrokenError: the connection broke, outcome unknown.
        """

    async def can_connect(self, address: str) -> bool:
        """Return whether an address accepts a connection in time."""

    def close_idle(self, addresses: Sequence[str]) -> None:
        """Close idle connections to addresses that are no longer used."""

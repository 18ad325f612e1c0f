"""Protocols of the store and of instances, as the edge needs them."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from bronzewall.edge.model import EdgeConfiguration, EdgeInstance, VmEntry
from bronzewall.ports import Headers, UpstreamRequest


@attrs.frozen(kw_only=True)
class ConfigurationReading:
    """What the store said of the configuration.

    :param raw: the stored form, or ``None`` if it has not changed.
    :param revision: revision of the store up to which this holds.
    :param confirmed_at: clock time at which it was certainly true.
    """

    raw: bytes | None
    revision: int
    confirmed_at: float


@attrs.frozen(kw_only=True)
class InstancesReading:
    """All instances that the store lists.

    :param confirmed_at: clock time at which it was certainly true.
    """

    instances: tuple[EdgeInstance, ...]
    confirmed_at: float


@attrs.frozen(kw_only=True)
class VmsReading:
    """VMs that registered themselves.

    :param revision: revision of the store up to which this holds.
    """

    entries: tuple[VmEntry, ...]
    revision: int


class FleetStore(Protocol):
    """The platform's store, as far as the edge uses it.

    Every call raises :class:`StoreUnavailableError` if the store did not
    answer, and the ``watch`` calls :class:`StoreHistoryLostError` if the
    changes since a revision are not known any more.
    """

    async def read_configuration(self) -> ConfigurationReading:
        """Return the configuration; ``raw`` is ``None`` if there is none."""

    async def watch_configuration(
        self, *, after: int, wait: float
    ) -> ConfigurationReading:
        """Return the next change, or that there was none for a time.

        :param after: revision of the previous reading.
        :param wait: seconds.
        """

    async def read_instances(self) -> InstancesReading:
        """Return the instances."""

    async def register(self, entry: VmEntry) -> None:
        """Write this VM's entry."""

    async def read_vms(self) -> VmsReading:
        """Return the VMs."""

    async def watch_vms(self, *, after: int, wait: float) -> VmsReading:
        """Return the VMs that registered since a revision.

        :param wait: seconds.
        """

    async def close(self) -> None:
        """Close the connections."""

    def decode_configuration(self, raw: bytes) -> EdgeConfiguration:
        """Return a configuration from its stored form.

        :raises StoreEntryError: it cannot be understood.
        """


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Names of the headers that callers, VMs and instances exchange.

    :param attempt_id: id of one attempt of a caller; instances echo it.
    :param deadline_ms: milliseconds that the sender will wait.
    :param answer_signature: mark of an instance's own answer.
    :param account: account for which a request runs.
    :param target_instance: the only instance that may run the request.
    :param not_run: states that the instance did not run the request.
    :param instance_id: the instance that answered.
    """

    attempt_id: str
    deadline_ms: str
    answer_signature: str
    account: str
    target_instance: str
    not_run: str
    instance_id: str


@attrs.frozen(kw_only=True)
class InstanceRequest(UpstreamRequest):
    """A request to one discovered instance; ``timeout`` is for the whole.

    :param attempt_id: id that the instance must echo.
    :param connect_timeout: seconds for a new connection.
    """

    attempt_id: str
    connect_timeout: float


@attrs.frozen(kw_only=True)
class InstanceAnswer:
    """The whole answer of an instance."""

    status: int
    headers: Headers
    body: bytes


class InstanceHttp(Protocol):
    """HTTP client towards instances."""

    async def send(self, request: InstanceRequest) -> InstanceAnswer:
        """Send a request and return the whole answer.

        :raises ConnectFailedError: nothing was sent.
        :raises UpstreamShedError: the instance did not run the request.
        :raises WrongInstanceError: another instance has the address.
        :raises UpstreamTimeoutError: no answer in time, outcome unknown.
        :raises UpstreamBrokenError: the exchange broke, outcome unknown.
        """

    def forget(self, addresses: Sequence[str]) -> None:
        """Close idle connections to addresses that are not used any more."""

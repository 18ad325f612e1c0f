"""In-memory fleet store and instances of the edge, with faults."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import attrs

from bronzewall.edge.model import EdgeConfiguration, EdgeInstance, VmEntry
from bronzewall.edge.ports import (
    ConfigurationReading,
    InstanceAnswer,
    InstanceRequest,
    InstancesReading,
    VmsReading,
)
from bronzewall.errors import StoreHistoryLostError, StoreUnavailableError
from bronzewall.ports import Clock

_POLL_S = 0.01
_STATUS_OK = 200
# Time after which the client gives up a read and the rest of a watch.
_HUNG_READ_S = 0.35
_HUNG_WATCH_S = 0.8


@attrs.define(kw_only=True, eq=False)
class MemoryFleetStore:
    """Port ``FleetStore`` over shared state.

    :param configurations: configurations by their stored form.
    :param is_silent: watches end without telling of changes.
    :param is_hung: calls end without an answer when their time is over.
    """

    clock: Clock
    shared: 'SharedStore'
    is_away: bool = False
    is_silent: bool = False
    is_hung: bool = False
    calls: int = 0

    async def read_configuration(self) -> ConfigurationReading:
        """Return the configuration."""
        self._count()
        if self.is_hung:
            await self._hang(_HUNG_READ_S)
        return ConfigurationReading(
            raw=self.shared.raw,
            revision=self.shared.revision,
            confirmed_at=self.clock.now(),
        )

    async def watch_configuration(
        self, *, after: int, wait: float
    ) -> ConfigurationReading:
        """Return the next change."""
        self._count()
        ends_at = self.clock.now() + wait
        while self.clock.now() < ends_at:
            if after < self.shared.history_from:
                raise StoreHistoryLostError('history')
            is_told = not self.is_silent and not self.is_hung
            if self.shared.changed_at > after and is_told:
                return await self._changed()
            await asyncio.sleep(_POLL_S)
            self._check()
        if self.is_hung:
            await self._hang(_HUNG_WATCH_S)
        return ConfigurationReading(
            raw=None,
            revision=self.shared.revision,
            confirmed_at=self.clock.now(),
        )

    async def read_instances(self) -> InstancesReading:
        """Return the instances."""
        self._count()
        if self.is_hung:
            await self._hang(_HUNG_READ_S)
        return InstancesReading(
            instances=tuple(self.shared.instances_by_id.values()),
            confirmed_at=self.clock.now(),
        )

    async def register(self, entry: VmEntry) -> None:
        """Keep a VM."""
        self._count()
        self.shared.vms.append(entry)

    async def read_vms(self) -> VmsReading:
        """Return the VMs."""
        self._count()
        return VmsReading(
            entries=tuple(self.shared.vms), revision=self.shared.revision
        )

    async def watch_vms(self, *, after: int, wait: float) -> VmsReading:
        """Return the VMs after a time."""
        self._count()
        await asyncio.sleep(wait)
        self._check()
        return VmsReading(
            entries=tuple(self.shared.vms), revision=self.shared.revision
        )

    async def close(self) -> None:
        """Do nothing."""

    def decode_configuration(self, raw: bytes) -> EdgeConfiguration:
        """Return a configuration that was published."""
        return self.shared.configurations[raw]

    async def _hang(self, seconds: float) -> None:
        """Wait for an answer that does not come."""
        await asyncio.sleep(seconds)
        raise StoreUnavailableError('no answer')

    async def _changed(self) -> ConfigurationReading:
        return ConfigurationReading(
            raw=self.shared.raw,
            revision=self.shared.revision,
            confirmed_at=self.clock.now(),
        )

    def _count(self) -> None:
        self.calls += 1
        self._check()

    def _check(self) -> None:
        if self.is_away or self.shared.is_away:
            raise StoreUnavailableError('away')


@attrs.define(kw_only=True, eq=False)
class SharedStore:
    """What all VMs read.

    :param changed_at: revision of the last change of the configuration.
    :param history_from: least revision from which changes are known.
    """

    raw: bytes | None = None
    revision: int = 1
    changed_at: int = 0
    history_from: int = 0
    is_away: bool = False
    vms: list[VmEntry] = attrs.field(factory=list)
    instances_by_id: dict[str, EdgeInstance] = attrs.field(factory=dict)
    configurations: dict[bytes, EdgeConfiguration] = attrs.field(factory=dict)

    def publish(self, configuration: EdgeConfiguration) -> None:
        """Put a configuration in the store."""
        raw = str(configuration.version).encode()
        self.configurations[raw] = configuration
        self.raw = raw
        self.revision += 1
        self.changed_at = self.revision

    def drop_history(self) -> None:
        """Forget all changes."""
        self.revision += 1
        self.history_from = self.revision


Behaviour = Callable[[InstanceRequest], Awaitable[InstanceAnswer]]


@attrs.define(kw_only=True, eq=False)
class MemoryInstances:
    """Port ``InstanceHttp`` whose instances behave as told.

    :param behaviours_by_id: how single instances answer.
    :param work: seconds of a request elsewhere.
    """

    work: float = 0.1
    behaviours_by_id: dict[str, Behaviour] = attrs.field(factory=dict)
    requests: list[InstanceRequest] = attrs.field(factory=list)

    async def send(self, request: InstanceRequest) -> InstanceAnswer:
        """Return the answer of an instance."""
        self.requests.append(request)
        behaviour = self.behaviours_by_id.get(request.instance_id)
        if behaviour is not None:
            return await behaviour(request)
        await asyncio.sleep(self.work)
        return answer_of(request)

    def forget(self, addresses: Sequence[str]) -> None:
        """Do nothing; there are no connections."""


def answer_of(
    request: InstanceRequest, *, status: int = _STATUS_OK
) -> InstanceAnswer:
    """Return an instance's answer."""
    return InstanceAnswer(
        status=status,
        headers=(('X-From', request.instance_id),),
        body=b'body',
    )

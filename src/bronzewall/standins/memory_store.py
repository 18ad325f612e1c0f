"""In-memory fleet store and upstream instances for the edge, with faults."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import attrs

from bronzewall.edge.model import EdgeConfiguration, EdgeInstance, VmEntry
from bronzewall.edge.ports import (
    ConfigurationReading,
    InstanceAnswer,
    InstanceChanges,
    InstanceRequest,
    InstancesReading,
    VmsReading,
)
from bronzewall.errors import StoreHistoryLostError, StoreUnavailableError
from bronzewall.ports import Clock
from bronzewall.types import InstanceId

_POLL_S = 0.01
_STATUS_OK = 200
# Seconds after which a hung read, and a hung watch after its wait, fail.
_HUNG_READ_S = 0.35


@attrs.define(kw_only=True, eq=False)
class MemoryFleetStore:
    """Port ``FleetStore`` over shared state.

    :param is_unavailable: every call of this VM fails.
    :param omits_changes: watches of the configuration report no change.
    :param is_hung: reads and watches time out.
    :param calls: number of calls.
    """

    clock: Clock
    shared: 'SharedStore'
    is_unavailable: bool = False
    omits_changes: bool = False
    is_hung: bool = False
    calls: int = 0
    _seen_by_id: dict[str, EdgeInstance] = attrs.field(factory=dict)

    async def read_configuration(self) -> ConfigurationReading:
        """Return the configuration."""
        self._begin_call()
        if self.is_hung:
            await self._time_out(_HUNG_READ_S)
        return ConfigurationReading(
            raw=self.shared.raw,
            revision=self.shared.revision,
            confirmed_at=self.clock.now(),
        )

    async def watch_configuration(
        self, *, after: int, wait: float
    ) -> ConfigurationReading:
        """Return the next change, or no configuration when the wait ends."""
        self._begin_call()
        ends_at = self.clock.now() + wait
        while self.clock.now() < ends_at:
            if after < self.shared.history_from:
                raise StoreHistoryLostError('history')
            if self._has_new_configuration(after):
                return await self._current_reading()
            await asyncio.sleep(_POLL_S)
            self._check_available()
        if self.is_hung:
            await self._time_out(_HUNG_READ_S)
        if self._has_new_configuration(after):
            return await self._current_reading()
        return ConfigurationReading(
            raw=None,
            revision=self.shared.revision,
            confirmed_at=self.clock.now(),
        )

    async def read_instances(self) -> InstancesReading:
        """Return the instances."""
        self._begin_call()
        if self.is_hung:
            await self._time_out(_HUNG_READ_S)
        return InstancesReading(
            instances=tuple(self._see_instances().values()),
            revision=self.shared.revision,
            confirmed_at=self.clock.now(),
        )

    async def watch_instances(
        self, *, after: int, wait: float
    ) -> InstanceChanges:
        """Return the changes since the last reading or when the wait ends."""
        self._begin_call()
        ends_at = self.clock.now() + wait
        before = self._seen_by_id
        while self.clock.now() < ends_at:
            if after < self.shared.history_from:
                raise StoreHistoryLostError('history')
            if before != self.shared.instances_by_id and not self.is_hung:
                break
            await asyncio.sleep(_POLL_S)
            self._check_available()
        if self.is_hung:
            await self._time_out(_HUNG_READ_S)
        found = self._see_instances()
        return InstanceChanges(
            listed=tuple(
                item for name, item in found.items() if before.get(name) != item
            ),
            gone=tuple(InstanceId(name) for name in set(before) - set(found)),
            revision=self.shared.revision,
            confirmed_at=self.clock.now(),
        )

    async def register(self, entry: VmEntry) -> None:
        """Store the entry of a VM."""
        self._begin_call()
        self.shared.register(entry)

    async def read_vms(self) -> VmsReading:
        """Return the VMs."""
        self._begin_call()
        return VmsReading(
            entries=tuple(self.shared.vms), revision=self.shared.revision
        )

    async def watch_vms(self, *, after: int, wait: float) -> VmsReading:
        """Return the VMs when one registers or the wait ends."""
        self._begin_call()
        ends_at = self.clock.now() + wait
        while self.clock.now() < ends_at and self.shared.registered_at <= after:
            await asyncio.sleep(_POLL_S)
            self._check_available()
        return VmsReading(
            entries=tuple(self.shared.vms), revision=self.shared.revision
        )

    async def close(self) -> None:
        """Do nothing."""

    def decode_configuration(self, raw: bytes) -> EdgeConfiguration:
        """Return the configuration that was published as ``raw``."""
        return self.shared.configurations[raw]

    def _has_new_configuration(self, after: int) -> bool:
        """Return whether a watch reports a change."""
        reports_changes = not self.omits_changes and not self.is_hung
        return reports_changes and self.shared.changed_at > after

    def _see_instances(self) -> dict[str, EdgeInstance]:
        """Return the instances and note that this VM knows them."""
        self._seen_by_id = dict(self.shared.instances_by_id)
        return self._seen_by_id

    async def _time_out(self, seconds: float) -> None:
        """Fail after the time limit of a call without an answer."""
        await asyncio.sleep(seconds)
        raise StoreUnavailableError('no answer')

    async def _current_reading(self) -> ConfigurationReading:
        return ConfigurationReading(
            raw=self.shared.raw,
            revision=self.shared.revision,
            confirmed_at=self.clock.now(),
        )

    def _begin_call(self) -> None:
        self.calls += 1
        self._check_available()

    def _check_available(self) -> None:
        if self.is_unavailable or self.shared.is_unavailable:
            raise StoreUnavailableError('away')


@attrs.define(kw_only=True, eq=False)
class SharedStore:
    """Contents of the store, shared by all VMs.

    :param raw: stored form of the current configuration.
    :param is_unavailable: every call of every VM fails.
    :param configurations: configurations by their stored form.
    :param changed_at: revision of the last change of the configuration.
    :param registered_at: revision of the last registration of a VM.
    :param history_from: least revision after which changes can be read.
    """

    raw: bytes | None = None
    revision: int = 1
    changed_at: int = 0
    history_from: int = 0
    is_unavailable: bool = False
    vms: list[VmEntry] = attrs.field(factory=list)
    registered_at: int = 0
    instances_by_id: dict[str, EdgeInstance] = attrs.field(factory=dict)
    configurations: dict[bytes, EdgeConfiguration] = attrs.field(factory=dict)

    def publish(self, configuration: EdgeConfiguration) -> None:
        """Store a configuration as the current one."""
        raw = str(configuration.version).encode()
        self.configurations[raw] = configuration
        self.raw = raw
        self.revision += 1
        self.changed_at = self.revision

    def register(self, entry: VmEntry) -> None:
        """Add the entry of a VM."""
        self.vms.append(entry)
        self.revision += 1
        self.registered_at = self.revision

    def drop_history(self) -> None:
        """Remove the history of changes."""
        self.revision += 1
        self.history_from = self.revision


Behaviour = Callable[[InstanceRequest], Awaitable[InstanceAnswer]]


@attrs.define(kw_only=True, eq=False)
class MemoryInstances:
    """Port ``InstanceHttp`` whose instances a test controls.

    :param behaviours_by_id: functions that answer for single instances.
    :param response_time: seconds until any other instance answers.
    :param connect_time: seconds until a connection succeeds or fails.
    :param accepts: returns whether an address accepts connections.
    :param closed: addresses to which idle connections were closed.
    """

    response_time: float = 0.1
    connect_time: float = 0.001
    accepts: Callable[[str], bool] = lambda _address: True
    behaviours_by_id: dict[str, Behaviour] = attrs.field(factory=dict)
    requests: list[InstanceRequest] = attrs.field(factory=list)
    closed: list[str] = attrs.field(factory=list)

    async def send(self, request: InstanceRequest) -> InstanceAnswer:
        """Return the answer of an instance."""
        self.requests.append(request)
        behaviour = self.behaviours_by_id.get(request.instance_id)
        if behaviour is not None:
            return await behaviour(request)
        await asyncio.sleep(self.response_time)
        return answer_of(request)

    async def can_connect(self, address: str) -> bool:
        """Return whether an address accepts connections."""
        await asyncio.sleep(self.connect_time)
        return self.accepts(address)

    def close_idle(self, addresses: Sequence[str]) -> None:
        """Record the addresses; there are no connections."""
        self.closed.extend(addresses)


def answer_of(
    request: InstanceRequest, *, status: int = _STATUS_OK
) -> InstanceAnswer:
    """Return an answer that names the instance of the request."""
    return InstanceAnswer(
        status=status,
        headers=(('X-From', request.instance_id),),
        body=b'body',
    )

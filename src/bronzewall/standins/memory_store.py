"""In-memory fleet store and upstream instances for the edge, with faults."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import TypeVar

import attrs

from bronzewall.edge.model import EdgeConfiguration, EdgeInstance, VmEntry
from bronzewall.edge.ports import (
    ConfigurationReading,
    InstanceAnswer,
    InstanceChanges,
    InstanceRequest,
    InstancesReading,
    Revision,
    VmsReading,
)
from bronzewall.errors import (
    StoreEntryError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from bronzewall.ports import Clock
from bronzewall.types import InstanceId, VmId

_POLL_S = 0.01
_STATUS_OK = 200
# Seconds after which a hung read, and a hung watch after its wait, fail.
_HUNG_READ_S = 0.35
_AnswerT = TypeVar('_AnswerT')


@attrs.define(kw_only=True, eq=False)
class MemoryFleetStore:
    """Port ``FleetStore`` over shared state.

    :param is_unavailable: every call of this VM fails.
    :param omits_changes: watches of the configuration report no change.
    :param is_hung: reads and watches time out.
    :param answer_delay: seconds that each answer is on its way.
    :param calls: number of calls.
    """

    clock: Clock
    shared: 'SharedStore'
    is_unavailable: bool = False
    omits_changes: bool = False
    is_hung: bool = False
    answer_delay: float = 0
    calls: int = 0
    _era: int = 0

    async def read_configuration(self) -> ConfigurationReading:
        """Return the configuration."""
        await self._begin_read()
        return await self._deliver(
            attrs.evolve(
                self._configuration(self.shared.raw),
                is_whole=True,
                evacuated=self.shared.evacuated,
            )
        )

    async def watch_configuration(
        self, *, after: Revision, wait: float
    ) -> ConfigurationReading:
        """Return the next change, or no configuration when the wait ends."""
        await self._watch(
            lambda: (
                not self.omits_changes and self.shared.changed_at > after.number
            ),
            after,
            wait,
        )
        has_changed = (
            not self.omits_changes and self.shared.changed_at > after.number
        )
        if not has_changed:
            return await self._deliver(self._configuration(None))
        changed = self.shared.evacuations_changed_after(after.number)
        return await self._deliver(
            attrs.evolve(
                self._configuration(self.shared.raw),
                evacuated=changed & self.shared.evacuated,
                returned=changed - self.shared.evacuated,
            )
        )

    async def read_instances(self) -> InstancesReading:
        """Return the instances."""
        await self._begin_read()
        return await self._deliver(
            InstancesReading(
                instances=tuple(self.shared.instances_by_id.values()),
                revision=self.shared.position(),
                confirmed_at=self.clock.now(),
            )
        )

    async def watch_instances(
        self, *, after: Revision, wait: float
    ) -> InstanceChanges:
        """Return the changes since a revision or when the wait ends."""
        await self._watch(
            lambda: bool(self.shared.instances_changed_after(after.number)),
            after,
            wait,
        )
        changed = self.shared.instances_changed_after(after.number)
        known = self.shared.instances_by_id
        return await self._deliver(
            InstanceChanges(
                listed=tuple(known[name] for name in changed if name in known),
                gone=tuple(
                    InstanceId(name) for name in changed if name not in known
                ),
                revision=self.shared.position(),
                confirmed_at=self.clock.now(),
            )
        )

    async def register(self, entries: Sequence[VmEntry]) -> None:
        """Store the entries of VMs."""
        self._begin_call()
        for entry in entries:
            self.shared.register(entry)

    async def read_vms(self) -> VmsReading:
        """Return the VMs."""
        self._begin_call()
        return self._vms(after=-1)

    async def watch_vms(self, *, after: Revision, wait: float) -> VmsReading:
        """Return the VMs when one registers or the wait ends."""
        await self._watch(
            lambda: bool(self._vms(after=after.number).entries), after, wait
        )
        return self._vms(after=after.number)

    async def close(self) -> None:
        """Do nothing."""

    def decode_configuration(self, raw: bytes) -> EdgeConfiguration:
        """Return the configuration that was published as ``raw``."""
        if raw not in self.shared.configurations:
            raise StoreEntryError('not published')
        return self.shared.configurations[raw]

    async def _watch(
        self, has_changed: Callable[[], bool], after: Revision, wait: float
    ) -> None:
        """Return when something has changed or the wait ends.

        Another era is known from any answer, this one at the latest.
        """
        self._check_era(after)
        self._begin_call()
        ends_at = self.clock.now() + wait
        while self.clock.now() < ends_at:
            self.shared.check_history(after.number)
            if not self.is_hung and has_changed():
                break
            await asyncio.sleep(_POLL_S)
            self._check_available()
        if self.is_hung:
            await self._time_out(_HUNG_READ_S)
        self._era = self.shared.era
        self._check_era(after)

    def _check_era(self, after: Revision) -> None:
        if after.era != self._era:
            raise StoreHistoryLostError(f'era {self._era}, not {after.era}')

    async def _begin_read(self) -> None:
        self._begin_call()
        if self.is_hung:
            await self._time_out(_HUNG_READ_S)

    async def _deliver(self, answer: _AnswerT) -> _AnswerT:
        era = self.shared.era
        await asyncio.sleep(self.answer_delay)
        self._era = era
        return answer

    async def _time_out(self, seconds: float) -> None:
        """Fail after the time limit of a call without an answer."""
        await asyncio.sleep(seconds)
        raise StoreUnavailableError('no answer')

    def _configuration(self, raw: bytes | None) -> ConfigurationReading:
        return ConfigurationReading(
            raw=raw,
            revision=self.shared.position(),
            confirmed_at=self.clock.now(),
        )

    def _vms(self, *, after: int) -> VmsReading:
        return VmsReading(
            entries=tuple(
                row.entry
                for row in self.shared.vms_by_id.values()
                if row.number > after
            ),
            revision=self.shared.position(),
        )

    def _begin_call(self) -> None:
        self.calls += 1
        self._check_available()

    def _check_available(self) -> None:
        if self.is_unavailable or self.shared.is_unavailable:
            raise StoreUnavailableError('away')


@attrs.frozen(kw_only=True)
class StoredVm:
    """Entry of a VM and the number of the revision that wrote it."""

    entry: VmEntry
    number: int


@attrs.define(kw_only=True, eq=False)
class SharedStore:
    """Contents of the store, shared by all VMs.

    :param raw: stored form of the current configuration.
    :param revision: number of the last change.
    :param era: incremented by each restore from a copy.
    :param is_unavailable: every call of every VM fails.
    :param configurations: configurations by their stored form.
    :param changed_at: revision of the last change of the configuration or of
        an evacuation.
    :param evacuated: evacuated zones.
    :param history_from: least revision after which changes can be read.
    :param instances_by_id: a test may replace it; watches report how the new
        instances differ.
    """

    raw: bytes | None = None
    revision: int = 1
    era: int = 0
    changed_at: int = 0
    evacuated: frozenset[str] = frozenset()
    history_from: int = 0
    is_unavailable: bool = False
    vms_by_id: Mapping[VmId, StoredVm] = attrs.field(factory=dict)
    instances_by_id: dict[str, EdgeInstance] = attrs.field(factory=dict)
    configurations: dict[bytes, EdgeConfiguration] = attrs.field(factory=dict)
    _noted_by_id: Mapping[str, EdgeInstance] = attrs.field(factory=dict)
    _numbers_by_id: Mapping[str, int] = attrs.field(factory=dict)
    # Revisions of the last changes of evacuations.
    _numbers_by_zone: Mapping[str, int] = attrs.field(factory=dict)

    def position(self) -> Revision:
        """Return the current revision."""
        self._note_changes()
        return Revision(era=self.era, number=self.revision)

    def check_history(self, after: int) -> None:
        """Check that the changes since a revision can be read.

        :raises StoreHistoryLostError: they cannot.
        """
        if not self.history_from <= after <= self.position().number:
            raise StoreHistoryLostError('history')

    def publish(self, configuration: EdgeConfiguration) -> None:
        """Store a configuration as the current one."""
        raw = str(configuration.version).encode()
        self.configurations[raw] = configuration
        self.store_raw(raw)

    def store_raw(self, raw: bytes) -> None:
        """Store a configuration in any form as the current one."""
        self.raw = raw
        self.revision += 1
        self.changed_at = self.revision

    def evacuate(self, zone: str) -> None:
        """Ask for the evacuation of a zone."""
        self._change_evacuated(zone, self.evacuated | {zone})

    def take_back(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self._change_evacuated(zone, self.evacuated - {zone})

    def evacuations_changed_after(self, number: int) -> frozenset[str]:
        """Return the zones whose evacuation changed since a revision."""
        return frozenset(
            zone for zone, at in self._numbers_by_zone.items() if at > number
        )

    def register(self, entry: VmEntry) -> None:
        """Add the entry of a VM."""
        self.revision += 1
        self.vms_by_id = {
            **self.vms_by_id,
            entry.vm_id: StoredVm(entry=entry, number=self.revision),
        }

    def vms(self) -> list[VmEntry]:
        """Return the registered VMs."""
        return [row.entry for row in self.vms_by_id.values()]

    def drop_history(self) -> None:
        """Remove the history of changes."""
        self.revision += 1
        self.history_from = self.revision

    def copy(self) -> 'SharedStore':
        """Return a copy of the contents."""
        self._note_changes()
        return attrs.evolve(self)

    def restore(self, copy: 'SharedStore') -> None:
        """Return to a copy and begin the next era.

        Configurations stay, because VMs hold them.
        """
        self.raw = copy.raw
        self.revision = copy.revision
        self.changed_at = copy.changed_at
        self.evacuated = copy.evacuated
        self._numbers_by_zone = copy._numbers_by_zone
        self.history_from = copy.history_from
        self.vms_by_id = copy.vms_by_id
        self.instances_by_id = dict(copy.instances_by_id)
        self._noted_by_id = copy._noted_by_id
        self._numbers_by_id = copy._numbers_by_id
        self.era += 1

    def instances_changed_after(self, number: int) -> list[str]:
        """Return the ids of instances that changed since a revision."""
        self._note_changes()
        return [name for name, at in self._numbers_by_id.items() if at > number]

    def _change_evacuated(self, zone: str, evacuated: frozenset[str]) -> None:
        self.evacuated = evacuated
        self.revision += 1
        self.changed_at = self.revision
        self._numbers_by_zone = {**self._numbers_by_zone, zone: self.revision}

    def _note_changes(self) -> None:
        """Assign revisions to the instances that a test has changed."""
        if self._noted_by_id == self.instances_by_id:
            return
        numbers_by_id = dict(self._numbers_by_id)
        for name in sorted(set(self._noted_by_id) | set(self.instances_by_id)):
            if self._noted_by_id.get(name) != self.instances_by_id.get(name):
                self.revision += 1
                numbers_by_id[name] = self.revision
        self._noted_by_id = dict(self.instances_by_id)
        self._numbers_by_id = numbers_by_id


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

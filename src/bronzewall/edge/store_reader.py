"""Reads the platform's store while this VM is a zone leader."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import structlog

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.directory import Directory
from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.freshness import KeyFreshness
from bronzewall.edge.leader_election import LeaderElection
from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.ports import (
    ConfigurationReading,
    FleetStore,
    Revision,
)
from bronzewall.edge.registrations import Registrations
from bronzewall.edge.watch_schedule import WatchSchedule
from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.errors import (
    StoreEntryError,
    StoreError,
    StoreHistoryLostError,
)
from bronzewall.ports import Clock
from bronzewall.types import InstanceId

# Fraction of the smallest bound for which one watch waits. With two watches the
# store is heard twice in this time.
WATCH_FRACTION = 0.6
# Pause after changes of instances, seconds. They often come in series, and
# each call reports those that have come until then.
_CHANGES_PAUSE_S = 0.25
# Pause after a read of all instances, seconds. While entries may return after
# an outage, they are read again and again.
_READ_PAUSE_S = 0.6
_CONFIGURATION = 'configuration'
_INSTANCES = 'instances'
# Pause after one failed call and after consecutive failures, seconds.
_RETRY_PAUSE_S = 0.02
_FAILURE_PAUSE_S = 0.4
# Pause between two attempts to register, seconds.
_REGISTER_PAUSE_S = 1.0
# Pause after a watch that ended early, seconds.
_WATCH_PAUSE_S = 0.05
# VMs that start together register within this time, seconds.
_JOIN_WAIT_S = 0.5
# At the first start, VMs below this strength leave leadership to others for a
# time, seconds, which is well below the time until callers come.
_STRONG = 0.6
_FIRST_START_WAIT_S = 2.5
_FIRST_START_CHECK_S = 0.05
# A leader answers the first report of a VM within this time, seconds.
_LEADER_ANSWER_S = 0.25
# A VM that started earlier by more than this did not start together with this
# one, milliseconds.
_MIN_START_GAP_MS = 2000
# Pause between two watches of the VMs, which register rarely, seconds.
_VMS_PAUSE_S = 2.0
# Time between two checks for VMs that the store lacks, seconds.
_REGISTRATIONS_CHECK_S = 1.0
_LOG = structlog.get_logger()
_ReadingT = TypeVar('_ReadingT')


@attrs.define(kw_only=True, eq=False)
class StoreReader:
    """Background loops that read the store for the zone.

    :param first_start: whether the whole fleet starts for the first time.
    :param schedule: lengths of the watches.
    :param events: counters by name.
    :param active: set while this VM reads the store as a leader.
    """

    clock: Clock
    store: FleetStore
    fleet: FleetView
    election: LeaderElection
    leader: ZoneLeader
    directory: Directory
    catalog: Catalog
    freshness: KeyFreshness
    registrations: Registrations
    first_start: bool
    schedule: WatchSchedule
    events: Counter[str] = attrs.field(factory=Counter)
    active: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Set while the last call to the store was answered.
    _reached: asyncio.Event = attrs.field(factory=asyncio.Event)
    _activated: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Revisions of the whole store after which the watches continue, ``None``
    # before a read. An answer about one table confirms the other one only if
    # it states the other's revision: then nothing at all was written in
    # between. An open watch confirms nothing, because its call or its answer
    # may be lost without a sign.
    _configuration_revision: Revision | None = None
    _instances_revision: Revision | None = None
    _listed_by_id: dict[InstanceId, EdgeInstance] = attrs.field(factory=dict)
    _era: int | None = None
    # The store holds an older configuration than the one in force.
    _is_store_behind: bool = False
    # The stored configuration, if it cannot be read.
    _unreadable_raw: bytes | None = None

    def update_role(self, is_leader: bool) -> None:
        """Start reading when this VM becomes a leader, stop when it ceases."""
        if is_leader and not self.active.is_set():
            _LOG.info('hub_started')
            # The configuration is read and not watched: what the leader
            # before has missed must be known at once.
            self._forget_revisions()
            self._reached.clear()
            self._activated.set()
            self._activated = asyncio.Event()
            # Whether this VM reaches the store is known after its first
            # call; until then other candidates keep trying as well.
            self.leader.has_store = False
            self.leader.take_over()
            self.active.set()
        elif self.active.is_set() and not is_leader:
            _LOG.info('hub_ended')
            self.active.clear()

    async def join(self) -> None:
        """Register this VM and read the entries of the others.

        While the whole fleet starts, the others register at the same time;
        this VM waits for them before it may become a leader.
        """
        now = self.clock.now()
        self.election.started_at = now + _JOIN_WAIT_S
        if not self.first_start:
            # Callers may be waiting for this VM.
            await self._read_at_restart()
        is_registered = await self._call_store(self._register)
        if not await self._is_found_by_leader():
            await self._call_store(self._read_vms)
        started = [
            entry.started_ms
            for entry in self.fleet.entries_by_id.values()
            if entry.vm_id != self.fleet.own.vm_id
        ]
        if (
            started
            and min(started) < self.fleet.own.started_ms - _MIN_START_GAP_MS
        ):
            self.election.started_at = now
            await self._read_without_leader()
        while not is_registered:
            await self.clock.sleep(_REGISTER_PAUSE_S)
            is_registered = await self._call_store(self._register)

    def loops(self) -> list[Awaitable[None]]:
        """Return the loops to run."""
        return [
            self._repeat(self._follow_configuration, 0),
            self._repeat(self._follow_instances, 0, is_probe=False),
            self._repeat(self._follow_vms, _VMS_PAUSE_S, is_probe=False),
            self._register_missing(),
        ]

    async def _repeat(
        self,
        step: Callable[[], Awaitable[None]],
        pause: float,
        *,
        is_probe: bool = True,
    ) -> None:
        """Run a step again and again while this VM is a leader.

        :param is_probe: run it also while the store does not answer.
        """
        pauses = (pause, _RETRY_PAUSE_S, _FAILURE_PAUSE_S)
        failures = 0
        while True:
            await self.active.wait()
            if not is_probe:
                await self._reached.wait()
                if not self.active.is_set():
                    continue
            failures = 0 if await self._call_store(step) else failures + 1
            await self._pause(pauses[min(failures, len(pauses) - 1)])

    async def _pause(self, seconds: float) -> None:
        """Wait, but not beyond the next time that this VM becomes leader."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._activated.wait()

    async def _call_store(self, step: Callable[[], Awaitable[None]]) -> bool:
        """Run calls to the store; return whether they were answered."""
        try:
            await step()
        except StoreError as exc:
            self._record_failure(exc)
            return False
        except Exception as exc:
            # A fault of this program. Without its loops, the VM would serve
            # on with data that grows older.
            _LOG.exception('store_reader_failed')
            self.events['store_reader_failed'] += 1
            self._record_failure(exc)
            return False
        if not self.leader.has_store:
            _LOG.info('store_reached')
            self.leader.has_store = True
        self._reached.set()
        return True

    def _record_failure(self, exc: Exception) -> None:
        if self.leader.has_store or self.election.store_failed_at < 0:
            _LOG.warning('store_lost', error=str(exc))
        self.election.store_failed_at = self.clock.now()
        self._reached.clear()
        self.leader.has_store = False
        self.leader.has_updates = True
        self.leader.has_urgent_updates = True
        self._forget_revisions()

    async def _read_at_restart(self) -> None:
        """Read what is needed to serve, without waiting for a leader.

        The leader may be gone as well, or its data may be older.
        """
        await asyncio.gather(
            self._call_store(self._read_instances),
            self._call_store(self._read_configuration),
        )

    async def _is_found_by_leader(self) -> bool:
        """Wait at the first start for a leader; return whether one came.

        Leaders watch the registrations, so that only the strong VMs, which
        lead, need to read them.
        """
        if not self.first_start or self.fleet.own.strength >= _STRONG:
            return False
        ends_at = self.clock.now() + _FIRST_START_WAIT_S
        self.election.started_at = ends_at + _JOIN_WAIT_S
        while self.clock.now() < ends_at:
            await self.clock.sleep(_FIRST_START_CHECK_S)
            if self.election.current_leader(now=self.clock.now()) is not None:
                return True
        return False

    async def _read_without_leader(self) -> None:
        """Read the store if no leader answers after a restart.

        The whole fleet may have restarted, so that the stored entries of
        older VMs are outdated.
        """
        await self.clock.sleep(_LEADER_ANSWER_S)
        if self.directory.version < 0 and not self.election.is_leader:
            # Requests are served as soon as there is a configuration.
            await self._call_store(self._read_instances)
            await self._call_store(self._follow_configuration)

    def _note_era(self, revision: Revision) -> None:
        """Note the era of an answer before the answer is applied."""
        if self._era is not None and revision.era != self._era:
            _LOG.warning('store_restored', era=revision.era, before=self._era)
            self.catalog.record_restore()
        self._era = revision.era

    async def _register(self) -> None:
        await self.registrations.register((self.fleet.own,))

    async def _register_missing(self) -> None:
        """Register VMs of the zone whose entries the store has lost."""
        while True:
            await self.clock.sleep(_REGISTRATIONS_CHECK_S)
            if self.active.is_set() and self._reached.is_set():
                await self._call_store(self.registrations.register_missing)

    async def _read_vms(self) -> None:
        self._note_era(await self.registrations.read())

    async def _follow_vms(self) -> None:
        self._note_era(await self.registrations.follow())

    async def _read_instances(self) -> None:
        reading = await self.store.read_instances()
        self._note_era(reading.revision)
        self.catalog.record_reports(reading.report_counts_by_id)
        self._listed_by_id = {
            item.instance_id: item for item in reading.instances
        }
        self._instances_revision = reading.revision
        self._accept_instances(reading.confirmed_at)

    async def _follow_instances(self) -> None:
        if self._instances_revision is None or self.catalog.is_in_grace():
            await self._read_instances()
            await self._pause(_READ_PAUSE_S)
            return
        try:
            changes = await self._watch(
                _INSTANCES, self.store.watch_instances, self._instances_revision
            )
        except StoreHistoryLostError as exc:
            _LOG.info('watch_ended', error=str(exc))
            self._instances_revision = None
            return
        self._note_era(changes.revision)
        for instance_id in changes.gone:
            self._listed_by_id.pop(instance_id, None)
        for item in changes.listed:
            self._listed_by_id[item.instance_id] = item
        self._instances_revision = changes.revision
        self._accept_changes(changes.confirmed_at)
        if changes.revision == self._configuration_revision:
            self._confirm_keys(changes.confirmed_at)
        if changes.listed or changes.gone:
            await self._pause(_CHANGES_PAUSE_S)

    def _accept_changes(self, confirmed_at: float) -> None:
        """Apply the list to which changes until a clock time were added."""
        if confirmed_at > self.catalog.adopted_at:
            # The other watch may have confirmed the list while these changes
            # were on their way; they must not be taken for older ones.
            confirmed_at = max(confirmed_at, self.catalog.confirmed_at)
        self._accept_instances(confirmed_at)

    def _accept_instances(self, confirmed_at: float) -> None:
        revision = self.catalog.revision
        self.catalog.accept(
            self._listed_by_id.values(), confirmed_at=confirmed_at
        )
        self._mark_updates(is_new=revision != self.catalog.revision)

    async def _watch(
        self,
        name: str,
        watch: Callable[..., Awaitable[_ReadingT]],
        after: Revision,
    ) -> _ReadingT:
        """Watch a table for as long as the schedule says."""
        wait = self.schedule.start(name, now=self.clock.now())
        try:
            return await watch(after=after, wait=wait)
        finally:
            self.schedule.stop(name)

    def _forget_revisions(self) -> None:
        """Read the tables before they are watched again."""
        self._configuration_revision = None
        self._instances_revision = None

    async def _follow_configuration(self) -> None:
        if self._configuration_revision is None:
            await self._read_configuration()
            return
        try:
            reading = await self._watch(
                _CONFIGURATION,
                self.store.watch_configuration,
                self._configuration_revision,
            )
        except StoreError as exc:
            # A watch also ends when the store drops its history. A change
            # may have been missed, so the rows are read at once.
            _LOG.info('watch_ended', error=str(exc))
            self._configuration_revision = None
            if not isinstance(exc, StoreHistoryLostError):
                # Others may take over while this VM tries again.
                self._record_failure(exc)
            await self._read_configuration()
            await self.clock.sleep(_WATCH_PAUSE_S)
            return
        self._apply_reading(reading)
        if reading.revision == self._instances_revision:
            self._accept_changes(reading.confirmed_at)

    async def _read_configuration(self) -> None:
        try:
            reading = await self.store.read_configuration()
        except StoreError:
            self.directory.stop_waiting()
            raise
        # A watch without a configuration reports no change, a read none at
        # all.
        self._is_store_behind = (
            reading.raw is None and self.directory.version >= 0
        )
        self._apply_reading(reading)

    def _apply_reading(self, reading: ConfigurationReading) -> None:
        self._note_era(reading.revision)
        evacuations = self.leader.state.evacuations
        self._mark_updates(is_new=evacuations.apply_reading(reading))
        if reading.raw is not None and reading.raw != self._unreadable_raw:
            self._unreadable_raw = None
            try:
                self._apply_stored(reading.raw, reading.revision)
            except StoreEntryError as exc:
                # The next version is watched for as usual.
                _LOG.warning('configuration_ignored', error=str(exc))
                self._unreadable_raw = reading.raw
                self.directory.stop_waiting()
        self._configuration_revision = reading.revision
        self._confirm_keys(reading.confirmed_at)

    def _apply_stored(self, raw: bytes, revision: Revision) -> None:
        """Apply the configuration that the store holds.

        :raises StoreEntryError: it is not valid.
        """
        if raw == self.directory.raw:
            self._is_store_behind = False
            return
        configuration = self.store.decode_configuration(raw)
        self._is_store_behind = configuration.version < self.directory.version
        if self._is_store_behind:
            _LOG.info(
                'stored_configuration_older',
                version=configuration.version,
                in_force=self.directory.version,
                era=revision.era,
            )
        self._mark_updates(
            is_new=self.directory.accept(configuration, raw=raw, source='store')
        )

    def _confirm_keys(self, at: float) -> None:
        """Confirm that no key was withdrawn until a clock time.

        A store that has lost the configuration in force may have lost a
        withdrawal as well, and one that cannot be read may contain one.
        """
        if not self._is_store_behind and self._unreadable_raw is None:
            self.freshness.confirm(at)

    def _mark_updates(self, *, is_new: bool) -> None:
        self.leader.has_updates |= is_new
        self.leader.has_urgent_updates |= is_new

"""Entries of the VMs in the store."""

from collections.abc import Iterable, Sequence

import attrs
import structlog

from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.model import VmEntry
from bronzewall.edge.ports import FleetStore, Revision, VmsReading
from bronzewall.errors import StoreHistoryLostError
from bronzewall.ports import Clock
from bronzewall.types import VmId

# VMs register rarely, and those of the own zone also announce themselves in
# their reports, so a long watch suffices, seconds.
_WATCH_S = 20.0
# A leader reads new entries at most 2 s after they were written; an entry that
# it has lacked for longer than this time, seconds, is not in the store.
_MISSING_S = 3.0
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Registrations:
    """Registers VMs and follows the entries of the others.

    A VM registers when it starts. A store that is restored from a copy may
    have lost its entry.
    """

    clock: Clock
    fleet: FleetView
    store: FleetStore
    _revision: Revision | None = None
    _stored_by_id: dict[VmId, VmEntry] = attrs.field(factory=dict)
    _missing_since: dict[VmId, float] = attrs.field(factory=dict)

    async def register(self, entries: Sequence[VmEntry]) -> None:
        """Write entries of VMs.

        :raises StoreError: the store did not take them.
        """
        await self.store.register(entries)
        self._update(entries)

    async def read(self) -> Revision:
        """Read all entries; return the revision of the store.

        :raises StoreError: the store did not answer.
        """
        self._revision = None
        reading = await self.store.read_vms()
        self._stored_by_id = {}
        return self._apply(reading)

    async def follow(self) -> Revision:
        """Wait for further entries, or read all of them.

        :raises StoreError: the store did not answer.
        """
        if self._revision is None:
            return await self.read()
        try:
            reading = await self.store.watch_vms(
                after=self._revision, wait=_WATCH_S
            )
        except StoreHistoryLostError:
            return await self.read()
        return self._apply(reading)

    async def register_missing(self) -> None:
        """Register VMs of the zone whose entries the store has lost.

        :raises StoreError: the store did not take them.
        """
        missing = self._missing()
        if missing:
            _LOG.info(
                'vms_registered_again',
                vms=sorted(entry.vm_id for entry in missing),
            )
            await self.register(missing)

    def _apply(self, reading: VmsReading) -> Revision:
        self._revision = reading.revision
        self._update(reading.entries)
        for entry in reading.entries:
            self.fleet.add(entry)
        self.fleet.record_list()
        return reading.revision

    def _update(self, entries: Iterable[VmEntry]) -> None:
        for entry in entries:
            self._stored_by_id[entry.vm_id] = entry

    def _missing(self) -> list[VmEntry]:
        if self._revision is None:
            return []
        now = self.clock.now()
        lacking = [
            entry for entry in self.fleet.zone_vms() if self._is_lacking(entry)
        ]
        self._missing_since = {
            entry.vm_id: self._missing_since.get(entry.vm_id, now)
            for entry in lacking
        }
        return [
            entry
            for entry in lacking
            if now - self._missing_since[entry.vm_id] >= _MISSING_S
        ]

    def _is_lacking(self, entry: VmEntry) -> bool:
        stored = self._stored_by_id.get(entry.vm_id)
        return stored is None or stored.started_ms < entry.started_ms

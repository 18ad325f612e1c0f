"""Finds VMs of the zone whose entry the store lacks."""

from collections.abc import Iterable

import attrs

from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.model import VmEntry
from bronzewall.ports import Clock
from bronzewall.types import VmId

# A leader reads new entries at most 2 s after they were written; an entry that
# it has lacked for longer than this time, seconds, is not in the store.
_MISSING_S = 3.0


@attrs.define(kw_only=True, eq=False)
class Registrations:
    """Entries of VMs that the store is known to hold.

    A VM registers when it starts. A store that is restored from a copy may
    have lost its entry.
    """

    clock: Clock
    fleet: FleetView
    _stored_by_id: dict[VmId, VmEntry] = attrs.field(factory=dict)
    _missing_since: dict[VmId, float] = attrs.field(factory=dict)

    def replace(self, entries: Iterable[VmEntry]) -> None:
        """Record all entries that the store holds."""
        self._stored_by_id = {entry.vm_id: entry for entry in entries}

    def update(self, entries: Iterable[VmEntry]) -> None:
        """Record entries that were written since."""
        for entry in entries:
            self._stored_by_id[entry.vm_id] = entry

    def missing(self) -> list[VmEntry]:
        """Return the VMs of the zone that are to be registered again."""
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

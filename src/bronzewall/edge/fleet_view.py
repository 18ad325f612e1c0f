"""VMs of the fleet and their ranking for leader election."""

import attrs
import structlog

from bronzewall.edge.entry_checks import check_vm
from bronzewall.edge.model import VmEntry
from bronzewall.errors import StoreEntryError
from bronzewall.types import VmId
from bronzewall.wire_checks import shown

_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class FleetView:
    """Registered VMs by id.

    :param own: entry of this VM.
    :param revision: incremented when an entry is added or replaced.
    :param is_listed: the VMs were read from the store, or got from a leader.
    """

    own: VmEntry
    entries_by_id: dict[VmId, VmEntry] = attrs.field(factory=dict)
    revision: int = 0
    is_listed: bool = False
    _ranked_by_zone: dict[str, list[VmEntry]] = attrs.field(factory=dict)
    _ignored_errors_by_vm: dict[str, str] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Add the own entry."""
        self.entries_by_id[self.own.vm_id] = self.own

    def add(self, entry: VmEntry) -> bool:
        """Add or update a VM; return whether this changed the view.

        An entry of an earlier start of the same VM is ignored, and so is one
        that cannot be used: VMs state their entries in their reports, too.
        """
        known = self.entries_by_id.get(entry.vm_id)
        if entry.vm_id == self.own.vm_id or known == entry:
            return False
        if known is not None and known.started_ms > entry.started_ms:
            return False
        try:
            check_vm(entry)
        except StoreEntryError as exc:
            self._log_ignored(shown(entry.vm_id), str(exc))
            return False
        self.entries_by_id[entry.vm_id] = entry
        self.revision += 1
        self._ranked_by_zone.clear()
        return True

    def remove(self, vm_id: VmId) -> None:
        """Remove a VM that stops; it may register again."""
        self.entries_by_id.pop(vm_id, None)
        self._ranked_by_zone.clear()

    def record_list(self) -> None:
        """Record that the VMs were read or got, not only single entries."""
        if not self.is_listed:
            self.is_listed = True
            self.revision += 1

    def listed_zone_vms(self) -> int:
        """Return the number of VMs of the own zone, 0 while not known."""
        return len(self.zone_vms()) if self.is_listed else 0

    def zone_vms(self) -> list[VmEntry]:
        """Return the VMs of the own zone, highest rank first."""
        return self.ranked(self.own.placement.zone)

    def ranked(self, zone: str) -> list[VmEntry]:
        """Return the VMs of a zone, highest rank first."""
        ranked = self._ranked_by_zone.get(zone)
        if ranked is None:
            entries = (
                entry
                for entry in self.entries_by_id.values()
                if entry.placement.zone == zone
            )
            ranked = sorted(entries, key=rank)
            self._ranked_by_zone[zone] = ranked
        return ranked

    def precedes(self, vm_id: VmId) -> bool:
        """Return whether this VM ranks higher than another one."""
        other = self.entries_by_id.get(vm_id)
        return other is not None and rank(self.own) < rank(other)

    def zones(self) -> set[str]:
        """Return the zones that have VMs."""
        return {entry.placement.zone for entry in self.entries_by_id.values()}

    def _log_ignored(self, vm: str, error: str) -> None:
        """Log an entry that cannot be used, once for each error."""
        if self._ignored_errors_by_vm.get(vm) != error:
            self._ignored_errors_by_vm[vm] = error
            _LOG.warning('vm_entry_ignored', vm=vm, error=error)


def rank(entry: VmEntry) -> tuple[float, int, str]:
    """Return the sort key that ranks VMs for leader election.

    VMs with more processing power come first, then those that have run
    longest: a restarted VM does not displace the leader that replaced it.
    """
    return -entry.strength, entry.started_ms, entry.vm_id

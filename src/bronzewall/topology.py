"""Selects the members that a VM watches, contacts and subscribes to."""

import random
from collections.abc import Sequence

import attrs

from bronzewall.membership import Members
from bronzewall.rendezvous import rank_vms
from bronzewall.types import VmId

READERS_PER_ZONE = 2
# Number of next members in the ring of the zone that a member watches.
_SUCCESSORS = 3
# Other zones that are contacted at a time.
_CONTACTED_ZONES = 2
# Children of a member in each tree.
_FAN_OUT = 4


@attrs.define(kw_only=True, eq=False)
class Topology:
    """Neighbours of one VM, derived from its view of the members.

    The readers of a zone are the VMs that poll the store for it. Two trees
    over the zone, both with the readers at the root, distribute what they
    read: every VM subscribes to its parent in each tree.
    The number of its neighbours does not depend on the number of members;
    for a reader it depends on the number of zones.
    """

    members: Members
    random: random.Random
    _version: int = -1
    _ring: Sequence[VmId] = ()
    _readers: Sequence[VmId] = ()
    _parents: set[VmId] = attrs.field(factory=set)
    _usable_by_zone: dict[str, list[VmId]] = attrs.field(factory=dict)
    _other_zones: list[str] = attrs.field(factory=list)
    _contacts_by_zone: dict[str, VmId] = attrs.field(factory=dict)
    _next_zone_index: int = 0

    def is_reader(self) -> bool:
        """Return whether this VM polls the store for its zone."""
        self._refresh()
        return self.members.own_id in self._readers

    def successors(self) -> list[VmId]:
        """Return the next members in the ring, which this VM watches."""
        self._refresh()
        return _ring_neighbours(self._ring, self.members.own_id, 1)

    def monitors_of(self, vm_id: VmId) -> list[VmId]:
        """Return the members that watch a member of this zone."""
        self._refresh()
        return _ring_neighbours(self._ring, vm_id, -1)

    def parents(self) -> set[VmId]:
        """Return the members whose changes of state this VM subscribes to."""
        self._refresh()
        return self._parents

    def other_zone_contacts(self) -> list[VmId]:
        """Return members of other zones, taking the zones in turn.

        The member chosen for a zone stays the same while it is usable, so
        that the number of connections stays small.
        """
        self._refresh()
        zones = self._other_zones
        if not zones:
            return []
        chosen = [
            zones[(self._next_zone_index + step) % len(zones)]
            for step in range(min(_CONTACTED_ZONES, len(zones)))
        ]
        self._next_zone_index += len(chosen)
        found = (self._contact_in_zone(zone) for zone in chosen)
        return [vm_id for vm_id in found if vm_id is not None]

    def witnesses(self, count: int) -> list[VmId]:
        """Return random members of other zones."""
        self._refresh()
        others = [
            vm_id
            for zone in self._other_zones
            for vm_id in self._usable_by_zone.get(zone, ())
        ]
        return self.random.sample(others, min(count, len(others)))

    def _contact_in_zone(self, zone: str) -> VmId | None:
        if zone not in self._contacts_by_zone:
            usable = self._usable_by_zone.get(zone)
            if not usable:
                return None
            self._contacts_by_zone[zone] = self.random.choice(usable)
        return self._contacts_by_zone[zone]

    def _refresh(self) -> None:
        if self._version == self.members.version:
            return
        self._version = self.members.version
        own_id, zone = self.members.own_id, self.members.own_placement.zone
        # Suspected members stay in the ring, so that their return is
        # detected.
        self._ring = rank_vms(
            duty='ring', vm_ids=self.members.listed_ids(zone=zone)
        )
        self._usable_by_zone = self.members.usable_by_zone()
        usable = self._usable_by_zone.get(zone, [])
        ranked = rank_vms(duty=f'reader/{zone}', vm_ids=usable)
        self._readers = ranked[:READERS_PER_ZONE]
        reordered = rank_vms(
            duty=f'spread/{zone}', vm_ids=ranked[READERS_PER_ZONE:]
        )
        self._parents = {
            *_parent_in_tree(ranked, own_id),
            *_parent_in_tree([*reversed(self._readers), *reordered], own_id),
        }
        self._other_zones = [
            name for name in self.members.zones() if name != zone
        ]
        self._contacts_by_zone = {
            name: vm_id
            for name, vm_id in self._contacts_by_zone.items()
            if vm_id in self._usable_by_zone.get(name, ())
        }
        if own_id in self._readers:
            self._parents |= self._other_readers()

    def _other_readers(self) -> set[VmId]:
        """Return other readers: all of the own zone, one of each other."""
        found = {
            vm_id for vm_id in self._readers if vm_id != self.members.own_id
        }
        index = self._readers.index(self.members.own_id)
        for zone in self._other_zones:
            readers = rank_vms(
                duty=f'reader/{zone}',
                vm_ids=self._usable_by_zone.get(zone, ()),
            )[:READERS_PER_ZONE]
            if readers:
                found.add(readers[index % len(readers)])
        return found


def _parent_in_tree(order: Sequence[VmId], own_id: VmId) -> list[VmId]:
    """Return the parent of this VM, or nothing for a reader.

    The tree is filled level by level in the given order, which begins with
    the readers. A VM that is not in it subscribes to the first reader.
    """
    if own_id not in order:
        return list(order[:1])
    index = order.index(own_id)
    if index < READERS_PER_ZONE:
        return []
    return [order[(index - READERS_PER_ZONE) // _FAN_OUT]]


def _ring_neighbours(
    ring: Sequence[VmId], vm_id: VmId, direction: int
) -> list[VmId]:
    """Return the neighbours of a member on one side of the ring.

    :param direction: 1 for the next members, -1 for the previous ones.
    """
    if vm_id not in ring:
        return []
    index, size = ring.index(vm_id), len(ring)
    steps = range(1, min(_SUCCESSORS, size - 1) + 1)
    return [ring[(index + direction * step) % size] for step in steps]

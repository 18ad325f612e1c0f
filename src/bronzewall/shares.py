"""Division of a service's slots among the VMs that use it."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from bronzewall.config_model import Instance
from bronzewall.locality import locality_of
from bronzewall.types import InstanceId, Placement, VmId

# Slots that change owner in one round, unless deficits are large. Each may
# cause one shed request, because the old owner's request may still occupy the
# slot.
MAX_MOVES = 1
# Differences in deficit above this are corrected in the same round, also
# beyond ``MAX_MOVES``. A deficit is a VM's missing slots plus its credit.
_LARGE_DEFICIT = 3.0
# A VM whose fair share is a fraction of a slot holds the slot for a fraction
# of the time. Its credit accumulates the missing slots up to this limit. It
# grows slowly, because a slot is idle for a round after each move.
_MAX_CREDIT = 2.0
_CREDIT_GAIN = 0.1
_MIN_DEFICIT_TO_MOVE = 1.0
# A free slot goes to the nearest VM whose deficit is at least this, indexed
# by distance.
_MIN_DEFICIT_BY_DISTANCE = (0.5, 0.5, 1.5)
# Deficit, in slots, that outweighs the distance to another zone or region,
# indexed by distance.
_DISTANCE_PENALTY = (0, 0.5, 3)

# VMs whose demand is at least this many requests in flight get a whole slot
# before others get a second one: requests of a VM without a slot wait too
# long.
_WHOLE_SLOT_DEMAND = 0.5
# Prevents negative weights and a division by zero.
_MIN_WEIGHT = 0.001

Slot = tuple[InstanceId, int]


def max_min_allocation(
    *, demand_by_account: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min fair allocation of capacity to accounts.

    :param capacity: capacity to divide, in the unit of the demand.
    """
    granted: dict[str, float] = {}
    left = capacity
    waiting = sorted(demand_by_account, key=demand_by_account.__getitem__)
    for index, account in enumerate(waiting):
        level = left / (len(waiting) - index)
        granted[account] = min(demand_by_account[account], level)
        left -= granted[account]
    return granted


def fair_slot_counts(
    total: int, weight_by_vm: Mapping[VmId, float]
) -> dict[VmId, float]:
    """Return each VM's fair number of slots, which may be fractional.

    :param total: number of slots.
    :param weight_by_vm: mean number of requests in flight that each VM
        would cause.
    """
    floors = {
        vm_id: min(1, weight / _WHOLE_SLOT_DEMAND)
        for vm_id, weight in weight_by_vm.items()
    }
    left = total - sum(floors.values())
    if left < 0:
        # Too few slots for all VMs: the VMs take turns by their credit.
        scale = total / sum(floors.values())
        return {vm_id: floor * scale for vm_id, floor in floors.items()}
    above = {
        vm_id: max(_MIN_WEIGHT, weight_by_vm[vm_id] - floor)
        for vm_id, floor in floors.items()
    }
    scale = left / sum(above.values())
    return {
        vm_id: floor + above[vm_id] * scale for vm_id, floor in floors.items()
    }


def slots_of(instances: Iterable[Instance]) -> dict[Slot, Placement]:
    """Return all slots of the instances."""
    return {
        (instance.instance_id, number): instance.placement
        for instance in instances
        for number in range(instance.slots)
    }


@attrs.define(kw_only=True, eq=False)
class SlotTable:
    """Owner of each slot of one service.

    A slot that moves stays unused for one round, so that the request of
    its old owner can end.
    """

    owner_by_slot: dict[Slot, VmId] = attrs.field(factory=dict)
    _next_owner_by_slot: dict[Slot, VmId] = attrs.field(factory=dict)
    _credit_by_vm: dict[VmId, float] = attrs.field(factory=dict)
    _deficit_by_vm: dict[VmId, float] = attrs.field(factory=dict)

    def rebalance(
        self,
        *,
        slots: Mapping[Slot, Placement],
        weight_by_vm: Mapping[VmId, float],
        placement_by_vm: Mapping[VmId, Placement],
    ) -> None:
        """Run one round that moves slots toward a weighted fair division.

        Free slots are assigned at once; few of the others move.
        """
        owners = {**self.owner_by_slot, **self._next_owner_by_slot}
        self._next_owner_by_slot = {}
        self.owner_by_slot = {
            slot: owner
            for slot, owner in owners.items()
            if slot in slots and owner in weight_by_vm
        }
        if not weight_by_vm:
            return
        self._update_deficits(len(slots), weight_by_vm)
        for slot in sorted(slots.keys() - self.owner_by_slot.keys()):
            owner = self._receiver_of_free_slot(slots[slot], placement_by_vm)
            self.owner_by_slot[slot] = owner
            self._deficit_by_vm[owner] -= 1
        moved = 0
        while moved < len(slots):
            threshold = (
                _MIN_DEFICIT_TO_MOVE if moved < MAX_MOVES else _LARGE_DEFICIT
            )
            if not self._move_one(slots, placement_by_vm, threshold):
                break
            moved += 1

    def shares_of(self, vm_id: VmId) -> dict[InstanceId, int]:
        """Return a VM's number of slots by instance."""
        return dict(
            Counter(
                instance_id
                for (instance_id, _), owner in self.owner_by_slot.items()
                if owner == vm_id
            )
        )

    def _update_deficits(
        self, total: int, weight_by_vm: Mapping[VmId, float]
    ) -> None:
        held = Counter(self.owner_by_slot.values())
        credits, deficits = {}, {}
        for vm_id, due in fair_slot_counts(total, weight_by_vm).items():
            missing = due - held[vm_id]
            credit = self._credit_by_vm.get(vm_id, 0)
            credit += missing * _CREDIT_GAIN
            credits[vm_id] = max(-_MAX_CREDIT, min(_MAX_CREDIT, credit))
            deficits[vm_id] = missing + credits[vm_id]
        self._credit_by_vm = credits
        self._deficit_by_vm = deficits

    def _receiver_of_free_slot(
        self, place: Placement, placement_by_vm: Mapping[VmId, Placement]
    ) -> VmId:
        def rank(vm_id: VmId) -> tuple[bool, int, float]:
            deficit = self._deficit_by_vm[vm_id]
            distance = locality_of(placement_by_vm[vm_id], place)
            return (
                deficit >= _MIN_DEFICIT_BY_DISTANCE[distance],
                -distance,
                deficit,
            )

        return max(sorted(self._deficit_by_vm), key=rank)

    def _move_one(
        self,
        slots: Mapping[Slot, Placement],
        placement_by_vm: Mapping[VmId, Placement],
        threshold: float,
    ) -> bool:
        receiver = max(
            sorted(self._deficit_by_vm), key=self._deficit_by_vm.__getitem__
        )
        deficit = self._deficit_by_vm[receiver]
        if deficit < _MIN_DEFICIT_TO_MOVE:
            return False

        def gain(slot: Slot) -> float:
            distance = locality_of(placement_by_vm[receiver], slots[slot])
            owner_deficit = self._deficit_by_vm[self.owner_by_slot[slot]]
            return deficit - owner_deficit - _DISTANCE_PENALTY[distance]

        best = max(sorted(self.owner_by_slot), key=gain, default=None)
        if best is None or gain(best) <= threshold:
            return False
        self._deficit_by_vm[self.owner_by_slot.pop(best)] += 1
        self._deficit_by_vm[receiver] -= 1
        self._next_owner_by_slot[best] = receiver
        return True


def divide_equally(
    *,
    slots: Mapping[Slot, Placement],
    placement_by_vm: Mapping[VmId, Placement],
) -> SlotTable:
    """Return an equal division of the slots, the same on every VM."""
    table = SlotTable()
    table.rebalance(
        slots=dict(sorted(slots.items())),
        weight_by_vm=dict.fromkeys(placement_by_vm, 1),
        placement_by_vm=placement_by_vm,
    )
    return table

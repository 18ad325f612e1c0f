"""Division of a service's slots among the VMs that use it."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from bronzewall.config_model import Instance
from bronzewall.locality import locality_of
from bronzewall.types import InstanceId, Placement, VmId

# Slots that change hands in one round; each may cost one shed answer,
# because the old owner's request still holds the slot.
MAX_MOVES = 1
# Differences in need beyond this are evened out at once.
_GROSS_NEED = 3.0
# A VM whose due share is a fraction of a slot gets the slot for a part of
# the time; the credit remembers what it missed, within this bound. It
# grows slowly, because each move idles the slot for a round.
_MAX_CREDIT = 2.0
_CREDIT_GAIN = 0.1
_NEED_TO_MOVE = 1.0
# A free slot goes to the nearest VM with at least this need, by distance.
_NEED_TO_DEAL = (0.5, 0.5, 1.5)
# Need, in slots, that outweighs being in another zone or region.
_DISTANCE_PENALTY = (0, 0.5, 3)

# VMs whose demand is at least this many requests in progress get a whole
# slot before others get a second one: without any, requests wait too long.
_WHOLE_SLOT_DEMAND = 0.5
_MIN_WEIGHT = 0.001

Slot = tuple[InstanceId, int]


def fair_demand(
    *, demand_by_account: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min fair part of each account's demand.

    :param capacity: what there is to divide, in the unit of the demand.
    """
    granted: dict[str, float] = {}
    left = capacity
    waiting = sorted(demand_by_account, key=demand_by_account.__getitem__)
    for index, account in enumerate(waiting):
        level = left / (len(waiting) - index)
        granted[account] = min(demand_by_account[account], level)
        left -= granted[account]
    return granted


def due_slots(
    total: int, weight_by_vm: Mapping[VmId, float]
) -> dict[VmId, float]:
    """Return each VM's due part of the slots.

    :param weight_by_vm: mean requests in progress that a VM would cause.
    """
    floors = {
        vm_id: min(1, weight / _WHOLE_SLOT_DEMAND)
        for vm_id, weight in weight_by_vm.items()
    }
    left = total - sum(floors.values())
    if left < 0:
        # Too few slots for all: the credit makes them take turns.
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

    A slot that moves stays unused for one round, in which the request of
    its old owner ends.
    """

    owner_by_slot: dict[Slot, VmId] = attrs.field(factory=dict)
    _next_by_slot: dict[Slot, VmId] = attrs.field(factory=dict)
    _credit_by_vm: dict[VmId, float] = attrs.field(factory=dict)
    _need_by_vm: dict[VmId, float] = attrs.field(factory=dict)

    def deal(
        self,
        *,
        slots: Mapping[Slot, Placement],
        weight_by_vm: Mapping[VmId, float],
        placement_by_vm: Mapping[VmId, Placement],
    ) -> None:
        """Bring the owners closer to shares in proportion to the weights.

        Most slots stay where they are; free ones are dealt at once.
        """
        owners = {**self.owner_by_slot, **self._next_by_slot}
        self._next_by_slot = {}
        self.owner_by_slot = {
            slot: owner
            for slot, owner in owners.items()
            if slot in slots and owner in weight_by_vm
        }
        if not weight_by_vm:
            return
        self._update_needs(len(slots), weight_by_vm)
        for slot in sorted(slots.keys() - self.owner_by_slot.keys()):
            owner = self._neediest(slots[slot], placement_by_vm)
            self.owner_by_slot[slot] = owner
            self._need_by_vm[owner] -= 1
        moved = 0
        while moved < len(slots):
            threshold = _NEED_TO_MOVE if moved < MAX_MOVES else _GROSS_NEED
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

    def _update_needs(
        self, total: int, weight_by_vm: Mapping[VmId, float]
    ) -> None:
        held = Counter(self.owner_by_slot.values())
        credits, needs = {}, {}
        for vm_id, due in due_slots(total, weight_by_vm).items():
            missing = due - held[vm_id]
            credit = self._credit_by_vm.get(vm_id, 0)
            credit += missing * _CREDIT_GAIN
            credits[vm_id] = max(-_MAX_CREDIT, min(_MAX_CREDIT, credit))
            needs[vm_id] = missing + credits[vm_id]
        self._credit_by_vm = credits
        self._need_by_vm = needs

    def _neediest(
        self, place: Placement, placement_by_vm: Mapping[VmId, Placement]
    ) -> VmId:
        def rank(vm_id: VmId) -> tuple[bool, int, float]:
            need = self._need_by_vm[vm_id]
            distance = locality_of(placement_by_vm[vm_id], place)
            return need >= _NEED_TO_DEAL[distance], -distance, need

        return max(sorted(self._need_by_vm), key=rank)

    def _move_one(
        self,
        slots: Mapping[Slot, Placement],
        placement_by_vm: Mapping[VmId, Placement],
        threshold: float,
    ) -> bool:
        taker = max(sorted(self._need_by_vm), key=self._need_by_vm.__getitem__)
        needed = self._need_by_vm[taker]
        if needed < _NEED_TO_MOVE:
            return False

        def gain(slot: Slot) -> float:
            distance = locality_of(placement_by_vm[taker], slots[slot])
            owner_need = self._need_by_vm[self.owner_by_slot[slot]]
            return needed - owner_need - _DISTANCE_PENALTY[distance]

        best = max(sorted(self.owner_by_slot), key=gain, default=None)
        if best is None or gain(best) <= threshold:
            return False
        self._need_by_vm[self.owner_by_slot.pop(best)] += 1
        self._need_by_vm[taker] -= 1
        self._next_by_slot[best] = taker
        return True


def equal_shares(
    *,
    slots: Mapping[Slot, Placement],
    placement_by_vm: Mapping[VmId, Placement],
) -> SlotTable:
    """Return a deal in equal parts, the same on every VM."""
    table = SlotTable()
    table.deal(
        slots=dict(sorted(slots.items())),
        weight_by_vm=dict.fromkeys(placement_by_vm, 1),
        placement_by_vm=placement_by_vm,
    )
    return table

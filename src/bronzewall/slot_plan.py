"""Deterministic division of slots among VMs."""

from collections.abc import Iterable, Mapping

import attrs

from bronzewall.rendezvous import rank_vms
from bronzewall.types import VmId


@attrs.frozen(kw_only=True)
class Move:
    """A slot that should be handed over, and its new holder."""

    slot: int
    receiver: VmId


def assign_vacant(
    *, slots: Iterable[int], counts_by_id: Mapping[VmId, int]
) -> dict[int, VmId]:
    """Return a receiver for each slot, preferring VMs with fewest slots.

    All VMs with the same view compute the same result.

    :param counts_by_id: slots held by each live VM.
    """
    counts = dict(counts_by_id)
    receivers = {}
    for slot in sorted(slots):
        if not counts:
            break
        receiver = _with_fewest(slot, counts)
        receivers[slot] = receiver
        counts[receiver] += 1
    return receivers


def balancing_moves(
    *, holders_by_slot: Mapping[int, VmId], counts_by_id: Mapping[VmId, int]
) -> list[Move]:
    """Return the moves after which slot counts differ by at most one."""
    counts = dict(counts_by_id)
    slots_by_id: dict[VmId, list[int]] = {vm_id: [] for vm_id in counts}
    for slot, holder in sorted(holders_by_slot.items()):
        if holder in slots_by_id:
            slots_by_id[holder].append(slot)
    moves = []
    while counts:
        fullest = max(sorted(counts), key=counts.__getitem__)
        slots = slots_by_id[fullest]
        if not slots or counts[fullest] - min(counts.values()) < 2:
            break
        moved = slots.pop()
        receiver = _with_fewest(moved, counts)
        counts[fullest] -= 1
        counts[receiver] += 1
        moves.append(Move(slot=moved, receiver=receiver))
    return moves


def _with_fewest(slot: int, counts: Mapping[VmId, int]) -> VmId:
    fewest = min(counts.values())
    candidates = [vm_id for vm_id, count in counts.items() if count == fewest]
    return rank_vms(duty=f'slot/{slot}', vm_ids=candidates)[0]

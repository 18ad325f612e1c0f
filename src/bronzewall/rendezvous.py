"""Rendezvous hashing of duties over VMs."""

import hashlib
from collections.abc import Iterable

from bronzewall.types import VmId

_DIGEST_BYTES = 8


def rank_vms(*, duty: str, vm_ids: Iterable[VmId]) -> list[VmId]:
    """Return the VMs in order of preference for a duty.

    The order depends only on the arguments. Removing a VM reassigns only
    the duties that it held.
    """

    def weight(vm_id: VmId) -> bytes:
        text = f'{duty}\0{vm_id}'.encode()
        return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()

    return sorted(vm_ids, key=weight)

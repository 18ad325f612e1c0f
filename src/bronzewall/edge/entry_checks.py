"""Checks of the entries of instances and VMs, whoever has sent them.

An entry that passes them can be sorted, packed, sent to and logged.
"""

from bronzewall.edge.model import EdgeInstance, VmEntry
from bronzewall.errors import AddressError, StoreEntryError
from bronzewall.types import Placement
from bronzewall.wire_checks import is_plain_text, shown, split_address

# Longest id or name, characters. Keys of the store have 200 bytes.
_MAX_NAME_CHARACTERS = 256
# No server runs as many requests at the same time.
_MAX_SLOTS = 1_000_000
# Unix milliseconds of the year 2100. A process that is remembered with a later
# start would take precedence over all that follow it.
_MAX_STARTED_MS = 4_102_444_800_000
# No instance takes longer to become fast, seconds.
_MAX_WARMUP_S = 86_400.0
# No machine is stronger, cores.
_MAX_STRENGTH = 100_000.0


def check_instance(item: EdgeInstance) -> None:
    """Check that an instance may be used.

    :raises StoreEntryError: it may not.
    """
    _check_name('instance id', item.instance_id)
    _check_name('service', item.service)
    _check_placement(item.placement, optional_region=True)
    _check_address(item.address)
    _check_number('slots', item.slots, 1, _MAX_SLOTS, is_whole=True)
    _check_number('warmup', item.warmup, 0, _MAX_WARMUP_S)
    _check_number(
        'started_ms', item.started_ms, 0, _MAX_STARTED_MS, is_whole=True
    )
    if not isinstance(item.is_leaving, bool):
        raise StoreEntryError(f'is_leaving is {shown(item.is_leaving)}')


def check_vm(entry: VmEntry) -> None:
    """Check that a VM may be used.

    :raises StoreEntryError: it may not.
    """
    _check_name('VM id', entry.vm_id)
    _check_placement(entry.placement)
    _check_address(entry.address)
    _check_number('strength', entry.strength, 0, _MAX_STRENGTH)
    if not entry.strength:
        # Work is divided by strength.
        raise StoreEntryError('strength is 0')
    _check_number(
        'started_ms', entry.started_ms, 0, _MAX_STARTED_MS, is_whole=True
    )


def _check_placement(
    placement: Placement, *, optional_region: bool = False
) -> None:
    """Check a placement.

    :param optional_region: the region of an unknown zone is empty.
    """
    _check_name('zone', placement.zone)
    if placement.region or not optional_region:
        _check_name('region', placement.region)


def _check_name(name: str, found: object) -> None:
    if not isinstance(found, str) or not is_plain_text(
        found, limit=_MAX_NAME_CHARACTERS
    ):
        raise StoreEntryError(f'{name} is {shown(found)}')


def _check_address(found: object) -> None:
    if not isinstance(found, str):
        raise StoreEntryError(f'address is {shown(found)}')
    try:
        split_address(found)
    except AddressError as exc:
        raise StoreEntryError(str(exc)) from exc


def _check_number(
    name: str,
    found: object,
    least: float,
    most: float,
    *,
    is_whole: bool = False,
) -> None:
    kinds = int if is_whole else (int, float)
    if (
        not isinstance(found, kinds)
        or isinstance(found, bool)
        or not least <= found <= most
    ):
        raise StoreEntryError(f'{name} is {shown(found)}')

"""Value types shared by all modules."""

import enum
from typing import NewType

import attrs

VmId = NewType('VmId', str)
AccountId = NewType('AccountId', str)
ServiceName = NewType('ServiceName', str)
InstanceId = NewType('InstanceId', str)
RouteId = NewType('RouteId', str)
RequestId = NewType('RequestId', str)


@attrs.frozen(kw_only=True)
class Placement:
    """Where a VM or instance runs.

    :param region: name of the region.
    :param zone: name of the availability zone.
    """

    region: str
    zone: str


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    DESTROYED = 'destroyed'


@attrs.frozen(kw_only=True)
class VmRecord:
    """One entry of the platform's lagging VM list.

    :param peer_address: ``host:port`` of the peer link.
    :param admin_address: ``host:port`` of the admin endpoint, or empty.
    """

    vm_id: VmId
    placement: Placement
    peer_address: str
    state: VmState = VmState.LIVE
    admin_address: str = ''


@attrs.frozen(kw_only=True)
class Row:
    """One row of the table service.

    :param version: grows with every write; 0 stands for an absent row.
    """

    value: bytes
    version: int


@attrs.frozen(kw_only=True)
class RowCheck:
    """Condition of a transaction; it holds if the row has this version."""

    table: str
    key: str
    version: int


@attrs.frozen(kw_only=True)
class RowWrite:
    """Write of a transaction; ``value=None`` deletes the row."""

    table: str
    key: str
    value: bytes | None

"""Decodes what operators, instances and VMs store on the platform."""

import json
from collections.abc import Mapping
from typing import Any, TypeVar

from bronzewall.edge.model import (
    CallerLimits,
    EdgeAccount,
    EdgeConfiguration,
    EdgeInstance,
    EdgeRoute,
    TrafficShare,
    VmEntry,
)
from bronzewall.errors import StoreEntryError
from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
    VmId,
)

_FieldT = TypeVar('_FieldT')
_ROUTE_KINDS = ('idempotent', 'non_idempotent')
_INSTANCE_STATES = ('ready', 'draining')
_NUMBER = (int, float)


def configuration(raw: bytes) -> EdgeConfiguration:
    """Return the configuration of the operators' row.

    :raises StoreEntryError: it has another form.
    """
    wire = _document(raw)
    return EdgeConfiguration(
        version=_whole(wire, 'configVersion'),
        routes=tuple(_route(item) for item in _items(wire, 'routes')),
        accounts=tuple(_account(item) for item in _items(wire, 'tenants')),
        needs_keys='tenants' in wire,
        limits=_limits(wire.get('limits', {})),
    )


def instance(
    key: str, raw: bytes, *, region_by_zone: Mapping[str, str]
) -> EdgeInstance:
    """Return the instance of one row.

    :param key: key of the row, which is the only place of the id.
    :raises StoreEntryError: it names no instance that may be used.
    """
    wire = _document(raw)
    zone = _text(wire, 'zone')
    state = _text(wire, 'instanceState')
    if state not in _INSTANCE_STATES:
        raise StoreEntryError(f'state {state!r}')
    return EdgeInstance(
        instance_id=InstanceId(key),
        service=ServiceName(_text(wire, 'serviceName')),
        address=_address(_text(wire, 'address')),
        placement=Placement(region=region_by_zone.get(zone, ''), zone=zone),
        slots=max(1, _whole(wire, 'capacitySlots')),
        is_leaving=state == 'draining',
        # Seconds that are left of the slow start.
        warmup=_number(wire, 'warmupLeft'),
        # Unix milliseconds of the process's start.
        started_ms=_whole(wire, 'born') if 'born' in wire else 0,
    )


def vm(key: str, raw: bytes) -> VmEntry:
    """Return the VM of one row.

    :raises StoreEntryError: it has another form.
    """
    wire = _document(raw)
    return VmEntry(
        vm_id=VmId(key),
        placement=Placement(
            region=_text(wire, 'region'), zone=_text(wire, 'zone')
        ),
        address=_address(_text(wire, 'address')),
        strength=_number(wire, 'strength'),
        started_ms=_whole(wire, 'started_ms'),
    )


def encoded_vm(entry: VmEntry) -> bytes:
    """Return the row of a VM."""
    return json.dumps(
        {
            'region': entry.placement.region,
            'zone': entry.placement.zone,
            'address': entry.address,
            'strength': entry.strength,
            'started_ms': entry.started_ms,
        }
    ).encode()


def _route(wire: Mapping[str, Any]) -> EdgeRoute:
    kind = _text(wire, 'routeType')
    if kind not in _ROUTE_KINDS:
        raise StoreEntryError(f'kind of route {kind!r}')
    return EdgeRoute(
        route_id=RouteId(_text(wire, 'name')),
        host=_text(wire, 'hostName').lower(),
        prefix=_text(wire, 'prefix'),
        traffic_split=_parts(wire),
        idempotent=kind == 'idempotent',
        timeout=_optional(wire, 'timeout'),
        target_latency=_optional(wire, 'targetLatency'),
        # Instances to which one request may be sent, the first included.
        max_instances=int(wire.get('attempts', 1)),
        priority=int(wire.get('priority', 0)),
        open_to_all=wire.get('public') is True,
    )


def _parts(wire: Mapping[str, Any]) -> tuple[TrafficShare, ...]:
    if 'trafficSplit' not in wire:
        name = ServiceName(_text(wire, 'serviceName'))
        return (TrafficShare(service=name, weight=1),)
    return tuple(
        TrafficShare(
            service=ServiceName(_text(item, 'serviceName')),
            weight=_number(item, 'shareWeight'),
        )
        for item in _items(wire, 'trafficSplit')
    )


def _account(wire: Mapping[str, Any]) -> EdgeAccount:
    priority = wire.get('priority')
    return EdgeAccount(
        account_id=AccountId(_text(wire, 'name')),
        keys=tuple(str(key) for key in wire.get('apiKeys', ())),
        rate=_optional(wire, 'ratePerS') or 0,
        burst=_optional(wire, 'burstSize') or 0,
        priority=None if priority is None else int(priority),
    )


def _limits(wire: Mapping[str, Any]) -> CallerLimits:
    names = {
        'maxHeaderBytes': 'header_bytes',
        'maxBodyBytes': 'body_bytes',
    }
    return CallerLimits(
        **{own: wire[name] for name, own in names.items() if name in wire}
    )


def _document(raw: bytes) -> dict[str, Any]:
    try:
        wire = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise StoreEntryError(f'not JSON: {exc}') from exc
    if not isinstance(wire, dict):
        raise StoreEntryError(f'not a map: {type(wire).__name__}')
    return wire


def _typed(
    wire: Mapping[str, Any],
    name: str,
    kinds: type[_FieldT] | tuple[type[_FieldT], ...],
) -> _FieldT:
    found = wire.get(name)
    if not isinstance(found, kinds) or isinstance(found, bool):
        raise StoreEntryError(f'{name} is {found!r}')
    return found


def _text(wire: Mapping[str, Any], name: str) -> str:
    found = _typed(wire, name, str)
    if not found:
        raise StoreEntryError(f'{name} is empty')
    return found


def _whole(wire: Mapping[str, Any], name: str) -> int:
    return _typed(wire, name, int)


def _number(wire: Mapping[str, Any], name: str) -> float:
    found = _typed(wire, name, _NUMBER)
    if found < 0:
        raise StoreEntryError(f'{name} is {found!r}')
    return found


def _optional(wire: Mapping[str, Any], name: str) -> float | None:
    return None if wire.get(name) is None else _number(wire, name)


def _items(wire: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    found = wire.get(name, [])
    if not isinstance(found, list) or not all(
        isinstance(item, dict) for item in found
    ):
        raise StoreEntryError(f'{name} is not a list of maps')
    return found


def _address(text: str) -> str:
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit():
        raise StoreEntryError(f'address {text!r}')
    return text

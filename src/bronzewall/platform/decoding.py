"""Decodes the rows that operators, instances and VMs store."""

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


def decode_configuration(raw: bytes) -> EdgeConfiguration:
    """Return the configuration from the operators' row.

    :raises StoreEntryError: the row is malformed.
    """
    wire = _document(raw)
    return EdgeConfiguration(
        version=_integer(wire, 'configVersion'),
        routes=tuple(_route(item) for item in _items(wire, 'routes')),
        accounts=tuple(_account(item) for item in _items(wire, 'tenants')),
        needs_keys='tenants' in wire,
        limits=_limits(wire.get('limits', {})),
    )


def decode_instance(
    key: str, raw: bytes, *, region_by_zone: Mapping[str, str]
) -> EdgeInstance:
    """Return the instance from one row.

    :param key: key of the row; only it holds the instance id.
    :param region_by_zone: regions of the known zones.
    :raises StoreEntryError: the row is malformed or its state unknown.
    """
    wire = _document(raw)
    zone = _text(wire, 'zone')
    state = _text(wire, 'instanceState')
    if state not in _INSTANCE_STATES:
        raise StoreEntryError(f'unknown instance state {state!r}')
    return EdgeInstance(
        instance_id=InstanceId(key),
        service=ServiceName(_text(wire, 'serviceName')),
        address=_address(_text(wire, 'address')),
        placement=Placement(region=region_by_zone.get(zone, ''), zone=zone),
        slots=max(1, _integer(wire, 'capacitySlots')),
        is_leaving=state == 'draining',
        # Seconds left of the slow start.
        warmup=_number(wire, 'warmupLeft'),
        # Start of the process, Unix milliseconds.
        started_ms=_integer(wire, 'born') if 'born' in wire else 0,
    )


def decode_vm(key: str, raw: bytes) -> VmEntry:
    """Return the VM from one row.

    :raises StoreEntryError: the row is malformed.
    """
    wire = _document(raw)
    return VmEntry(
        vm_id=VmId(key),
        placement=Placement(
            region=_text(wire, 'region'), zone=_text(wire, 'zone')
        ),
        address=_address(_text(wire, 'address')),
        strength=_number(wire, 'strength'),
        started_ms=_integer(wire, 'started_ms'),
    )


def encode_vm(entry: VmEntry) -> bytes:
    """Return the encoded row of a VM."""
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
        raise StoreEntryError(f'unknown route type {kind!r}')
    return EdgeRoute(
        route_id=RouteId(_text(wire, 'name')),
        host=_text(wire, 'hostName').lower(),
        prefix=_text(wire, 'prefix'),
        traffic_split=_traffic_split(wire),
        idempotent=kind == 'idempotent',
        timeout=_optional_number(wire, 'timeout'),
        target_latency=_optional_number(wire, 'targetLatency'),
        # Number of instances one request may be sent to, including the first.
        max_instances=int(wire.get('attempts', 1)),
        priority=int(wire.get('priority', 0)),
        open_to_all=wire.get('public') is True,
    )


def _traffic_split(wire: Mapping[str, Any]) -> tuple[TrafficShare, ...]:
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
        rate=_optional_number(wire, 'ratePerS') or 0,
        burst=_optional_number(wire, 'burstSize') or 0,
        priority=None if priority is None else int(priority),
    )


def _limits(wire: Mapping[str, Any]) -> CallerLimits:
    fields_by_name = {
        'maxHeaderBytes': 'header_bytes',
        'maxBodyBytes': 'body_bytes',
    }
    return CallerLimits(
        **{
            field: wire[name]
            for name, field in fields_by_name.items()
            if name in wire
        }
    )


def _document(raw: bytes) -> dict[str, Any]:
    try:
        wire = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise StoreEntryError(f'not JSON: {exc}') from exc
    if not isinstance(wire, dict):
        raise StoreEntryError(f'not a JSON object: {type(wire).__name__}')
    return wire


def _typed(
    wire: Mapping[str, Any],
    name: str,
    types: type[_FieldT] | tuple[type[_FieldT], ...],
) -> _FieldT:
    value = wire.get(name)
    if not isinstance(value, types) or isinstance(value, bool):
        raise StoreEntryError(f'{name} is {value!r}')
    return value


def _text(wire: Mapping[str, Any], name: str) -> str:
    value = _typed(wire, name, str)
    if not value:
        raise StoreEntryError(f'{name} is empty')
    return value


def _integer(wire: Mapping[str, Any], name: str) -> int:
    return _typed(wire, name, int)


def _number(wire: Mapping[str, Any], name: str) -> float:
    value = _typed(wire, name, _NUMBER)
    if value < 0:
        raise StoreEntryError(f'{name} is {value!r}')
    return value


def _optional_number(wire: Mapping[str, Any], name: str) -> float | None:
    return None if wire.get(name) is None else _number(wire, name)


def _items(wire: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    value = wire.get(name, [])
    if not isinstance(value, list) or not all(
        isinstance(item, dict) for item in value
    ):
        raise StoreEntryError(f'{name} is not a list of objects')
    return value


def _address(text: str) -> str:
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit():
        raise StoreEntryError(f'address {text!r} is not host:port')
    return text

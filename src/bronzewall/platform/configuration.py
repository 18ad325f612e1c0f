"""Decodes the configuration that operators store.

Whatever is not known is read in its strictest known sense, and a malformed
entry affects only the requests that it concerns.
"""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

import attrs
import structlog

from bronzewall.edge.model import (
    CallerLimits,
    EdgeAccount,
    EdgeConfiguration,
    EdgeRoute,
    TrafficShare,
)
from bronzewall.errors import StoreEntryError
from bronzewall.platform import fields
from bronzewall.types import AccountId, RouteId, ServiceName

# The only route type whose requests may run more than once. ``upload`` routes
# take large bodies and are otherwise ``non_idempotent``.
_IDEMPOTENT = 'idempotent'
_ROUTE_TYPES = frozenset((_IDEMPOTENT, 'non_idempotent', 'upload'))
# Rank of routes and accounts whose priority cannot be read.
_LOWEST_PRIORITY = 9
_LOG = structlog.get_logger()
_EntryT = TypeVar('_EntryT')


@attrs.frozen(kw_only=True, eq=False)
class ConfigurationDecoder:
    """Decodes configurations and counts what it could not read.

    :param events: counters by name.
    """

    events: Counter[str] = attrs.field(factory=Counter)

    def decode(self, raw: bytes) -> EdgeConfiguration:
        """Return the configuration from the operators' row.

        :raises StoreEntryError: the row as a whole is malformed.
        """
        wire = fields.document(raw)
        version = fields.integer(wire, 'configVersion')
        routes = tuple(self._entries(wire, 'routes', self._route, version))
        accounts = tuple(self._entries(wire, 'tenants', self._account, version))
        return EdgeConfiguration(
            version=version,
            routes=tuple(route for route in routes if route is not None),
            accounts=tuple(found for found in accounts if found is not None),
            needs_keys='tenants' in wire,
            limits=self._limits(wire.get('limits', {})),
            has_unreadable_routes=None in routes,
            has_unreadable_accounts=None in accounts,
        )

    def _entries(
        self,
        wire: Mapping[str, Any],
        name: str,
        read: Callable[[Mapping[str, Any]], _EntryT],
        version: int,
    ) -> Iterator[_EntryT | None]:
        """Yield the entries of a list, ``None`` for an unreadable one."""
        for position, item in enumerate(fields.items(wire, name)):
            try:
                yield read(fields.entry(item))
            except (StoreEntryError, TypeError, ValueError) as exc:
                self._record('unreadable_entry')
                _LOG.warning(
                    'configuration_entry_ignored',
                    version=version,
                    entry=f'{name}[{position}]',
                    error=str(exc),
                )
                yield None

    def _route(self, wire: Mapping[str, Any]) -> EdgeRoute:
        """Return a route.

        :raises StoreEntryError: it does not say to which requests it applies.
        """
        route = EdgeRoute(
            route_id=RouteId(fields.text(wire, 'name')),
            host=fields.text(wire, 'hostName').lower(),
            prefix=fields.text(wire, 'prefix'),
            traffic_split=(),
            idempotent=False,
        )
        try:
            return attrs.evolve(
                route,
                traffic_split=_traffic_split(wire),
                idempotent=self._is_idempotent(wire),
                timeout=fields.optional_number(wire, 'timeout'),
                target_latency=fields.optional_number(wire, 'targetLatency'),
                # Instances that may get one request, including the first.
                max_instances=_optional_integer(wire, 'attempts', 1),
                priority=self._priority(wire) or 0,
                open_to_all=wire.get('public') is True,
            )
        except StoreEntryError as exc:
            self._record_unusable(route.route_id, exc)
            return route

    def _is_idempotent(self, wire: Mapping[str, Any]) -> bool:
        route_type = fields.text(wire, 'routeType')
        if route_type not in _ROUTE_TYPES:
            self._record('unknown_route_type')
            _LOG.warning(
                'unknown_route_type', route=wire['name'], found=route_type
            )
        return route_type == _IDEMPOTENT

    def _account(self, wire: Mapping[str, Any]) -> EdgeAccount:
        """Return an account.

        :raises StoreEntryError: its name or keys cannot be read.
        """
        account = EdgeAccount(
            account_id=AccountId(fields.text(wire, 'name')),
            keys=tuple(map(_key, fields.items(wire, 'apiKeys'))),
        )
        try:
            return attrs.evolve(
                account,
                rate=fields.optional_number(wire, 'ratePerS') or 0,
                burst=fields.optional_number(wire, 'burstSize') or 0,
                priority=self._priority(wire),
            )
        except StoreEntryError as exc:
            self._record_unusable(account.account_id, exc)
            return attrs.evolve(account, is_usable=False)

    def _priority(self, wire: Mapping[str, Any]) -> int | None:
        """Return the rank, the lowest one if it cannot be read."""
        if wire.get('priority') is None:
            return None
        try:
            return max(0, fields.integer(wire, 'priority'))
        except StoreEntryError as exc:
            self._record('unknown_priority')
            _LOG.warning(
                'unknown_priority', entry=wire.get('name'), error=str(exc)
            )
            return _LOWEST_PRIORITY

    def _limits(self, wire: object) -> CallerLimits:
        """Return the limits; those that cannot be read keep their default."""
        fields_by_name = {
            'maxHeaderBytes': 'header_bytes',
            'maxBodyBytes': 'body_bytes',
        }
        found: dict[str, int] = {}
        for name, field in fields_by_name.items():
            if not isinstance(wire, dict) or name not in wire:
                continue
            try:
                found[field] = int(fields.number(wire, name))
            except StoreEntryError as exc:
                self._record('unknown_limit')
                _LOG.warning('unknown_limit', error=str(exc))
        return CallerLimits(**found)

    def _record_unusable(self, name: str, exc: StoreEntryError) -> None:
        self._record('unusable_entry')
        _LOG.warning('configuration_entry_unusable', entry=name, error=str(exc))

    def _record(self, event: str) -> None:
        self.events[f'configuration_{event}'] += 1


def _traffic_split(wire: Mapping[str, Any]) -> tuple[TrafficShare, ...]:
    if wire.get('trafficSplit') is None:
        name = ServiceName(fields.text(wire, 'serviceName'))
        return (TrafficShare(service=name, weight=1),)
    shares = tuple(
        TrafficShare(
            service=ServiceName(fields.text(item, 'serviceName')),
            weight=fields.number(item, 'shareWeight'),
        )
        for item in map(fields.entry, fields.items(wire, 'trafficSplit'))
    )
    if not any(share.weight for share in shares):
        raise StoreEntryError('trafficSplit without a weight above 0')
    return shares


def _optional_integer(wire: Mapping[str, Any], name: str, default: int) -> int:
    return default if wire.get(name) is None else fields.integer(wire, name)


def _key(value: object) -> str:
    try:
        return fields.plain_text(value, 'key')
    except StoreEntryError:
        # The error would show a part of the key.
        raise StoreEntryError('a key is not a text') from None

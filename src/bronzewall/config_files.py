"""Reads and checks the operators' TOML files."""

import pathlib
import tomllib
from typing import Any

from bronzewall.config_model import (
    DEFAULT_CONNECTIONS,
    DEFAULT_SLOTS,
    Account,
    Configuration,
    Instance,
    Route,
    Service,
)
from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
)

ACCOUNTS_FILE = 'accounts.toml'


def load_directory(path: pathlib.Path) -> Configuration:
    """Return the configuration of a directory, with generation 0.

    :param path: directory with one file per service and one
        ``accounts.toml``.
    """
    services = [
        _service(tomllib.loads(file.read_text()))
        for file in sorted(path.rglob('*.toml'))
        if file.name != ACCOUNTS_FILE
    ]
    accounts = tomllib.loads((path / ACCOUNTS_FILE).read_text())
    return Configuration(
        generation=0,
        services_by_name={service.name: service for service in services},
        accounts_by_id={
            account['id']: _account(account) for account in accounts['accounts']
        },
    )


def _account(fields: dict[str, Any]) -> Account:
    return Account(
        account_id=AccountId(fields['id']),
        rate=float(fields['rate']),
        burst=int(fields['burst']),
        key_digests=tuple(
            bytes.fromhex(text) for text in fields['key_digests']
        ),
    )


def _service(document: dict[str, Any]) -> Service:
    fields = dict(document['service'])
    name = ServiceName(fields.pop('name'))
    instances = [_instance(item) for item in document['instances']]
    routes = [_route(name, item) for item in document['routes']]
    return Service(
        name=name,
        instances_by_id={item.instance_id: item for item in instances},
        routes_by_id={route.route_id: route for route in routes},
        **fields,
    )


def _instance(fields: dict[str, Any]) -> Instance:
    return Instance(
        instance_id=InstanceId(fields['id']),
        address=fields['address'],
        placement=Placement(region=fields['region'], zone=fields['zone']),
        slots=fields.get('slots', DEFAULT_SLOTS),
        connections=fields.get('connections', DEFAULT_CONNECTIONS),
    )


def _route(service: ServiceName, fields: dict[str, Any]) -> Route:
    own = dict(fields)
    name = own.pop('name')
    return Route(
        route_id=RouteId(f'{service}/{name}'),
        service=service,
        methods=frozenset(own.pop('methods')),
        **own,
    )

"""Builders of test data."""

import random
from typing import Any

from bronzewall.config_model import (
    Account,
    Configuration,
    Instance,
    Route,
    Service,
)
from bronzewall.key_table import key_digest
from bronzewall.standins.memory_fleet import MemoryFleet
from bronzewall.standins.memory_link import MemoryNetwork
from bronzewall.standins.memory_upstreams import (
    MemoryUpstreamFaults,
    MemoryUpstreams,
)
from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
    VmId,
    VmRecord,
)

ACCOUNT_KEY = 'test-key'


def a_placement(zone: str = 'muscat-a') -> Placement:
    """Return a placement; the region is the part of the zone before ``-``."""
    return Placement(region=zone.partition('-')[0], zone=zone)


def an_instance(name: str = 'drafts-1', **changes: Any) -> Instance:
    """Return an instance in ``muscat-a``."""
    fields: dict[str, Any] = {
        'instance_id': InstanceId(name),
        'address': '127.0.0.1:9',
        'placement': a_placement(),
    }
    return Instance(**{**fields, **changes})


def a_route(name: str = 'read', **changes: Any) -> Route:
    """Return an idempotent route of the service ``drafts``."""
    fields: dict[str, Any] = {
        'route_id': RouteId(f'drafts/{name}'),
        'service': ServiceName('drafts'),
        'path': '/drafts/*',
        'methods': frozenset({'GET'}),
        'idempotent': True,
    }
    return Route(**{**fields, **changes})


def a_service(*, instances: Any = None, routes: Any = None) -> Service:
    """Return the service ``drafts``."""
    instances = instances or [an_instance()]
    routes = routes or [a_route()]
    return Service(
        name=ServiceName('drafts'),
        instances_by_id={item.instance_id: item for item in instances},
        routes_by_id={route.route_id: route for route in routes},
    )


def an_account(name: str = 'gulf-daily', **changes: Any) -> Account:
    """Return an account whose key is ``ACCOUNT_KEY``."""
    fields: dict[str, Any] = {
        'account_id': AccountId(name),
        'rate': 50.0,
        'burst': 20,
        'key_digests': (key_digest(ACCOUNT_KEY),),
    }
    return Account(**{**fields, **changes})


def a_configuration(
    *,
    generation: int = 1,
    services: Any = None,
    accounts: Any = None,
) -> Configuration:
    """Return a configuration with one service and one account."""
    services = services or [a_service()]
    accounts = accounts or [an_account()]
    return Configuration(
        generation=generation,
        services_by_name={service.name: service for service in services},
        accounts_by_id={item.account_id: item for item in accounts},
    )


def a_vm_record(
    name: str = 'vm-1', zone: str = 'muscat-a', admin_address: str = ''
) -> VmRecord:
    """Return the record of a live VM."""
    return VmRecord(
        vm_id=VmId(name),
        placement=a_placement(zone),
        peer_address='127.0.0.1:9',
        admin_address=admin_address,
    )


def a_fleet(
    routes: Any,
    *,
    vms: int = 4,
    instances: int = 6,
    seed: int = 1,
    **upstream_faults: Any,
) -> MemoryFleet:
    """Return a fleet of running VMs, ``vm-0`` onwards, for ``drafts``."""
    rng = random.Random(seed)
    service = a_service(
        instances=[an_instance(f'drafts-{item}') for item in range(instances)],
        routes=routes,
    )
    fleet = MemoryFleet(
        random=rng,
        configuration=a_configuration(services=[service]),
        upstreams=MemoryUpstreams(
            random=rng, faults=MemoryUpstreamFaults(**upstream_faults)
        ),
        network=MemoryNetwork(random=rng, jitter=1),
    )
    for number in range(vms):
        fleet.start(VmId(f'vm-{number}'))
    return fleet

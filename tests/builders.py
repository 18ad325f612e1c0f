"""Builders of test data."""

import random
from typing import Any

import attrs

from bronzewall.config_model import (
    Account,
    Configuration,
    Instance,
    Route,
    Service,
)
from bronzewall.crash_guard import CrashGuard
from bronzewall.crash_setup import open_crash_guard
from bronzewall.key_table import key_digest
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock, TableService
from bronzewall.run_gate import RunGate
from bronzewall.run_setup import open_run_gate
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
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
    """Return a placement; the region is the zone's name before the dash."""
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
    """Return a live VM."""
    return VmRecord(
        vm_id=VmId(name),
        placement=a_placement(zone),
        peer_address='127.0.0.1:9',
        admin_address=admin_address,
    )


async def _accepts_connections(_instance: Instance) -> bool:
    return False


@attrs.define(kw_only=True)
class VmParts:
    """Parts of one VM on an in-memory network."""

    endpoint: PeerEndpoint
    members: Members
    gate: RunGate
    guard: CrashGuard


def vm_parts(
    *,
    clock: Clock,
    table: TableService,
    name: str = 'vm-1',
    network: MemoryNetwork | None = None,
    incarnation: int = 1,
) -> VmParts:
    """Return what a VM needs to run requests at most once."""
    network = network or MemoryNetwork(random=random.Random(1))
    vm_id = VmId(name)
    rng = random.Random(f'{name}/{incarnation}')
    endpoint = PeerEndpoint(
        vm_id=vm_id,
        incarnation=incarnation,
        link=MemoryLink(vm_id=vm_id, network=network),
    )
    members = Members(own_id=vm_id, own_placement=a_placement())
    return VmParts(
        endpoint=endpoint,
        members=members,
        gate=open_run_gate(
            endpoint=endpoint,
            clock=clock,
            table=table,
            members=members,
            rng=rng,
        ),
        guard=open_crash_guard(
            endpoint=endpoint,
            clock=clock,
            members=members,
            refuses_connections=_accepts_connections,
            rng=rng,
        ),
    )

"""Builders of test data for the edge."""

import random
from typing import Any

import attrs

from bronzewall.edge.components import (
    EdgeComponents,
    EdgePorts,
    build_components,
)
from bronzewall.edge.model import (
    EdgeAccount,
    EdgeConfiguration,
    EdgeInstance,
    EdgeRoute,
    TrafficShare,
    VmEntry,
)
from bronzewall.edge.ports import HeaderNames
from bronzewall.edge.settings import EdgeSettings
from bronzewall.metrics import Metrics
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import CallerRequest
from bronzewall.standins.memory_fleet import MemoryAnswer
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.memory_store import (
    MemoryFleetStore,
    MemoryInstances,
    SharedStore,
)
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
    VmId,
)

_FOREVER_S = 1e6
KEY = 'key-1'
HOST = 'drafts.example'
PATH = '/drafts/7'
NAMES = HeaderNames(
    attempt_id='T-Attempt',
    deadline_ms='T-Deadline',
    answer_signature='T-Seal',
    account='T-Account',
    target_instance='T-Target',
    not_run='T-Not-Run',
    instance_id='T-Instance',
    request_limit='T-Limit',
    leaving='T-Leaving',
)


def a_place(zone: str = 'muscat-a') -> Placement:
    """Return a placement; the region is the zone's name before the dash."""
    return Placement(region=zone.partition('-')[0], zone=zone)


def a_vm(name: str = 'vm-1', zone: str = 'muscat-a', **changes: Any) -> VmEntry:
    """Return an entry of a VM."""
    fields: dict[str, Any] = {
        'vm_id': VmId(name),
        'placement': a_place(zone),
        'address': '127.0.0.1:7100',
        'started_ms': 1,
    }
    return VmEntry(**{**fields, **changes})


def an_edge_instance(
    name: str = 'i-1', zone: str = 'muscat-a', **changes: Any
) -> EdgeInstance:
    """Return an instance of ``drafts`` with four slots."""
    fields: dict[str, Any] = {
        'instance_id': InstanceId(name),
        'service': ServiceName('drafts'),
        'address': f'10.0.0.1:{1000 + sum(map(ord, name))}',
        'placement': a_place(zone),
        'slots': 4,
    }
    return EdgeInstance(**{**fields, **changes})


def an_edge_route(**changes: Any) -> EdgeRoute:
    """Return an idempotent route of ``drafts`` with two attempts."""
    fields: dict[str, Any] = {
        'route_id': RouteId('r-1'),
        'host': HOST,
        'prefix': '/drafts/',
        'traffic_split': (
            TrafficShare(service=ServiceName('drafts'), weight=1),
        ),
        'idempotent': True,
        'timeout': 3.0,
        'target_latency': 1.0,
        'max_instances': 2,
    }
    return EdgeRoute(**{**fields, **changes})


def an_edge_account(**changes: Any) -> EdgeAccount:
    """Return an account with the key ``KEY`` and no limit."""
    fields: dict[str, Any] = {
        'account_id': AccountId('gulf-daily'),
        'keys': (KEY,),
    }
    return EdgeAccount(**{**fields, **changes})


def an_edge_configuration(
    version: int = 1, **changes: Any
) -> EdgeConfiguration:
    """Return a configuration with one route and one account."""
    fields: dict[str, Any] = {
        'version': version,
        'routes': (an_edge_route(),),
        'accounts': (an_edge_account(),),
        'needs_keys': True,
    }
    return EdgeConfiguration(**{**fields, **changes})


def a_caller_request(**changes: Any) -> CallerRequest:
    """Return a caller's request with a key and an attempt id."""

    async def read_body() -> bytes:
        return b''

    fields: dict[str, Any] = {
        'method': 'GET',
        'target': PATH,
        'path': PATH,
        'headers': (
            ('Host', HOST),
            ('T-Attempt', 'a-1'),
            ('T-Deadline', '2000'),
            ('Authorization', f'Bearer {KEY}'),
        ),
        'read_body': read_body,
    }
    return CallerRequest(**{**fields, **changes})


@attrs.frozen(kw_only=True, eq=False)
class EdgeVm(EdgeComponents):
    """The components of one VM connected to in-memory ports."""

    clock: VirtualClock
    store: MemoryFleetStore
    instances: MemoryInstances

    async def ask(self, request: CallerRequest | None = None) -> MemoryAnswer:
        """Send one request and return the answer."""
        writer = MemoryAnswer()
        await self.path.handle(request or a_caller_request(), writer)
        return writer

    def tick(self) -> None:
        """Run the steps that the daemon runs at each tick."""
        self.state.admission.own.zone_vm_count = self.fleet.listed_zone_vms()
        is_acting = self.election.decide(now=self.clock.now())
        self.reader.update_role(is_acting)
        self.limit_sharing.send_updates()
        self.evacuation_sharing.send_updates()
        self.member.report()
        if is_acting:
            self.transfers.request_missing_tokens()
            self.leader.send_statuses()

    def serve_alone(
        self, *instances: EdgeInstance, configuration: Any = None
    ) -> None:
        """Apply a configuration and instances without a store.

        The VM is the only one, and has run for long.
        """
        self.state.admission.own.zone_vm_count = 1
        self.state.admission.started_at = -_FOREVER_S
        self.directory.accept(
            configuration or an_edge_configuration(), raw=b'1', source='test'
        )
        # Nothing confirms the keys later, so they stay trusted for the whole
        # test.
        self.freshness.confirm(self.clock.now() + _FOREVER_S)
        self.catalog.accept(
            instances or (an_edge_instance(),),
            confirmed_at=self.clock.now(),
        )


def some_settings(
    entry: VmEntry, *, zones: int = 1, **changes: Any
) -> EdgeSettings:
    """Return the settings of a VM in a fleet of ``zones`` zones."""
    others = [f'other-{number}=other' for number in range(zones - 1)]
    return EdgeSettings(
        vm_id=entry.vm_id,
        region=entry.placement.region,
        zone=entry.placement.zone,
        zones=','.join(others),
        listen='127.0.0.1:1',
        ready_listen='127.0.0.1:2',
        peer_listen='127.0.0.1:3',
        admin_listen='127.0.0.1:4',
        store='127.0.0.1:5',
        retry_ratio=0.2,
        retry_slack=60,
        **changes,
    )


def an_edge_vm(
    entry: VmEntry | None = None,
    *,
    shared: SharedStore | None = None,
    network: MemoryNetwork | None = None,
    zones: int = 1,
    **changes: Any,
) -> EdgeVm:
    """Return a VM; an event loop with virtual time must be running.

    :param changes: settings that differ from the usual ones.
    """
    entry = entry or a_vm()
    clock = VirtualClock()
    network = network or MemoryNetwork(random=random.Random(1))
    link = MemoryLink(vm_id=entry.vm_id, network=network)
    store = MemoryFleetStore(clock=clock, shared=shared or SharedStore())
    instances = MemoryInstances()
    parts = build_components(
        entry,
        EdgePorts(
            clock=clock,
            random=random.Random(2),
            endpoint=PeerEndpoint(vm_id=entry.vm_id, incarnation=1, link=link),
            store=store,
            instances=instances,
            names=NAMES,
            metrics=Metrics(),
        ),
        some_settings(entry, zones=zones, **changes),
    )
    return EdgeVm(
        **attrs.asdict(parts, recurse=False),
        clock=clock,
        store=store,
        instances=instances,
    )

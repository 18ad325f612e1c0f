"""Wires the components of an edge VM over its ports."""

import random
from collections.abc import Callable, Iterable

import attrs

from bronzewall.edge.answer_room import AnswerRoom
from bronzewall.edge.attempt_outcomes import AttemptOutcomes
from bronzewall.edge.catalog import Catalog
from bronzewall.edge.cold_starts import ColdStarts
from bronzewall.edge.connection_shares import ConnectionShares
from bronzewall.edge.crash_evidence import CrashEvidence
from bronzewall.edge.directory import Directory
from bronzewall.edge.evacuation_sharing import EvacuationSharing
from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.freshness import KeyFreshness
from bronzewall.edge.gate import Gate
from bronzewall.edge.instance_choice import InstanceChooser
from bronzewall.edge.instance_limits import InstanceLimits
from bronzewall.edge.instance_paths import InstancePaths
from bronzewall.edge.knowledge_age import KnowledgeAge
from bronzewall.edge.leader_election import LeaderElection
from bronzewall.edge.limit_permits import LimitPermits
from bronzewall.edge.limit_sharing import LimitSharing
from bronzewall.edge.member import Member
from bronzewall.edge.model import EdgeInstance, VmEntry
from bronzewall.edge.own_quota import OwnQuota
from bronzewall.edge.ports import FleetStore, HeaderNames, InstanceHttp
from bronzewall.edge.rate_limits import Admission
from bronzewall.edge.refresh import Refresher
from bronzewall.edge.registrations import Registrations
from bronzewall.edge.relay import Relay
from bronzewall.edge.relay_messages import RelayRequest
from bronzewall.edge.relay_peers import RelayPeers
from bronzewall.edge.relay_tickets import RelayTickets
from bronzewall.edge.remaining_work import RemainingWork
from bronzewall.edge.request_path import EdgeRequestHandler
from bronzewall.edge.retry_budget import RetryBudget
from bronzewall.edge.route_explanation import RouteExplainer
from bronzewall.edge.scheduling.scheduler import Scheduler
from bronzewall.edge.scheduling.use_floor import UseFloor
from bronzewall.edge.selection import Selector
from bronzewall.edge.sending import Sender
from bronzewall.edge.settings import EdgeSettings
from bronzewall.edge.store_reader import WATCH_FRACTION, StoreReader
from bronzewall.edge.token_transfers import TokenTransfers
from bronzewall.edge.token_waits import TokenWaits
from bronzewall.edge.traffic_splits import TrafficSplits
from bronzewall.edge.watch_schedule import WatchSchedule
from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.edge.zone_pools import ZonePools
from bronzewall.edge.zone_state import ZoneState
from bronzewall.metrics import Metrics
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock


@attrs.frozen(kw_only=True)
class EdgePorts:
    """Ports through which the components reach the outside."""

    clock: Clock
    random: random.Random
    endpoint: PeerEndpoint
    store: FleetStore
    instances: InstanceHttp
    names: HeaderNames
    metrics: Metrics


@attrs.frozen(kw_only=True, eq=False)
class EdgeComponents:
    """Components of one VM, independent of its adapters."""

    fleet: FleetView
    election: LeaderElection
    directory: Directory
    catalog: Catalog
    freshness: KeyFreshness
    state: ZoneState
    cold_starts: ColdStarts
    limits: InstanceLimits
    limit_sharing: LimitSharing
    evacuation_sharing: EvacuationSharing
    leader: ZoneLeader
    member: Member
    reader: StoreReader
    refresher: Refresher
    transfers: TokenTransfers
    selector: Selector
    gate: Gate
    instance_paths: InstancePaths
    scheduler: Scheduler
    sender: Sender
    path: EdgeRequestHandler
    explainer: RouteExplainer


def build_components(
    own: VmEntry, ports: EdgePorts, settings: EdgeSettings
) -> EdgeComponents:
    """Build the components of one VM and register their message handlers.

    :param own: entry of this VM in the fleet.
    """
    clock = ports.clock
    fleet = FleetView(own=own)
    directory = Directory()
    freshness = KeyFreshness(clock=clock, bound=settings.revoke_bound)
    zone_count = len(settings.region_by_zone())
    state = ZoneState(
        admission=Admission(
            own=OwnQuota(zone_count=zone_count), started_at=clock.now()
        )
    )
    catalog = Catalog(clock=clock, interval=settings.discovery_interval)
    age = KnowledgeAge(
        clock=clock,
        catalog=catalog,
        freshness=freshness,
        list_bound=min(settings.drain_bound, settings.config_bound),
    )
    election = LeaderElection(fleet=fleet, age=age, started_at=clock.now())
    cold_starts = ColdStarts(
        clock=clock,
        catalog=catalog,
        directory=directory,
        events=ports.metrics.events,
    )
    catalog.on_listed = cold_starts.record_list
    state.evacuations.on_evacuated = _evacuation_counter(ports.metrics)
    state.evacuations.on_returned = cold_starts.record_return
    limits = InstanceLimits(cold_starts=cold_starts)
    work = RemainingWork()

    def uses_costs() -> bool:
        return settings.cost_aware

    connections = ConnectionShares(
        fleet=fleet, directory=directory, catalog=catalog, state=state
    )
    state.end_listeners.append(connections.record_end)
    selector = Selector(
        own_id=own.vm_id,
        own_placement=own.placement,
        catalog=catalog,
        state=state,
        work=work,
        uses_costs=uses_costs,
        limits=limits,
        has_room=connections.has_room,
    )

    def on_removed(removed: Iterable[EdgeInstance]) -> None:
        removed = tuple(removed)
        limits.forget(removed)
        cold_starts.forget(removed)
        selector.forget(removed)
        ports.instances.close_idle([item.address for item in removed])

    catalog.on_removed = on_removed
    leader = ZoneLeader(
        clock=clock,
        endpoint=ports.endpoint,
        fleet=fleet,
        directory=directory,
        catalog=catalog,
        freshness=freshness,
        age=age,
        state=state,
        pools=ZonePools(
            zone_count=zone_count,
            slack=settings.rate_slack,
            started_at=clock.now(),
        ),
        is_leader=lambda: election.is_leader,
        find_leader=lambda: election.current_leader(now=clock.now()),
    )
    member = Member(
        clock=clock,
        endpoint=ports.endpoint,
        fleet=fleet,
        election=election,
        leader=leader,
        directory=directory,
        catalog=catalog,
        freshness=freshness,
        state=state,
        store=ports.store,
    )
    reader = StoreReader(
        clock=clock,
        store=ports.store,
        fleet=fleet,
        election=election,
        leader=leader,
        directory=directory,
        catalog=catalog,
        freshness=freshness,
        registrations=Registrations(
            clock=clock, fleet=fleet, store=ports.store
        ),
        first_start=settings.first_start,
        schedule=WatchSchedule(period=age.list_bound * WATCH_FRACTION),
        events=ports.metrics.events,
    )
    transfers = TokenTransfers(leader=leader)
    refresher = Refresher(
        clock=clock,
        random=ports.random,
        endpoint=ports.endpoint,
        fleet=fleet,
        directory=directory,
        catalog=catalog,
        freshness=freshness,
        evacuations=state.evacuations,
        age=age,
        store=ports.store,
        find_ahead=leader.vm_ahead,
    )
    instance_paths = InstancePaths(
        clock=clock,
        random=ports.random,
        catalog=catalog,
        instances=ports.instances,
        metrics=ports.metrics,
    )
    limit_sharing = LimitSharing(limits=limits, leader=leader)
    evacuation_sharing = EvacuationSharing(
        evacuations=state.evacuations, leader=leader
    )
    permits = LimitPermits(
        limits=limits,
        leader=leader,
        find_instance=lambda name: catalog.instances_by_id.get(name),
    )
    components = (
        leader,
        member,
        transfers,
        refresher,
        limit_sharing,
        evacuation_sharing,
        permits,
    )
    for component in components:
        component.serve()
    gate = Gate(
        clock=clock,
        splits=TrafficSplits(random=ports.random),
        directory=directory,
        freshness=freshness,
        state=state,
        waits=TokenWaits(
            clock=clock,
            admission=state.admission,
            on_short=state.request_update,
            events=ports.metrics.events,
        ),
        deadline_header=ports.names.deadline_ms,
    )
    tickets = RelayTickets(
        clock=clock,
        random=ports.random,
        directory=directory,
        paths=instance_paths,
        address=settings.entry_address(),
        is_leaving=lambda: member.is_leaving,
    )
    ports.endpoint.serve(RelayRequest, tickets.handle_request)
    budget = RetryBudget(ratio=settings.retry_ratio, slack=settings.retry_slack)
    scheduler = Scheduler(
        clock=clock,
        selector=selector,
        state=state,
        budget=budget,
        metrics=ports.metrics,
        is_enabled=lambda: settings.scheduling.is_on(
            has_bulk_routes=directory.has_bulk_routes
        ),
        usual_rate=lambda: directory.usual_rate,
    )
    scheduler.connect()
    use_floor = UseFloor(
        is_at_risk=scheduler.is_failing,
        zone_vm_count=lambda: len(fleet.zone_vms()),
        metrics=ports.metrics,
    )
    use_floor.connect(selector)
    sender = Sender(
        clock=clock,
        names=ports.names,
        gate=gate,
        catalog=catalog,
        state=state,
        selector=selector,
        instances=ports.instances,
        budget=budget,
        metrics=ports.metrics,
        paths=instance_paths,
        relay=Relay(
            clock=clock,
            names=ports.names,
            peers=RelayPeers(
                clock=clock,
                random=ports.random,
                endpoint=ports.endpoint,
                fleet=fleet,
                directory=directory,
            ),
            instances=ports.instances,
            metrics=ports.metrics,
        ),
        chooser=InstanceChooser(
            clock=clock,
            selector=selector,
            permits=permits,
            metrics=ports.metrics,
            scheduler=scheduler,
            connections=connections,
        ),
        limits=limit_sharing,
        outcomes=AttemptOutcomes(
            clock=clock,
            catalog=catalog,
            state=state,
            selector=selector,
            metrics=ports.metrics,
            paths=instance_paths,
            limits=limit_sharing,
            scheduler=scheduler,
            crashes=CrashEvidence(
                clock=clock,
                instances=ports.instances,
                state=state,
                metrics=ports.metrics,
            ),
            work=work,
            uses_costs=uses_costs,
        ),
        scheduler=scheduler,
    )
    path = EdgeRequestHandler(
        clock=clock,
        random=ports.random,
        names=ports.names,
        gate=gate,
        sender=sender,
        tickets=tickets,
        metrics=ports.metrics,
        room=AnswerRoom(
            clock=clock,
            metrics=ports.metrics,
            limit=settings.held_answer_bytes,
        ),
    )
    return EdgeComponents(
        fleet=fleet,
        election=election,
        directory=directory,
        catalog=catalog,
        freshness=freshness,
        state=state,
        cold_starts=cold_starts,
        limits=limits,
        limit_sharing=limit_sharing,
        evacuation_sharing=evacuation_sharing,
        leader=leader,
        member=member,
        reader=reader,
        refresher=refresher,
        transfers=transfers,
        selector=selector,
        gate=gate,
        instance_paths=instance_paths,
        scheduler=scheduler,
        sender=sender,
        path=path,
        explainer=RouteExplainer(
            clock=clock,
            gate=gate,
            chooser=sender.chooser,
            outcomes=sender.outcomes,
            metrics=ports.metrics,
        ),
    )


def _evacuation_counter(metrics: Metrics) -> Callable[[str], None]:
    """Return a function that counts the evacuated zones."""

    def count(_zone: str) -> None:
        metrics.events['zones_evacuated'] += 1

    return count

"""Builds the daemon of one VM from its components."""

import random
import time

from bronzewall.adapters.platform_http import (
    PlatformClient,
    PlatformVmList,
    open_platform_session,
)
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.adapters.tcp_probe import refuses_connections
from bronzewall.adapters.upstream_http import AiohttpUpstreams, open_session
from bronzewall.adapters.websocket_link import WebSocketLink
from bronzewall.collector import configure_collector
from bronzewall.control_plane import ControlPlane
from bronzewall.crash_setup import build_crash_guard
from bronzewall.daemon import Daemon
from bronzewall.detection_setup import build_detection
from bronzewall.dispatch import Dispatcher
from bronzewall.journal import Journal
from bronzewall.load_reports import LoadExchange
from bronzewall.membership import Members
from bronzewall.metrics import Metrics
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.proxy import RequestPath
from bronzewall.quota import QuotaParts, build_quota
from bronzewall.run_setup import build_run_gate, once_sweep
from bronzewall.settings import Origin, Settings
from bronzewall.types import Placement, VmId


def build_daemon(settings: Settings, origins: tuple[Origin, ...]) -> Daemon:
    """Return the daemon; an event loop must be running."""
    metrics, journal = Metrics(), Journal()
    store_session = open_platform_session(metrics.events)
    upstream_session = open_session(metrics.events)
    clock = SystemClock()
    store = PlatformClient(base_url=settings.platform, session=store_session)
    vm_id = VmId(settings.vm_id)
    link = WebSocketLink(listen=settings.peer_listen)
    rng = random.SystemRandom()
    placement = Placement(region=settings.region, zone=settings.zone)
    members = Members(own_id=vm_id, own_placement=placement)
    endpoint = PeerEndpoint(vm_id=vm_id, incarnation=time.time_ns(), link=link)
    control = ControlPlane(
        clock=clock,
        random=rng,
        members=members,
        endpoint=endpoint,
        table=store,
        objects=store,
        vm_list=PlatformVmList(client=store),
    )
    quota = build_quota(
        QuotaParts(
            clock=clock,
            endpoint=endpoint,
            members=members,
            table=store,
            accounts=control.feed.accounts,
        )
    )
    crash_guard = build_crash_guard(
        endpoint=endpoint,
        clock=clock,
        members=members,
        refuses_connections=refuses_connections,
        rng=rng,
    )
    detection = build_detection(
        clock=clock,
        feed=control.feed,
        members=members,
        endpoint=endpoint,
        crash_guard=crash_guard,
    )
    dispatcher = Dispatcher(
        random=rng,
        clock=clock,
        placement=placement,
        weight_of=detection.ejections.weight_of,
    )
    detection.ejections.capacity_of = dispatcher.usable_fraction
    dispatcher.on_less_capacity = detection.ejections.restore_floor
    run_gate = build_run_gate(
        endpoint=endpoint, clock=clock, table=store, members=members, rng=rng
    )
    path = RequestPath(
        vm_id=vm_id,
        clock=clock,
        random=rng,
        feed=control.feed,
        quota=quota,
        dispatcher=dispatcher,
        upstreams=AiohttpUpstreams(session=upstream_session),
        crash_guard=crash_guard,
        evidence=detection.evidence,
        run_gate=run_gate,
        metrics=metrics,
        journal=journal,
        may_serve_keyed=control.may_serve_keyed,
    )
    return Daemon(
        settings=settings,
        origins=origins,
        clock=clock,
        members=members,
        endpoint=endpoint,
        link=link,
        control=control,
        path=path,
        quota=quota,
        loads=LoadExchange(
            vm_id=vm_id,
            placement=placement,
            clock=clock,
            dispatcher=dispatcher,
            find_service=control.feed.service_of,
            members=members,
            endpoint=endpoint,
        ),
        ejections=detection.ejections,
        suspicions=detection.suspicions,
        once_sweep=once_sweep(gate=run_gate, members=members),
        metrics=metrics,
        journal=journal,
        sessions=(store_session, upstream_session),
    )


async def serve(settings: Settings, origins: tuple[Origin, ...]) -> None:
    """Run the daemon of one VM until its planned stop is complete."""
    configure_collector()
    await build_daemon(settings, origins).run()

"""Builds and runs an edge VM from its components and adapters."""

import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
import structlog

from bronzewall.adapters.caller_timeouts import CallerTimeouts
from bronzewall.adapters.entry_http import EntryServer
from bronzewall.adapters.instance_http import open_instance_client
from bronzewall.adapters.receive_limits import ReceiveLimits
from bronzewall.adapters.report_http import Page, readiness_page
from bronzewall.adapters.safe_reuse_connector import SafeReuseConnector
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.adapters.websocket_link import WebSocketLink
from bronzewall.build import build_id
from bronzewall.collector import configure_collector
from bronzewall.edge.components import EdgePorts, build_components
from bronzewall.edge.daemon import EdgeDaemon, route_page, status_page
from bronzewall.edge.model import CallerLimits, VmEntry
from bronzewall.edge.ports import FleetStore, HeaderNames
from bronzewall.edge.settings import EdgeSettings
from bronzewall.log_sink import LogSink
from bronzewall.logs import configure_logs
from bronzewall.metrics import Metrics
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.types import Placement, VmId

_MS_PER_S = 1000
_BACKLOG = 512
# Largest answer of the store and sum of those in progress, bytes. A page of
# rows holds 1 MB.
_STORE_ANSWER_BYTES = 4_194_304
_STORE_TOTAL_BYTES = 16_777_216


@attrs.frozen(kw_only=True)
class Platform:
    """What the adapter of a platform provides.

    :param ready_path: path of the load balancer's health check.
    :param open_store: builds the store client for a clock, the metrics and a
        session whose answers are bounded.
    :param reload: reads the settings again.
    """

    names: HeaderNames
    ready_path: str
    open_store: Callable[[Clock, Metrics, aiohttp.ClientSession], FleetStore]
    reload: Callable[[], EdgeSettings]


async def serve(settings: EdgeSettings, platform: Platform) -> None:
    """Run one VM until its planned stop is complete."""
    sink = LogSink()
    configure_logs(log_format='json', level=settings.log_level, sink=sink)
    sink.start()
    configure_collector()
    try:
        await build_daemon(settings, platform, sink).run()
    except Exception:
        structlog.get_logger().exception('daemon_failed')
        raise
    finally:
        sink.stop()


def _open_store_session(
    events: Counter[str] | None = None,
) -> aiohttp.ClientSession:
    limits = ReceiveLimits(
        answer_bytes=_STORE_ANSWER_BYTES, total_bytes=_STORE_TOTAL_BYTES
    )
    return aiohttp.ClientSession(
        connector=SafeReuseConnector(limits=limits, events=events)
    )


def build_daemon(
    settings: EdgeSettings, platform: Platform, sink: LogSink
) -> EdgeDaemon:
    """Return the daemon; an event loop must be running."""
    clock, metrics = SystemClock(), Metrics()
    vm_id = VmId(settings.vm_id)
    started_ms = int(clock.wall() * _MS_PER_S)
    link = WebSocketLink(listen=settings.peer_listen)
    client = open_instance_client(
        platform.names,
        ReceiveLimits(
            answer_bytes=settings.answer_bytes,
            total_bytes=settings.total_answer_bytes,
        ),
        events=metrics.events,
    )
    components = build_components(
        VmEntry(
            vm_id=vm_id,
            placement=Placement(region=settings.region, zone=settings.zone),
            address=settings.peer_address or settings.peer_listen,
            strength=settings.strength,
            started_ms=started_ms,
        ),
        EdgePorts(
            clock=clock,
            random=random.SystemRandom(),
            endpoint=PeerEndpoint(
                vm_id=vm_id, incarnation=time.time_ns(), link=link
            ),
            store=platform.open_store(
                clock, metrics, _open_store_session(metrics.events)
            ),
            instances=client,
            names=platform.names,
            metrics=metrics,
        ),
        settings,
    )
    limits = CallerLimits()
    entry = EntryServer(
        listen=settings.listen,
        handler=components.path.handle,
        on_bad_input=components.path.bad_input,
        max_body_bytes=limits.body_bytes,
        max_total_body_bytes=settings.total_body_bytes,
        max_line_bytes=limits.header_bytes * 2,
        is_parallel=True,
        timeouts=CallerTimeouts(
            header=limits.header_timeout, idle=limits.idle_timeout
        ),
        events=metrics.events,
    )
    pages: dict[str, Any] = {}
    ready_pages: dict[str, Any] = {}
    daemon = EdgeDaemon(
        settings=settings,
        reload=platform.reload,
        clock=clock,
        path=components.path,
        member=components.member,
        leader=components.leader,
        transfers=components.transfers,
        limit_sharing=components.limit_sharing,
        evacuation_sharing=components.evacuation_sharing,
        instance_paths=components.instance_paths,
        reader=components.reader,
        refresher=components.refresher,
        fleet=components.fleet,
        link=link,
        client=client,
        metrics=metrics,
        entry=entry,
        pages=pages,
        ready_pages=ready_pages,
        query_pages={'/explain-route': route_page(components.explainer)},
    )
    ready_pages[platform.ready_path] = readiness_page(daemon.is_ready)
    pages['/metrics'] = lambda: Page(body=metrics.exposition())
    pages['/status'] = status_page(
        lambda: {
            'settings': attrs.asdict(settings),
            'build': build_id(),
            'version': components.directory.version,
            'store_age_s': components.freshness.age(),
            'hub': components.election.current_leader(now=clock.now()),
            'is_hub': components.election.is_leader,
            'vms': sorted(components.fleet.entries_by_id),
            'instances': sorted(components.catalog.instances_by_id),
            'suspected': components.state.zone_estimates.significant(
                now=clock.now()
            ),
            'services_out_of_reach': components.instance_paths.lost_services(),
            'limits': components.limits.limits_by_id(),
            'evacuated': sorted(components.state.evacuations.zones),
            'in_flight': components.path.in_flight,
            'log_lines_left_out': dict(sink.dropped_by_reason),
        }
    )
    return daemon

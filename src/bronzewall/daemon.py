"""Composition and lifecycle of one VM's daemon."""

import asyncio
import random
import signal
import time
from typing import Any

import aiohttp
import attrs
import structlog

from bronzewall.adapters.admin_http import AdminServer
from bronzewall.adapters.entry_http import EntryServer
from bronzewall.adapters.platform_http import PlatformClient, PlatformVmList
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.adapters.upstream_http import AiohttpUpstreams, open_session
from bronzewall.adapters.websocket_link import WebSocketLink
from bronzewall.admin import AdminView
from bronzewall.config_feed import ConfigFeed
from bronzewall.dispatch import Dispatcher
from bronzewall.errors import StoreError
from bronzewall.journal import Journal
from bronzewall.load_reports import LoadExchange
from bronzewall.membership import Members
from bronzewall.metrics import Metrics
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock, VmList
from bronzewall.proxy import RequestPath
from bronzewall.quota import StaticSplitQuota
from bronzewall.settings import Origin, Settings
from bronzewall.types import Placement, RequestId, VmId

_LIST_INTERVAL_S = 2.0
_DRAIN_CHECK_S = 0.05
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Daemon:
    """All parts of one VM."""

    settings: Settings
    origins: tuple[Origin, ...]
    clock: Clock
    members: Members
    endpoint: PeerEndpoint
    link: WebSocketLink
    vm_list: VmList
    feed: ConfigFeed
    path: RequestPath
    loads: LoadExchange
    metrics: Metrics
    journal: Journal
    sessions: tuple[aiohttp.ClientSession, ...]
    is_stopping: bool = False
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        stop_asked = asyncio.Event()
        stop_forced = asyncio.Event()
        _handle_signals(stop_asked, stop_forced)
        entry = EntryServer(
            listen=self.settings.listen,
            handler=self.path.handle,
            max_body_bytes=self.settings.max_body_bytes,
        )
        admin = AdminServer(
            listen=self.settings.admin_listen, view=self.admin_view()
        )
        await self.link.start()
        self._tasks = [
            asyncio.create_task(self.feed.run()),
            asyncio.create_task(self._follow_vm_list()),
            asyncio.create_task(self.loads.run()),
        ]
        await admin.start()
        await entry.start()
        _LOG.info('started', vm=self.settings.vm_id, zone=self.settings.zone)
        await stop_asked.wait()
        await self._drain(stop_forced)
        await entry.stop()
        await admin.stop()
        await self._close()
        _LOG.info('stopped', vm=self.settings.vm_id)

    def admin_view(self) -> AdminView:
        """Return the reports of this VM."""
        return AdminView(
            is_ready=lambda: not self.is_stopping and self.feed.generation > 0,
            status=self._status,
            debug=self._debug,
            explain=self._explain,
            metrics=self.metrics.exposition,
        )

    async def _drain(self, stop_forced: asyncio.Event) -> None:
        """Wait for the balancer to notice and for requests to end."""
        self.is_stopping = True
        _LOG.info('stopping', in_flight=len(self.path.in_flight_by_request))
        limit = self.clock.now() + self.settings.stop_limit_s
        notice = self.clock.now() + self.settings.notice_s
        while not stop_forced.is_set() and self.clock.now() < limit:
            is_noticed = self.clock.now() >= notice
            if is_noticed and not self.path.in_flight_by_request:
                return
            await self.clock.sleep(_DRAIN_CHECK_S)
        for request_id, route in self.path.in_flight_by_request.items():
            _LOG.warning(
                'request_cut', request_id=request_id, route=route.route_id
            )

    async def _follow_vm_list(self) -> None:
        while True:
            try:
                records = await self.vm_list.read()
            except StoreError as exc:
                _LOG.warning('vm_list_unavailable', error=str(exc))
            else:
                self.members.update(tuple(records))
                self.link.set_addresses(
                    {
                        record.vm_id: record.peer_address
                        for record in records
                        if record.vm_id != self.members.own_id
                    }
                )
            await self.clock.sleep(_LIST_INTERVAL_S)

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.endpoint.close()
        await self.link.stop()
        for session in self.sessions:
            await session.close()

    def _status(self) -> dict[str, Any]:
        return {
            'vm': self.settings.vm_id,
            'zone': self.settings.zone,
            'generation': self.feed.generation,
            'stopping': self.is_stopping,
            'in_flight': len(self.path.in_flight_by_request),
            'refusals': dict(self.metrics.refusals),
            'retries': dict(self.metrics.retries),
        }

    def _debug(self) -> dict[str, Any]:
        sources = {origin.name: origin.source for origin in self.origins}
        return {
            'settings': {
                name: {'value': setting, 'source': sources[name]}
                for name, setting in attrs.asdict(self.settings).items()
            },
            'members': sorted(self.members.records_by_id),
            'suspected': sorted(self.members.suspected_ids),
            'peer_counters': dict(self.endpoint.counters),
            'link_counters': dict(self.link.counters),
            'services': self.loads.debug(),
        }

    def _explain(self, request_id: RequestId) -> list[dict[str, Any]]:
        return [attrs.asdict(step) for step in self.journal.find(request_id)]


async def serve(settings: Settings, origins: tuple[Origin, ...]) -> None:
    """Run the daemon of one VM until its planned stop is complete."""
    store_session = aiohttp.ClientSession()
    upstream_session = open_session()
    clock = SystemClock()
    store = PlatformClient(base_url=settings.platform, session=store_session)
    vm_id = VmId(settings.vm_id)
    link = WebSocketLink(listen=settings.peer_listen)
    rng = random.SystemRandom()
    metrics, journal = Metrics(), Journal()
    feed = ConfigFeed(clock=clock, table=store, objects=store)
    placement = Placement(region=settings.region, zone=settings.zone)
    members = Members(own_id=vm_id, own_placement=placement)
    endpoint = PeerEndpoint(vm_id=vm_id, incarnation=time.time_ns(), link=link)
    dispatcher = Dispatcher(random=rng, clock=clock, placement=placement)
    daemon = Daemon(
        settings=settings,
        origins=origins,
        clock=clock,
        members=members,
        endpoint=endpoint,
        link=link,
        vm_list=PlatformVmList(client=store),
        feed=feed,
        path=RequestPath(
            vm_id=vm_id,
            clock=clock,
            random=rng,
            feed=feed,
            quota=StaticSplitQuota(clock=clock, share=1.0),
            dispatcher=dispatcher,
            upstreams=AiohttpUpstreams(session=upstream_session),
            metrics=metrics,
            journal=journal,
            may_serve_keyed=lambda: True,
        ),
        loads=LoadExchange(
            vm_id=vm_id,
            placement=placement,
            clock=clock,
            dispatcher=dispatcher,
            find_service=feed.find_service,
            members=members,
            endpoint=endpoint,
        ),
        metrics=metrics,
        journal=journal,
        sessions=(store_session, upstream_session),
    )
    await daemon.run()


def _handle_signals(
    stop_asked: asyncio.Event, stop_forced: asyncio.Event
) -> None:
    def on_signal() -> None:
        if stop_asked.is_set():
            stop_forced.set()
        stop_asked.set()

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, on_signal)
    loop.add_signal_handler(signal.SIGINT, on_signal)

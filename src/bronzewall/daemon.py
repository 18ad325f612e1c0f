"""Lifecycle of one VM's daemon: start, planned stop, reports."""

import asyncio
import math
import signal
from typing import Any

import aiohttp
import attrs
import structlog

from bronzewall.adapters.admin_http import AdminServer
from bronzewall.adapters.entry_http import EntryServer
from bronzewall.adapters.websocket_link import WebSocketLink
from bronzewall.admin import AdminView
from bronzewall.connection_drain import ConnectionDrain
from bronzewall.control_plane import ControlPlane
from bronzewall.ejection import Ejections
from bronzewall.instance_suspicions import Suspicions
from bronzewall.journal import Journal
from bronzewall.load_reports import LoadExchange
from bronzewall.membership import Members
from bronzewall.metrics import Metrics
from bronzewall.once_cleanup import OnceSweep
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.proxy import RequestPath
from bronzewall.quota import PooledQuota, quota_status
from bronzewall.settings import Origin, Settings
from bronzewall.types import RequestId, VmState

# Time for which answers may still end after a stop has waited, seconds.
_LAST_ANSWERS_S = 0.5
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Daemon:
    """All components of one VM."""

    settings: Settings
    origins: tuple[Origin, ...]
    clock: Clock
    members: Members
    endpoint: PeerEndpoint
    link: WebSocketLink
    control: ControlPlane
    path: RequestPath
    quota: PooledQuota
    loads: LoadExchange
    once_sweep: OnceSweep
    metrics: Metrics
    journal: Journal
    sessions: tuple[aiohttp.ClientSession, ...]
    ejections: Ejections
    suspicions: Suspicions
    is_stopping: bool = False
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        stop_requested = asyncio.Event()
        stop_forced = asyncio.Event()
        _handle_signals(stop_requested, stop_forced)
        entry = EntryServer(
            listen=self.settings.listen,
            handler=self.path.handle,
            on_bad_input=self.path.bad_input,
            max_body_bytes=self.settings.max_body_bytes,
        )
        admin = AdminServer(
            listen=self.settings.admin_listen, view=self.admin_view()
        )
        await self._start_background()
        await admin.start()
        await entry.start()
        _LOG.info('started', vm=self.settings.vm_id, zone=self.settings.zone)
        await stop_requested.wait()
        entry.drain()
        await self._drain(entry, stop_forced)
        await entry.stop(timeout=_LAST_ANSWERS_S)
        await admin.stop()
        await self._stop_background()
        _LOG.info('stopped', vm=self.settings.vm_id)

    def admin_view(self) -> AdminView:
        """Return the reports of this VM."""
        return AdminView(
            is_ready=self._is_ready,
            status=self._status,
            debug=self._debug,
            explain=self._explain,
            metrics=self.metrics.exposition,
            answer=self.control.answer,
        )

    async def _start_background(self) -> None:
        await self.link.start()
        self.members.on_change(self._update_peer_addresses)
        self.control.start()
        self._tasks = [
            asyncio.create_task(self.path.crash_guard.fetch_history()),
            asyncio.create_task(self.once_sweep.run()),
            asyncio.create_task(self.quota.run()),
            asyncio.create_task(self.loads.run()),
            asyncio.create_task(self.suspicions.run()),
        ]

    async def _stop_background(self) -> None:
        """Return loans, hand over quota slots and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.quota.stop()
        await self.control.stop()
        await self.endpoint.close()
        await self.link.stop()
        for session in self.sessions:
            await session.close()

    async def _drain(
        self, entry: EntryServer, stop_forced: asyncio.Event
    ) -> None:
        """Wait until the load balancer has noticed and all requests ended.

        Stops waiting at the time limit or after a second signal, and logs
        the requests that are cut off.
        """
        self.is_stopping = True
        self.control.heartbeats.announce_stop()
        _LOG.info('stopping', in_flight=len(self.path.in_flight_by_request))
        drain = ConnectionDrain(
            clock=self.clock,
            entry=entry,
            count_requests=lambda: len(self.path.in_flight_by_request),
            notice=self.settings.notice_s,
            limit=self.settings.stop_limit_s,
            is_forced=stop_forced.is_set,
        )
        if await drain.run():
            return
        for request_id, route in self.path.in_flight_by_request.items():
            _LOG.warning(
                'request_cut', request_id=request_id, route=route.route_id
            )

    def _update_peer_addresses(self) -> None:
        self.link.set_addresses(
            {
                record.vm_id: record.peer_address
                for record in self.members.records_by_id.values()
                if record.vm_id != self.members.own_id
                and record.state is not VmState.DESTROYED
            }
        )

    def _is_ready(self) -> bool:
        return not self.is_stopping and self.control.feed.generation > 0

    def _status(self) -> dict[str, Any]:
        return {
            'vm': self.settings.vm_id,
            'zone': self.settings.zone,
            'generation': self.control.feed.generation,
            'serves_keyed': self.control.may_serve_keyed(),
            'store_age_s': self._store_age(),
            'stopping': self.is_stopping,
            'in_flight': len(self.path.in_flight_by_request),
            'refusals': dict(self.metrics.refusals),
            'retries': dict(self.metrics.retries),
            'ejections': self.ejections.report(),
            'rights': quota_status(self.quota),
        }

    def _store_age(self) -> float | None:
        """Return seconds since the newest confirmation of the store."""
        age = self.control.freshness.age()
        return round(age, 3) if math.isfinite(age) else None

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


def _handle_signals(
    stop_requested: asyncio.Event, stop_forced: asyncio.Event
) -> None:
    def on_signal() -> None:
        if stop_requested.is_set():
            stop_forced.set()
        stop_requested.set()

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, on_signal)
    loop.add_signal_handler(signal.SIGINT, on_signal)

"""Lifecycle of an edge VM: start, reload, planned stop."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs
import structlog

from bronzewall.adapters.caller_timeouts import CallerTimeouts
from bronzewall.adapters.entry_http import EntryServer
from bronzewall.adapters.instance_http import InstanceClient
from bronzewall.adapters.report_http import (
    Page,
    PageBuilder,
    QueryPageBuilder,
    ReportServer,
)
from bronzewall.adapters.websocket_link import WebSocketLink
from bronzewall.build import build_id
from bronzewall.connection_drain import ConnectionDrain
from bronzewall.edge.evacuation_sharing import EvacuationSharing
from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.instance_paths import InstancePaths
from bronzewall.edge.limit_sharing import LimitSharing
from bronzewall.edge.member import Member
from bronzewall.edge.refresh import Refresher
from bronzewall.edge.request_path import EdgeRequestHandler
from bronzewall.edge.route_explanation import (
    RouteExplainer,
    explanation_page,
)
from bronzewall.edge.settings import EdgeSettings
from bronzewall.edge.store_reader import StoreReader
from bronzewall.edge.token_transfers import TokenTransfers
from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.errors import SettingsError
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock

# Time between two checks for changes to send to the zone, seconds.
_TICK_S = 0.05
# Longest time between two member reports and between two statuses, seconds.
_REPORT_INTERVAL_S = 0.4
_STATUS_INTERVAL_S = 0.25
# Least time between statuses if only in-flight counts changed, seconds.
_LOAD_STATUS_DELAY_S = 0.1
# Least time between statuses for each VM of the zone on a core of full speed,
# seconds; sending a status takes about a tenth of it.
_STATUS_DELAY_PER_VM_S = 0.003
# Changes for other zones are collected for this long, seconds, because
# traffic between zones and regions is billed.
_SUMMARY_INTERVAL_S = 1.0
# Time between two log lines of the counters, seconds.
_COUNTERS_INTERVAL_S = 10.0
# The load balancer checks once a second and removes a VM after two failed
# checks; this time covers both.
_BALANCER_NOTICE_S = 2.6
# Fraction of the stop limit after which a stop waits for nothing more.
_STOP_FRACTION = 0.95
# Fraction of the stop limit for which answers may still end after that.
_LAST_ANSWERS_FRACTION = 0.03
# Requests that are logged when a planned stop cuts them off.
_MAX_LOGGED_REQUESTS = 20
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class EdgeDaemon:
    """All components of one VM and their background tasks.

    :param reload: reads the settings again.
    :param pages: pages for operators and metrics, by path.
    :param query_pages: those that depend on the query.
    :param ready_pages: pages for the load balancer's health check, by path.
    """

    settings: EdgeSettings
    reload: Callable[[], EdgeSettings]
    clock: Clock
    path: EdgeRequestHandler
    member: Member
    leader: ZoneLeader
    transfers: TokenTransfers
    limit_sharing: LimitSharing
    evacuation_sharing: EvacuationSharing
    instance_paths: InstancePaths
    reader: StoreReader
    refresher: Refresher
    fleet: FleetView
    link: WebSocketLink
    client: InstanceClient
    metrics: Metrics
    entry: EntryServer
    pages: Mapping[str, PageBuilder]
    ready_pages: Mapping[str, PageBuilder]
    query_pages: Mapping[str, QueryPageBuilder]
    is_stopping: bool = False
    _tasks: list['asyncio.Task[None]'] = attrs.field(factory=list)
    _members_revision: int = -1

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return not self.is_stopping and self.path.gate.directory.version >= 0

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        reports = [
            ReportServer(
                listen=self.settings.ready_listen,
                pages_by_path=self.ready_pages,
            ),
            ReportServer(
                listen=self.settings.admin_listen,
                pages_by_path=self.pages,
                query_pages_by_path=self.query_pages,
            ),
        ]
        await self.link.start()
        await self.entry.start()
        for server in reports:
            await server.start()
        _LOG.info(
            'started',
            vm=self.settings.vm_id,
            zone=self.settings.zone,
            build=build_id(),
        )
        await self._start_background()
        await stop_requested.wait()
        await self._drain()
        open_connections = len(self.entry.connections())
        await self.entry.stop(
            timeout=self.settings.stop_limit * _LAST_ANSWERS_FRACTION
        )
        for server in reports:
            await server.stop()
        await self._stop_background()
        _LOG.info(
            'stopped',
            vm=self.settings.vm_id,
            open_connections=open_connections,
        )

    async def _start_background(self) -> None:
        loops: list[Awaitable[None]] = [
            self.reader.join(),
            self.refresher.run(),
            self._exchange(),
            self._send_zone_summaries(),
            self._log_counters(),
            *self.reader.loops(),
        ]
        self._tasks = [
            asyncio.ensure_future(_log_failure(one)) for one in loops
        ]

    async def _stop_background(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.instance_paths.stop()
        await self.link.stop()
        await self.client.session.close()
        await self.reader.store.close()

    async def _exchange(self) -> None:
        """Send member reports and zone statuses."""
        reported_at = self.clock.now()
        statuses_sent_at = reported_at
        while True:
            await self.clock.sleep(_TICK_S)
            now = self.clock.now()
            self._apply_members()
            limits = self.path.gate.directory.limits
            self.entry.max_body_bytes = limits.body_bytes
            self.entry.apply_timeouts(
                CallerTimeouts(
                    header=limits.header_timeout, idle=limits.idle_timeout
                )
            )
            self.reader.update_role(self.member.election.decide(now=now))
            self.limit_sharing.send_updates()
            self.evacuation_sharing.send_updates()
            state = self.member.state
            if state.has_updates or now - reported_at >= _REPORT_INTERVAL_S:
                reported_at = now
                self.leader.has_updates |= state.has_updates
                self.leader.has_urgent_updates |= state.has_urgent_updates
                self.member.report()
            if (
                self.member.election.is_leader
                and now - statuses_sent_at >= self._status_delay()
            ):
                statuses_sent_at = now
                self.transfers.request_missing_tokens()
                self.leader.send_statuses()

    def _status_delay(self) -> float:
        """Return the least time since the last statuses.

        It grows with the zone, so that a weak leader of many VMs still has
        time for its callers and for the store.
        """
        if not self.leader.has_updates:
            return _STATUS_INTERVAL_S
        delay = len(self.fleet.zone_vms()) * (
            _STATUS_DELAY_PER_VM_S / self.fleet.own.strength
        )
        if not self.leader.has_urgent_updates:
            delay = max(_LOAD_STATUS_DELAY_S, delay * 2)
        return min(_STATUS_INTERVAL_S, delay)

    def _apply_members(self) -> None:
        """Update peer addresses and the VM count when the fleet changes."""
        if self._members_revision == self.fleet.revision:
            return
        self._members_revision = self.fleet.revision
        self.link.set_addresses(
            {
                entry.vm_id: entry.address
                for entry in self.fleet.entries_by_id.values()
                if entry.vm_id != self.fleet.own.vm_id
            }
        )
        vm_count = len(self.fleet.entries_by_id)
        self.member.state.admission.own.zone_vm_count = (
            self.fleet.listed_zone_vms()
        )
        self.path.sender.budget.vm_count = vm_count

    async def _log_counters(self) -> None:
        """Log the counters, for periods in which no metrics are scraped."""
        while True:
            await self.clock.sleep(_COUNTERS_INTERVAL_S)
            _LOG.info(
                'counters',
                requests=self.metrics.requests,
                answered=self.metrics.answered,
                refusals=dict(self.metrics.refusals),
                retries=dict(self.metrics.retries),
                events=dict(self.metrics.events),
                peers=dict(self.link.counters),
                messages=dict(self.leader.endpoint.counters),
            )

    async def _send_zone_summaries(self) -> None:
        while True:
            await self.clock.sleep(_SUMMARY_INTERVAL_S)
            if self.member.election.is_leader:
                self.leader.send_zone_summaries()

    def _reload(self) -> None:
        """Validate the settings file; changes take effect at the next start."""
        try:
            changed = self.reload() != self.settings
        except SettingsError as exc:
            _LOG.warning('settings_not_valid', error=str(exc))
            return
        _LOG.info('settings_read', changed=changed)

    async def _drain(self) -> None:
        """Wait for removal by the load balancer and the end of all requests."""
        self.is_stopping = True
        self.entry.drain()
        self.member.is_leaving = True
        self.member.election.is_leaving = True
        if self.member.election.is_leader:
            self.leader.announce_leaving()
        self.member.report()
        _LOG.info('stopping', in_flight=self.path.in_flight)
        limit = self.settings.stop_limit * _STOP_FRACTION
        self.path.gate.stop.begin(notice=_BALANCER_NOTICE_S, limit=limit)
        drain = ConnectionDrain(
            clock=self.clock,
            entry=self.entry,
            count_requests=lambda: self.path.in_flight,
            notice=_BALANCER_NOTICE_S,
            limit=limit,
        )
        if await drain.run():
            return
        _LOG.warning('requests_cut', in_flight=self.path.in_flight)
        for request in self.path.unfinished()[:_MAX_LOGGED_REQUESTS]:
            _LOG.warning(
                'request_unfinished',
                request_id=request.request_id,
                runs=request.runs,
                seconds=round(request.seconds, 3),
            )


def status_page(report: Callable[[], dict[str, Any]]) -> PageBuilder:
    """Return a page that shows a report as JSON."""

    def build() -> Page:
        return Page(
            body=json.dumps(report(), default=str).encode(),
            content_type='application/json',
        )

    return build


def route_page(explainer: RouteExplainer) -> QueryPageBuilder:
    """Return the page that explains where a request would go."""

    def build(query: Mapping[str, str]) -> Page:
        status, found = explanation_page(explainer, query)
        return Page(
            body=json.dumps(found).encode(),
            status=status,
            content_type='application/json',
        )

    return build


async def _log_failure(loop: Awaitable[None]) -> None:
    """Run a background loop and log the exception that ends it."""
    try:
        await loop
    except asyncio.CancelledError:
        raise
    except Exception:
        _LOG.exception('background_task_failed')
        raise

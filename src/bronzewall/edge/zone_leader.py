"""Duties of a zone's hub: collects reports and sends beacons and news."""

import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import structlog

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.directory import Directory
from bronzewall.edge.failure_estimates import Observation
from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.freshness import KeyFreshness
from bronzewall.edge.rate_limits import ZonePools
from bronzewall.edge.zone_messages import (
    BrokenRequest,
    MemberReport,
    ZoneStatus,
    ZoneSummary,
)
from bronzewall.edge.zone_packing import pack_instances, pack_vms
from bronzewall.edge.zone_state import ZoneState
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.types import InstanceId, VmId

# A VM that has not reported for this long is left out of the zone's load.
REPORT_TIMEOUT_S = 1.5
# A VM of the zone that is not heard for this long is taken to be gone, and
# its part of the accounts' rates is used by the others, seconds.
_GONE_S = 15.0
# What a VM lacks is sent again if it does not report it, seconds.
_RESEND_S = 0.5
# An instance is told to other zones as suspected above the first and until
# below the second probability; the difference keeps messages few.
_SUSPECT_P = 0.6
_SOUND_P = 0.25
# What a zone believes of an instance that another one suspects.
_TOLD_P = 0.8
# News for other regions waits for this long, seconds: it is used rarely and
# paid by the byte.
_REMOTE_NEWS_S = 5.0
_LOG = structlog.get_logger()


@attrs.define(kw_only=True)
class _Reporter:
    """Newest report of one VM.

    :param sent: revision and time of what was sent to it, by name.
    """

    report: MemberReport
    at: float
    sent: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def is_due(self, name: str, revision: int, now: float) -> bool:
        """Return whether to send something, and note that it is sent.

        It is not sent again while the answer may be on its way.
        """
        sent = self.sent.get(name)
        is_on_its_way = (
            sent is not None
            and sent[0] == revision
            and now - sent[1] < _RESEND_S
        )
        if not is_on_its_way:
            self.sent[name] = (revision, now)
        return not is_on_its_way


@attrs.frozen(kw_only=True)
class _Told:
    """What another zone was told last."""

    content: tuple[list[str], list[str]]
    at: float


@attrs.define(kw_only=True, eq=False)
class ZoneLeader:
    """State of the duties; unused while another VM is the hub.

    :param has_store: the last call to the store was answered.
    :param has_updates: there is something to tell the zone.
    :param has_urgent_updates: it is more than a change of load.
    """

    clock: Clock
    endpoint: PeerEndpoint
    fleet: FleetView
    directory: Directory
    catalog: Catalog
    freshness: KeyFreshness
    state: ZoneState
    pools: ZonePools
    is_leader: Callable[[], bool]
    find_leader: Callable[[], VmId | None]
    has_store: bool = False
    has_updates: bool = False
    has_urgent_updates: bool = False
    _reporters_by_id: dict[VmId, _Reporter] = attrs.field(factory=dict)
    _packed_by_name: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    _beacons_at: float = 0
    _silent_since: dict[VmId, float] = attrs.field(factory=dict)
    _suspects: frozenset[str] = frozenset()
    _suspects_by_zone: dict[str, frozenset[str]] = attrs.field(factory=dict)
    _told_by_zone: dict[str, _Told] = attrs.field(factory=dict)
    _broken_news: list[BrokenRequest] = attrs.field(factory=list)
    _busy_by_zone: dict[str, frozenset[str]] = attrs.field(factory=dict)
    _hub_by_zone: dict[str, VmId] = attrs.field(factory=dict)

    def serve(self) -> None:
        """Handle messages of the zone's VMs and of other hubs."""
        self.endpoint.serve(MemberReport, self.handle_report)
        self.endpoint.serve(ZoneSummary, self.handle_zone_summary)

    def handle_report(self, envelope: Envelope) -> None:
        """Take over the report of a VM of the zone."""
        report: MemberReport = envelope.body
        now = self.clock.now()
        if report.entry is not None and self.fleet.add(report.entry):
            self.has_updates = True
        known = self._reporters_by_id.get(envelope.sender)
        reporter = known or _Reporter(report=report, at=now)
        if reporter.report.in_flight != report.in_flight:
            self.has_updates = True
        reporter.report, reporter.at = report, now
        self._reporters_by_id[envelope.sender] = reporter
        if report.is_leaving:
            self._reporters_by_id.pop(envelope.sender)
        self._take_signs(report.signs, now)
        self.record_broken_requests(report.broken, now=now)
        self.record_demand(report.wanted, report.spent, now=now)

    def record_broken_requests(
        self, broken: Iterable[BrokenRequest], *, now: float
    ) -> None:
        """Count requests that broke off at instances."""
        self.state.crashes.record(broken, now=now)
        self._broken_news.extend(broken)

    def record_demand(
        self, wanted: dict[str, int], spent: dict[str, int], *, now: float
    ) -> None:
        """Count what accounts asked for and got."""
        self.pools.demand.add(wanted, now=now)
        for account_id, count in spent.items():
            self.pools.consume(account_id, count)

    def handle_zone_summary(self, envelope: Envelope) -> None:
        """Take over what another zone tells, or pass it on to the hub."""
        news: ZoneSummary = envelope.body
        if not self.is_leader():
            leader = self.find_leader()
            if leader is not None and envelope.sender != leader:
                self.endpoint.send(to=leader, message=news)
            return
        now = self.clock.now()
        self._hub_by_zone[news.zone] = envelope.sender
        self._take_suspects(news, now)
        self._busy_by_zone[news.zone] = frozenset(news.busy)
        self.state.busy_elsewhere = frozenset().union(
            *self._busy_by_zone.values()
        )
        self.state.crashes.record(news.broken, now=now)
        self.has_updates = True

    def send_statuses(self) -> None:
        """Send a beacon to every VM of the zone."""
        self.has_updates = False
        self.has_urgent_updates = False
        now = self.clock.now()
        self._drop_silent(now)
        tokens, refill = self.pools.levels(
            self.directory.accounts_by_id, fraction=self._part(now), now=now
        )
        self.state.admission.update_from_leader(
            tokens=tokens, refill=refill, now=now
        )
        beliefs = self.state.zone_estimates.significant(now=now)
        totals = self._totals()
        self.state.other_in_flight = dict(totals)
        crashing = self.state.crashes.refused(now=now)
        for entry in self.fleet.zone_vms():
            if entry.vm_id == self.fleet.own.vm_id:
                continue
            reporter = self._reporters_by_id.get(entry.vm_id)
            beacon = ZoneStatus(
                has_store=self.has_store,
                store_age=_age(now, self.freshness.confirmed_at),
                catalog_age=_age(now, self.catalog.confirmed_at),
                version=self.directory.version,
                catalog_revision=self.catalog.revision,
                beliefs=beliefs,
                tokens=tokens,
                refill=refill,
                crashing=crashing,
            )
            if reporter is None:
                # A VM that did not read the store learns of its hub here.
                beacon = attrs.evolve(
                    beacon, members=pack_vms((self.fleet.own,))
                )
            else:
                beacon = self._for_reporter(beacon, reporter, totals, now)
            self.endpoint.send(to=entry.vm_id, message=beacon)

    def announce_leaving(self) -> None:
        """Tell the zone that this VM stops being its hub."""
        for entry in self.fleet.zone_vms():
            if entry.vm_id != self.fleet.own.vm_id:
                self.endpoint.send(
                    to=entry.vm_id, message=ZoneStatus(is_leaving=True)
                )

    def send_zone_summaries(self) -> None:
        """Tell the other zones what changed, far ones less often."""
        now = self.clock.now()
        self._suspects = self._suspected(now)
        broken, self._broken_news = self._broken_news, []
        news = ZoneSummary(
            zone=self.fleet.own.placement.zone,
            suspects=sorted(self._suspects),
            busy=self._busy(),
            broken=broken,
        )
        for zone, to in self._hubs():
            told = self._told_by_zone.get(zone)
            is_due = told is None or (
                now - told.at >= _REMOTE_NEWS_S or self._is_near(zone)
            )
            content = (news.suspects, news.busy)
            is_same = told is not None and told.content == content
            if broken or (is_due and not is_same):
                self._told_by_zone[zone] = _Told(content=content, at=now)
                self.endpoint.send(to=to, message=news)

    def other_leaders(self) -> list[VmId]:
        """Return the hubs of the other zones, as far as they are known."""
        return [vm_id for _, vm_id in self._hubs()]

    def _hubs(self) -> list[tuple[str, VmId]]:
        own = self.fleet.own.placement.zone
        return [
            (
                zone,
                self._hub_by_zone.get(zone, self.fleet.ranked(zone)[0].vm_id),
            )
            for zone in sorted(self.fleet.zones() - {own})
        ]

    def _is_near(self, zone: str) -> bool:
        ranked = self.fleet.ranked(zone)
        region = self.fleet.own.placement.region
        return bool(ranked) and ranked[0].placement.region == region

    def _take_suspects(self, news: ZoneSummary, now: float) -> None:
        before = self._suspects_by_zone.get(news.zone, frozenset())
        suspects = frozenset(news.suspects)
        self._suspects_by_zone[news.zone] = suspects
        for name in before - suspects:
            self.state.zone_estimates.forget(InstanceId(name))
        for name in suspects:
            self.state.zone_estimates.set(InstanceId(name), _TOLD_P, now=now)

    def _take_signs(self, signs: Iterable[tuple[str, str]], now: float) -> None:
        for name, sign_name in signs:
            found = self.catalog.instances_by_id.get(InstanceId(name))
            if found is None:
                continue
            sign = Observation[sign_name]
            self.state.zone_estimates.record(found.instance_id, sign, now=now)
            if sign is not Observation.GOOD:
                self.has_updates = True
                self.has_urgent_updates = True

    def _drop_silent(self, now: float) -> None:
        for vm_id, reporter in tuple(self._reporters_by_id.items()):
            if now - reporter.at > REPORT_TIMEOUT_S:
                _LOG.info('vm_silent', vm=vm_id)
                del self._reporters_by_id[vm_id]

    def _part(self, now: float) -> float:
        """Return the part of the zone's rights that this hub may use.

        VMs that are not heard may be cut off from this one and have a hub
        of their own; after a time they are taken to be gone.
        """
        mates = {entry.vm_id for entry in self.fleet.zone_vms()}
        heard = {self.fleet.own.vm_id, *self._reporters_by_id}
        silent = mates - heard
        if now - self._beacons_at > REPORT_TIMEOUT_S:
            # A hub that has just taken over has had no reports yet.
            self._silent_since = {}
        self._beacons_at = now
        self._silent_since = {
            vm_id: self._silent_since.get(vm_id, now) for vm_id in silent
        }
        lost = sum(
            REPORT_TIMEOUT_S <= now - since < _GONE_S
            for since in self._silent_since.values()
        )
        present = len(mates) - len(silent)
        return present / (present + lost)

    def _totals(self) -> Counter[str]:
        totals: Counter[str] = Counter()
        for reporter in self._reporters_by_id.values():
            totals.update(reporter.report.in_flight)
        return totals

    def _for_reporter(
        self,
        beacon: ZoneStatus,
        reporter: _Reporter,
        totals: Counter[str],
        now: float,
    ) -> ZoneStatus:
        """Add what one VM does not have yet."""
        report = reporter.report
        changes: dict[str, Any] = {
            'echo': report.stamp,
            'in_flight': self._others(report, totals),
        }
        version = self.directory.version
        if version > report.version and reporter.is_due('raw', version, now):
            changes['raw'] = self._packed('raw', version)
        revision = self.catalog.revision
        if report.catalog_revision != revision and reporter.is_due(
            'catalog', revision, now
        ):
            changes['catalog'] = self._packed('catalog', revision)
        revision = self.fleet.revision
        if report.members_revision != revision and reporter.is_due(
            'members', revision, now
        ):
            changes['members'] = self._packed('members', revision)
            changes['members_revision'] = revision
        return attrs.evolve(beacon, **changes)

    def _others(
        self, report: MemberReport, totals: Counter[str]
    ) -> dict[str, int]:
        others = totals.copy()
        others.update(self.state.own_in_flight)
        others.subtract(report.in_flight)
        return {name: count for name, count in others.items() if count > 0}

    def _packed(self, name: str, revision: int) -> bytes:
        """Return what is sent, packed once for each revision."""
        known = self._packed_by_name.get(name)
        if known is None or known[0] != revision:
            known = (revision, self._pack(name))
            self._packed_by_name[name] = known
        return known[1]

    def _pack(self, name: str) -> bytes:
        if name == 'catalog':
            return pack_instances(self.catalog.instances_by_id.values())
        if name == 'members':
            return pack_vms(self.fleet.entries_by_id.values())
        return zlib.compress(self.directory.raw)

    def _suspected(self, now: float) -> frozenset[str]:
        """Return the suspected instances of the own zone."""
        own = self.fleet.own.placement.zone
        found = {
            instance_id
            for instance_id, failing in self.state.zone_estimates.significant(
                now=now
            ).items()
            if failing > self._suspect_limit(instance_id)
        }
        return frozenset(name for name in found if self._is_in(name, own))

    def _suspect_limit(self, instance_id: str) -> float:
        return _SOUND_P if instance_id in self._suspects else _SUSPECT_P

    def _is_in(self, instance_id: InstanceId, zone: str) -> bool:
        found = self.catalog.instances_by_id.get(instance_id)
        return found is not None and found.placement.zone == zone

    def _busy(self) -> list[str]:
        own = self.fleet.own.placement.zone
        return sorted(
            item.instance_id
            for item in self.catalog.instances_by_id.values()
            if item.placement.zone == own
            and self.state.in_flight(item.instance_id) >= item.slots
        )


def _age(now: float, at: float) -> float | None:
    age = now - at
    return None if age == float('inf') else age

"""Zone leader: aggregates member reports, sends statuses and summaries."""

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
from bronzewall.edge.knowledge_age import KnowledgeAge
from bronzewall.edge.older_builds import OlderBuilds
from bronzewall.edge.own_quota import usable_fraction
from bronzewall.edge.zone_messages import (
    BrokenRequest,
    MemberReport,
    ZoneStatus,
    ZoneSummary,
)
from bronzewall.edge.zone_packing import (
    pack_configuration,
    pack_instances,
    pack_vms,
)
from bronzewall.edge.zone_pools import ZonePools
from bronzewall.edge.zone_state import ZoneState
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.types import InstanceId, VmId

# A VM without a report for this long is left out of the zone's in-flight
# counts, seconds.
REPORT_TIMEOUT_S = 1.5
# Data that a VM lacks is resent if its reports do not confirm it, seconds.
_RESEND_INTERVAL_S = 0.5
# An instance is announced to other zones as suspected above the first and
# until below the second probability; the hysteresis limits messages.
_SUSPECT_PROBABILITY = 0.6
_HEALTHY_PROBABILITY = 0.25
# Failure estimate for an instance that the leader of its zone reports as
# suspected.
_REMOTE_SUSPECT_PROBABILITY = 0.8
# Least time between summaries to a zone of another region, seconds: such a
# zone is used rarely, and traffic between regions is billed by the byte.
_REMOTE_SUMMARY_INTERVAL_S = 5.0
_LOG = structlog.get_logger()


@attrs.define(kw_only=True)
class _Reporter:
    """Latest report of one VM.

    :param sent: revision last sent to the VM and the time, by name.
    """

    report: MemberReport
    received_at: float
    sent: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def is_due(self, name: str, revision: int, now: float) -> bool:
        """Return whether to send a revision, and record it as sent.

        The same revision is not resent while the VM's confirmation may
        still be in transit.
        """
        sent = self.sent.get(name)
        is_in_transit = (
            sent is not None
            and sent[0] == revision
            and now - sent[1] < _RESEND_INTERVAL_S
        )
        if not is_in_transit:
            self.sent[name] = (revision, now)
        return not is_in_transit


@attrs.frozen(kw_only=True)
class _SentSummary:
    """Last summary sent to another zone."""

    content: tuple[list[str], list[str]]
    sent_at: float


@attrs.define(kw_only=True, eq=False)
class ZoneLeader:
    """Duties of a zone leader; idle while this VM is not a leader.

    :param has_store: the last call to the store was answered.
    :param has_updates: changes wait to be sent to the zone.
    :param has_urgent_updates: they are more than changed in-flight counts.
    :param quota_fraction: fraction of the zone's quota that this leader may
        use.
    """

    clock: Clock
    endpoint: PeerEndpoint
    fleet: FleetView
    directory: Directory
    catalog: Catalog
    freshness: KeyFreshness
    age: KnowledgeAge
    state: ZoneState
    pools: ZonePools
    is_leader: Callable[[], bool]
    find_leader: Callable[[], VmId | None]
    has_store: bool = False
    has_updates: bool = False
    has_urgent_updates: bool = False
    quota_fraction: float = 1
    older_builds: OlderBuilds = attrs.field(factory=OlderBuilds)
    _reporters_by_id: dict[VmId, _Reporter] = attrs.field(factory=dict)
    _packed_by_name: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    _statuses_sent_at: float = 0
    _missing_since: dict[VmId, float] = attrs.field(factory=dict)
    _suspects: frozenset[str] = frozenset()
    _suspects_by_zone: dict[str, frozenset[str]] = attrs.field(factory=dict)
    _sent_by_zone: dict[str, _SentSummary] = attrs.field(factory=dict)
    _unsent_broken_requests: list[BrokenRequest] = attrs.field(factory=list)
    _busy_by_zone: dict[str, frozenset[str]] = attrs.field(factory=dict)
    _leader_by_zone: dict[str, VmId] = attrs.field(factory=dict)

    def serve(self) -> None:
        """Handle messages of the zone's VMs and of other zone leaders."""
        self.endpoint.serve(MemberReport, self.handle_report)
        self.endpoint.serve(ZoneSummary, self.handle_zone_summary)

    def handle_report(self, envelope: Envelope) -> None:
        """Record the report of a VM of the zone."""
        report: MemberReport = envelope.body
        now = self.clock.now()
        if report.entry is not None and self.fleet.add(report.entry):
            self.has_updates = True
        known = self._reporters_by_id.get(envelope.sender)
        reporter = known or _Reporter(report=report, received_at=now)
        if reporter.report.in_flight != report.in_flight:
            self.has_updates = True
        reporter.report, reporter.received_at = report, now
        self._reporters_by_id[envelope.sender] = reporter
        if report.is_leaving:
            self._reporters_by_id.pop(envelope.sender)
        self._record_observations(report.signs, now)
        self.record_broken_requests(report.broken, now=now)
        self.record_demand(report.wanted, report.spent, now=now)

    def vm_ahead(self) -> VmId | None:
        """Return a VM of the zone whose configuration is newer, if any.

        It has another leader, or this one has just read a store that was
        restored from a copy.
        """
        ahead = [
            vm_id
            for vm_id, reporter in self._reporters_by_id.items()
            if reporter.report.version > self.directory.version
        ]
        return min(ahead) if ahead else None

    def record_broken_requests(
        self, broken: Iterable[BrokenRequest], *, now: float
    ) -> None:
        """Record requests during which an instance's connection broke."""
        self.state.crashes.record(broken, now=now)
        self._unsent_broken_requests.extend(broken)

    def record_demand(
        self, requested: dict[str, int], admitted: dict[str, int], *, now: float
    ) -> None:
        """Record requested and admitted requests by account."""
        self.pools.demand.add(requested, now=now)
        for account_id, count in admitted.items():
            self.pools.consume(account_id, count)

    def handle_zone_summary(self, envelope: Envelope) -> None:
        """Apply the summary of another zone, or forward it to the leader."""
        summary: ZoneSummary = envelope.body
        if not self.is_leader():
            leader = self.find_leader()
            if leader is not None and envelope.sender != leader:
                self.endpoint.send(to=leader, message=summary)
            return
        now = self.clock.now()
        self._leader_by_zone[summary.zone] = envelope.sender
        self._apply_suspects(summary, now)
        self._busy_by_zone[summary.zone] = frozenset(summary.busy)
        self.state.busy_elsewhere = frozenset().union(
            *self._busy_by_zone.values()
        )
        self.state.crashes.record(summary.broken, now=now)
        self.has_updates = True

    def take_over(self) -> None:
        """Continue the rate limits of the leader before."""
        now = self.clock.now()
        levels = self.state.admission.zone_levels(
            self.directory.accounts_by_id, now=now
        )
        self.pools.take_over(levels, now=now)

    def send_statuses(self) -> None:
        """Send the zone status to every VM of the zone."""
        self.has_updates = False
        self.has_urgent_updates = False
        now = self.clock.now()
        self._drop_timed_out(now)
        accounts = self.directory.accounts_by_id
        self.quota_fraction = self._quota_fraction(now)
        quota = self.pools.quota(
            accounts, fraction=self.quota_fraction, now=now
        )
        self.state.admission.update_from_leader(
            tokens=quota.levels(accounts),
            refill=quota.rates(accounts),
            answered_at=now,
            now=now,
        )
        estimates = self.state.zone_estimates.significant(now=now)
        totals = self._in_flight_totals()
        self.state.other_in_flight = dict(totals)
        crashing = self.state.crashes.refused(now=now)
        for entry in self.fleet.zone_vms():
            if entry.vm_id == self.fleet.own.vm_id:
                continue
            reporter = self._reporters_by_id.get(entry.vm_id)
            status = ZoneStatus(
                has_store=self.has_store and not self.age.is_read_due(),
                store_age=_age(now, self.freshness.confirmed_at),
                catalog_age=_age(now, self.catalog.confirmed_at),
                version=self.directory.version,
                catalog_revision=self.catalog.revision,
                beliefs=estimates,
                tokens=quota.tokens,
                quota_share=quota.share,
                quota_extra=quota.extra,
                crashing=crashing,
            )
            if self.older_builds.needs_older_status(entry.vm_id, now=now):
                status = attrs.evolve(
                    status,
                    quota_share=None,
                    quota_extra=0,
                    tokens=quota.levels(accounts),
                    refill=quota.rates(accounts),
                )
            if reporter is None:
                # A VM that could not read the store gets the entry of its
                # leader here.
                status = attrs.evolve(
                    status, members=pack_vms((self.fleet.own,))
                )
            else:
                status = self._status_for(status, reporter, totals, now)
            self.endpoint.send(to=entry.vm_id, message=status)

    def announce_leaving(self) -> None:
        """Send a leave announcement to the VMs of the zone."""
        for entry in self.fleet.zone_vms():
            if entry.vm_id != self.fleet.own.vm_id:
                self.endpoint.send(
                    to=entry.vm_id, message=ZoneStatus(is_leaving=True)
                )

    def send_zone_summaries(self) -> None:
        """Send what changed to the other zones.

        Zones of other regions get summaries less often.
        """
        now = self.clock.now()
        self._suspects = self._find_suspects(now)
        broken, self._unsent_broken_requests = self._unsent_broken_requests, []
        summary = ZoneSummary(
            zone=self.fleet.own.placement.zone,
            suspects=sorted(self._suspects),
            busy=self._busy_instances(),
            broken=broken,
        )
        for zone, to in self._zone_leaders():
            previous = self._sent_by_zone.get(zone)
            is_due = previous is None or (
                now - previous.sent_at >= _REMOTE_SUMMARY_INTERVAL_S
                or self._is_same_region(zone)
            )
            content = (summary.suspects, summary.busy)
            is_same = previous is not None and previous.content == content
            if broken or (is_due and not is_same):
                self._sent_by_zone[zone] = _SentSummary(
                    content=content, sent_at=now
                )
                self.endpoint.send(to=to, message=summary)

    def other_leaders(self) -> list[VmId]:
        """Return the leaders of the other zones.

        The first candidate is used where the leader is not known.
        """
        return [vm_id for _, vm_id in self._zone_leaders()]

    def leader_of(self, zone: str) -> VmId:
        """Return the leader of another zone that has VMs.

        The first candidate is used where the leader is not known.
        """
        return self._leader_by_zone.get(zone, self.fleet.ranked(zone)[0].vm_id)

    def _zone_leaders(self) -> list[tuple[str, VmId]]:
        own = self.fleet.own.placement.zone
        return [
            (zone, self.leader_of(zone))
            for zone in sorted(self.fleet.zones() - {own})
        ]

    def _is_same_region(self, zone: str) -> bool:
        ranked = self.fleet.ranked(zone)
        region = self.fleet.own.placement.region
        return bool(ranked) and ranked[0].placement.region == region

    def _apply_suspects(self, summary: ZoneSummary, now: float) -> None:
        before = self._suspects_by_zone.get(summary.zone, frozenset())
        suspects = frozenset(summary.suspects)
        self._suspects_by_zone[summary.zone] = suspects
        for name in before - suspects:
            self.state.zone_estimates.forget(InstanceId(name))
        for name in suspects:
            self.state.zone_estimates.set(
                InstanceId(name), _REMOTE_SUSPECT_PROBABILITY, now=now
            )

    def _record_observations(
        self, observations: Iterable[tuple[str, str]], now: float
    ) -> None:
        for name, observation_name in observations:
            found = self.catalog.instances_by_id.get(InstanceId(name))
            if found is None or observation_name not in Observation.__members__:
                # The VM has another list, or is of a later build.
                continue
            observation = Observation[observation_name]
            self.state.zone_estimates.record(
                found.instance_id, observation, now=now
            )
            if observation is not Observation.GOOD:
                self.has_updates = True
                self.has_urgent_updates = True

    def _drop_timed_out(self, now: float) -> None:
        for vm_id, reporter in tuple(self._reporters_by_id.items()):
            if now - reporter.received_at > REPORT_TIMEOUT_S:
                _LOG.info('vm_silent', vm=vm_id)
                del self._reporters_by_id[vm_id]

    def _quota_fraction(self, now: float) -> float:
        """Return the fraction of the zone's quota that this leader may use."""
        zone_vm_ids = {entry.vm_id for entry in self.fleet.zone_vms()}
        reporting = {self.fleet.own.vm_id, *self._reporters_by_id}
        missing = zone_vm_ids - reporting
        if now - self._statuses_sent_at > REPORT_TIMEOUT_S:
            self._missing_since = {}
        self._statuses_sent_at = now
        self._missing_since = {
            vm_id: self._missing_since.get(vm_id, now) for vm_id in missing
        }
        return usable_fraction(
            present=len(zone_vm_ids) - len(missing),
            missing_since=self._missing_since,
            now=now,
        )

    def _in_flight_totals(self) -> Counter[str]:
        totals: Counter[str] = Counter()
        for reporter in self._reporters_by_id.values():
            totals.update(reporter.report.in_flight)
        return totals

    def _status_for(
        self,
        status: ZoneStatus,
        reporter: _Reporter,
        totals: Counter[str],
        now: float,
    ) -> ZoneStatus:
        """Add the data that one VM does not have yet."""
        report = reporter.report
        changes: dict[str, Any] = {
            'echo': report.stamp,
            'in_flight': self._in_flight_of_others(report, totals),
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
        return attrs.evolve(status, **changes)

    def _in_flight_of_others(
        self, report: MemberReport, totals: Counter[str]
    ) -> dict[str, int]:
        others = totals.copy()
        others.update(self.state.own_in_flight)
        others.subtract(report.in_flight)
        return {name: count for name, count in others.items() if count > 0}

    def _packed(self, name: str, revision: int) -> bytes:
        """Return packed data by name; each revision is packed once."""
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
        return pack_configuration(self.directory.raw)

    def _find_suspects(self, now: float) -> frozenset[str]:
        """Return the suspected instances of the own zone."""
        own = self.fleet.own.placement.zone
        found = {
            instance_id
            for instance_id, estimate in self.state.zone_estimates.significant(
                now=now
            ).items()
            if estimate > self._suspect_threshold(instance_id)
        }
        return frozenset(name for name in found if self._is_in(name, own))

    def _suspect_threshold(self, instance_id: str) -> float:
        return (
            _HEALTHY_PROBABILITY
            if instance_id in self._suspects
            else _SUSPECT_PROBABILITY
        )

    def _is_in(self, instance_id: InstanceId, zone: str) -> bool:
        found = self.catalog.instances_by_id.get(instance_id)
        return found is not None and found.placement.zone == zone

    def _busy_instances(self) -> list[str]:
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

"""Shares evidence about instances between VMs at a constant rate."""

import collections
import math
from collections.abc import Callable

import attrs

from bronzewall.evidence import Evidence, EvidenceRow
from bronzewall.membership import Members
from bronzewall.messages import Envelope, message
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.pool_state import EJECT_SCORE, EVERYWHERE
from bronzewall.pooled_evidence import EvidencePool, Suspect
from bronzewall.ports import Clock
from bronzewall.rendezvous import rank_vms
from bronzewall.types import Placement, ServiceName, VmId

TICK_S = 0.1
# Maximum reports of a VM per tick; with more services than this allows, the
# services take turns.
_MAX_REPORTS_PER_TICK = 8
# Validity of a summary; it covers the loss of a few answers in a row.
_SUMMARY_VALIDITY_S = 0.5
# Decay times of scores. One VM alone has less evidence than many VMs, so
# its scores decay more slowly.
_SHARED_DECAY_S = 8.0
_OWN_DECAY_S = 15.0
# One witness is not enough: the fault may be on that VM's own path.
_MIN_WITNESSES = 2
_SUSPECTS_CACHE_S = 0.02
# The first VMs to eject an instance also cancel the attempts that were the
# evidence. The score is held until every VM has received it.
_SCORE_HOLD_S = 0.5
_MEMBERS_CHECK_TICKS = 5
# Zone of suspects that this VM found on its own evidence alone.
OWN_PATH = 'own path'


@message('instance_suspicion')
@attrs.frozen(kw_only=True)
class EvidenceReport:
    """Evidence of one VM about one service since its last report."""

    service: ServiceName
    zone: str
    rows: tuple[EvidenceRow, ...]


@message('suspicion_summary')
@attrs.frozen(kw_only=True)
class SuspicionSummary:
    """Suspects of one service on the evidence of one observer."""

    service: ServiceName
    suspects: tuple[Suspect, ...]


SuspectsHandler = Callable[[ServiceName, list[Suspect]], None]


_Scope = tuple[str, str, str]


def _scope_of(suspect: Suspect) -> _Scope:
    return suspect.instance_id, suspect.route_class, suspect.zone


@attrs.define(kw_only=True, eq=False)
class _ObservedService:
    """Pooled evidence about a service that this VM observes for others."""

    pool: EvidencePool
    refreshed_at: float = -math.inf
    suspects: tuple[Suspect, ...] = ()
    _held: dict[_Scope, tuple[float, Suspect]] = attrs.field(factory=dict)

    def refresh(self, now: float) -> None:
        """Update the suspects, unless they are recent enough."""
        if now - self.refreshed_at < _SUSPECTS_CACHE_S:
            return
        self.refreshed_at = now
        found = {_scope_of(seen): seen for seen in self.pool.suspects(now)}
        for scope, suspect in found.items():
            if suspect.score >= EJECT_SCORE:
                self._held[scope] = (now + _SCORE_HOLD_S, suspect)
        for scope, (until, suspect) in tuple(self._held.items()):
            if until < now:
                self._held.pop(scope)
            else:
                found[scope] = suspect
        self.suspects = tuple(found.values())


_SummariesByObserver = dict[VmId, tuple[float, SuspicionSummary]]


@attrs.define(kw_only=True, eq=False)
class Suspicions:
    """Sends this VM's evidence to observers and is an observer itself.

    Each service has two observers for each VM: one of the fleet and one
    of the VM's region, both chosen by rendezvous hashing. A VM reports to
    them at every tick and they answer with the suspects. A VM that reaches
    no observer decides on its own evidence.

    :param on_suspects: gets the suspects of a service at every tick.
    """

    vm_id: VmId
    placement: Placement
    clock: Clock
    members: Members
    endpoint: PeerEndpoint
    evidence: Evidence
    on_suspects: SuspectsHandler
    reports_sent: int = 0
    _observed_by_service: dict[ServiceName, _ObservedService] = attrs.field(
        factory=dict
    )
    _own_pools_by_service: dict[ServiceName, EvidencePool] = attrs.field(
        factory=dict
    )
    _summaries_by_service: dict[ServiceName, _SummariesByObserver] = (
        attrs.field(factory=dict)
    )
    _sequences_by_sender: dict[VmId, tuple[int, int]] = attrs.field(
        factory=dict
    )
    _observers_by_service: dict[ServiceName, tuple[VmId, ...]] = attrs.field(
        factory=dict
    )
    _observer_candidates: tuple[VmId, ...] = ()
    _tick_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Register the handlers of reports and summaries."""
        self.endpoint.serve(EvidenceReport, self._on_report)
        self.endpoint.serve(SuspicionSummary, self._on_summary)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await self.clock.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Report the evidence of this tick and deliver the suspects."""
        now = self.clock.now()
        if self._tick_count % _MEMBERS_CHECK_TICKS == 0:
            self._update_candidates()
        services = collections.deque(self.evidence.services)
        self._tick_count += 1
        services.rotate(self._tick_count)
        budget = _MAX_REPORTS_PER_TICK
        for service in services:
            observers = self._observers_of(service)
            if budget >= len(observers):
                budget -= len(observers)
                self._send_report(service, observers, now)
            self._deliver_suspects(service, now)

    def _send_report(
        self, service: ServiceName, observers: tuple[VmId, ...], now: float
    ) -> None:
        rows = tuple(self.evidence.drain(service, now))
        own_pool = self._own_pools_by_service.get(service)
        if own_pool is None:
            own_pool = EvidencePool(decay_s=_OWN_DECAY_S, min_witnesses=1)
            self._own_pools_by_service[service] = own_pool
        own_pool.add(vm_id=self.vm_id, zone=EVERYWHERE, rows=rows, now=now)
        report = EvidenceReport(
            service=service, zone=self.placement.zone, rows=rows
        )
        for observer in observers:
            if observer == self.vm_id:
                self._store_summary(
                    observer, self._add_report(self.vm_id, report)
                )
            else:
                self.reports_sent += 1
                self.endpoint.send(to=observer, message=report)

    def _deliver_suspects(self, service: ServiceName, now: float) -> None:
        oldest = now - _SUMMARY_VALIDITY_S
        found = [
            suspect
            for received_at, summary in self._summaries_by_service.get(
                service, {}
            ).values()
            if received_at >= oldest
            for suspect in summary.suspects
            if suspect.zone in {'', self.placement.zone}
        ]
        own_pool = self._own_pools_by_service.get(service)
        if own_pool is not None:
            found.extend(
                attrs.evolve(suspect, zone=OWN_PATH)
                for suspect in own_pool.suspects(now)
            )
        self.on_suspects(service, found)

    def _on_report(self, envelope: Envelope) -> None:
        if self._is_duplicate(envelope):
            return
        report: EvidenceReport = envelope.body
        summary = self._add_report(envelope.sender, report)
        self.endpoint.send(to=envelope.sender, message=summary)

    def _on_summary(self, envelope: Envelope) -> None:
        summary: SuspicionSummary = envelope.body
        self._store_summary(envelope.sender, summary)
        if summary.suspects:
            # Waiting for the next tick would delay the ejection.
            self._deliver_suspects(summary.service, self.clock.now())

    def _store_summary(self, observer: VmId, summary: SuspicionSummary) -> None:
        by_observer = self._summaries_by_service.setdefault(summary.service, {})
        by_observer[observer] = (self.clock.now(), summary)

    def _is_duplicate(self, envelope: Envelope) -> bool:
        newest = (envelope.incarnation, envelope.sequence)
        if newest <= self._sequences_by_sender.get(envelope.sender, (0, -1)):
            return True
        self._sequences_by_sender[envelope.sender] = newest
        return False

    def _add_report(
        self, vm_id: VmId, report: EvidenceReport
    ) -> SuspicionSummary:
        now = self.clock.now()
        observed = self._observed_by_service.get(report.service)
        if observed is None:
            observed = _ObservedService(
                pool=EvidencePool(
                    decay_s=_SHARED_DECAY_S, min_witnesses=_MIN_WITNESSES
                )
            )
            self._observed_by_service[report.service] = observed
        observed.pool.add(
            vm_id=vm_id, zone=report.zone, rows=report.rows, now=now
        )
        observed.refresh(now)
        return SuspicionSummary(
            service=report.service, suspects=observed.suspects
        )

    def _update_candidates(self) -> None:
        members = tuple(self.members.usable_ids())
        if members != self._observer_candidates:
            self._observer_candidates = members
            self._observers_by_service.clear()

    def _observers_of(self, service: ServiceName) -> tuple[VmId, ...]:
        found = self._observers_by_service.get(service)
        if found is None:
            duty = f'observer/{service}'
            candidates = self._observer_candidates or (self.vm_id,)
            regional_ids = self.members.usable_ids(region=self.placement.region)
            fleet_observer = rank_vms(duty=duty, vm_ids=candidates)[0]
            regional_observer = rank_vms(
                duty=duty, vm_ids=regional_ids or candidates
            )[0]
            found = tuple(dict.fromkeys((fleet_observer, regional_observer)))
            self._observers_by_service[service] = found
        return found

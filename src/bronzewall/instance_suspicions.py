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
# Observers that a VM reports to in one tick at most; with more services
# than this allows, the services take turns.
_MAX_REPORTS_PER_TICK = 8
# A summary stays valid while its observer answers most reports.
_SUMMARY_LIFE_S = 0.5
# Evidence of many VMs is rich; that of one VM must be remembered longer.
_SHARED_MEMORY_S = 8.0
_OWN_MEMORY_S = 15.0
# One VM's word is not enough: only its own path may be bad.
_WITNESSES = 2
_SUSPECTS_LIFE_S = 0.02
# The first VMs to eject an instance also end the attempts that were the
# evidence. Its score is held until every VM has heard of it.
_HOLD_S = 0.5
_MEMBERS_EVERY_TICKS = 5
# Zone of suspects that this VM found on its own evidence alone.
OWN_PATH = 'own path'


@message('instance_suspicion')
@attrs.frozen(kw_only=True)
class EvidenceReport:
    """What one VM saw of one service since its last report."""

    service: ServiceName
    zone: str
    rows: tuple[EvidenceRow, ...]


@message('suspicion_summary')
@attrs.frozen(kw_only=True)
class SuspicionSummary:
    """Suspects of one service on the evidence that an observer has."""

    service: ServiceName
    suspects: tuple[Suspect, ...]


SuspectsHandler = Callable[[ServiceName, list[Suspect]], None]


_Scope = tuple[str, str, str]


def _scope_of(suspect: Suspect) -> _Scope:
    return suspect.instance_id, suspect.route_class, suspect.zone


@attrs.define(kw_only=True, eq=False)
class _Observed:
    """Evidence on one service that this VM observes for others."""

    pool: EvidencePool
    at: float = -math.inf
    suspects: tuple[Suspect, ...] = ()
    _held: dict[_Scope, tuple[float, Suspect]] = attrs.field(factory=dict)

    def refresh(self, now: float) -> None:
        """Bring the suspects to a time."""
        if now - self.at < _SUSPECTS_LIFE_S:
            return
        self.at = now
        found = {_scope_of(seen): seen for seen in self.pool.suspects(now)}
        for scope, suspect in found.items():
            if suspect.score >= EJECT_SCORE:
                self._held[scope] = (now + _HOLD_S, suspect)
        for scope, (until, suspect) in tuple(self._held.items()):
            if until < now:
                self._held.pop(scope)
            else:
                found[scope] = suspect
        self.suspects = tuple(found.values())


_ByObserver = dict[VmId, tuple[float, SuspicionSummary]]


@attrs.define(kw_only=True, eq=False)
class Suspicions:
    """This VM's part in sharing evidence.

    Each service has two observers for each VM: one of the fleet and one
    of the VM's region, both chosen by rendezvous hashing. A VM reports to
    them at every tick and they answer with the suspects. An observer is
    only an aid: a VM that reaches none decides on its own evidence.

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
    _observed_by_service: dict[ServiceName, _Observed] = attrs.field(
        factory=dict
    )
    _own_by_service: dict[ServiceName, EvidencePool] = attrs.field(factory=dict)
    _summaries: dict[ServiceName, _ByObserver] = attrs.field(factory=dict)
    _sequences_by_sender: dict[VmId, tuple[int, int]] = attrs.field(
        factory=dict
    )
    _observers: dict[ServiceName, tuple[VmId, ...]] = attrs.field(factory=dict)
    _observers_for: tuple[VmId, ...] = ()
    _turn: int = 0

    def __attrs_post_init__(self) -> None:
        """Receive reports and summaries."""
        self.endpoint.serve(EvidenceReport, self._on_report)
        self.endpoint.serve(SuspicionSummary, self._on_summary)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await self.clock.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Report the news of this tick and pass on the suspects."""
        now = self.clock.now()
        if self._turn % _MEMBERS_EVERY_TICKS == 0:
            self._choose_observers()
        services = collections.deque(self.evidence.services)
        self._turn += 1
        services.rotate(self._turn)
        budget = _MAX_REPORTS_PER_TICK
        for service in services:
            observers = self._observers_of(service)
            if budget >= len(observers):
                budget -= len(observers)
                self._report(service, observers, now)
            self._decide(service, now)

    def _report(
        self, service: ServiceName, observers: tuple[VmId, ...], now: float
    ) -> None:
        rows = tuple(self.evidence.drain(service, now))
        own = self._own_by_service.get(service)
        if own is None:
            own = EvidencePool(memory=_OWN_MEMORY_S, least_witnesses=1)
            self._own_by_service[service] = own
        own.add(vm_id=self.vm_id, zone=EVERYWHERE, rows=rows, now=now)
        report = EvidenceReport(
            service=service, zone=self.placement.zone, rows=rows
        )
        for observer in observers:
            if observer == self.vm_id:
                self._keep(observer, self._observe(self.vm_id, report))
            else:
                self.reports_sent += 1
                self.endpoint.send(to=observer, message=report)

    def _decide(self, service: ServiceName, now: float) -> None:
        oldest = now - _SUMMARY_LIFE_S
        found = [
            suspect
            for at, summary in self._summaries.get(service, {}).values()
            if at >= oldest
            for suspect in summary.suspects
            if suspect.zone in {'', self.placement.zone}
        ]
        own = self._own_by_service.get(service)
        if own is not None:
            found.extend(
                attrs.evolve(suspect, zone=OWN_PATH)
                for suspect in own.suspects(now)
            )
        self.on_suspects(service, found)

    def _on_report(self, envelope: Envelope) -> None:
        if self._is_repeated(envelope):
            return
        report: EvidenceReport = envelope.body
        summary = self._observe(envelope.sender, report)
        self.endpoint.send(to=envelope.sender, message=summary)

    def _on_summary(self, envelope: Envelope) -> None:
        summary: SuspicionSummary = envelope.body
        self._keep(envelope.sender, summary)
        if summary.suspects:
            # Waiting for the next tick would delay the ejection.
            self._decide(summary.service, self.clock.now())

    def _keep(self, observer: VmId, summary: SuspicionSummary) -> None:
        by_observer = self._summaries.setdefault(summary.service, {})
        by_observer[observer] = (self.clock.now(), summary)

    def _is_repeated(self, envelope: Envelope) -> bool:
        newest = (envelope.incarnation, envelope.sequence)
        if newest <= self._sequences_by_sender.get(envelope.sender, (0, -1)):
            return True
        self._sequences_by_sender[envelope.sender] = newest
        return False

    def _observe(self, vm_id: VmId, report: EvidenceReport) -> SuspicionSummary:
        now = self.clock.now()
        observed = self._observed_by_service.get(report.service)
        if observed is None:
            observed = _Observed(
                pool=EvidencePool(
                    memory=_SHARED_MEMORY_S, least_witnesses=_WITNESSES
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

    def _choose_observers(self) -> None:
        members = tuple(self.members.usable_ids())
        if members != self._observers_for:
            self._observers_for = members
            self._observers.clear()

    def _observers_of(self, service: ServiceName) -> tuple[VmId, ...]:
        found = self._observers.get(service)
        if found is None:
            duty = f'observer/{service}'
            everywhere = self._observers_for or (self.vm_id,)
            regional = self.members.usable_ids(region=self.placement.region)
            first = rank_vms(duty=duty, vm_ids=everywhere)[0]
            second = rank_vms(duty=duty, vm_ids=regional or everywhere)[0]
            found = tuple(dict.fromkeys((first, second)))
            self._observers[service] = found
        return found

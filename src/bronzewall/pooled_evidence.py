"""Compares the instances of a service on the evidence of many VMs."""

import math
import statistics
from collections.abc import Iterable

import attrs

from bronzewall.evidence import EvidenceRow
from bronzewall.pool_state import (
    ANY_CLASS,
    EVERYWHERE,
    REPORT_SCORE,
    DecayedSums,
    InstanceState,
    OverdueAttempts,
    sums_of,
)
from bronzewall.types import InstanceId, RouteId, VmId

# Latency test: the mean surprise of a failing instance's requests is this
# many times that of its peers. Surprise has an exponential distribution,
# which gives a log-likelihood ratio linear in count and sum.
_SLOW_RATIO = 4.0
_LLR_PER_REQUEST = -math.log(_SLOW_RATIO)
_LLR_PER_SURPRISE = 1 - 1 / _SLOW_RATIO
# Failure test: failure rate of a failing instance, and the lowest rate
# assumed of a healthy one.
_FAILING_FAILURE_RATE = 0.5
_MIN_FAILURE_RATE = 0.005
# Peers that fail this often show a shared cause, not a failing instance.
_SHARED_FAILURE_RATE = 0.25
# The peers' mean surprise and failure rate are estimates, so a margin is
# added; the prior counts as this many healthy requests of the peers.
_PEER_MARGIN = 1.1
_PRIOR_REQUESTS = 5.0
# Score of a zone or class above which it takes part in a common failure.
_COMMON_FAILURE_SCORE = 3.0
# A zone below that score counts as healthy after this many consecutive
# healthy reports, the last of them at most this many seconds ago.
_MIN_HEALTHY_REPORTS = 3
_HEALTHY_VALIDITY_S = 0.5
# This multiple of the peers' median score is subtracted from a score.
_SHARED_MARGIN = 2.0
# An instance that gives no VM an answer for this long hangs; the longest
# requests of a healthy one rarely occupy all of its slots at the same time.
_NO_ANSWER_S = 0.15
# One zone sends fewer requests, so the pauses between answers are longer.
_ZONE_NO_ANSWER_S = 0.5
# Requests in the queue of an unresponsive instance become overdue together,
# so an open attempt is only about half an independent observation.
_NO_ANSWER_WEIGHT = 0.6
# A VM is a witness when its own evidence reaches this score.
_WITNESS_SCORE = 1.0


@attrs.frozen(kw_only=True)
class Suspect:
    """An (instance, route class) that performs worse than its peers.

    :param route_class: empty for the whole instance.
    :param zone: zone from which it is unreachable; empty if it fails for
        all zones.
    :param score: log-likelihood ratio of failing to healthy.
    :param failed: recent failures, decayed.
    :param ok: recent answers, decayed.
    :param overdue: open attempts that are overdue now.
    :param witnesses: VMs with evidence against it.
    """

    instance_id: InstanceId
    route_class: RouteId
    zone: str
    score: float
    failed: float
    ok: float
    overdue: int
    witnesses: int


@attrs.frozen(kw_only=True)
class _PeerBaseline:
    """Recent figures of an instance's peers, for comparison.

    :param mean_surprise: mean surprise of a request, at least 1.
    :param failure_rate: fraction of requests that fail.
    """

    mean_surprise: float
    failure_rate: float

    @property
    def failure_weight(self) -> float:
        """Weight of a failure, 1 for peers at the minimum failure rate."""
        if self.failure_rate >= _SHARED_FAILURE_RATE:
            return 0
        max_llr = math.log(_FAILING_FAILURE_RATE / _MIN_FAILURE_RATE)
        return math.log(_FAILING_FAILURE_RATE / self.failure_rate) / max_llr


@attrs.define(kw_only=True, eq=False)
class EvidencePool:
    """Evidence of several VMs about the instances of one service.

    Each score is a cumulative sum (CUSUM) test: evidence of failure is
    added, evidence of health is subtracted down to 0, so that a long
    healthy period does not delay detection. All rates are relative to the
    other instances at the same time.

    :param decay_s: decay time of the scores, seconds.
    :param min_witnesses: VMs that must have evidence against a suspect.
    """

    decay_s: float
    min_witnesses: int
    _states_by_id: dict[InstanceId, InstanceState] = attrs.field(factory=dict)
    _sums_by_class: dict[RouteId, DecayedSums] = attrs.field(factory=dict)
    _scores_by_id: dict[InstanceId, '_InstanceScores'] = attrs.field(
        factory=dict
    )
    _overdue_ids: set[InstanceId] = attrs.field(factory=set)
    _zones_by_vm: dict[VmId, str] = attrs.field(factory=dict)

    def add(
        self, *, vm_id: VmId, zone: str, rows: Iterable[EvidenceRow], now: float
    ) -> None:
        """Add the rows of one VM's report."""
        self._zones_by_vm[vm_id] = zone
        for row in rows:
            self._add_row(vm_id, zone, row, now)

    def suspects(self, now: float) -> list[Suspect]:
        """Return the suspects, the worst first."""
        found: list[Suspect] = []
        self._scores_by_id.clear()
        for instance_id, state in self._states_by_id.items():
            if not state.needs_evaluation:
                continue
            state.drop_stale(now)
            if not state.overdue:
                self._overdue_ids.discard(instance_id)
            state.needs_evaluation = (
                bool(state.overdue) or state.has_reportable_score()
            )
            if state.needs_evaluation:
                found.extend(self._suspects_of(instance_id, state, now))
        return sorted(found, key=lambda suspect: -suspect.score)

    def forget(self, instance_id: InstanceId) -> None:
        """Drop the evidence about an instance that was removed."""
        self._states_by_id.pop(instance_id, None)
        self._overdue_ids.discard(instance_id)

    def _add_row(
        self, vm_id: VmId, zone: str, row: EvidenceRow, now: float
    ) -> None:
        state = self._states_by_id.get(row.instance_id)
        if state is None:
            state = InstanceState()
            self._states_by_id[row.instance_id] = state
        baseline = self._baseline(row.instance_id, row.route_class, now)
        # _baseline() created both sums and decayed them to now.
        self._sums_by_class[row.route_class].add(row)
        state.sums_by_class[row.route_class].add(row)
        self._set_overdue(state, vm_id, zone, row, now)
        latency_score = _latency_score(row.ok, row.surprise, baseline)
        failure_score = _failure_score(row, baseline)
        state.add_vm_score(
            row.route_class, vm_id, max(latency_score, failure_score)
        )
        if row.overdue or latency_score > 0 or failure_score > 0:
            state.needs_evaluation = True
        for scope_scores in state.scores_of(row.route_class, zone, now):
            scope_scores.add(latency_score, failure_score, now, self.decay_s)
            if row.ok:
                scope_scores.answered_at = now

    def _set_overdue(
        self,
        state: InstanceState,
        vm_id: VmId,
        zone: str,
        row: EvidenceRow,
        now: float,
    ) -> None:
        key = (row.route_class, vm_id)
        if row.overdue:
            state.overdue[key] = OverdueAttempts(
                zone=zone,
                count=row.overdue,
                surprise=row.overdue_surprise,
                reported_at=now,
            )
            self._overdue_ids.add(row.instance_id)
        elif state.overdue.pop(key, None) and not state.overdue:
            self._overdue_ids.discard(row.instance_id)

    def _baseline(
        self, instance_id: InstanceId, route_class: RouteId, now: float
    ) -> _PeerBaseline:
        state = self._states_by_id[instance_id]
        total = sums_of(self._sums_by_class, route_class, now)
        own = state.sums_of(route_class, now)
        ok = total.ok - own.ok
        failed = total.failed - own.failed
        count, surprise = ok, total.surprise - own.surprise
        for other_id in self._overdue_ids:
            if other_id != instance_id:
                overdue = self._states_by_id[other_id].overdue_of(route_class)
                count += overdue.count
                surprise += overdue.surprise
        mean_surprise = (surprise + _PRIOR_REQUESTS) / (count + _PRIOR_REQUESTS)
        failure_rate = failed / (ok + failed + _PRIOR_REQUESTS)
        return _PeerBaseline(
            mean_surprise=max(1, _PEER_MARGIN * mean_surprise),
            failure_rate=max(_MIN_FAILURE_RATE, _PEER_MARGIN * failure_rate),
        )

    def _suspects_of(
        self, instance_id: InstanceId, state: InstanceState, now: float
    ) -> list[Suspect]:
        instance_scores = self._scores_of(instance_id, state, now)
        classes = tuple(instance_scores.baselines_by_class)
        failing_classes = [
            class_id
            for class_id in classes
            if instance_scores.score(class_id, '') >= _COMMON_FAILURE_SCORE
        ]
        # One failing class is not a failing instance, unless it holds all
        # slots, so that the other classes get no answers either.
        is_common = len(failing_classes) >= min(2, len(classes))
        is_common |= bool(failing_classes) and instance_scores.is_unresponsive(
            ANY_CLASS, EVERYWHERE
        )
        reported_classes = (
            [ANY_CLASS, *failing_classes] if is_common else failing_classes
        )
        found = []
        for route_class in reported_classes:
            for zone in instance_scores.failing_zones(
                route_class, self.min_witnesses
            ):
                shared = self._shared_score(instance_id, route_class, zone, now)
                score = instance_scores.score(route_class, zone) - shared
                if score >= REPORT_SCORE:
                    found.append(
                        instance_scores.suspect(
                            instance_id, route_class, zone, score
                        )
                    )
        return found

    def _shared_score(
        self,
        instance_id: InstanceId,
        route_class: RouteId,
        zone: str,
        now: float,
    ) -> float:
        """Return the score that a cause shared by most instances explains."""
        peer_scores = []
        for other_id, state in self._states_by_id.items():
            if other_id == instance_id:
                continue
            if state.overdue:
                instance_scores = self._scores_of(other_id, state, now)
                peer_scores.append(instance_scores.score(route_class, zone))
            else:
                # An upper bound that needs no baseline of that instance.
                peer_scores.append(state.max_score(route_class, zone))
        return (
            _SHARED_MARGIN * statistics.median(peer_scores)
            if peer_scores
            else 0
        )

    def _scores_of(
        self, instance_id: InstanceId, state: InstanceState, now: float
    ) -> '_InstanceScores':
        instance_scores = self._scores_by_id.get(instance_id)
        if instance_scores is not None:
            return instance_scores
        classes = sorted(state.sums_by_class)
        instance_scores = _InstanceScores(
            state=state,
            baselines_by_class={
                class_id: self._baseline(instance_id, class_id, now)
                for class_id in classes
            },
            zones_by_vm=self._zones_by_vm,
            decay_s=self.decay_s,
            now=now,
        )
        self._scores_by_id[instance_id] = instance_scores
        return instance_scores


@attrs.define(kw_only=True, eq=False)
class _InstanceScores:
    """Scores of one instance at one time."""

    state: InstanceState
    baselines_by_class: dict[RouteId, _PeerBaseline]
    zones_by_vm: dict[VmId, str]
    decay_s: float
    now: float

    def score(self, route_class: RouteId, zone: str) -> float:
        scope_scores = self.state.scores_by_scope.get((route_class, zone))
        if scope_scores is None:
            return 0
        decay_factor = math.exp(
            (scope_scores.updated_at - self.now) / self.decay_s
        )
        # Earlier evidence is weighted by the present baseline, so that a
        # shared cause that reached this instance first does not eject it.
        baseline = self._baseline(route_class)
        latency_score = (
            scope_scores.latency_score * decay_factor / baseline.mean_surprise
        )
        failure_score = (
            scope_scores.failure_score * decay_factor * baseline.failure_weight
        )
        return max(
            latency_score + self._overdue_score(route_class, zone),
            failure_score,
        )

    def is_unresponsive(self, route_class: RouteId, zone: str) -> bool:
        """Return whether no VM in the scope got an answer recently."""
        answered_at = self.state.scores_by_scope[route_class, zone].answered_at
        min_pause = _ZONE_NO_ANSWER_S if zone else _NO_ANSWER_S
        return self.now - answered_at >= min_pause

    def failing_zones(
        self, route_class: RouteId, min_witnesses: int
    ) -> list[str]:
        """Return the zones to report, or ``EVERYWHERE`` alone.

        :param min_witnesses: VMs that must have evidence of the failure.
        """
        zones = sorted(
            {zone for _, zone in self.state.scores_by_scope} - {EVERYWHERE}
        )
        failing = [
            zone
            for zone in zones
            if self.score(route_class, zone) >= _COMMON_FAILURE_SCORE
        ]
        healthy = [
            zone
            for zone in zones
            if zone not in failing and self._is_healthy(route_class, zone)
        ]
        is_common = len(failing) > len(healthy) and len(failing) >= min(
            2, len(zones)
        )
        if is_common or not zones:
            failing = [EVERYWHERE]
        return [
            zone
            for zone in failing
            if self.score(route_class, zone) >= REPORT_SCORE
            and len(self._witnesses(route_class, zone)) >= min_witnesses
        ]

    def suspect(
        self,
        instance_id: InstanceId,
        route_class: RouteId,
        zone: str,
        score: float,
    ) -> Suspect:
        sums = [
            self.state.sums_of(class_id, self.now)
            for class_id in self.baselines_by_class
            if route_class in {ANY_CLASS, class_id}
        ]
        return Suspect(
            instance_id=instance_id,
            route_class=route_class,
            zone=zone,
            score=round(score, 1),
            failed=round(sum(item.failed for item in sums), 1),
            ok=round(sum(item.ok for item in sums), 1),
            overdue=sum(
                attempts.count
                for _, _, attempts in self._overdue(route_class, zone)
            ),
            witnesses=len(self._witnesses(route_class, zone)),
        )

    def _baseline(self, route_class: RouteId) -> _PeerBaseline:
        if route_class != ANY_CLASS:
            return self.baselines_by_class[route_class]
        found = self.baselines_by_class.values()
        return _PeerBaseline(
            mean_surprise=max(baseline.mean_surprise for baseline in found),
            failure_rate=max(baseline.failure_rate for baseline in found),
        )

    def _is_healthy(self, route_class: RouteId, zone: str) -> bool:
        scope_scores = self.state.scores_by_scope.get((route_class, zone))
        if scope_scores is None:
            return False
        age = self.now - scope_scores.healthy_at
        return (
            scope_scores.healthy_streak >= _MIN_HEALTHY_REPORTS
            and age <= _HEALTHY_VALIDITY_S
        )

    def _witnesses(self, route_class: RouteId, zone: str) -> set[VmId]:
        overdue_vms = {
            vm_id for _, vm_id, _ in self._overdue(route_class, zone)
        }
        return overdue_vms | {
            vm_id
            for (class_id, vm_id), score in self.state.scores_by_vm.items()
            if score >= _WITNESS_SCORE
            and route_class in {ANY_CLASS, class_id}
            and zone in {EVERYWHERE, self.zones_by_vm.get(vm_id)}
        }

    def _overdue(
        self, route_class: RouteId, zone: str
    ) -> list[tuple[RouteId, VmId, OverdueAttempts]]:
        return [
            (class_id, vm_id, attempts)
            for (class_id, vm_id), attempts in self.state.overdue.items()
            if route_class in {ANY_CLASS, class_id}
            and zone in {EVERYWHERE, attempts.zone}
        ]

    def _overdue_score(self, route_class: RouteId, zone: str) -> float:
        total = float(0)
        is_unresponsive = self.is_unresponsive(route_class, zone)
        for class_id, _, attempts in self._overdue(route_class, zone):
            baseline = self.baselines_by_class[class_id]
            if is_unresponsive:
                total += (
                    _NO_ANSWER_WEIGHT
                    * attempts.surprise
                    / baseline.mean_surprise
                )
            else:
                total += max(
                    0,
                    _latency_score(attempts.count, attempts.surprise, baseline),
                )
        return total


def _latency_score(
    count: int, surprise: float, baseline: _PeerBaseline
) -> float:
    return (
        count * _LLR_PER_REQUEST
        + _LLR_PER_SURPRISE * surprise / baseline.mean_surprise
    )


def _failure_score(row: EvidenceRow, baseline: _PeerBaseline) -> float:
    if baseline.failure_rate >= _SHARED_FAILURE_RATE:
        return 0
    llr_per_failure = math.log(_FAILING_FAILURE_RATE / baseline.failure_rate)
    llr_per_answer = math.log(
        (1 - _FAILING_FAILURE_RATE) / (1 - baseline.failure_rate)
    )
    return row.failed * llr_per_failure + row.ok * llr_per_answer

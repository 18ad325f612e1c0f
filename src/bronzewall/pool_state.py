"""Evidence about one instance, pooled from the reports of several VMs."""

import math

import attrs

from bronzewall.evidence import EvidenceRow
from bronzewall.types import RouteId, VmId

# Decay time of the sums by which the instances of a service are compared;
# short, so that a slow shared dependency shows at all of them at the same
# time.
_SUMS_DECAY_S = 0.7
# Upper bound of a score; a higher score would only delay the return of an
# ejected instance.
_MAX_SCORE = 24.0
# Scores decay in steps of this length, much shorter than their decay time.
_DECAY_STEP_S = 0.1
# A VM reports its overdue attempts at every tick. One that has not reported
# for longer than this has stopped, and its overdue attempts are dropped.
_STALE_OVERDUE_S = 0.6
# Lowest score at which an instance is reported as a suspect.
REPORT_SCORE = 6.0
# Log-likelihood ratio of failing to healthy at which an instance is ejected.
EJECT_SCORE = 18.0

# Zone and route class that stand for all of them.
EVERYWHERE = ''
ANY_CLASS = RouteId('')


@attrs.define(kw_only=True, eq=False)
class DecayedSums:
    """Counts and surprise of recent attempts, with exponential decay.

    :param updated_at: time to which the sums have decayed.
    :param surprise: sum of the surprise of the answers' latencies, see
        ``LatencyDistribution``.
    """

    updated_at: float
    ok: float = 0
    failed: float = 0
    surprise: float = 0

    def decay(self, now: float) -> None:
        """Decay the sums to the given time."""
        if now > self.updated_at:
            decay_factor = math.exp((self.updated_at - now) / _SUMS_DECAY_S)
            self.updated_at = now
            self.ok *= decay_factor
            self.failed *= decay_factor
            self.surprise *= decay_factor

    def add(self, row: EvidenceRow) -> None:
        """Add the finished attempts of a row; call ``decay`` first."""
        self.ok += row.ok
        self.failed += row.failed
        self.surprise += row.surprise


@attrs.define(kw_only=True, eq=False)
class ScopeScores:
    """Scores of one instance for one scope, a route class and a zone.

    A score is the log-likelihood ratio of failing to healthy. An empty
    route class or zone stands for all of them.

    :param updated_at: time to which the scores have decayed.
    :param healthy_streak: consecutive updates with evidence of health only.
    :param healthy_at: time of the last such update.
    :param answered_at: time of the last report with an answer.
    """

    updated_at: float
    latency_score: float = 0
    failure_score: float = 0
    healthy_streak: int = 0
    healthy_at: float = -math.inf
    answered_at: float = -math.inf

    def add(
        self,
        latency_score: float,
        failure_score: float,
        now: float,
        decay_s: float,
    ) -> None:
        """Decay the scores and add new evidence.

        :param decay_s: decay time, seconds.
        """
        if now - self.updated_at >= _DECAY_STEP_S:
            if self.latency_score or self.failure_score:
                decay_factor = math.exp((self.updated_at - now) / decay_s)
                self.latency_score *= decay_factor
                self.failure_score *= decay_factor
            self.updated_at = now
        self.latency_score = clamp_score(self.latency_score + latency_score)
        self.failure_score = clamp_score(self.failure_score + failure_score)
        if latency_score > 0 or failure_score > 0:
            self.healthy_streak = 0
        elif latency_score or failure_score:
            self.healthy_streak += 1
            self.healthy_at = now


@attrs.define(kw_only=True, eq=False)
class OverdueAttempts:
    """Overdue attempts, of one VM or summed over several.

    :param zone: zone of the VM.
    :param surprise: sum of the surprise of the attempts' durations so far.
    :param reported_at: time of the VM's report.
    """

    zone: str = EVERYWHERE
    count: int = 0
    surprise: float = 0
    reported_at: float = 0


@attrs.define(kw_only=True, eq=False)
class InstanceState:
    """Pooled evidence about one instance.

    :param scores_by_scope: scores by route class and zone.
    :param scores_by_source: scores that a report's route class and zone
        contribute to.
    :param overdue: overdue attempts by route class and VM.
    :param scores_by_vm: scores by route class and VM, each from the
        evidence of that VM alone, without decay.
    :param needs_evaluation: whether it may be a suspect.
    """

    scores_by_scope: dict[tuple[RouteId, str], ScopeScores] = attrs.field(
        factory=dict
    )
    scores_by_source: dict[tuple[RouteId, str], tuple[ScopeScores, ...]] = (
        attrs.field(factory=dict)
    )
    sums_by_class: dict[RouteId, DecayedSums] = attrs.field(factory=dict)
    overdue: dict[tuple[RouteId, VmId], OverdueAttempts] = attrs.field(
        factory=dict
    )
    scores_by_vm: dict[tuple[RouteId, VmId], float] = attrs.field(factory=dict)
    needs_evaluation: bool = False

    def has_reportable_score(self) -> bool:
        """Return whether a score of any scope reaches the report threshold."""
        return any(
            scope_scores.latency_score >= REPORT_SCORE
            or scope_scores.failure_score >= REPORT_SCORE
            for scope_scores in self.scores_by_scope.values()
        )

    def scores_of(
        self, route_class: RouteId, zone: str, now: float
    ) -> tuple[ScopeScores, ...]:
        """Return the scores that evidence from a class and zone adds to."""
        found = self.scores_by_source.get((route_class, zone))
        if found is None:
            keys = {
                (class_id, scope_zone)
                for class_id in (route_class, ANY_CLASS)
                for scope_zone in (zone, EVERYWHERE)
            }
            found = tuple(
                self.scores_by_scope.setdefault(
                    key, ScopeScores(updated_at=now)
                )
                for key in sorted(keys)
            )
            self.scores_by_source[route_class, zone] = found
        return found

    def add_vm_score(
        self, route_class: RouteId, vm_id: VmId, score: float
    ) -> None:
        """Add to the cumulative score of one VM."""
        key = (route_class, vm_id)
        previous = self.scores_by_vm.get(key, 0)
        self.scores_by_vm[key] = clamp_score(previous + score)

    def max_score(self, route_class: RouteId, zone: str) -> float:
        """Return the higher score of a scope; open attempts do not count."""
        scope_scores = self.scores_by_scope.get((route_class, zone))
        return (
            max(scope_scores.latency_score, scope_scores.failure_score)
            if scope_scores
            else 0
        )

    def sums_of(self, route_class: RouteId, now: float) -> DecayedSums:
        """Return the sums of a route class, decayed to the given time."""
        return sums_of(self.sums_by_class, route_class, now)

    def drop_stale(self, now: float) -> None:
        """Drop the overdue attempts of VMs that stopped reporting."""
        oldest_valid = now - _STALE_OVERDUE_S
        stale = [
            key
            for key, attempts in self.overdue.items()
            if attempts.reported_at < oldest_valid
        ]
        for key in stale:
            self.overdue.pop(key)

    def overdue_of(self, route_class: RouteId) -> OverdueAttempts:
        """Return the overdue attempts of a route class over all VMs."""
        total = OverdueAttempts()
        for (class_id, _), attempts in self.overdue.items():
            if class_id == route_class:
                total.count += attempts.count
                total.surprise += attempts.surprise
        return total


def sums_of(
    sums_by_class: dict[RouteId, DecayedSums], route_class: RouteId, now: float
) -> DecayedSums:
    """Return the sums of a class, created if missing, decayed to ``now``."""
    sums = sums_by_class.get(route_class)
    if sums is None:
        sums = DecayedSums(updated_at=now)
        sums_by_class[route_class] = sums
    sums.decay(now)
    return sums


def clamp_score(score: float) -> float:
    """Return a score limited to 0 and the maximum."""
    if score <= 0:
        return 0
    return score if score < _MAX_SCORE else _MAX_SCORE

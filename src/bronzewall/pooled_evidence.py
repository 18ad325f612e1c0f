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
    InstanceState,
    Moment,
    Overdue,
    moment_of,
)
from bronzewall.types import InstanceId, RouteId, VmId

# Latency test: the surprise of a sick instance's requests has this many
# times the mean of its peers'.
_SICK_RATIO = 4.0
_SLOW_BASE = -math.log(_SICK_RATIO)
_SLOW_GAIN = 1 - 1 / _SICK_RATIO
# Failure test: share of failures of a sick instance, and the least share
# assumed of a healthy one.
_SICK_FAILURES = 0.5
_USUAL_FAILURES = 0.005
# Peers that fail this often show a shared cause, not a sick instance.
_SHARED_FAILURES = 0.25
# Peers' figures are raised by the margin, because they are estimates; the
# prior counts as this many healthy requests of the peers.
_PEER_MARGIN = 1.1
_PRIOR_WEIGHT = 5.0
# Score of a zone or class above which it takes part in a common failure.
_PART_SCORE = 3.0
# A zone without a score counts as good after this many good reports in a
# row, the last of them at most so long ago.
_LEAST_GOOD = 3
_GOOD_LIFE_S = 0.5
# A score counts only above this multiple of the median of the peers'.
_SHARED_MARGIN = 2.0
# An instance that answers nobody for so long hangs; the longest requests
# of a healthy one rarely occupy all of its slots at the same time.
_SILENCE_S = 0.15
# One zone asks an instance less often, so that pauses are longer.
_ZONE_SILENCE_S = 0.5
# Requests that wait in the queue of a silent instance are overdue
# together, so that an open attempt is half an independent observation.
_SILENT_GAIN = 0.6
# A VM is a witness when its own evidence has this score.
_WITNESS_SCORE = 1.0


@attrs.frozen(kw_only=True)
class Suspect:
    """An (instance, route class) that does worse than its peers.

    :param route_class: empty for the whole instance.
    :param zone: zone from which it is unreachable; empty if it fails for
        all zones.
    :param score: log likelihood ratio of sick to healthy.
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
class _Usual:
    """What the peers of an instance show in the same moment.

    :param surprise: mean surprise, at least 1.
    :param failed: share of failures.
    """

    surprise: float
    failed: float

    @property
    def failure_worth(self) -> float:
        """Evidence of a failure, relative to peers that hardly fail."""
        if self.failed >= _SHARED_FAILURES:
            return 0
        most = math.log(_SICK_FAILURES / _USUAL_FAILURES)
        return math.log(_SICK_FAILURES / self.failed) / most


@attrs.define(kw_only=True, eq=False)
class EvidencePool:
    """Evidence of several VMs about the instances of one service.

    Each score is a cumulative sum test: evidence for sickness adds,
    evidence for health subtracts down to 0, so that a long good past does
    not delay the detection. All shares are relative to the other
    instances in the same moment.

    :param memory: seconds after which a score has fallen to 1/e.
    :param least_witnesses: VMs that must have evidence against a suspect.
    """

    memory: float
    least_witnesses: int
    _states_by_id: dict[InstanceId, InstanceState] = attrs.field(factory=dict)
    _moments_by_class: dict[RouteId, Moment] = attrs.field(factory=dict)
    _sheets_by_id: dict[InstanceId, '_Sheet'] = attrs.field(factory=dict)
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
        self._sheets_by_id.clear()
        for instance_id, state in self._states_by_id.items():
            if not state.is_doubtful:
                continue
            state.drop_stale(now)
            if not state.overdue:
                self._overdue_ids.discard(instance_id)
            state.is_doubtful = bool(state.overdue) or state.has_score()
            if state.is_doubtful:
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
        usual = self._usual(row.instance_id, row.route_class, now)
        # Both are at the present time after the look at the peers.
        self._moments_by_class[row.route_class].add(row)
        state.moments_by_class[row.route_class].add(row)
        self._set_overdue(state, vm_id, zone, row, now)
        slow = _slow_score(row.ok, row.surprise, usual)
        failing = _failing_score(row, usual)
        state.hear(row.route_class, vm_id, max(slow, failing))
        if row.overdue or slow > 0 or failing > 0:
            state.is_doubtful = True
        for place in state.places_of(row.route_class, zone, now):
            place.add(slow, failing, now, self.memory)
            if row.ok:
                place.answered_at = now

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
            state.overdue[key] = Overdue(
                zone=zone,
                count=row.overdue,
                surprise=row.overdue_surprise,
                at=now,
            )
            self._overdue_ids.add(row.instance_id)
        elif state.overdue.pop(key, None) and not state.overdue:
            self._overdue_ids.discard(row.instance_id)

    def _usual(
        self, instance_id: InstanceId, route_class: RouteId, now: float
    ) -> _Usual:
        state = self._states_by_id[instance_id]
        total = moment_of(self._moments_by_class, route_class, now)
        own = state.moment(route_class, now)
        ok = total.ok - own.ok
        failed = total.failed - own.failed
        count, surprise = ok, total.surprise - own.surprise
        for other_id in self._overdue_ids:
            if other_id != instance_id:
                overdue = self._states_by_id[other_id].overdue_of(route_class)
                count += overdue.count
                surprise += overdue.surprise
        mean = (surprise + _PRIOR_WEIGHT) / (count + _PRIOR_WEIGHT)
        share = failed / (ok + failed + _PRIOR_WEIGHT)
        return _Usual(
            surprise=max(1, _PEER_MARGIN * mean),
            failed=max(_USUAL_FAILURES, _PEER_MARGIN * share),
        )

    def _suspects_of(
        self, instance_id: InstanceId, state: InstanceState, now: float
    ) -> list[Suspect]:
        sheet = self._sheet(instance_id, state, now)
        classes = tuple(sheet.usual_by_class)
        bad = [its for its in classes if sheet.score(its, '') >= _PART_SCORE]
        # One failing class is not a failing instance, unless it holds all
        # slots, so that the other classes get no answers either.
        is_common = len(bad) >= min(2, len(classes))
        is_common |= bool(bad) and sheet.is_silent(ANY_CLASS, EVERYWHERE)
        wanted = [ANY_CLASS, *bad] if is_common else bad
        found = []
        for route_class in wanted:
            for zone in sheet.failing_zones(route_class, self.least_witnesses):
                shared = self._shared_score(instance_id, route_class, zone, now)
                score = sheet.score(route_class, zone) - shared
                if score >= REPORT_SCORE:
                    found.append(
                        sheet.suspect(instance_id, route_class, zone, score)
                    )
        return found

    def _shared_score(
        self,
        instance_id: InstanceId,
        route_class: RouteId,
        zone: str,
        now: float,
    ) -> float:
        """Return what a cause that most instances share may explain."""
        scores = []
        for other_id, state in self._states_by_id.items():
            if other_id == instance_id:
                continue
            if state.overdue:
                sheet = self._sheet(other_id, state, now)
                scores.append(sheet.score(route_class, zone))
            else:
                # An upper bound that needs no look at the peers' peers.
                scores.append(state.highest(route_class, zone))
        return _SHARED_MARGIN * statistics.median(scores) if scores else 0

    def _sheet(
        self, instance_id: InstanceId, state: InstanceState, now: float
    ) -> '_Sheet':
        sheet = self._sheets_by_id.get(instance_id)
        if sheet is not None:
            return sheet
        classes = sorted(state.moments_by_class)
        sheet = _Sheet(
            state=state,
            usual_by_class={
                its: self._usual(instance_id, its, now) for its in classes
            },
            zones_by_vm=self._zones_by_vm,
            memory=self.memory,
            now=now,
        )
        self._sheets_by_id[instance_id] = sheet
        return sheet


@attrs.define(kw_only=True, eq=False)
class _Sheet:
    """Scores of one instance at one time."""

    state: InstanceState
    usual_by_class: dict[RouteId, _Usual]
    zones_by_vm: dict[VmId, str]
    memory: float
    now: float

    def score(self, route_class: RouteId, zone: str) -> float:
        place = self.state.places.get((route_class, zone))
        if place is None:
            return 0
        kept = math.exp((place.at - self.now) / self.memory)
        # Earlier evidence counts as much as it would in the present moment;
        # a cause that reached this instance first then ejects nobody.
        usual = self._usual(route_class)
        slow = place.slow * kept / usual.surprise
        failing = place.failing * kept * usual.failure_worth
        return max(slow + self._overdue_score(route_class, zone), failing)

    def is_silent(self, route_class: RouteId, zone: str) -> bool:
        """Return whether nobody got an answer lately."""
        answered_at = self.state.places[route_class, zone].answered_at
        least = _ZONE_SILENCE_S if zone else _SILENCE_S
        return self.now - answered_at >= least

    def failing_zones(self, route_class: RouteId, least: int) -> list[str]:
        """Return the zones to report, or ``EVERYWHERE`` alone.

        :param least: VMs that must have seen it.
        """
        zones = sorted({zone for _, zone in self.state.places} - {EVERYWHERE})
        bad = [
            zone
            for zone in zones
            if self.score(route_class, zone) >= _PART_SCORE
        ]
        good = [
            zone
            for zone in zones
            if zone not in bad and self._is_good(route_class, zone)
        ]
        is_common = len(bad) > len(good) and len(bad) >= min(2, len(zones))
        if is_common or not zones:
            bad = [EVERYWHERE]
        return [
            zone
            for zone in bad
            if self.score(route_class, zone) >= REPORT_SCORE
            and len(self._witnesses(route_class, zone)) >= least
        ]

    def suspect(
        self,
        instance_id: InstanceId,
        route_class: RouteId,
        zone: str,
        score: float,
    ) -> Suspect:
        moments = [
            self.state.moment(its, self.now)
            for its in self.usual_by_class
            if route_class in {ANY_CLASS, its}
        ]
        return Suspect(
            instance_id=instance_id,
            route_class=route_class,
            zone=zone,
            score=round(score, 1),
            failed=round(sum(item.failed for item in moments), 1),
            ok=round(sum(item.ok for item in moments), 1),
            overdue=sum(
                seen.count for _, _, seen in self._overdue(route_class, zone)
            ),
            witnesses=len(self._witnesses(route_class, zone)),
        )

    def _usual(self, route_class: RouteId) -> _Usual:
        if route_class != ANY_CLASS:
            return self.usual_by_class[route_class]
        found = self.usual_by_class.values()
        return _Usual(
            surprise=max(usual.surprise for usual in found),
            failed=max(usual.failed for usual in found),
        )

    def _is_good(self, route_class: RouteId, zone: str) -> bool:
        place = self.state.places.get((route_class, zone))
        if place is None:
            return False
        age = self.now - place.good_at
        return place.good_run >= _LEAST_GOOD and age <= _GOOD_LIFE_S

    def _witnesses(self, route_class: RouteId, zone: str) -> set[VmId]:
        seen = {vm_id for _, vm_id, _ in self._overdue(route_class, zone)}
        return seen | {
            vm_id
            for (its, vm_id), score in self.state.words_by_vm.items()
            if score >= _WITNESS_SCORE
            and route_class in {ANY_CLASS, its}
            and zone in {EVERYWHERE, self.zones_by_vm.get(vm_id)}
        }

    def _overdue(
        self, route_class: RouteId, zone: str
    ) -> list[tuple[RouteId, VmId, Overdue]]:
        return [
            (its, vm_id, seen)
            for (its, vm_id), seen in self.state.overdue.items()
            if route_class in {ANY_CLASS, its}
            and zone in {EVERYWHERE, seen.zone}
        ]

    def _overdue_score(self, route_class: RouteId, zone: str) -> float:
        total = float(0)
        is_silent = self.is_silent(route_class, zone)
        for its, _, seen in self._overdue(route_class, zone):
            usual = self.usual_by_class[its]
            if is_silent:
                total += _SILENT_GAIN * seen.surprise / usual.surprise
            else:
                total += max(0, _slow_score(seen.count, seen.surprise, usual))
        return total


def _slow_score(count: int, surprise: float, usual: _Usual) -> float:
    return count * _SLOW_BASE + _SLOW_GAIN * surprise / usual.surprise


def _failing_score(row: EvidenceRow, usual: _Usual) -> float:
    if usual.failed >= _SHARED_FAILURES:
        return 0
    bad = math.log(_SICK_FAILURES / usual.failed)
    good = math.log((1 - _SICK_FAILURES) / (1 - usual.failed))
    return row.failed * bad + row.ok * good

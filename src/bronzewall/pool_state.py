"""State of one instance in the pooled evidence."""

import math

import attrs

from bronzewall.evidence import EvidenceRow
from bronzewall.types import RouteId, VmId

# Memory of the peers' figures; short, so that a slow shared dependency is
# seen at all instances at the same moment.
_MOMENT_S = 0.7
# A higher score would only delay the return.
_MAX_SCORE = 24.0
# Much less than any memory of scores.
_DECAY_STEP_S = 0.1
# Overdue attempts are reported at every tick; a VM that is silent for
# longer has stopped.
_STALE_OVERDUE_S = 0.6
# Score at which an instance is reported at all.
REPORT_SCORE = 6.0
# Log likelihood ratio of sick to healthy at which it is ejected.
EJECT_SCORE = 18.0

EVERYWHERE = ''
ANY_CLASS = RouteId('')


@attrs.define(kw_only=True, eq=False)
class Moment:
    """Sums that decay within moments."""

    at: float
    ok: float = 0
    failed: float = 0
    surprise: float = 0

    def decay(self, now: float) -> None:
        """Bring the sums to a time."""
        if now > self.at:
            kept = math.exp((self.at - now) / _MOMENT_S)
            self.at = now
            self.ok *= kept
            self.failed *= kept
            self.surprise *= kept

    def add(self, row: EvidenceRow) -> None:
        """Add the finished attempts of a row at the present time."""
        self.ok += row.ok
        self.failed += row.failed
        self.surprise += row.surprise


@attrs.define(kw_only=True, eq=False)
class Place:
    """Scores of one (instance, route class, zone), empty for any."""

    at: float
    slow: float = 0
    failing: float = 0
    good_run: int = 0
    good_at: float = -math.inf
    answered_at: float = -math.inf

    def add(
        self, slow: float, failing: float, now: float, memory: float
    ) -> None:
        """Add new scores to the earlier ones, which decay."""
        if now - self.at >= _DECAY_STEP_S:
            if self.slow or self.failing:
                kept = math.exp((self.at - now) / memory)
                self.slow *= kept
                self.failing *= kept
            self.at = now
        self.slow = bounded(self.slow + slow)
        self.failing = bounded(self.failing + failing)
        if slow > 0 or failing > 0:
            self.good_run = 0
        elif slow or failing:
            self.good_run += 1
            self.good_at = now


@attrs.define(kw_only=True, eq=False)
class Overdue:
    """Overdue attempts, of one VM or summed over several."""

    zone: str = EVERYWHERE
    count: int = 0
    surprise: float = 0
    at: float = 0


@attrs.define(kw_only=True, eq=False)
class InstanceState:
    """Everything known about one instance.

    :param words_by_vm: cumulative score on the evidence of one VM alone.
    :param is_doubtful: new evidence may have made it a suspect.
    """

    places: dict[tuple[RouteId, str], Place] = attrs.field(factory=dict)
    places_by_source: dict[tuple[RouteId, str], tuple[Place, ...]] = (
        attrs.field(factory=dict)
    )
    moments_by_class: dict[RouteId, Moment] = attrs.field(factory=dict)
    overdue: dict[tuple[RouteId, VmId], Overdue] = attrs.field(factory=dict)
    words_by_vm: dict[tuple[RouteId, VmId], float] = attrs.field(factory=dict)
    is_doubtful: bool = False

    def has_score(self) -> bool:
        """Return whether any place has a score worth a report."""
        return any(
            place.slow >= REPORT_SCORE or place.failing >= REPORT_SCORE
            for place in self.places.values()
        )

    def places_of(
        self, route_class: RouteId, zone: str, now: float
    ) -> tuple[Place, ...]:
        """Return the places that evidence from a zone counts for."""
        found = self.places_by_source.get((route_class, zone))
        if found is None:
            keys = {
                (its, scope)
                for its in (route_class, ANY_CLASS)
                for scope in (zone, EVERYWHERE)
            }
            found = tuple(
                self.places.setdefault(key, Place(at=now))
                for key in sorted(keys)
            )
            self.places_by_source[route_class, zone] = found
        return found

    def hear(self, route_class: RouteId, vm_id: VmId, score: float) -> None:
        """Add to what one VM says."""
        key = (route_class, vm_id)
        earlier = self.words_by_vm.get(key, 0)
        self.words_by_vm[key] = bounded(earlier + score)

    def highest(self, route_class: RouteId, zone: str) -> float:
        """Return the higher score of a place without open attempts."""
        place = self.places.get((route_class, zone))
        return max(place.slow, place.failing) if place else 0

    def moment(self, route_class: RouteId, now: float) -> Moment:
        """Return the sums of a route class at a time."""
        return moment_of(self.moments_by_class, route_class, now)

    def drop_stale(self, now: float) -> None:
        """Drop the overdue attempts of VMs that are silent."""
        oldest = now - _STALE_OVERDUE_S
        stale = [key for key, seen in self.overdue.items() if seen.at < oldest]
        for key in stale:
            self.overdue.pop(key)

    def overdue_of(self, route_class: RouteId) -> Overdue:
        """Return the sum over all VMs for one route class."""
        total = Overdue()
        for (its_class, _), seen in self.overdue.items():
            if its_class == route_class:
                total.count += seen.count
                total.surprise += seen.surprise
        return total


def moment_of(
    moments_by_class: dict[RouteId, Moment], route_class: RouteId, now: float
) -> Moment:
    """Return the sums of a route class at a time, made if missing."""
    moment = moments_by_class.get(route_class)
    if moment is None:
        moment = Moment(at=now)
        moments_by_class[route_class] = moment
    moment.decay(now)
    return moment


def bounded(score: float) -> float:
    """Return a score within its bounds."""
    if score <= 0:
        return 0
    return score if score < _MAX_SCORE else _MAX_SCORE

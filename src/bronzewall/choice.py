"""Selection of an instance: locality, slots, least loaded of two."""

import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from bronzewall.config_model import Instance, Route
from bronzewall.locality import Locality
from bronzewall.types import InstanceId

WeightOf = Callable[[Instance, Route], float]

# A cold instance starts with this fraction of its traffic, which grows
# linearly to 1 during the ramp-up.
RAMP_UP_S = 10.0
RAMP_UP_START = 0.1
FULL_WEIGHT = 1.0
# A drain notice is repeated with each answer and each load report, so the
# leaving state may expire soon after the last one.
LEAVING_S = 30.0
REPORTED_LEAVING_S = 2.0
# Pause after a shed answer or a refused connection; the longest is 1.6 s.
_FIRST_BLOCK_S = 0.05
_MAX_BLOCK_DOUBLINGS = 5


@attrs.define(kw_only=True, eq=False)
class InstanceLoad:
    """Load and state of one instance as this VM observes them.

    :param locality: its distance class from this VM.
    :param weight: fraction of normal traffic, for the route of the last
        selection.
    :param in_flight: this VM's requests on the instance.
    :param share: slots of the instance that this VM may use.
    :param lent: slots of the share that are on loan to other VMs.
    :param borrowed: slots of other VMs' shares that this VM may use now.
    :param expiring: borrowed slots that get no new work but may be in use.
    :param others_in_flight: requests of other VMs on it, as last reported.
    :param connection_cap: connections that this VM may open to it.
    :param cold_since: clock time at which it was added, ``None`` once its
        ramp-up is over.
    :param blocked_until: clock time before which it gets no requests.
    :param failures: consecutive shed answers or failed connects.
    :param paced_until: clock time before which it gets no requests, if its
        weight is below that of the best candidate.
    :param leaving_until: clock time until which it gets no new work.
    :param leaving_seen_until: the same from this VM's own observation,
        which alone it reports to others.
    """

    instance: Instance
    locality: Locality
    share: int
    weight: float = FULL_WEIGHT
    in_flight: int = 0
    lent: int = 0
    borrowed: int = 0
    expiring: int = 0
    others_in_flight: float = 0
    connection_cap: int = 1
    cold_since: float | None = None
    blocked_until: float = 0
    failures: int = 0
    paced_until: float = 0
    leaving_until: float = 0
    leaving_seen_until: float = 0

    def usable(self) -> int:
        """Return how many slots this VM may use now."""
        return self.share - self.lent + self.borrowed

    def block(self, now: float) -> None:
        """Block the instance for a pause that doubles with each failure."""
        doublings = min(self.failures, _MAX_BLOCK_DOUBLINGS)
        self.failures += 1
        self.blocked_until = now + _FIRST_BLOCK_S * 2**doublings

    def mark_leaving(self, now: float, *, is_reported: bool) -> None:
        """Give the instance no new work for a limited time.

        :param is_reported: another VM observed that it is leaving. This VM
            must not report it in turn, or the state would never expire.
        """
        if is_reported:
            until = now + REPORTED_LEAVING_S
        else:
            until = now + LEAVING_S
            self.leaving_seen_until = until
        self.leaving_until = max(self.leaving_until, until)

    def ramp_up_weight(self, now: float) -> float:
        """Return the fraction of normal traffic during the ramp-up."""
        if self.cold_since is None:
            return FULL_WEIGHT
        progress = (now - self.cold_since) / RAMP_UP_S
        if progress >= 1:
            self.cold_since = None
            return FULL_WEIGHT
        return max(RAMP_UP_START, progress)


@attrs.frozen(kw_only=True)
class Choice:
    """A selected instance.

    :param is_borrowed: the slot belongs to another VM's share.
    :param relative_weight: its weight relative to the best candidate.
    """

    load: InstanceLoad
    is_borrowed: bool
    relative_weight: float = FULL_WEIGHT


def full_weight(_instance: Instance, _route: Route) -> float:
    """Return the weight of a healthy instance."""
    return FULL_WEIGHT


def candidates_of(
    *,
    loads: Iterable[InstanceLoad],
    route: Route,
    excluded: frozenset[InstanceId],
    weight_of: WeightOf,
    now: float,
) -> list[InstanceLoad]:
    """Set the weights and return the instances that may run a request.

    Ejected instances (weight 0) are returned only if every instance of
    the service that is not leaving is ejected.
    """
    staying = [known for known in loads if known.leaving_until <= now]
    best_weight = float(0)
    for load in staying:
        load.weight = weight_of(load.instance, route)
        if load.cold_since is not None:
            load.weight *= load.ramp_up_weight(now)
        best_weight = max(best_weight, load.weight)
    if best_weight <= 0:
        for ejected in staying:
            ejected.weight = FULL_WEIGHT
    return [
        found
        for found in staying
        if found.weight > 0 and found.instance.instance_id not in excluded
    ]


def choose(
    *,
    candidates: Sequence[InstanceLoad],
    may_borrow: bool,
    rng: random.Random,
    now: float,
) -> Choice | None:
    """Return an instance with a free slot, or ``None``.

    :param candidates: result of ``candidates_of``.
    :param may_borrow: whether slots of other VMs' shares may be used.
    """
    best_weight = max((load.weight for load in candidates), default=0)
    # One list per rank: own slots in the zone and region rank first, then
    # borrowed slots there, and other regions after both.
    ranked: dict[int, list[InstanceLoad]] = {}
    for load in candidates:
        rank = _rank(load, may_borrow=may_borrow, now=now)
        if rank is None:
            continue
        # A lowered weight is a fraction of normal traffic. It is taken
        # relative to the best weight, so that a request never waits only
        # because sampling excluded every candidate.
        probability = load.weight / best_weight
        if probability >= 1 or _passes_sampling(load, probability, rng, now):
            ranked.setdefault(rank, []).append(load)
    if not ranked:
        return None
    rank = min(ranked)
    chosen = _less_loaded(ranked[rank], rng)
    return Choice(
        load=chosen,
        is_borrowed=rank in _BORROWED_RANKS,
        relative_weight=chosen.weight / best_weight,
    )


_OWN_RANKS = (0, 1, 4)
_BORROWED_RANKS = (2, 3, 5)


def _rank(load: InstanceLoad, *, may_borrow: bool, now: float) -> int | None:
    if load.blocked_until > now or load.in_flight >= load.connection_cap:
        return None
    if load.in_flight < load.share - load.lent + load.borrowed:
        return _OWN_RANKS[load.locality]
    used = load.in_flight + load.others_in_flight
    if may_borrow and used < load.instance.slots:
        return _BORROWED_RANKS[load.locality]
    return None


def _passes_sampling(
    load: InstanceLoad, probability: float, rng: random.Random, now: float
) -> bool:
    # Each queued request is tried repeatedly, so without the pacing an
    # instance of low weight would get more than its fraction of traffic
    # while requests wait.
    return load.paced_until <= now and rng.random() < probability


def _less_loaded(loads: list[InstanceLoad], rng: random.Random) -> InstanceLoad:
    if len(loads) == 1:
        return loads[0]
    first = int(rng.random() * len(loads))
    second = int(rng.random() * (len(loads) - 1))
    second += second >= first
    return min(loads[first], loads[second], key=_utilization)


def _utilization(load: InstanceLoad) -> float:
    return (load.in_flight + load.others_in_flight + 1) / load.instance.slots

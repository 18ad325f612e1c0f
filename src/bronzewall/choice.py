"""Choice of an instance: nearness, shares of slots, two random choices."""

import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from bronzewall.config_model import Instance, Route
from bronzewall.types import InstanceId, Placement

WeightOf = Callable[[Instance, Route], float]

SAME_ZONE, SAME_REGION, OTHER_REGION = range(3)
# A cold instance gets this share of its traffic at first and all of it
# when the ramp is over.
RAMP_S = 10.0
RAMP_START = 0.1
FULL_WEIGHT = 1.0


@attrs.define(kw_only=True, eq=False)
class InstanceLoad:
    """What this VM knows about the load of one instance.

    :param nearness: ``SAME_ZONE``, ``SAME_REGION`` or ``OTHER_REGION``.
    :param in_flight: this VM's requests on the instance.
    :param share: slots of the instance that this VM may use.
    :param others: requests of other VMs on it, as last reported.
    :param connection_cap: connections that this VM may hold to it.
    :param cold_since: clock time at which it appeared, ``None`` if warm.
    :param blocked_until: clock time before which it is not tried.
    :param failures: sheds or failed connects in a row.
    :param paced_until: clock time before which it gets nothing while its
        weight is lowered.
    :param leaving_until: clock time until which it gets no new work.
    """

    instance: Instance
    nearness: int
    share: int
    in_flight: int = 0
    others: float = 0
    connection_cap: int = 1
    cold_since: float | None = None
    blocked_until: float = 0
    failures: int = 0
    paced_until: float = 0
    leaving_until: float = 0

    def ramp(self, now: float) -> float:
        """Return the share of normal traffic for a cold instance."""
        if self.cold_since is None:
            return FULL_WEIGHT
        warmth = (now - self.cold_since) / RAMP_S
        if warmth >= 1:
            self.cold_since = None
            return FULL_WEIGHT
        return max(RAMP_START, warmth)


@attrs.frozen(kw_only=True)
class Candidate:
    """An instance that may take a request, with its weight."""

    load: InstanceLoad
    weight: float


@attrs.frozen(kw_only=True)
class Choice:
    """A chosen instance.

    :param is_borrowed: the slot belongs to another VM's share.
    :param relative_weight: its weight relative to the best candidate.
    """

    load: InstanceLoad
    is_borrowed: bool
    relative_weight: float = FULL_WEIGHT


def nearness_of(own: Placement, other: Placement) -> int:
    """Return how near a placement is to this VM."""
    if own.zone == other.zone:
        return SAME_ZONE
    return SAME_REGION if own.region == other.region else OTHER_REGION


def candidates_of(
    *,
    loads: Iterable[InstanceLoad],
    route: Route,
    excluded: frozenset[InstanceId],
    weight_of: WeightOf,
    now: float,
) -> list[Candidate]:
    """Return the instances that may run a request, busy or not.

    Ejected instances (weight 0) are returned only if every instance of
    the service that is not leaving is ejected.
    """
    staying = [load for load in loads if load.leaving_until <= now]
    weighed = [
        Candidate(
            load=load,
            weight=weight_of(load.instance, route) * load.ramp(now),
        )
        for load in staying
    ]
    if not any(candidate.weight > 0 for candidate in weighed):
        weighed = [Candidate(load=load, weight=FULL_WEIGHT) for load in staying]
    return [
        candidate
        for candidate in weighed
        if candidate.weight > 0
        and candidate.load.instance.instance_id not in excluded
    ]


def choose(
    *,
    candidates: Sequence[Candidate],
    may_borrow: bool,
    rng: random.Random,
    now: float,
) -> Choice | None:
    """Return an instance with a free slot, or ``None``.

    :param may_borrow: whether slots of other VMs' shares may be used.
    """
    best_weight = max((cand.weight for cand in candidates), default=0)
    # One list per rank: own slots in the zone and region come first, then
    # borrowed ones there, and other regions only after both.
    ranked: tuple[list[Candidate], ...] = ([], [], [], [], [], [])
    for candidate in candidates:
        rank = _rank(candidate.load, may_borrow=may_borrow, now=now)
        if rank is None:
            continue
        # A lowered weight is a share of normal traffic, relative to the
        # best, so that requests never wait for luck alone.
        chance = candidate.weight / best_weight
        if chance >= 1 or _passes(candidate.load, chance, rng, now):
            ranked[rank].append(candidate)
    for rank, found in enumerate(ranked):
        if found:
            chosen = _less_loaded(found, rng)
            return Choice(
                load=chosen.load,
                is_borrowed=rank in _BORROWED_RANKS,
                relative_weight=chosen.weight / best_weight,
            )
    return None


_OWN_RANKS = (0, 1, 4)
_BORROWED_RANKS = (2, 3, 5)


def _rank(load: InstanceLoad, *, may_borrow: bool, now: float) -> int | None:
    if load.blocked_until > now or load.in_flight >= load.connection_cap:
        return None
    if load.in_flight < load.share:
        return _OWN_RANKS[load.nearness]
    used = load.in_flight + load.others
    if may_borrow and used < load.instance.slots:
        return _BORROWED_RANKS[load.nearness]
    return None


def _passes(
    load: InstanceLoad, chance: float, rng: random.Random, now: float
) -> bool:
    # A waiting request is tried again and again, so chance alone would
    # give a weak instance more than its share during a queue.
    return load.paced_until <= now and rng.random() < chance


def _less_loaded(found: list[Candidate], rng: random.Random) -> Candidate:
    if len(found) == 1:
        return found[0]
    first = int(rng.random() * len(found))
    second = int(rng.random() * (len(found) - 1))
    second += second >= first
    return min(found[first], found[second], key=_pressure)


def _pressure(candidate: Candidate) -> float:
    load = candidate.load
    return (load.in_flight + load.others + 1) / load.instance.slots

"""Choice of an instance: nearness, shares of slots, two random choices."""

import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from bronzewall.config_model import Instance, Route
from bronzewall.locality import Locality
from bronzewall.types import InstanceId

WeightOf = Callable[[Instance, Route], float]

# A cold instance gets this share of its traffic at first and all of it
# when the ramp is over.
RAMP_S = 10.0
RAMP_START = 0.1
FULL_WEIGHT = 1.0
# A drain header is repeated with each answer and each report, so the mark
# may end soon after the last one.
LEAVING_S = 30.0
REPORTED_LEAVING_S = 2.0
# Pause after a shed answer or a refused connection; the longest is 1.6 s.
_FIRST_BLOCK_S = 0.05
_MAX_BLOCK_DOUBLINGS = 5


@attrs.define(kw_only=True, eq=False)
class InstanceLoad:
    """What this VM knows about the load of one instance.

    :param locality: how far it is from this VM.
    :param weight: share of normal traffic for the route looked at last.
    :param in_flight: this VM's requests on the instance.
    :param share: slots of the instance that this VM may use.
    :param lent: slots of the share that another VM uses now.
    :param borrowed: slots of other VMs' shares that this VM may use now.
    :param ending: borrowed slots that get no new work but may be in use.
    :param others: requests of other VMs on it, as last reported.
    :param connection_cap: connections that this VM may hold to it.
    :param cold_since: clock time at which it appeared, ``None`` if warm.
    :param blocked_until: clock time before which it is not tried.
    :param failures: sheds or failed connects in a row.
    :param paced_until: clock time before which it gets nothing while its
        weight is lowered.
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
    ending: int = 0
    others: float = 0
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
        """Try the instance no more for a pause that doubles each time."""
        doublings = min(self.failures, _MAX_BLOCK_DOUBLINGS)
        self.failures += 1
        self.blocked_until = now + _FIRST_BLOCK_S * 2**doublings

    def mark_leaving(self, now: float, *, is_reported: bool) -> None:
        """Give the instance no new work.

        :param is_reported: another VM saw the sign; this VM must not
            report it in turn, or the mark would never end.
        """
        if is_reported:
            until = now + REPORTED_LEAVING_S
        else:
            until = now + LEAVING_S
            self.leaving_seen_until = until
        self.leaving_until = max(self.leaving_until, until)

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
class Choice:
    """A chosen instance.

    :param is_borrowed: the slot belongs to another VM's share.
    :param relative_weight: its weight relative to the best candidate.
    """

    load: InstanceLoad
    is_borrowed: bool
    relative_weight: float = FULL_WEIGHT


def full_weight(_instance: Instance, _route: Route) -> float:
    """Return the weight of an instance that nothing is known against."""
    return FULL_WEIGHT


def candidates_of(
    *,
    loads: Iterable[InstanceLoad],
    route: Route,
    excluded: frozenset[InstanceId],
    weight_of: WeightOf,
    now: float,
) -> list[InstanceLoad]:
    """Return the instances that may run a request, with weights set.

    Ejected instances (weight 0) are returned only if every instance of
    the service that is not leaving is ejected.
    """
    staying = [known for known in loads if known.leaving_until <= now]
    best = float(0)
    for load in staying:
        load.weight = weight_of(load.instance, route)
        if load.cold_since is not None:
            load.weight *= load.ramp(now)
        best = max(best, load.weight)
    if best <= 0:
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
    # One list per rank: own slots in the zone and region come first, then
    # borrowed ones there, and other regions only after both.
    ranked: dict[int, list[InstanceLoad]] = {}
    for load in candidates:
        rank = _rank(load, may_borrow=may_borrow, now=now)
        if rank is None:
            continue
        # A lowered weight is a share of normal traffic, relative to the
        # best, so that requests never wait for luck alone.
        chance = load.weight / best_weight
        if chance >= 1 or _passes(load, chance, rng, now):
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
    used = load.in_flight + load.others
    if may_borrow and used < load.instance.slots:
        return _BORROWED_RANKS[load.locality]
    return None


def _passes(
    load: InstanceLoad, chance: float, rng: random.Random, now: float
) -> bool:
    # A waiting request is tried again and again, so chance alone would
    # give a weak instance more than its share during a queue.
    return load.paced_until <= now and rng.random() < chance


def _less_loaded(found: list[InstanceLoad], rng: random.Random) -> InstanceLoad:
    if len(found) == 1:
        return found[0]
    first = int(rng.random() * len(found))
    second = int(rng.random() * (len(found) - 1))
    second += second >= first
    return min(found[first], found[second], key=_pressure)


def _pressure(load: InstanceLoad) -> float:
    return (load.in_flight + load.others + 1) / load.instance.slots

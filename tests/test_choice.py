"""Selection of an instance by load, weight and locality."""

import random

from builders import a_placement, a_route, an_instance
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.choice import (
    RAMP_UP_S,
    InstanceLoad,
    candidates_of,
    choose,
)
from bronzewall.locality import locality_of
from bronzewall.types import InstanceId

NOW = 100.0
ROUTE = a_route()


@st.composite
def loads(draw: st.DrawFn) -> list[InstanceLoad]:
    """Return loads of up to six instances in any state."""
    return [
        InstanceLoad(
            instance=an_instance(f'i-{number}'),
            locality=draw(st.integers(0, 2)),
            share=draw(st.integers(0, 4)),
            in_flight=draw(st.integers(0, 5)),
            lent=draw(st.integers(0, 1)),
            others_in_flight=draw(st.integers(0, 4)),
            connection_cap=4,
            blocked_until=draw(st.sampled_from([0, NOW + 1])),
            leaving_until=draw(st.sampled_from([0, NOW + 1])),
        )
        for number in range(draw(st.integers(1, 6)))
    ]


@given(
    loads=loads(),
    weights=st.lists(st.sampled_from([0, 0.3, 1]), min_size=6, max_size=6),
    excluded=st.frozensets(st.sampled_from(['i-0', 'i-1', 'i-2'])),
    may_borrow=st.booleans(),
    seed=st.integers(0, 9),
)
def test_choice_respects_weights_slots_and_locality(
    loads: list[InstanceLoad],
    weights: list[float],
    excluded: frozenset[InstanceId],
    may_borrow: bool,
    seed: int,
) -> None:
    """Guards against requests to ejected, leaving, full or remote instances."""
    weight_by_id = {
        load.instance.instance_id: weight
        for load, weight in zip(loads, weights)
    }
    candidates = candidates_of(
        loads=loads,
        route=ROUTE,
        excluded=excluded,
        weight_of=lambda instance, _route: weight_by_id[instance.instance_id],
        now=NOW,
    )
    choice = choose(
        candidates=candidates,
        may_borrow=may_borrow,
        rng=random.Random(seed),
        now=NOW,
    )
    free = [
        load
        for load in candidates
        if load.blocked_until <= NOW and load.in_flight < load.connection_cap
    ]
    own = [load for load in free if load.in_flight < load.usable()]
    if choice is None:
        assert max((load.weight for load in own), default=0) < 1
        return
    chosen = choice.load
    assert chosen.instance.instance_id not in excluded
    assert chosen.leaving_until <= NOW
    staying = [load for load in loads if load.leaving_until <= NOW]
    healthy = [
        load for load in staying if weight_by_id[load.instance.instance_id]
    ]
    assert not healthy or chosen in healthy
    if choice.is_borrowed:
        assert may_borrow
        assert (
            chosen.in_flight + chosen.others_in_flight < chosen.instance.slots
        )
    else:
        assert chosen in own
        full = [load.locality for load in own if load.weight >= 1]
        assert chosen.locality <= min(full, default=2)


def test_choice_prefers_the_zone_then_the_region() -> None:
    """Guards against needless traffic between regions."""
    own = a_placement('muscat-a')
    places = ['dhofar-a', 'muscat-b', 'muscat-a']
    found = [
        InstanceLoad(
            instance=an_instance(zone, placement=a_placement(zone)),
            locality=locality_of(own, a_placement(zone)),
            share=1,
        )
        for zone in places
    ]
    order = []
    for _ in places:
        choice = choose(
            candidates=found, may_borrow=False, rng=random.Random(1), now=NOW
        )
        assert choice is not None
        choice.load.in_flight += 1
        order.append(choice.load.instance.instance_id)
    assert order == ['muscat-a', 'muscat-b', 'dhofar-a']


def test_cold_instance_gets_a_growing_fraction() -> None:
    """Guards against full load on an instance that has just started."""
    cold = InstanceLoad(
        instance=an_instance(), locality=0, share=4, cold_since=NOW
    )
    weights = [
        cold.ramp_up_weight(NOW + RAMP_UP_S * progress)
        for progress in (0, 0.5, 1)
    ]
    assert weights == [0.1, 0.5, 1]


def test_reported_leaving_is_not_reported_again() -> None:
    """Guards against two VMs that renew each other's reports forever."""
    load = InstanceLoad(instance=an_instance(), locality=0, share=4)
    load.mark_leaving(NOW, is_reported=True)
    assert load.leaving_until > NOW
    assert load.leaving_seen_until == 0

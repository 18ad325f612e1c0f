"""Tests of traffic splits and of routes and accounts that cannot be read."""

import asyncio
import random
from collections import Counter

import pytest
from edge_builders import (
    an_edge_account,
    an_edge_configuration,
    an_edge_route,
    an_edge_vm,
)

from bronzewall.edge.model import EdgeRoute, TrafficShare
from bronzewall.edge.traffic_splits import TrafficSplits
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import RouteId, ServiceName


def a_split(*weights: float) -> EdgeRoute:
    return an_edge_route(
        traffic_split=tuple(
            TrafficShare(service=ServiceName(f's-{number}'), weight=weight)
            for number, weight in enumerate(weights)
        )
    )


def shares(splits: list[TrafficSplits], route: EdgeRoute, requests: int):
    drawn = Counter(one.draw(route) for one in splits for _ in range(requests))
    return [
        drawn[share.service] / drawn.total() for share in route.traffic_split
    ]


@pytest.mark.parametrize('weights', [(90, 10), (1, 1, 2), (0, 5), (7, 0, 3)])
def test_each_vm_keeps_the_shares(weights: tuple[float, ...]) -> None:
    # Pattern: a VM sees a few hundred requests of a split route a day. Random
    # draws miss a share of one half by 3.5 points (one standard deviation).
    splits = TrafficSplits(random=random.Random(3))
    found = shares([splits], a_split(*weights), 200)
    expected = [weight / sum(weights) for weight in weights]
    assert found == pytest.approx(expected, abs=0.02)


def test_vms_with_one_request_each_keep_the_shares_together() -> None:
    vms = [TrafficSplits(random=random.Random(seed)) for seed in range(2000)]
    found = shares(vms, a_split(80, 20), 1)
    assert found == pytest.approx([0.8, 0.2], abs=0.03)


def test_change_of_weights_takes_effect_without_a_jump() -> None:
    splits = TrafficSplits(random=random.Random(5))
    shares([splits], a_split(90, 10), 137)
    found = shares([splits], a_split(50, 50), 100)
    assert found == pytest.approx([0.5, 0.5], abs=0.02)


def test_routes_do_not_share_a_position() -> None:
    splits = TrafficSplits(random=random.Random(5))
    one = a_split(50, 50)
    other = an_edge_route(
        route_id=RouteId('r-2'), traffic_split=one.traffic_split
    )
    drawn = [(splits.draw(one), splits.draw(other)) for _ in range(200)]
    assert shares([splits], other, 200) == pytest.approx([0.5, 0.5], abs=0.02)
    assert len(set(drawn)) == 4


@pytest.mark.parametrize(
    'changes',
    [
        {'routes': (an_edge_route(traffic_split=()),)},
        {'routes': (), 'has_unreadable_routes': True},
        {'accounts': (an_edge_account(is_usable=False),)},
        {'accounts': (), 'has_unreadable_accounts': True},
    ],
)
def test_request_of_an_unreadable_entry_is_refused_as_not_run(changes) -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(configuration=an_edge_configuration(**changes))
        answer = await vm.ask()
        assert answer.status == 503
        assert not vm.instances.requests

    run_virtual(main())


def test_request_is_refused_at_once_if_the_configuration_is_malformed() -> None:
    # Pattern: a configuration of a deployment that was never seen. Requests
    # were held for 0.6 s each before they were refused.
    async def main() -> None:
        vm = an_edge_vm()
        vm.directory.stop_waiting()
        started_at = asyncio.get_running_loop().time()
        assert (await vm.ask()).status == 503
        assert asyncio.get_running_loop().time() == started_at

    run_virtual(main())

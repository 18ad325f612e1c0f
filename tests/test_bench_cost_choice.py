"""Tests of the comparison of rules for the choice of an instance."""

import pytest

from bench import cost_choice

_ALIKE = cost_choice._MIXES['alike']
_MIXED = cost_choice._MIXES['mixed']


def _in_time(rule: str, *, load: float, uneven: bool, seed: int) -> float:
    rate = cost_choice.capacity(_ALIKE, uneven=uneven) * load
    arrivals = cost_choice.draw(_ALIKE, rate=rate, seconds=20, seed=seed)
    return cost_choice.play(arrivals, rule, uneven=uneven, seed=seed)[0]


@pytest.mark.parametrize('seed', [1, 2])
def test_slow_instances_cost_callers_less(seed: int) -> None:
    # Guards the gain on instances a fifth of which takes three times as long.
    before = _in_time('mean by service', load=0.8, uneven=True, seed=seed)
    after = _in_time('remaining work', load=0.8, uneven=True, seed=seed)
    assert after > before + 0.01


def test_equal_instances_lose_nothing_below_their_capacity() -> None:
    # Guards against estimates whose noise moves requests to few instances.
    before = _in_time('mean by service', load=0.8, uneven=False, seed=1)
    after = _in_time('remaining work', load=0.8, uneven=False, seed=1)
    assert after > before - 0.01


def test_route_tells_more_than_the_service() -> None:
    arrivals = cost_choice.draw(_MIXED, rate=40, seconds=30, seed=1)
    found = {
        name: cost_choice.prediction_errors(arrivals, predict)
        for name, predict in cost_choice.predictors().items()
    }
    assert found['mean by route'] < found['mean by service']


def test_log_lines_of_vms_are_read() -> None:
    lines = (
        '1.0 vm-1 {"event": "instance_answered", "request_id": "a",'
        ' "status": 200, "service": "s", "route": "r", "seconds": 0.4,'
        ' "queue_time": 0.1}',
        '1.1 vm-1 {"event": "answered", "request_id": "a", "account": "x"}',
        '1.2 vm-1 {"event": "instance_answered", "request_id": "b",'
        ' "status": 500, "service": "s", "route": "r", "seconds": 0.4}',
        '1.3 vm-1 {"event": "instance_ans',
        'no JSON',
    )
    arrivals = cost_choice.read_log(lines)
    assert len(arrivals) == 1
    found = arrivals[0]
    assert (found.service, found.route, found.account) == ('s', 'r', 'x')
    assert (found.work, found.queue_time) == (0.4, 0.1)

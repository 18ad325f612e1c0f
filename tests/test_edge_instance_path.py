"""Tests of what a VM knows of its path to the instances."""

import structlog

from bronzewall.edge.instance_path import InstancePath
from bronzewall.metrics import Metrics
from bronzewall.types import InstanceId


def fail(path: InstancePath, *names: str) -> None:
    for name in names:
        path.record_no_answer(InstanceId(name), now=10)


def test_path_is_lost_after_several_instances() -> None:
    path = InstancePath(metrics=Metrics())
    fail(path, 'i-1', 'i-2', 'i-2', 'i-1')
    assert not path.is_lost
    fail(path, 'i-3')
    assert path.is_lost


def test_answer_between_failures_keeps_the_path() -> None:
    path = InstancePath(metrics=Metrics())
    fail(path, 'i-1', 'i-2')
    path.record_answer(now=10)
    fail(path, 'i-3', 'i-4')
    assert not path.is_lost


def test_loss_and_return_are_logged_once() -> None:
    path = InstancePath(metrics=Metrics())
    path.record_answer(now=8)
    with structlog.testing.capture_logs() as lines:
        fail(path, 'i-1', 'i-2', 'i-3', 'i-4')
        path.record_answer(now=12.5)
        path.record_answer(now=13)
    assert [(line['event'], line['seconds']) for line in lines] == [
        ('instances_unreachable', 2),
        ('instances_reached', 4.5),
    ]

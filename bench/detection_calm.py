"""Ejections while no instance has a fault."""

import random
from collections.abc import Callable
from typing import Any

import attrs
from detection_model import (
    INSTANCE_COUNT,
    SERVICE,
    Deployment,
    EvidencePolicy,
    Fleet,
)

from bronzewall.types import InstanceId

# Four times the request rate at a quarter of the service time: the same
# slot utilisation with more decisions per second.
_RATE_FACTOR = 4
_WARM_UP_S = 8.0
_COLD_SLOWDOWN = 5.0
_COLD_S = 8.0
_PHASE_S = 3.0


def measure_calm(
    deployment: Deployment, seed: int, decisions: int
) -> dict[str, Any]:
    """Cycle through the phases until enough decisions were made."""
    fleet = Fleet(
        deployment=deployment,
        random=random.Random(seed),
        policy=EvidencePolicy,
        service_time_scale=1 / _RATE_FACTOR,
    )
    fleet.rate = deployment.rate * _RATE_FACTOR
    fleet.timeline.run_until(_WARM_UP_S)
    fleet.decisions = 0
    false_by_phase: dict[str, int] = {}
    turn = 0
    while fleet.decisions < decisions:
        phase = _CALM_PHASES[turn % len(_CALM_PHASES)]
        before = len(fleet.ejections)
        phase(fleet, turn)
        name = phase.__name__.strip('_')
        false_by_phase[name] = (
            false_by_phase.get(name, 0) + len(fleet.ejections) - before
        )
        turn += 1
    return {
        'decisions': fleet.decisions,
        'simulated_s': round(fleet.timeline.time, 1),
        'false_ejections': len(fleet.ejections),
        'false_by_phase': false_by_phase,
        'floor_violations': fleet.floor_violations,
        'callers_over_deadline': fleet.over_deadline,
        'results': dict(fleet.results),
    }


def _run(fleet: Fleet, seconds: float = _PHASE_S) -> None:
    fleet.timeline.run_until(fleet.timeline.time + seconds)


def _lognormal(fleet: Fleet, _turn: int) -> None:
    _run(fleet)


def _pareto(fleet: Fleet, _turn: int) -> None:
    fleet.pareto = True
    _run(fleet, 2 * _PHASE_S)
    fleet.pareto = False


def _busy_hour(fleet: Fleet, _turn: int) -> None:
    normal_rate = fleet.rate
    fleet.rate = normal_rate * 1.8
    _run(fleet)
    fleet.rate = normal_rate


def _slow_dependency(fleet: Fleet, _turn: int) -> None:
    normal_rate = fleet.rate
    fleet.rate, fleet.slowdown = normal_rate / 2, 8
    _run(fleet)
    fleet.rate, fleet.slowdown = normal_rate, 1
    _run(fleet, 1)


def _failing_dependency(fleet: Fleet, _turn: int) -> None:
    fleet.base_failure_rate, normal_failure_rate = 0.3, fleet.base_failure_rate
    _run(fleet, 2)
    fleet.base_failure_rate = normal_failure_rate
    _run(fleet, 1)


def _cold_start(fleet: Fleet, turn: int) -> None:
    """Replace one instance with a new one that starts slowly."""
    instances = list(fleet.service.instances_by_id.values())
    new = attrs.evolve(
        instances[0], instance_id=InstanceId(f'{SERVICE}-new-{turn}')
    )
    fleet.set_instances([*instances[1:], new])
    cold = fleet.instances_by_id[new.instance_id]
    cold.slowdown = _COLD_SLOWDOWN
    _run(fleet, _COLD_S)
    cold.slowdown = 1
    _run(fleet, 1)


def _sheds(fleet: Fleet, turn: int) -> None:
    instances = tuple(fleet.service.instances_by_id)
    busy = fleet.instances_by_id[instances[turn % INSTANCE_COUNT]]
    busy.shed_fraction = 0.6
    _run(fleet)
    busy.shed_fraction = 0


def _leaving(fleet: Fleet, turn: int) -> None:
    """Drain a third of the instances; the rest is little above the floor."""
    instances = list(fleet.service.instances_by_id)
    fleet.leaving = set(instances[turn % 3 :: 3])
    _run(fleet)
    fleet.leaving = set()


_CALM_PHASES: tuple[Callable[[Fleet, int], None], ...] = (
    _lognormal,
    _pareto,
    _busy_hour,
    _slow_dependency,
    _failing_dependency,
    _cold_start,
    _sheds,
    _leaving,
)

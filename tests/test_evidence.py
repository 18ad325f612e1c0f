"""Evidence that ejects an instance and evidence that must not."""

import random
from collections.abc import Callable

import pytest
from builders import a_route, an_instance

from bronzewall.evidence import Attempt, AttemptOutcome, Evidence
from bronzewall.pool_state import EJECT_SCORE
from bronzewall.pooled_evidence import EvidencePool
from bronzewall.types import VmId

ROUTES = (a_route('read'), a_route('search'))
INSTANCES = tuple(an_instance(f'drafts-{number}') for number in range(6))
SERVICE = ROUTES[0].service
FAILING = INSTANCES[0]
ZONES = ('muscat-a', 'muscat-b', 'dhofar-a')
VMS_BY_ZONE = 2
TICK_S = 0.1
MIXED = (AttemptOutcome.FAILED, AttemptOutcome.FAILED, None, None, None)

Behaviour = Callable[[random.Random, object, object, str], object]


class Fleet:
    """VMs that send at a constant rate and report to one evidence pool.

    A behaviour returns a latency in seconds, an outcome, or ``None`` for an
    attempt that is never answered.
    """

    def __init__(self, *, is_cold: bool = False) -> None:
        self.random = random.Random(1)
        self.pool = EvidencePool(decay_s=8, min_witnesses=2)
        self.evidence_by_vm = {
            VmId(f'vm-{zone}-{number}'): (zone, Evidence())
            for zone in ZONES
            for number in range(VMS_BY_ZONE)
        }
        self.is_cold = is_cold
        self.now = float(0)

    def run(self, seconds: float, behaviour: Behaviour) -> None:
        """Send requests and report the evidence at each tick."""
        end = self.now + seconds
        while self.now < end:
            for vm_id, (zone, evidence) in self.evidence_by_vm.items():
                for instance in INSTANCES:
                    route = self.random.choice(ROUTES)
                    found = behaviour(self.random, instance, route, zone)
                    self._attempt(evidence, instance, route, found)
                rows = evidence.drain(SERVICE, self.now + TICK_S)
                self.pool.add(
                    vm_id=vm_id, zone=zone, rows=rows, now=self.now + TICK_S
                )
            self.now += TICK_S

    def scopes_to_eject(self) -> set[tuple[str, str, str]]:
        """Return instance, class and zone of the suspects to eject."""
        return {
            (seen.instance_id, seen.route_class, seen.zone)
            for seen in self.pool.suspects(self.now)
            if seen.score >= EJECT_SCORE
        }

    def _attempt(self, evidence, instance, route, found) -> None:
        evidence.is_cold = lambda _id: self.is_cold
        attempt = evidence.start(instance=instance, route=route, now=self.now)
        if isinstance(found, AttemptOutcome):
            evidence.finish(attempt, found, self.now + 0.01)
        elif found is not None:
            evidence.finish(attempt, AttemptOutcome.ANSWERED, self.now + found)


def _healthy_latency(rng: random.Random, *_: object) -> float:
    return 0.02 * rng.lognormvariate(0, 0.8)


def _on_failing_instance(
    kind: Callable[[random.Random, object, str], object],
) -> Behaviour:
    def behave(rng, instance, route, zone):
        if instance is FAILING:
            found = kind(rng, route, zone)
            if found is None or found:
                return found
        return _healthy_latency(rng)

    return behave


def _on_all_instances(kind: Callable[[random.Random], object]) -> Behaviour:
    return lambda rng, _instance, _route, _zone: kind(rng)


FAILING_ID = FAILING.instance_id
WHOLE_INSTANCE = (FAILING_ID, '', '')
SEARCH_ID = ROUTES[1].route_id
HANGING_BY_ROUTE = {ROUTES[0].route_id: AttemptOutcome.SHED, SEARCH_ID: None}


@pytest.mark.parametrize(
    ('behaviour', 'expected'),
    [
        (_on_failing_instance(lambda *_: None), WHOLE_INSTANCE),
        (
            _on_failing_instance(lambda rng, *_: 10 * _healthy_latency(rng)),
            WHOLE_INSTANCE,
        ),
        (
            _on_failing_instance(lambda *_: AttemptOutcome.CONNECT_FAILED),
            WHOLE_INSTANCE,
        ),
        (
            _on_failing_instance(
                lambda rng, *_: rng.randrange(2) and AttemptOutcome.BROKEN
            ),
            WHOLE_INSTANCE,
        ),
        (
            _on_failing_instance(
                lambda _rng, route, _zone: (
                    route is ROUTES[1] and AttemptOutcome.FAILED
                )
            ),
            (FAILING_ID, SEARCH_ID, ''),
        ),
        (
            _on_failing_instance(
                lambda _rng, _route, zone: (
                    zone == ZONES[0] and AttemptOutcome.BROKEN
                )
            ),
            (FAILING_ID, '', ZONES[0]),
        ),
    ],
    ids=['hang', 'slow', 'refuses', 'resets', 'one_class', 'one_zone'],
)
def test_fault_is_found_in_its_scope(behaviour, expected) -> None:
    """Guards against missed faults and ejections of too wide a scope."""
    fleet = Fleet()
    fleet.run(20, _healthy_latency)
    assert not fleet.scopes_to_eject()
    fleet.run(2.5, behaviour)
    found = fleet.scopes_to_eject()
    assert expected in found
    assert {instance_id for instance_id, _, _ in found} == {FAILING_ID}
    if expected != WHOLE_INSTANCE:
        assert WHOLE_INSTANCE not in found
        assert all(scope[1:] != ('', '') for scope in found)


@pytest.mark.parametrize(
    'behaviour',
    [
        _on_all_instances(lambda rng: 10 * _healthy_latency(rng)),
        _on_all_instances(lambda _: None),
        _on_all_instances(
            lambda rng: rng.choice(MIXED) or _healthy_latency(rng)
        ),
        _on_all_instances(lambda rng: 0.01 * rng.paretovariate(1.5)),
        _on_failing_instance(lambda *_: AttemptOutcome.SHED),
        _on_failing_instance(lambda *_: AttemptOutcome.CALLER_LEFT),
        _on_failing_instance(
            lambda rng, *_: rng.randrange(100) == 0 and AttemptOutcome.FAILED
        ),
    ],
    ids=[
        'slow_dependency',
        'hanging_dependency',
        'failing_dependency',
        'heavy_tail',
        'sheds',
        'callers_leave',
        'rare_errors',
    ],
)
def test_shared_causes_and_load_eject_no_instance(behaviour) -> None:
    """Guards against ejections without a fault of the instance."""
    fleet = Fleet()
    fleet.run(20, _healthy_latency)
    for _ in range(30):
        fleet.run(TICK_S, behaviour)
        assert not fleet.scopes_to_eject()


def test_latency_of_a_cold_instance_is_no_evidence() -> None:
    """Guards against ejecting an instance for its cold start."""
    fleet = Fleet()
    fleet.run(20, _healthy_latency)
    fleet.is_cold = True
    fleet.run(
        3, _on_failing_instance(lambda rng, *_: 10 * _healthy_latency(rng))
    )
    assert not fleet.scopes_to_eject()


def test_one_vm_alone_ejects_no_instance() -> None:
    """Guards against a fault on one VM's path that ejects for all VMs."""
    fleet = Fleet()
    fleet.run(20, _healthy_latency)
    faulty_vm = next(iter(fleet.evidence_by_vm))
    for _ in range(20):
        fleet.run(TICK_S, _healthy_latency)
        _, evidence = fleet.evidence_by_vm[faulty_vm]
        for route in ROUTES:
            fleet._attempt(
                evidence, FAILING, route, AttemptOutcome.CONNECT_FAILED
            )
        rows = evidence.drain(SERVICE, fleet.now)
        fleet.pool.add(vm_id=faulty_vm, zone=ZONES[0], rows=rows, now=fleet.now)
    assert not fleet.scopes_to_eject()


def test_crash_suspect_is_no_evidence() -> None:
    """Guards against counting crashes by a request as evidence."""
    evidence = Evidence(
        is_crash_suspect=lambda fingerprint: fingerprint == b'crash'
    )
    for fingerprint in (b'crash', b'other', None):
        attempt = evidence.start(
            instance=FAILING, route=ROUTES[0], now=0, fingerprint=fingerprint
        )
        evidence.finish(attempt, AttemptOutcome.BROKEN, 1)
    rows = evidence.drain(SERVICE, 1)
    assert [row.failed for row in rows] == [2]


def test_only_overdue_attempts_that_may_be_retried_are_cancelled() -> None:
    """Guards against repeated execution and cancelling timely attempts."""
    evidence = Evidence()
    for _ in range(50):
        attempt = evidence.start(instance=FAILING, route=ROUTES[0], now=0)
        evidence.finish(attempt, AttemptOutcome.ANSWERED, 0.02)
    ended: list[str] = []

    def start(name: str, now: float, is_safe: bool) -> Attempt:
        return evidence.start(
            instance=FAILING,
            route=ROUTES[0],
            now=now,
            cancel=(lambda: ended.append(name)) if is_safe else None,
        )

    start('overdue', 1, is_safe=True)
    start('not idempotent', 1, is_safe=False)
    start('prompt', 1.99, is_safe=True)
    count = evidence.cancel_overdue(FAILING.instance_id, ROUTES[0].route_id, 2)
    assert (count, ended) == (1, ['overdue'])


def test_hang_shown_by_one_class_ejects_the_whole_instance() -> None:
    """Guards against a hang that only one route class shows.

    It takes all slots, so that requests of the other classes are shed.
    """
    fleet = Fleet()
    fleet.run(20, _healthy_latency)
    fleet.run(
        1,
        _on_failing_instance(
            lambda _rng, route, _zone: HANGING_BY_ROUTE[route.route_id]
        ),
    )
    assert WHOLE_INSTANCE in fleet.scopes_to_eject()

"""What counts as evidence against an instance, and what does not."""

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
SICK = INSTANCES[0]
ZONES = ('muscat-a', 'muscat-b', 'dhofar-a')
VMS_BY_ZONE = 2
TICK_S = 0.1
MIXED = (AttemptOutcome.FAILED, AttemptOutcome.FAILED, None, None, None)

Behaviour = Callable[[random.Random, object, object, str], object]


class Fleet:
    """VMs that send at a constant rate and report to one pool.

    A behaviour returns the latency, an outcome, or ``None`` for an attempt
    that is never answered.
    """

    def __init__(self, *, is_cold: bool = False) -> None:
        self.random = random.Random(1)
        self.pool = EvidencePool(memory=8, least_witnesses=2)
        self.evidence_by_vm = {
            VmId(f'vm-{zone}-{number}'): (zone, Evidence())
            for zone in ZONES
            for number in range(VMS_BY_ZONE)
        }
        self.is_cold = is_cold
        self.now = float(0)

    def run(self, seconds: float, behaviour: Behaviour) -> None:
        """Send, tick and report."""
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

    def verdicts(self) -> set[tuple[str, str, str]]:
        """Return instance, class and zone of what would be ejected."""
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


def _usual(rng: random.Random, *_: object) -> float:
    return 0.02 * rng.lognormvariate(0, 0.8)


def _fault(kind: Callable[[random.Random, object, str], object]) -> Behaviour:
    def behave(rng, instance, route, zone):
        if instance is SICK:
            found = kind(rng, route, zone)
            if found is None or found:
                return found
        return _usual(rng)

    return behave


def _all(kind: Callable[[random.Random], object]) -> Behaviour:
    return lambda rng, _instance, _route, _zone: kind(rng)


SICK_ID = SICK.instance_id
WHOLE = (SICK_ID, '', '')
SEARCH_ID = ROUTES[1].route_id
HANGING_BY_ROUTE = {ROUTES[0].route_id: AttemptOutcome.SHED, SEARCH_ID: None}


@pytest.mark.parametrize(
    ('behaviour', 'expected'),
    [
        (_fault(lambda *_: None), WHOLE),
        (_fault(lambda rng, *_: 10 * _usual(rng)), WHOLE),
        (_fault(lambda *_: AttemptOutcome.CONNECT_FAILED), WHOLE),
        (
            _fault(lambda rng, *_: rng.randrange(2) and AttemptOutcome.BROKEN),
            WHOLE,
        ),
        (
            _fault(
                lambda _rng, route, _zone: (
                    route is ROUTES[1] and AttemptOutcome.FAILED
                )
            ),
            (SICK_ID, SEARCH_ID, ''),
        ),
        (
            _fault(
                lambda _rng, _route, zone: (
                    zone == ZONES[0] and AttemptOutcome.BROKEN
                )
            ),
            (SICK_ID, '', ZONES[0]),
        ),
    ],
    ids=['hang', 'slow', 'refuses', 'resets', 'one_class', 'one_zone'],
)
def test_fault_is_found_in_its_scope(behaviour, expected) -> None:
    """Guards against missed faults and against a wider ejection."""
    fleet = Fleet()
    fleet.run(20, _usual)
    assert not fleet.verdicts()
    fleet.run(2.5, behaviour)
    found = fleet.verdicts()
    assert expected in found
    assert {instance_id for instance_id, _, _ in found} == {SICK_ID}
    if expected != WHOLE:
        assert WHOLE not in found
        assert all(verdict[1:] != ('', '') for verdict in found)


@pytest.mark.parametrize(
    'behaviour',
    [
        _all(lambda rng: 10 * _usual(rng)),
        _all(lambda _: None),
        _all(lambda rng: rng.choice(MIXED) or _usual(rng)),
        _all(lambda rng: 0.01 * rng.paretovariate(1.5)),
        _fault(lambda *_: AttemptOutcome.SHED),
        _fault(lambda *_: AttemptOutcome.GONE),
        _fault(
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
def test_shared_causes_and_load_eject_nobody(behaviour) -> None:
    """Guards against false ejections."""
    fleet = Fleet()
    fleet.run(20, _usual)
    for _ in range(30):
        fleet.run(TICK_S, behaviour)
        assert not fleet.verdicts()


def test_latency_of_a_cold_instance_is_no_evidence() -> None:
    """Guards against ejecting an instance for its cold start."""
    fleet = Fleet()
    fleet.run(20, _usual)
    fleet.is_cold = True
    fleet.run(3, _fault(lambda rng, *_: 10 * _usual(rng)))
    assert not fleet.verdicts()


def test_one_vm_alone_convinces_nobody() -> None:
    """Guards against one VM's bad path ejecting an instance for all."""
    fleet = Fleet()
    fleet.run(20, _usual)
    liar = next(iter(fleet.evidence_by_vm))
    for _ in range(20):
        fleet.run(TICK_S, _usual)
        _, evidence = fleet.evidence_by_vm[liar]
        for route in ROUTES:
            fleet._attempt(evidence, SICK, route, AttemptOutcome.CONNECT_FAILED)
        rows = evidence.drain(SERVICE, fleet.now)
        fleet.pool.add(vm_id=liar, zone=ZONES[0], rows=rows, now=fleet.now)
    assert not fleet.verdicts()


def test_excused_fingerprint_is_no_evidence() -> None:
    """Guards against blaming instances for a request that crashes them."""
    evidence = Evidence(is_excused=lambda fingerprint: fingerprint == b'crash')
    for fingerprint in (b'crash', b'other', None):
        attempt = evidence.start(
            instance=SICK, route=ROUTES[0], now=0, fingerprint=fingerprint
        )
        evidence.finish(attempt, AttemptOutcome.BROKEN, 1)
    rows = evidence.drain(SERVICE, 1)
    assert [row.failed for row in rows] == [2]


def test_only_overdue_attempts_that_may_run_again_are_abandoned() -> None:
    """Guards against repeated runs and against dropping prompt answers."""
    evidence = Evidence()
    for _ in range(50):
        attempt = evidence.start(instance=SICK, route=ROUTES[0], now=0)
        evidence.finish(attempt, AttemptOutcome.ANSWERED, 0.02)
    ended: list[str] = []

    def start(name: str, now: float, is_safe: bool) -> Attempt:
        return evidence.start(
            instance=SICK,
            route=ROUTES[0],
            now=now,
            abandon=(lambda: ended.append(name)) if is_safe else None,
        )

    start('overdue', 1, is_safe=True)
    start('not idempotent', 1, is_safe=False)
    start('prompt', 1.99, is_safe=True)
    count = evidence.abandon_overdue(SICK.instance_id, ROUTES[0].route_id, 2)
    assert (count, ended) == (1, ['overdue'])


def test_class_that_holds_a_silent_instance_ejects_all_of_it() -> None:
    """Guards against a hang seen through one class only.

    The other classes get nothing but sheds, because its slots are taken.
    """
    fleet = Fleet()
    fleet.run(20, _usual)
    fleet.run(
        1,
        _fault(lambda _rng, route, _zone: HANGING_BY_ROUTE[route.route_id]),
    )
    assert WHOLE in fleet.verdicts()

"""Capacity floor, refusal, ramp-up and relapse of ejections."""

from typing import Any

import attrs
from builders import a_route, a_service, an_instance
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from bronzewall.config_model import Service
from bronzewall.ejection import Ejections
from bronzewall.pool_state import ANY_CLASS, EJECT_SCORE
from bronzewall.pooled_evidence import Suspect
from bronzewall.types import InstanceId, RouteId

SEARCH = a_route('search')
WRITE = a_route('write', idempotent=False)
NAMES = tuple(f'drafts-{number}' for number in range(6))
CLASSES = (ANY_CLASS, SEARCH.route_id, WRITE.route_id)


@attrs.define(kw_only=True)
class World:
    """The surroundings of one VM's ejections, and their clock."""

    service: Service
    time: float = 0
    leaving: set[str] = attrs.field(factory=set)
    ejections: Ejections = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the ejections."""
        self.ejections = Ejections(
            clock=self,  # type: ignore[arg-type]
            service_of=lambda _name: self.service,
            on_eject=lambda *_key: None,
            capacity_of=lambda item: float(
                item.instance_id not in self.leaving
            ),
        )

    def now(self) -> float:
        """Return the time."""
        return self.time

    def evaluate(self, *suspects: Suspect, after: float = 0) -> None:
        """Advance the clock and evaluate the suspects."""
        self.time += after
        self.ejections.evaluate(self.service.name, suspects)

    def weight(self, name: str, route: Any = SEARCH) -> float:
        """Return the weight of an instance."""
        return self.ejections.weight_of(an_instance(name), route)


def _service(names: Any = NAMES, slots: Any = None) -> Service:
    instances = [
        an_instance(name, slots=(slots or {}).get(name, 4)) for name in names
    ]
    return a_service(instances=instances, routes=[SEARCH, WRITE])


def _suspect(
    name: str, score: float = 20, route_class: RouteId = ANY_CLASS
) -> Suspect:
    return Suspect(
        instance_id=InstanceId(name),
        route_class=route_class,
        zone='',
        score=score,
        failed=9,
        ok=1,
        overdue=2,
        witnesses=3,
    )


_suspects = st.lists(
    st.builds(
        _suspect,
        name=st.sampled_from(NAMES),
        score=st.floats(min_value=0, max_value=24),
        route_class=st.sampled_from(CLASSES),
    ),
    max_size=8,
)
_steps = st.lists(
    st.tuples(
        _suspects,
        st.floats(min_value=0, max_value=30),
        st.sets(st.sampled_from(NAMES), min_size=1),
        st.sets(st.sampled_from(NAMES)),
    ),
    max_size=12,
)
_slots = st.dictionaries(st.sampled_from(NAMES), st.integers(1, 6))


@given(steps=_steps, slots=_slots)
def test_capacity_stays_at_the_floor(steps: Any, slots: Any) -> None:
    """Guards against ejections below the floor in any sequence of events.

    The instance list shrinks and instances leave between evaluations. If
    capacity is below the floor, no instance may be ejected for the class.
    """
    world = World(service=_service(slots=slots))
    for suspects, pause, names, leaving in steps:
        world.evaluate(*suspects, after=pause)
        world.service = _service(sorted(names), slots)
        world.leaving = leaving
        world.ejections.restore_floor(world.service.name)
        for route in (SEARCH, WRITE):
            used = world.ejections.capacity_in_use(
                world.service, route.route_id
            )
            weights = [
                world.weight(name, route)
                for name in world.service.instances_by_id
            ]
            assert used >= world.service.floor or min(weights) == 1


@given(evidence=st.lists(_suspects, max_size=6))
def test_vms_with_shared_evidence_keep_the_same_instances(
    evidence: Any,
) -> None:
    """Guards against a fleet that ejects all instances at once.

    VMs that evaluate the same evidence in different orders must together
    leave the floor in use.
    """
    worlds = [World(service=_service()) for _ in range(3)]
    for suspects in evidence:
        for turn, world in enumerate(worlds):
            world.evaluate(*suspects[turn:], *suspects[:turn], after=1)
    used = [
        name
        for name in NAMES
        if all(world.weight(name) == 1 for world in worlds)
    ]
    assert len(used) >= len(NAMES) // 2


def test_list_change_restores_the_floor_before_the_next_selection() -> None:
    """Guards against a floor that is not checked before the next tick."""
    world = World(service=_service())
    world.evaluate(_suspect(NAMES[0], 24), _suspect(NAMES[1], 19))
    assert world.weight(NAMES[0]) == world.weight(NAMES[1]) == 0
    world.service = _service(NAMES[:3])
    assert [world.weight(name) for name in NAMES[:3]] == [0, 1, 1]


def test_worse_instance_is_ejected_in_place_of_a_less_severe_one() -> None:
    """Guards against retaining the worst instance because it failed last."""
    world = World(service=_service(NAMES[:2]))
    world.evaluate(_suspect(NAMES[0], 18.5))
    with capture_logs() as lines:
        world.evaluate(_suspect(NAMES[0], 18.5), _suspect(NAMES[1], 23))
    assert [world.weight(name) for name in NAMES[:2]] == [1, 0]
    assert [line['event'] for line in lines] == ['ejection_refused', 'ejected']
    assert lines[0]['because'] == 'floor'


def test_only_the_failing_route_class_is_ejected() -> None:
    """Guards against losing the capacity of healthy route classes."""
    world = World(service=_service())
    world.evaluate(_suspect(NAMES[0], route_class=SEARCH.route_id))
    assert world.weight(NAMES[0], SEARCH) == 0
    assert world.weight(NAMES[0], WRITE) == 1


def test_ramp_up_grows_and_starts_with_idempotent_requests() -> None:
    """Guards against full load at once and risky non-idempotent requests."""
    world = World(service=_service())
    world.evaluate(_suspect(NAMES[0]))
    writes_by_fraction = {}
    for _ in range(20):
        world.evaluate(after=0.5)
        fraction = world.weight(NAMES[0])
        writes_by_fraction[fraction] = world.weight(NAMES[0], WRITE)
    assert list(writes_by_fraction.items()) == [
        (0, 0),
        (0.05, 0),
        (0.15, 0),
        (0.4, 0.4),
        (1, 1),
    ]


def test_each_relapse_doubles_the_wait() -> None:
    """Guards against an instance that flaps with the period of returns."""
    world = World(service=_service())
    waits = []
    for _ in range(4):
        world.evaluate(_suspect(NAMES[0], EJECT_SCORE))
        start = world.time
        while world.weight(NAMES[0]) == 0:
            world.evaluate(after=0.5)
        waits.append(world.time - start)
        while world.weight(NAMES[0]) < 1:
            world.evaluate(after=0.5)
    assert waits == [5, 10, 20, 40]


def test_weak_evidence_stops_a_ramp_up_but_ejects_no_instance() -> None:
    """Guards against requiring the full ejection score at each return."""
    world = World(service=_service())
    world.evaluate(_suspect(NAMES[0]))
    world.evaluate(after=5)
    assert world.weight(NAMES[0]) > 0
    world.evaluate(_suspect(NAMES[0], 7), _suspect(NAMES[1], 7))
    assert [world.weight(name) for name in NAMES[:2]] == [0, 1]


def test_only_instances_that_join_a_known_service_are_cold() -> None:
    """Guards against ignoring latencies after this VM's own start."""
    world = World(service=_service(NAMES[:3]))
    world.evaluate()
    world.service = _service(NAMES[:4])
    world.evaluate()
    cold = [world.ejections.is_cold(InstanceId(name)) for name in NAMES[:4]]
    assert cold == [False, False, False, True]
    world.evaluate(after=10)
    assert not world.ejections.is_cold(InstanceId(NAMES[3]))

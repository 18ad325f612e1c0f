"""Simulated instances, peer links and callers of one service."""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any

import attrs

from bronzewall import messages
from bronzewall.config_model import Instance, Route, Service
from bronzewall.ejection import Ejections
from bronzewall.evidence import Attempt, AttemptOutcome, Evidence
from bronzewall.instance_suspicions import TICK_S, Suspicions
from bronzewall.membership import Members
from bronzewall.types import (
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
    VmId,
    VmRecord,
)

SERVICE = ServiceName('service')
VM_COUNT = 40
INSTANCE_COUNT = 12
DEADLINE_S = 2.0
_SAME_ZONE_S = 0.0003
# Fraction of requests that fail under the faults "resets" and "partial".
_FAILING_FRACTION = 0.5
# Only every 500th message is encoded to sample its size.
_ENCODE_EVERY = 500
_RESULT_LATE_S = 0.001


@attrs.frozen(kw_only=True)
class Deployment:
    """Topology and load of one organisation, see design.md 1.4.

    :param zone_delay: one-way delay between zones of a region, seconds.
    :param region_delay: one-way delay between regions, seconds.
    :param slots: slots of each instance.
    :param rate: requests per second.
    """

    name: str
    regions: tuple[str, ...]
    zone_delay: float
    region_delay: float
    slots: int
    rate: float


DEPLOYMENTS = (
    Deployment(
        name='trust',
        regions=('muscat', 'dhofar', 'sharqiyah'),
        zone_delay=0.001,
        region_delay=0.008,
        slots=4,
        rate=400,
    ),
    Deployment(
        name='wrzosek',
        regions=('maz', 'mlp', 'wlkp'),
        zone_delay=0.0005,
        region_delay=0.008,
        slots=6,
        rate=600,
    ),
)


@attrs.frozen(kw_only=True)
class RequestClass:
    """One route with the median service time and share of its requests."""

    route: Route
    median_s: float
    share: float


def _request_class(
    name: str, median_s: float, share: float, idempotent: bool
) -> RequestClass:
    route = Route(
        route_id=RouteId(f'{SERVICE}/{name}'),
        service=SERVICE,
        path=f'/{name}',
        methods=frozenset({'GET'}),
        idempotent=idempotent,
        deadline=DEADLINE_S,
        retries=2,
    )
    return RequestClass(route=route, median_s=median_s, share=share)


CLASSES = (
    _request_class('read', 0.03, 0.5, idempotent=True),
    _request_class('search', 0.06, 0.3, idempotent=True),
    _request_class('write', 0.04, 0.2, idempotent=False),
)
_CLASS_BY_TENTH = tuple(
    request_class
    for request_class in CLASSES
    for _ in range(round(request_class.share * 10))
)
ACCOUNT_COUNT = 8


@attrs.define(kw_only=True)
class Timeline:
    """Virtual-time scheduler that also implements the clock port."""

    time: float = 0
    _calls: list[Any] = attrs.field(factory=list)
    _expiries: Any = attrs.field(factory=collections.deque)
    _numbers: Any = attrs.field(factory=itertools.count)

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.time

    def wall(self) -> float:
        """Return the virtual time in seconds."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Not supported; the simulation schedules calls instead."""
        raise NotImplementedError

    def after(self, delay: float, call: Callable[..., None], *args: Any):
        """Schedule a call after a delay in seconds."""
        heapq.heappush(
            self._calls, (self.time + delay, next(self._numbers), call, args)
        )

    def at_deadline(self, call: Callable[[Any], None], request: Any) -> None:
        """Schedule a call at the deadline, which is equal for all requests."""
        self._expiries.append((self.time + DEADLINE_S, call, request))

    def run_until(self, end: float) -> None:
        """Run all calls that are due up to a time."""
        calls, expiries = self._calls, self._expiries
        while calls and calls[0][0] <= end:
            while expiries and expiries[0][0] <= calls[0][0]:
                self.time, expire, request = expiries.popleft()
                if not request.is_done:
                    expire(request)
            self.time, _, call, args = heapq.heappop(calls)
            call(*args)
        self.time = end


@attrs.define(kw_only=True, eq=False)
class Request:
    """One caller's request.

    :param service_s: service time without any slowdown, seconds.
    """

    number: int
    vm: 'FakeVm'
    request_class: RequestClass
    account: int
    started: float
    service_s: float
    tried: set[InstanceId] = attrs.field(factory=set)
    is_done: bool = False
    current: Any = None


@attrs.define(kw_only=True, eq=False)
class SimulatedAttempt:
    """One attempt of a request."""

    request: Request
    instance: 'FakeInstance'
    evidence_attempt: Attempt | None = None
    is_over: bool = False


@attrs.define(kw_only=True, eq=False)
class FakeInstance:
    """An upstream instance with slots and a short queue; it sheds the rest.

    :param fault: name of the current fault, ``''`` for none.
    :param slowdown: factor on the service times.
    :param shed_fraction: fraction of requests shed despite a free slot.
    :param held: attempts that the fault keeps unanswered.
    """

    config: Instance
    fleet: 'Fleet'
    fault: str = ''
    slowdown: float = 1
    shed_fraction: float = 0
    running: int = 0
    queue: Any = attrs.field(factory=collections.deque)
    held: list[SimulatedAttempt] = attrs.field(factory=list)
    epoch: int = 0

    def receive(self, attempt: SimulatedAttempt) -> None:
        """Run, queue, shed or fail an attempt that arrived."""
        fleet = self.fleet
        zone = attempt.request.vm.placement.zone
        if self.fault == 'resets' and fleet.random.random() < _FAILING_FRACTION:
            fleet.answer(attempt, AttemptOutcome.BROKEN)
        elif self.fault == 'one_zone' and zone == fleet.faulty_zone:
            self.held.append(attempt)
        elif self.running < self.config.slots:
            self._run(attempt)
        elif len(self.queue) < self.config.slots:
            self.queue.append(attempt)
        else:
            fleet.answer(attempt, AttemptOutcome.SHED)

    def clear(self) -> None:
        """End the fault and answer the held attempts."""
        self.fault = ''
        held, self.held = self.held, []
        for attempt in held:
            self._free(attempt, AttemptOutcome.ANSWERED)

    def _run(self, attempt: SimulatedAttempt) -> None:
        self.running += 1
        fleet = self.fleet
        if fleet.random.random() < self.shed_fraction:
            self._free(attempt, AttemptOutcome.SHED)
            return
        if self.fault == 'hang':
            self.held.append(attempt)
            return
        seconds = attempt.request.service_s * self.slowdown * fleet.slowdown
        if self.fault == 'slow':
            seconds *= 10
        fleet.timeline.after(seconds, self._finish, attempt)

    def _finish(self, attempt: SimulatedAttempt) -> None:
        if self.fault == 'hang':
            self.held.append(attempt)
            return
        route = attempt.request.request_class.route
        is_partial = (
            self.fault == 'partial' and route is self.fleet.faulty_class.route
        )
        failed = is_partial and self.fleet.random.random() < _FAILING_FRACTION
        failed |= self.fleet.random.random() < self.fleet.base_failure_rate
        self._free(
            attempt,
            AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED,
        )

    def _free(self, attempt: SimulatedAttempt, outcome: AttemptOutcome) -> None:
        self.fleet.answer(attempt, outcome)
        if self.running:
            self.running -= 1
        while self.queue and self.running < self.config.slots:
            self._run(self.queue.popleft())


@attrs.define(kw_only=True, eq=False)
class FakeEndpoint:
    """Peer endpoint that delivers messages after the link delay."""

    vm_id: VmId
    fleet: 'Fleet'
    handlers: dict[type, Any] = attrs.field(factory=dict)
    sequence: int = 0

    def serve(self, message_class: type, handler: Any) -> None:
        """Set the handler of a message class."""
        self.handlers[message_class] = handler

    def send(self, *, to: VmId, message: object) -> None:
        """Schedule delivery to another VM."""
        self.sequence += 1
        envelope = messages.Envelope(
            sender=self.vm_id,
            incarnation=1,
            sequence=self.sequence,
            body=message,
        )
        self.fleet.count_message(envelope)
        receiver = self.fleet.vms_by_id[to]
        delay = self.fleet.delay(
            self.fleet.vms_by_id[self.vm_id].placement, receiver.placement
        )
        self.fleet.timeline.after(delay, receiver.endpoint.deliver, envelope)

    def deliver(self, envelope: messages.Envelope) -> None:
        """Pass a message to its handler."""
        self.handlers[type(envelope.body)](envelope)


@attrs.define(kw_only=True, eq=False)
class FakeVm:
    """One VM that runs the real decision code."""

    vm_id: VmId
    placement: Placement
    fleet: 'Fleet'
    policy: Any = None
    evidence: Evidence = attrs.field(init=False)
    endpoint: FakeEndpoint = attrs.field(init=False)
    in_flight: Any = attrs.field(factory=collections.Counter)

    def __attrs_post_init__(self) -> None:
        """Create the evidence and the endpoint."""
        self.evidence = Evidence()
        self.endpoint = FakeEndpoint(vm_id=self.vm_id, fleet=self.fleet)

    def tick(self) -> None:
        """Run the policy's tick and schedule the next one."""
        self.policy.tick()
        self.fleet.watch(self)
        self.fleet.timeline.after(TICK_S, self.tick)

    def choose(self, request: Request) -> Instance | None:
        """Return the less loaded of two random instances that are in use."""
        rng, route = self.fleet.random, request.request_class.route
        weight_of = self.policy.weight_of
        candidates = []
        for instance in self.fleet.service.instances_by_id.values():
            if instance.instance_id not in request.tried:
                weight = weight_of(instance, route)
                if weight == 1 or rng.random() < weight:
                    candidates.append(instance)
        if not candidates:
            return None
        first = candidates[int(rng.random() * len(candidates))]
        second = candidates[int(rng.random() * len(candidates))]
        in_flight = self.in_flight
        is_less = in_flight[second.instance_id] < in_flight[first.instance_id]
        return second if is_less else first


@attrs.define(kw_only=True, eq=False)
class EvidencePolicy:
    """Ejection as the daemon does it, from pooled evidence."""

    vm: FakeVm
    ejections: Ejections = attrs.field(init=False)
    suspicions: Suspicions = attrs.field(init=False)
    weight_of: Any = attrs.field(init=False)
    checked_state: Any = None

    def __attrs_post_init__(self) -> None:
        """Connect evidence, suspicions and ejections as the daemon does."""
        vm, fleet = self.vm, self.vm.fleet
        self.ejections = Ejections(
            clock=fleet.timeline,
            service_of=lambda _name: fleet.service,
            on_eject=self._on_eject,
            capacity_of=fleet.capacity_of,
        )
        self.weight_of = self.ejections.weight_of
        vm.evidence.is_cold = self.ejections.is_cold
        self.suspicions = Suspicions(
            vm_id=vm.vm_id,
            placement=vm.placement,
            clock=fleet.timeline,
            members=fleet.members,
            endpoint=vm.endpoint,
            evidence=vm.evidence,
            on_suspects=self.ejections.evaluate,
        )

    def tick(self) -> None:
        """Exchange suspicions, evaluate ejections and check the floor."""
        self.suspicions.tick()
        fleet = self.vm.fleet
        out = frozenset(
            (item['instance'], item['route_class'], item['weight'])
            for item in self.ejections.report()
        )
        state = (out, fleet.service, frozenset(fleet.leaving))
        if state == self.checked_state:
            return
        self.checked_state = state
        for request_class in CLASSES:
            used = self.ejections.capacity_in_use(
                fleet.service, request_class.route.route_id
            )
            available = fleet.available_fraction()
            if used < min(fleet.service.floor, available) - 1e-9:
                fleet.floor_violations += 1

    def on_result(self, instance: Instance, is_failure: bool) -> None:
        """Do nothing; the outcome is already recorded as evidence."""

    def _on_eject(self, instance_id: InstanceId, route_class: RouteId) -> None:
        fleet = self.vm.fleet
        fleet.ejections.append(
            (fleet.timeline.time, self.vm.vm_id, instance_id, route_class)
        )
        self.vm.evidence.cancel_overdue(
            instance_id, route_class, fleet.timeline.time
        )


@attrs.define(kw_only=True, eq=False)
class NoEjection:
    """Baseline that never ejects an instance."""

    vm: FakeVm

    def weight_of(self, _instance: Instance, _route: Route) -> float:
        """Return the full weight."""
        return 1

    def tick(self) -> None:
        """Do nothing."""

    def on_result(self, instance: Instance, is_failure: bool) -> None:
        """Do nothing."""


@attrs.define(kw_only=True, eq=False)
class ConsecutiveFailures(NoEjection):
    """Baseline: 5 failures in a row eject for 5 s, at most half at once."""

    failures: Any = attrs.field(factory=collections.Counter)
    ejected_until: dict[InstanceId, float] = attrs.field(factory=dict)

    def weight_of(self, instance: Instance, _route: Route) -> float:
        """Return 0 while ejected."""
        now = self.vm.fleet.timeline.time
        return 0 if self.ejected_until.get(instance.instance_id, 0) > now else 1

    def on_result(self, instance: Instance, is_failure: bool) -> None:
        """Count failures in a row and eject after five."""
        instance_id = instance.instance_id
        if not is_failure:
            self.failures[instance_id] = 0
            return
        self.failures[instance_id] += 1
        now = self.vm.fleet.timeline.time
        out = sum(1 for end in self.ejected_until.values() if end > now)
        if self.failures[instance_id] >= 5 and out < INSTANCE_COUNT // 2:
            self.ejected_until[instance_id] = now + 5
            self.failures[instance_id] = 0


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """Simulated VMs and instances of one run, with its counters.

    :param rate: requests per second, set from the deployment.
    :param slowdown: factor on the service times of all instances.
    :param pareto: service times follow a Pareto distribution, otherwise a
        log-normal one.
    :param watched: instance whose avoidance by the VMs is recorded.
    """

    deployment: Deployment
    random: random.Random
    policy: Any = EvidencePolicy
    timeline: Timeline = attrs.field(factory=Timeline)
    rate: float = 0
    slowdown: float = 1
    base_failure_rate: float = 0.001
    service_time_scale: float = 1
    pareto: bool = False
    faulty_zone: str = ''
    faulty_class: RequestClass = CLASSES[1]
    leaving: set[InstanceId] = attrs.field(factory=set)
    vms_by_id: dict[VmId, FakeVm] = attrs.field(factory=dict)
    vms: list[FakeVm] = attrs.field(factory=list)
    instances_by_id: dict[InstanceId, FakeInstance] = attrs.field(factory=dict)
    service: Service = attrs.field(init=False)
    members: Members = attrs.field(init=False)
    ejections: list[Any] = attrs.field(factory=list)
    watched: InstanceId | None = None
    avoided_at: dict[VmId, float] = attrs.field(factory=dict)
    sent_to_watched: int = 0
    decisions: int = 0
    floor_violations: int = 0
    over_deadline: int = 0
    results: Any = attrs.field(factory=collections.Counter)
    message_count: int = 0
    sampled_bytes: int = 0
    _numbers: Any = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Build the VMs and instances and schedule the first request."""
        self.rate = self.deployment.rate
        zones = [
            Placement(region=region, zone=f'{region}-{letter}')
            for region in self.deployment.regions
            for letter in 'ab'
        ]
        self.members = Members(own_id=VmId('vm-0'), own_placement=zones[0])
        for index in range(VM_COUNT):
            vm = FakeVm(
                vm_id=VmId(f'vm-{index}'),
                placement=zones[index % len(zones)],
                fleet=self,
            )
            self.vms_by_id[vm.vm_id] = vm
            self.vms.append(vm)
        self.members.update(
            tuple(
                VmRecord(
                    vm_id=vm.vm_id, placement=vm.placement, peer_address=''
                )
                for vm in self.vms_by_id.values()
            )
        )
        instances = [
            Instance(
                instance_id=InstanceId(f'instance-{number}'),
                address='',
                placement=zones[number % len(zones)],
                slots=self.deployment.slots,
            )
            for number in range(INSTANCE_COUNT)
        ]
        self.set_instances(instances)
        self.reset_policy()
        for position, vm in enumerate(self.vms_by_id.values()):
            self.timeline.after(position * TICK_S / VM_COUNT, vm.tick)
        self.timeline.after(0, self._arrive)

    def reset_policy(self) -> None:
        """Give every VM a new policy without suspects."""
        for vm in self.vms_by_id.values():
            vm.policy = self.policy(vm=vm)

    def set_instances(self, instances: list[Instance]) -> None:
        """Publish another list of instances."""
        self.service = Service(
            name=SERVICE,
            instances_by_id={item.instance_id: item for item in instances},
            routes_by_id={
                request_class.route.route_id: request_class.route
                for request_class in CLASSES
            },
        )
        for item in instances:
            if item.instance_id not in self.instances_by_id:
                self.instances_by_id[item.instance_id] = FakeInstance(
                    config=item, fleet=self
                )

    def capacity_of(self, instance: Instance) -> float:
        """Return 0 for a leaving instance, otherwise 1."""
        return 0 if instance.instance_id in self.leaving else 1

    def available_fraction(self) -> float:
        """Return the fraction of the capacity that is not leaving."""
        instances = self.service.instances_by_id.values()
        return sum(map(self.capacity_of, instances)) / len(instances)

    def delay(self, first: Placement, second: Placement) -> float:
        """Return the one-way delay between two placements in seconds."""
        if first.zone == second.zone:
            return _SAME_ZONE_S
        if first.region == second.region:
            return self.deployment.zone_delay
        return self.deployment.region_delay

    def count_message(self, envelope: messages.Envelope) -> None:
        """Count a message and sample the encoded size."""
        self.message_count += 1
        if self.message_count % _ENCODE_EVERY == 0:
            self.sampled_bytes += len(messages.encode(envelope))

    def watch(self, vm: FakeVm) -> None:
        """Record when a VM stops sending to the watched instance."""
        if self.watched is None or vm.vm_id in self.avoided_at:
            return
        instance = self.instances_by_id[self.watched].config
        if vm.policy.weight_of(instance, self.faulty_class.route) == 0:
            self.avoided_at[vm.vm_id] = self.timeline.time

    def answer(
        self, attempt: SimulatedAttempt, outcome: AttemptOutcome
    ) -> None:
        """Send an outcome back to the VM."""
        delay = self.delay(
            attempt.instance.config.placement, attempt.request.vm.placement
        )
        self.timeline.after(delay, self._end, attempt, outcome)

    def _arrive(self) -> None:
        rng = self.random
        self.timeline.after(rng.expovariate(self.rate), self._arrive)
        vm = self.vms[int(rng.random() * VM_COUNT)]
        request_class = _CLASS_BY_TENTH[int(rng.random() * 10)]
        account = int(rng.random() * ACCOUNT_COUNT)
        request = Request(
            number=next(self._numbers),
            vm=vm,
            request_class=request_class,
            account=account,
            started=self.timeline.time,
            service_s=request_class.median_s
            * self.service_time_scale
            * self._size_factor(account),
        )
        self.timeline.at_deadline(self._expire, request)
        self._send(request)

    def _size_factor(self, account: int) -> float:
        # Accounts differ in the mean service time of their requests.
        account_factor = 0.7 + 0.1 * account
        if self.pareto:
            return account_factor * 0.7 * self.random.paretovariate(2.2)
        return account_factor * math.exp(self.random.gauss(0, 0.8))

    def _send(self, request: Request) -> None:
        self.decisions += 1
        instance = request.vm.choose(request)
        if instance is None:
            self._close(request, 'no_instance')
            return
        if instance.instance_id == self.watched:
            self.sent_to_watched += 1
        request.tried.add(instance.instance_id)
        vm = request.vm
        vm.in_flight[instance.instance_id] += 1
        attempt = SimulatedAttempt(
            request=request,
            instance=self.instances_by_id[instance.instance_id],
        )
        request.current = attempt
        attempt.evidence_attempt = vm.evidence.start(
            instance=instance,
            route=request.request_class.route,
            now=self.timeline.time,
            cancel=(
                (lambda: self._end(attempt, AttemptOutcome.TIMED_OUT))
                if request.request_class.route.idempotent
                else None
            ),
        )
        self.timeline.after(
            self.delay(vm.placement, instance.placement),
            attempt.instance.receive,
            attempt,
        )

    def _end(self, attempt: SimulatedAttempt, outcome: AttemptOutcome) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        request, vm = attempt.request, attempt.request.vm
        instance = attempt.instance.config
        vm.in_flight[instance.instance_id] -= 1
        vm.evidence.finish(
            attempt.evidence_attempt, outcome, self.timeline.time
        )
        is_failure = outcome not in {
            AttemptOutcome.ANSWERED,
            AttemptOutcome.SHED,
        }
        vm.policy.on_result(instance, is_failure)
        if request.is_done:
            return
        if (
            outcome is AttemptOutcome.ANSWERED
            or outcome is AttemptOutcome.FAILED
        ):
            self._close(request, outcome.value)
            return
        is_safe = (
            request.request_class.route.idempotent
            or outcome is AttemptOutcome.SHED
        )
        if (
            is_safe
            and len(request.tried) <= request.request_class.route.retries
        ):
            self._send(request)
        else:
            self._close(request, outcome.value)

    def _expire(self, request: Request) -> None:
        self._close(request, 'deadline')
        self._end(request.current, AttemptOutcome.TIMED_OUT)

    def _close(self, request: Request, result: str) -> None:
        request.is_done = True
        self.results[result] += 1
        late = self.timeline.time - request.started - DEADLINE_S
        if late > _RESULT_LATE_S:
            self.over_deadline += 1

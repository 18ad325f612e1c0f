"""Compares cost predictions and rules for the choice of an instance.

Without a network and in its own time: the products' own Selector and cost
modules choose among modelled instances. Arrivals are drawn, or taken from the
log lines of the VMs.
"""

import argparse
import collections
import functools
import heapq
import json
import logging
import math
import pathlib
import random
import statistics
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

import attrs
import structlog

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.remaining_work import RemainingWork
from bronzewall.edge.request_costs import CostClass, RequestCosts, work_time
from bronzewall.edge.response_times import ResponseTimes
from bronzewall.edge.selection import RequestProfile, Selector
from bronzewall.edge.zone_state import ZoneState
from bronzewall.types import (
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
    VmId,
)

# VMs, instances, slots and queue of one zone's part of a deployment.
_VMS = 7
_INSTANCES = 21
_SLOTS = 3
_QUEUE = 12
# The VMs of a zone learn the counts of the others about this often, seconds.
_REPORT_INTERVAL_S = 0.1
_PLACE = Placement(region='a', zone='a-1')
_LOADS = (0.6, 0.8, 0.95, 1.1)
# Time limit of a request, relative to its target latency, and the fraction of
# its expected time that must be left after the queue (instance_choice.py).
_LIMIT_FACTOR = 1.7
_MIN_TIME_FRACTION = 0.3
# Answers that predictors see before their errors count.
_LEARNING_ANSWERS = 200
# Uneven instances: a fifth takes three times as long.
_SLOW_SHARE = 0.2
_SLOW_FACTOR = 3.0


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of request as the operators describe it.

    :param work: mean seconds at an instance of usual speed.
    :param spread: standard deviation of its logarithm.
    :param share: part of the requests.
    """

    route: str
    service: str
    work: float
    spread: float
    target: float
    share: float


@attrs.frozen(kw_only=True)
class Arrival:
    """One request with the work that it costs.

    :param queue_time: expected seconds in the queue when it was sent.
    """

    at: float
    vm: int
    service: ServiceName
    route: RouteId
    account: str
    work: float
    target: float
    queue_time: float = 0


# Similar requests, of which 3 in 100 cost seven times as much, and a service
# that also serves short and long ones.
_ALIKE = (
    Kind(route='browse', service='library', work=0.26, spread=0.3, target=1.2,
         share=0.75),
    Kind(route='upload', service='library', work=0.24, spread=0.8, target=1.5,
         share=0.25),
)  # fmt: skip
_MIXED = (
    Kind(route='quiz', service='library', work=0.08, spread=0.3, target=0.6,
         share=0.6),
    Kind(route='browse', service='library', work=0.26, spread=0.3, target=1.2,
         share=0.3),
    Kind(route='export', service='library', work=1.5, spread=0.5, target=3.0,
         share=0.1),
)  # fmt: skip
_MIXES = {'alike': _ALIKE, 'mixed': _MIXED}
_TAIL_SHARE = 0.03
_TAIL_FACTOR = 7.0


def _work(kind: Kind, rng: random.Random) -> float:
    """Return the work of one request, with the kind's mean before tails."""
    usual = rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)
    tail = _TAIL_FACTOR if rng.random() < _TAIL_SHARE else 1
    return kind.work * usual * tail


def _mean_work(kinds: Sequence[Kind]) -> float:
    tail = 1 + _TAIL_SHARE * (_TAIL_FACTOR - 1)
    return sum(kind.share * kind.work for kind in kinds) * tail


def draw(
    kinds: Sequence[Kind], *, rate: float, seconds: float, seed: int
) -> list[Arrival]:
    """Return arrivals in waves, as callers send them."""
    rng = random.Random(seed)
    at: float = 0
    found = []
    while at < seconds:
        wave = 1 + 0.3 * math.sin(at / 17 * math.tau)
        at += rng.expovariate(rate * wave)
        kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
        found.append(
            Arrival(
                at=at,
                vm=rng.randrange(_VMS),
                service=ServiceName(kind.service),
                route=RouteId(kind.route),
                account=f'a-{min(79, int(rng.paretovariate(0.6)))}',
                work=_work(kind, rng),
                target=kind.target,
            )
        )
    return found


def read_log(lines: Iterable[str]) -> list[Arrival]:
    """Return the requests that instances answered, from log lines of VMs.

    Text before the JSON of a line is ignored, as are lines that were cut.
    """
    answered = []
    accounts_by_request: dict[str, str] = {}
    for line in lines:
        item = _line(line)
        if item.get('event') == 'answered':
            accounts_by_request[item['request_id']] = item['account'] or ''
        if item.get('event') == 'instance_answered' and item['status'] < 400:
            answered.append(item)
    return [
        Arrival(
            at=number,
            vm=0,
            service=ServiceName(item['service']),
            route=RouteId(item['route']),
            account=accounts_by_request.get(item['request_id'], ''),
            work=item['seconds'],
            target=1,
            queue_time=item['queue_time'],
        )
        for number, item in enumerate(answered)
    ]


def _line(line: str) -> dict[str, Any]:
    try:
        item = json.loads(line[line.find('{') :])
    except ValueError:
        return {}
    return item if isinstance(item, dict) else {}


# Predictions. Each predictor is a function that returns the expected time of a
# request and then learns the true one.
Predictor = Callable[[Arrival], float]


def _by_service_mean() -> Predictor:
    times = ResponseTimes()

    def predict(item: Arrival) -> float:
        expected = times.mean(item.service)
        times.record(item.service, item.work)
        return expected

    return predict


def _by_route_mean() -> Predictor:
    costs = RequestCosts()

    def predict(item: Arrival) -> float:
        known = CostClass(service=item.service, route=item.route)
        expected = costs.mean(known)
        costs.record(known, work_time(item.work, queue_time=item.queue_time))
        return expected

    return predict


def _by_route_median() -> Predictor:
    """Predict the median of the last 50 requests of the route."""
    last: dict[RouteId, collections.deque[float]] = collections.defaultdict(
        lambda: collections.deque(maxlen=50)
    )

    def predict(item: Arrival) -> float:
        known = last[item.route]
        expected = statistics.median(known) if known else 0.5
        known.append(item.work)
        return expected

    return predict


def _by_last_two(key: Callable[[Arrival], object]) -> Predictor:
    """Predict the mean of the last two like requests."""
    last: dict[object, collections.deque[float]] = collections.defaultdict(
        lambda: collections.deque(maxlen=2)
    )

    def predict(item: Arrival) -> float:
        known = last[key(item)] or last[item.service]
        expected = statistics.fmean(known) if known else 0.5
        last[key(item)].append(item.work)
        last[item.service].append(item.work)
        return expected

    return predict


def predictors() -> dict[str, Predictor]:
    """Return new predictors by name."""
    return {
        'mean by service': _by_service_mean(),
        'mean by route': _by_route_mean(),
        'median by route': _by_route_median(),
        'last two of route': _by_last_two(lambda item: item.route),
        'last two of session': _by_last_two(
            lambda item: (item.account, item.route)
        ),
    }


def prediction_errors(
    arrivals: Sequence[Arrival], predict: Predictor
) -> tuple[float, float]:
    """Return the median and the 90th percentile of the ratio, 1 or more."""
    ratios = []
    for number, item in enumerate(arrivals):
        expected = max(predict(item), 0.001)
        true = max(0.001, work_time(item.work, queue_time=item.queue_time))
        if number >= _LEARNING_ANSWERS:
            ratios.append(max(expected / true, true / expected))
    ratios.sort()
    return ratios[len(ratios) // 2], ratios[int(len(ratios) * 0.9)]


# Choice of an instance.


@attrs.define(kw_only=True, eq=False)
class _Instance:
    """A modelled instance: slots and a queue in order of arrival."""

    entry: EdgeInstance
    factor: float
    running: int = 0
    queue: collections.deque['_Sent'] = attrs.field(factory=collections.deque)


@attrs.define(kw_only=True, eq=False)
class _Sent:
    """A request on its way through an instance."""

    arrival: Arrival
    vm: '_Vm'
    instance: _Instance
    queue_time: float


class _ModelClock:
    """A clock that the model sets."""

    def __init__(self) -> None:
        self.time: float = 0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


@attrs.define(kw_only=True, eq=False)
class _Vm:
    """One VM: what it knows and how it chooses."""

    state: ZoneState
    selector: Selector
    times: ResponseTimes
    rng: random.Random

    def profile(self, item: Arrival) -> RequestProfile:
        known = CostClass(service=item.service, route=item.route)
        work = self.selector.work
        mean = self.times.mean(item.service)
        if work is None:
            expected_time, queue_factor = mean, 1.0
        else:
            expected_time = work.costs.mean(known)
            queue_factor = max(1, mean / work.costs.service_mean(item.service))
        return RequestProfile(
            service=item.service,
            is_retryable=False,
            expected_time=expected_time,
            target_latency=item.target,
            queue_factor=queue_factor,
        )


# Returns the instance and the expected time in its queue, or ``None`` to refuse
# the request.
Rule = Callable[[_Vm, Arrival, float], tuple[EdgeInstance, float] | None]


def _selected(
    vm: _Vm, item: Arrival, now: float
) -> tuple[EdgeInstance, float] | None:
    profile = vm.profile(item)
    found = vm.selector.choose(profile, excluded=(), now=now)
    assert found is not None
    spare = item.target * _LIMIT_FACTOR
    spare -= profile.expected_time * _MIN_TIME_FRACTION
    if found.queue_time * profile.queue_factor > spare:
        return None
    return found.instance, found.queue_time


def _least_in_flight(
    vm: _Vm, item: Arrival, now: float
) -> tuple[EdgeInstance, float]:
    usable = vm.selector.catalog.usable(item.service)
    return min(
        usable,
        key=lambda one: (vm.state.in_flight(one.instance_id), vm.rng.random()),
    ), 0


def _two_choices(
    vm: _Vm, item: Arrival, now: float
) -> tuple[EdgeInstance, float]:
    usable = vm.rng.sample(vm.selector.catalog.usable(item.service), 2)
    return min(usable, key=lambda one: vm.state.in_flight(one.instance_id)), 0


# Rules by name, with whether they learn costs.
RULES: dict[str, tuple[Rule, bool]] = {
    'least in flight': (_least_in_flight, False),
    'two choices': (_two_choices, False),
    'mean by service': (_selected, False),
    'remaining work': (_selected, True),
}


@attrs.define(kw_only=True, eq=False)
class _World:
    """Instances and VMs under one rule."""

    rule: Rule
    vms: list[_Vm]
    instances: dict[InstanceId, _Instance]
    in_time: int = 0
    late: int = 0
    _events: list[tuple[float, int, Callable[[float], None]]] = attrs.field(
        factory=list
    )
    _count: int = 0

    def play(self, arrivals: Iterable[Arrival], clock: _ModelClock) -> None:
        """Send all arrivals and run until the last one has ended."""
        arrivals = tuple(arrivals)
        for item in arrivals:
            self._at(item.at, functools.partial(self._send, item))
        for number in range(int(arrivals[-1].at / _REPORT_INTERVAL_S)):
            self._at(number * _REPORT_INTERVAL_S, self._report)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            clock.time = now
            event(now)

    def _at(self, at: float, event: Callable[[float], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, event))

    def _report(self, now: float) -> None:
        totals = collections.Counter[str]()
        for vm in self.vms:
            totals.update(vm.state.own_in_flight)
        for vm in self.vms:
            others = collections.Counter(totals)
            others.subtract(vm.state.own_in_flight)
            vm.state.other_in_flight = dict(others)

    def _send(self, item: Arrival, now: float) -> None:
        vm = self.vms[item.vm]
        chosen = self.rule(vm, item, now)
        if chosen is None:
            return
        entry, queue_time = chosen
        instance = self.instances[entry.instance_id]
        if len(instance.queue) >= _QUEUE:
            return
        vm.state.add_in_flight(entry.instance_id)
        sent = _Sent(
            arrival=item,
            vm=vm,
            instance=instance,
            queue_time=queue_time,
        )
        if instance.running < entry.slots:
            self._begin(sent, now)
        else:
            instance.queue.append(sent)

    def _begin(self, sent: _Sent, now: float) -> None:
        """Run a request until it is done or its time is over."""
        sent.instance.running += 1
        item = sent.arrival
        seconds = item.work * sent.instance.factor
        left = max(0, item.at + item.target * _LIMIT_FACTOR - now)
        is_done = seconds <= left
        self._at(
            now + min(seconds, left),
            functools.partial(self._end, sent, is_done),
        )

    def _end(self, sent: _Sent, is_done: bool, now: float) -> None:
        vm, instance = sent.vm, sent.instance
        vm.state.remove_in_flight(instance.entry.instance_id)
        if is_done:
            self._record(sent, now)
        instance.running -= 1
        if instance.queue:
            self._begin(instance.queue.popleft(), now)

    def _record(self, sent: _Sent, now: float) -> None:
        item, vm = sent.arrival, sent.vm
        seconds = now - item.at
        vm.times.record(item.service, seconds)
        if vm.selector.work is not None:
            vm.selector.work.record(
                sent.instance.entry.instance_id,
                CostClass(service=item.service, route=item.route),
                seconds,
                queue_time=sent.queue_time,
                now=now,
            )
        is_in_time = seconds <= item.target
        self.in_time += is_in_time
        self.late += not is_in_time


def play(
    arrivals: Sequence[Arrival], rule_name: str, *, uneven: bool, seed: int
) -> tuple[float, float]:
    """Return the shares answered in time and late."""
    rule, learns = RULES[rule_name]
    clock = _ModelClock()
    slow = int(_INSTANCES * _SLOW_SHARE) if uneven else 0
    entries = [
        EdgeInstance(
            instance_id=InstanceId(f'i-{number}'),
            service=service,
            address=f'10.0.0.1:{1000 + number}',
            placement=_PLACE,
            slots=_SLOTS,
        )
        for service in sorted({item.service for item in arrivals})
        for number in range(_INSTANCES)
    ]
    instances = {
        item.instance_id: _Instance(
            entry=item, factor=_SLOW_FACTOR if number < slow else 1
        )
        for number, item in enumerate(entries)
    }
    world = _World(
        rule=rule,
        vms=[
            _new_vm(number, entries, clock, learns=learns, seed=seed)
            for number in range(_VMS)
        ],
        instances=instances,
    )
    world.play(arrivals, clock)
    return world.in_time / len(arrivals), world.late / len(arrivals)


def _new_vm(
    number: int,
    entries: Sequence[EdgeInstance],
    clock: _ModelClock,
    *,
    learns: bool,
    seed: int,
) -> _Vm:
    catalog = Catalog(clock=clock, interval=1.5)
    catalog.accept(entries, confirmed_at=0)
    state = ZoneState()
    return _Vm(
        state=state,
        selector=Selector(
            own_id=VmId(f'vm-{number}'),
            own_placement=_PLACE,
            catalog=catalog,
            state=state,
            work=RemainingWork() if learns else None,
        ),
        times=ResponseTimes(),
        rng=random.Random(f'{seed} {number}'),
    )


def capacity(kinds: Sequence[Kind], *, uneven: bool) -> float:
    """Return the requests a second that all instances can work off."""
    slow = int(_INSTANCES * _SLOW_SHARE) if uneven else 0
    equal = _INSTANCES - slow + slow / _SLOW_FACTOR
    return equal * _SLOTS / _mean_work(kinds)


@attrs.frozen(kw_only=True)
class Result:
    """Mean over the seeds of one rule at one load."""

    mix: str
    uneven: bool
    load: float
    rule: str
    in_time: float
    late: float


def compare(
    seeds: Sequence[int], *, seconds: float, rules: Iterable[str] = RULES
) -> Iterator[Result]:
    """Yield the results of all rules, loads and kinds of instances."""
    for mix, kinds in _MIXES.items():
        for uneven in (False, True):
            for load in _LOADS:
                rate = capacity(kinds, uneven=uneven) * load
                drawn = [
                    draw(kinds, rate=rate, seconds=seconds, seed=seed)
                    for seed in seeds
                ]
                for rule in rules:
                    parts = [
                        play(items, rule, uneven=uneven, seed=seed)
                        for seed, items in zip(seeds, drawn, strict=True)
                    ]
                    yield Result(
                        mix=mix,
                        uneven=uneven,
                        load=load,
                        rule=rule,
                        in_time=statistics.fmean(part[0] for part in parts),
                        late=statistics.fmean(part[1] for part in parts),
                    )


def _print_errors(name: str, arrivals: Sequence[Arrival]) -> None:
    print(f'\n{name}: {len(arrivals)} requests')
    print('| prediction | median ratio | 90th percentile |')
    print('|---|---|---|')
    for title, predict in predictors().items():
        median, high = prediction_errors(arrivals, predict)
        print(f'| {title} | {median:.2f} | {high:.2f} |')


def _print_results(results: Sequence[Result]) -> None:
    rules = list(dict.fromkeys(item.rule for item in results))
    print(f'\n| requests | instances | load | {" | ".join(rules)} |')
    print('|---' * (len(rules) + 3) + '|')
    for (mix, uneven, load), items in _rows(results).items():
        cells = ' | '.join(
            f'{item.in_time:.3f} ({item.late:.3f})' for item in items
        )
        kind = 'uneven' if uneven else 'equal'
        print(f'| {mix} | {kind} | {load} | {cells} |')


def _rows(
    results: Sequence[Result],
) -> dict[tuple[str, bool, float], list[Result]]:
    """Return results by requests, instances and load."""
    rows: dict[tuple[str, bool, float], list[Result]] = {}
    for item in results:
        rows.setdefault((item.mix, item.uneven, item.load), []).append(item)
    return rows


def plot(results: Sequence[Result], path: pathlib.Path) -> None:
    """Write a plot of the shares answered in time."""
    # Only the plot needs it, which is installed for development.
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(9, 7), sharey=True)
    for row, mix in enumerate(_MIXES):
        for column, uneven in enumerate((False, True)):
            panel = axes[row][column]
            panel.set_title(f'{mix}, {"uneven" if uneven else "equal"}')
            for rule in dict.fromkeys(item.rule for item in results):
                points = [
                    (item.load, item.in_time)
                    for item in results
                    if (item.mix, item.uneven, item.rule) == (mix, uneven, rule)
                ]
                panel.plot(*zip(*points, strict=True), marker='o', label=rule)
            panel.set_xlabel('load, fraction of the capacity')
            panel.set_ylabel('answered within the target')
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument('--log', type=pathlib.Path, nargs='*', default=())
    parser.add_argument('--plot', type=pathlib.Path)
    options = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    for path in options.log:
        with path.open() as lines:
            _print_errors(path.name, read_log(lines))
    for mix, kinds in _MIXES.items():
        drawn = draw(kinds, rate=40, seconds=60, seed=1)
        _print_errors(f'drawn, {mix}', drawn)
    results = list(
        compare(range(1, options.seeds + 1), seconds=options.seconds)
    )
    _print_results(results)
    if options.plot is not None:
        plot(results, options.plot)


if __name__ == '__main__':
    main()

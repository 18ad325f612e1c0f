"""A fleet whose instances state limits, and what they then get."""

import asyncio
import random
from collections.abc import Iterable

import attrs
from edge_builders import (
    EdgeVm,
    a_caller_request,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
)
from edge_fleet import TICK_S, Fleet

from bronzewall.edge.ports import InstanceAnswer, InstanceRequest

_SETTLE_S = 3.0
_SUMMARY_S = 1.0
# The bound on what an instance gets from the VMs that know its limit: this
# factor on the limit, and requests besides, in each window, once the limit
# has been stated for a time.
_FACTOR = 1.5
_SLACK = 5
_WINDOW_S = 4.0
_STABILITY_S = 3.0
_TOLD_S = 0.5


@attrs.frozen(kw_only=True)
class Arrival:
    """One request that an instance got."""

    at: float
    vm: str
    instance: str


@attrs.define(kw_only=True, eq=False)
class LimitWorld:
    """VMs of several zones under a steady load.

    :param limits_by_id: limits that instances state now.
    :param arrivals: all requests that instances got.
    """

    fleet: Fleet
    random: random.Random
    response_time: float = 0.25
    limits_by_id: dict[str, float] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    statuses: list[int] = attrs.field(factory=list)
    seconds: list[float] = attrs.field(factory=list)
    _told_at: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _stated_at: dict[str, float] = attrs.field(factory=dict)
    _tasks: list['asyncio.Task[None]'] = attrs.field(factory=list)

    async def load(
        self, seconds: float, *, rate: float, vms: Iterable[str] = ()
    ) -> None:
        """Send requests to VMs at random times.

        :param rate: requests a second at each VM.
        :param vms: names of the VMs, all by default.
        """
        names = list(vms) or list(self.fleet.vms)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.random.expovariate(rate * len(names)))
            vm = self.fleet.vms[self.random.choice(names)]
            self._tasks.append(asyncio.create_task(self._ask(vm)))
        await asyncio.gather(*self._tasks)

    def excess(self, instance: str) -> float:
        """Return the most requests beyond the bound in any window."""
        limit = self.limits_by_id[instance]
        allowed = _FACTOR * limit * _WINDOW_S + _SLACK
        times = [one.at for one in self.arrivals if self._counts(one, instance)]
        return max(
            (
                sum(begin <= at < begin + _WINDOW_S for at in times) - allowed
                for begin in times
            ),
            default=-allowed,
        )

    def count(self, instance: str, *, since: float) -> int:
        """Return how many requests an instance got since a time."""
        return sum(
            one.instance == instance and one.at >= since
            for one in self.arrivals
        )

    async def send_summaries(self) -> None:
        """Send the summaries between zones."""
        while True:
            await asyncio.sleep(_SUMMARY_S)
            for vm in self.fleet.vms.values():
                if vm.election.is_leader:
                    vm.leader.send_zone_summaries()

    def install(self, vm: EdgeVm) -> None:
        """Let the instances of this world answer a VM's requests."""

        async def behave(request: InstanceRequest) -> InstanceAnswer:
            return await self._answer(vm, request)

        for name in self.fleet.shared.instances_by_id:
            vm.instances.behaviours_by_id[name] = behave

    def _counts(self, one: Arrival, instance: str) -> bool:
        told_at = self._told_at.get((instance, one.vm))
        stated_at = self._stated_at.get(instance)
        return (
            one.instance == instance
            and told_at is not None
            and stated_at is not None
            and one.at >= told_at + _TOLD_S
            and one.at >= stated_at + _STABILITY_S
        )

    async def _answer(
        self, vm: EdgeVm, request: InstanceRequest
    ) -> InstanceAnswer:
        now = asyncio.get_running_loop().time()
        name = request.instance_id
        self.arrivals.append(
            Arrival(at=now, vm=vm.fleet.own.vm_id, instance=name)
        )
        await asyncio.sleep(self.response_time * self.random.uniform(0.5, 1.5))
        limit = self.limits_by_id.get(name)
        if limit is not None:
            self._stated_at.setdefault(name, now)
        return InstanceAnswer(
            status=200,
            headers=(('X-From', name),),
            body=b'body',
            request_limit=limit,
        )

    async def _ask(self, vm: EdgeVm) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        writer = await vm.ask(a_caller_request(method='POST'))
        self.statuses.append(writer.status)
        self.seconds.append(loop.time() - started)
        name = writer.header('X-From')
        if name is not None and name in self.limits_by_id:
            self._told_at.setdefault((name, vm.fleet.own.vm_id), loop.time())


async def a_limit_world(
    vms_by_zone: dict[str, int], instances_by_zone: dict[str, int], *, seed: int
) -> LimitWorld:
    """Return a settled fleet with instances ``ZONE/i-N`` in each zone."""
    fleet = Fleet()
    for zone, count in vms_by_zone.items():
        for number in range(count):
            fleet.add(
                f'{zone}/vm-{number}',
                zone=zone,
                zones=len(vms_by_zone),
                started_ms=number,
            )
    route = an_edge_route(idempotent=False, timeout=2.0)
    fleet.shared.publish(an_edge_configuration(2, routes=(route,)))
    fleet.list_instances(
        *(
            an_edge_instance(f'{zone}/i-{number}', zone=zone)
            for zone, count in instances_by_zone.items()
            for number in range(count)
        )
    )
    world = LimitWorld(fleet=fleet, random=random.Random(seed))
    for vm in fleet.vms.values():
        world.install(vm)
    await fleet.start()
    fleet.tasks_by_name['summaries'] = [
        asyncio.create_task(world.send_summaries())
    ]
    await asyncio.sleep(_SETTLE_S + TICK_S)
    return world

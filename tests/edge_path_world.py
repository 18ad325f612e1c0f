"""A fleet some of whose VMs reach no instance, and whom it then serves."""

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
from edge_fleet import Fleet

from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.errors import ConnectFailedError, UpstreamBrokenError
from bronzewall.standins.memory_store import Behaviour

_SETTLE_S = 3.0
_SUMMARY_S = 1.0
_TOLERATED_FAILURES = 10
_TOLERATED_SHARE = 0.02
_LEAST_RATIO = 2 / 3
# Share of requests that go out on a kept connection, and the time after which
# such a connection fails if its bytes are not acknowledged.
_KEPT_SHARE = 0.5
_USER_TIMEOUT_S = 1.5
_KEPT_S = 4.0
_RELAY_DELAY_S = 0.001


@attrs.frozen(kw_only=True)
class Attempt:
    """One attempt of a caller."""

    name: str
    at: float
    vm: str
    status: int
    seconds: float


@attrs.define(kw_only=True, eq=False)
class PathWorld:
    """VMs of several zones under a steady load.

    :param how: what happens to connections of a VM that is cut: ``silent``,
        ``reset``, or ``new`` if only new ones fail.
    :param cut_service: only instances of this service are cut off.
    :param has_one_target: all requests are for the same path.
    :param cut_at: clock time of the cut by VM.
    """

    fleet: Fleet
    random: random.Random
    how: str = 'silent'
    cut_service: str | None = None
    has_one_target: bool = False
    response_time: float = 0.25
    cut_at: dict[str, float] = attrs.field(factory=dict)
    attempts: list[Attempt] = attrs.field(factory=list)
    relayed: int = 0
    runs_by_id: dict[str, int] = attrs.field(factory=dict)
    _tasks: list['asyncio.Task[None]'] = attrs.field(factory=list)

    def cut(self, names: Iterable[str]) -> None:
        """Cut VMs off from all instances."""
        now = asyncio.get_running_loop().time()
        self.cut_at.update(dict.fromkeys(names, now))

    async def load(
        self, seconds: float, *, rate: float, prefix: str = '/drafts/'
    ) -> None:
        """Send requests to VMs at random times.

        :param rate: requests a second at each VM.
        """
        names = list(self.fleet.vms)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.random.expovariate(rate * len(names)))
            vm = self.fleet.vms[self.random.choice(names)]
            self._tasks.append(asyncio.create_task(self._ask(vm, prefix)))
        await asyncio.gather(*self._tasks)

    def served(self, *, is_cut: bool, since: float) -> tuple[int, int]:
        """Return attempts that were served and all, at cut or other VMs."""
        found = [
            one
            for one in self.attempts
            if (one.vm in self.cut_at) == is_cut and one.at >= since
        ]
        return sum(one.status == 200 for one in found), len(found)

    def keeps_bound(self, *, since: float) -> bool:
        """Return whether callers of cut VMs are served as often as others."""
        cut_served, cut_total = self.served(is_cut=True, since=since)
        served, total = self.served(is_cut=False, since=since)
        tolerated = _TOLERATED_FAILURES + _TOLERATED_SHARE * (cut_total + total)
        share = served / total if total else 1
        return (
            cut_total - cut_served <= tolerated
            or cut_served >= _LEAST_RATIO * share * cut_total
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

        vm.instances.connect_time = 0.3 if self.how == 'silent' else 0.001
        listed = self.fleet.shared.instances_by_id.values()
        cut_addresses = {item.address for item in listed if self._is_cut(item)}
        vm.instances.accepts = lambda address: (
            vm.fleet.own.vm_id not in self.cut_at
            or address not in cut_addresses
        )
        for name in self.fleet.shared.instances_by_id:
            vm.instances.behaviours_by_id[name] = behave
        for name in self.fleet.vms:
            vm.instances.behaviours_by_id[name] = self._relay_to(name)

    def _is_cut(self, instance: EdgeInstance) -> bool:
        """Return whether a cut VM does not reach an instance."""
        return self.cut_service in {None, instance.service}

    def _relay_to(self, name: str) -> Behaviour:
        """Return how requests that another VM relays to a VM are handled."""

        async def relay(request: InstanceRequest) -> InstanceAnswer:
            await asyncio.sleep(_RELAY_DELAY_S)
            self.relayed += 1

            async def read_body() -> bytes:
                return request.body

            writer = await self.fleet.vms[name].ask(
                a_caller_request(
                    method=request.method,
                    target=request.target,
                    path=request.target,
                    headers=request.headers,
                    read_body=read_body,
                )
            )
            return InstanceAnswer(
                status=writer.status, headers=writer.headers, body=writer.body
            )

        return relay

    async def _answer(
        self, vm: EdgeVm, request: InstanceRequest
    ) -> InstanceAnswer:
        cut_at = self.cut_at.get(vm.fleet.own.vm_id)
        listed = self.fleet.shared.instances_by_id[request.instance_id]
        if cut_at is not None and self._is_cut(listed):
            await self._meet_cut(cut_at)
        attempt_id = request.attempt_id
        self.runs_by_id[attempt_id] = self.runs_by_id.get(attempt_id, 0) + 1
        await asyncio.sleep(self.response_time * self.random.uniform(0.5, 1.5))
        return InstanceAnswer(
            status=200, headers=(('X-From', request.instance_id),), body=b'body'
        )

    async def _meet_cut(self, cut_at: float) -> None:
        """Fail a request as the network of a cut VM does."""
        cut_for = asyncio.get_running_loop().time() - cut_at
        is_kept = cut_for < _KEPT_S and self.random.random() < _KEPT_SHARE
        if self.how == 'new' and is_kept:
            return
        if self.how == 'silent':
            if is_kept:
                await asyncio.sleep(_USER_TIMEOUT_S)
                raise UpstreamBrokenError('not acknowledged')
            await asyncio.sleep(0.3)
        elif is_kept:
            raise UpstreamBrokenError('reset')
        raise ConnectFailedError('no connection')

    async def _ask(self, vm: EdgeVm, prefix: str) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        attempt_id = f'a-{len(self._tasks)}'
        target = prefix if self.has_one_target else f'{prefix}{attempt_id}'
        request = a_caller_request(method='POST', target=target)
        headers = [
            (name, attempt_id if name == 'T-Attempt' else text)
            for name, text in request.headers
        ]
        writer = await vm.ask(attrs.evolve(request, headers=headers))
        self.attempts.append(
            Attempt(
                name=attempt_id,
                at=started,
                vm=vm.fleet.own.vm_id,
                status=writer.status,
                seconds=loop.time() - started,
            )
        )


async def a_path_world(
    vms_by_zone: dict[str, int],
    *,
    seed: int,
    how: str = 'silent',
    cut_service: str | None = None,
) -> PathWorld:
    """Return a settled fleet with three instances in each zone.

    Each zone has as many instances of another service, which get no requests.

    Requests to ``/drafts/`` may run once only, those to ``/pages/`` may be
    sent again.
    """
    fleet = Fleet()
    for zone, count in vms_by_zone.items():
        for number in range(count):
            fleet.add(
                f'{zone}/vm-{number}',
                zone=zone,
                zones=len(vms_by_zone),
                started_ms=number,
            )
    routes = (
        an_edge_route(idempotent=False, timeout=2.0),
        an_edge_route(route_id='r-2', prefix='/pages/', timeout=2.0),
    )
    fleet.shared.publish(an_edge_configuration(2, routes=routes))
    fleet.list_instances(
        *(
            an_edge_instance(f'{zone}/i-{number}', zone=zone, slots=8)
            for zone in vms_by_zone
            for number in range(3)
        ),
        *(
            an_edge_instance(f'{zone}/n-{number}', zone=zone, service='notes')
            for zone in vms_by_zone
            for number in range(3)
        ),
    )
    world = PathWorld(
        fleet=fleet,
        random=random.Random(seed),
        how=how,
        cut_service=cut_service,
    )
    for vm in fleet.vms.values():
        world.install(vm)
    await fleet.start()
    fleet.tasks_by_name['summaries'] = [
        asyncio.create_task(world.send_summaries())
    ]
    await asyncio.sleep(_SETTLE_S)
    return world

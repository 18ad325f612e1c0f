"""Fleet of VMs whose request paths run over in-memory ports."""

import asyncio
import random

import attrs

from bronzewall import headers as header_rules
from bronzewall.config_feed import ConfigFeed
from bronzewall.config_model import Account, Configuration
from bronzewall.crash_guard import CrashGuard
from bronzewall.crash_setup import build_crash_guard
from bronzewall.dispatch import Dispatcher
from bronzewall.journal import Journal
from bronzewall.membership import Members
from bronzewall.metrics import Metrics
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import CallerRequest, Headers
from bronzewall.proxy import RequestPath
from bronzewall.run_gate import RunGate
from bronzewall.run_setup import build_run_gate
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.standins.memory_faults import (
    FaultyTable,
    PausableClock,
    PausableUpstreams,
    Pause,
    TableFaults,
)
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.memory_upstreams import MemoryUpstreams
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import Placement, VmId, VmRecord, VmState

_CALLER_DELAY_S = 0.003


@attrs.define(kw_only=True)
class MemoryAnswer:
    """Answer as a caller received it; implements ``AnswerWriter``.

    :param is_broken: the connection broke before the end.
    """

    status: int = 0
    headers: Headers = ()
    body: bytes = b''
    is_finished: bool = False
    is_broken: bool = False

    @property
    def is_started(self) -> bool:
        """Whether a status was recorded."""
        return self.status > 0

    async def start(self, *, status: int, headers: Headers) -> None:
        """Record the status line and headers."""
        self.status, self.headers = status, headers

    async def write(self, chunk: bytes) -> None:
        """Record a piece of the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Record the end of the answer."""
        self.is_finished = True

    def abort(self) -> None:
        """Record that the connection broke."""
        self.is_broken = True

    def header(self, name: str) -> str | None:
        """Return the value of a header, if present."""
        return header_rules.find(self.headers, name)


class _NoQuota:
    """Admits every request."""

    async def admit(self, account: Account) -> None:
        """Admit a request."""


@attrs.define(kw_only=True, eq=False)
class MemoryVm:
    """One process of a VM and its parts."""

    vm_id: VmId
    incarnation: int
    members: Members
    endpoint: PeerEndpoint
    gate: RunGate
    guard: CrashGuard
    path: RequestPath
    table: FaultyTable
    pause: Pause
    killed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def is_killed(self) -> bool:
        """Whether the process was killed."""
        return self.killed.is_set()


@attrs.define(kw_only=True, eq=False)
class MemoryFleet:
    """VMs that share a store, a network and upstream instances."""

    random: random.Random
    configuration: Configuration
    upstreams: MemoryUpstreams
    network: MemoryNetwork
    table_faults: TableFaults = attrs.field(factory=TableFaults)
    platform: MemoryPlatform = attrs.field(
        factory=lambda: MemoryPlatform(clock=VirtualClock())
    )
    vms_by_id: dict[VmId, MemoryVm] = attrs.field(factory=dict)
    killed_vms: list[MemoryVm] = attrs.field(factory=list)
    _incarnations: int = 0

    def start(self, vm_id: VmId) -> MemoryVm:
        """Start a process of a VM; it replaces an earlier one."""
        self._incarnations += 1
        rng = random.Random(f'{vm_id}/{self._incarnations}')
        pause = Pause()
        clock = PausableClock(
            clock=VirtualClock(offset=rng.uniform(0, 1000)), pause=pause
        )
        upstreams = PausableUpstreams(upstreams=self.upstreams, pause=pause)
        table = FaultyTable(
            table=self.platform,
            pause=pause,
            random=rng,
            faults=self.table_faults,
        )
        members = Members(
            own_id=vm_id, own_placement=Placement(region='r', zone='r-a')
        )
        endpoint = PeerEndpoint(
            vm_id=vm_id,
            incarnation=self._incarnations,
            link=MemoryLink(vm_id=vm_id, network=self.network),
        )
        gate = build_run_gate(
            endpoint=endpoint,
            clock=clock,
            table=table,
            members=members,
            rng=rng,
        )
        guard = build_crash_guard(
            endpoint=endpoint,
            clock=clock,
            members=members,
            refuses_connections=self.upstreams.refuses_connections,
            rng=rng,
        )
        feed = ConfigFeed(clock=clock, table=table, objects=self.platform)
        feed.apply_configuration(self.configuration)
        vm = MemoryVm(
            vm_id=vm_id,
            incarnation=self._incarnations,
            members=members,
            endpoint=endpoint,
            gate=gate,
            guard=guard,
            table=table,
            pause=pause,
            path=RequestPath(
                vm_id=vm_id,
                clock=clock,
                random=rng,
                feed=feed,
                quota=_NoQuota(),
                dispatcher=Dispatcher(random=rng),
                upstreams=upstreams,
                run_gate=gate,
                crash_guard=guard,
                metrics=Metrics(),
                journal=Journal(capacity=100),
                may_serve_keyed=lambda: True,
            ),
        )
        self.vms_by_id[vm_id] = vm
        self.publish_members()
        if len(self.vms_by_id) > 1:
            guard.tasks.start(guard.fetch_history())
        return vm

    def publish_members(self) -> None:
        """Update the members of every VM from the current list."""
        records = tuple(
            VmRecord(
                vm_id=vm.vm_id,
                placement=vm.members.own_placement,
                peer_address='',
                state=VmState.DESTROYED if vm.is_killed else VmState.LIVE,
            )
            for vm in self.vms_by_id.values()
        )
        for vm in self.vms_by_id.values():
            vm.members.update(records)

    def kill(self, vm_id: VmId) -> None:
        """Kill a VM's process, which breaks its callers' connections."""
        vm = self.vms_by_id[vm_id]
        vm.killed.set()
        # This reference keeps tasks that never finish from being garbage
        # collected.
        self.killed_vms.append(vm)
        self.network.kill(vm_id)
        # The tasks are frozen, not cancelled: cancelled tasks would run
        # their clean-up, which a killed process does not.
        vm.pause.freeze()

    def freeze(self, vm_id: VmId) -> None:
        """Pause a VM."""
        self.network.freeze(vm_id)
        self.vms_by_id[vm_id].pause.freeze()

    def thaw(self, vm_id: VmId) -> None:
        """Resume a paused VM."""
        self.network.thaw(vm_id)
        self.vms_by_id[vm_id].pause.thaw()

    def restart(self, vm_id: VmId) -> None:
        """Start a new process of a VM that was killed."""
        if self.vms_by_id[vm_id].is_killed:
            self.network.thaw(vm_id)
            self.start(vm_id)

    def apply_table_faults(self, faults: TableFaults) -> None:
        """Change the faults of the store for every VM."""
        self.table_faults = faults
        for vm in self.vms_by_id.values():
            vm.table.faults = faults

    def recover(self) -> None:
        """End blocks, message loss and the store outage; resume all VMs.

        Killed VMs are restarted. Jitter and duplication of the network and
        the rates of table faults stay.
        """
        self.network.heal()
        self.network.loss = 0
        self.table_faults.is_down = False
        for vm_id, vm in tuple(self.vms_by_id.items()):
            self.restart(vm_id)
            if not vm.is_killed:
                self.thaw(vm_id)

    async def close(self) -> None:
        """Cancel every other task of the event loop."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def send(
        self,
        vm_id: VmId,
        request: CallerRequest,
        *,
        caller_timeout: float = 60.0,
    ) -> MemoryAnswer:
        """Send a caller's request to a VM and return the answer received.

        :param caller_timeout: seconds after which the caller disconnects.
        """
        answer = MemoryAnswer()
        vm = self.vms_by_id[vm_id]
        await asyncio.sleep(_CALLER_DELAY_S)
        if vm.is_killed:
            answer.is_broken = True
            return answer
        call = asyncio.create_task(_handle(vm, request, answer))
        kill_wait = asyncio.create_task(vm.killed.wait())
        await asyncio.wait(
            {call, kill_wait},
            timeout=caller_timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        kill_wait.cancel()
        received = attrs.evolve(answer)
        received.is_broken = received.is_broken or not received.is_finished
        if call.done():
            # Raises an unexpected error of the code under test.
            call.result()
        elif not vm.is_killed:
            call.cancel()
        await asyncio.sleep(_CALLER_DELAY_S)
        return received


async def _handle(
    vm: MemoryVm, request: CallerRequest, answer: MemoryAnswer
) -> None:
    await vm.pause.wait_until_thawed()
    await vm.path.handle(request, answer)


def caller_request(
    *,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b'',
) -> CallerRequest:
    """Return a request as it reaches a VM."""

    async def read_body() -> bytes:
        return body

    return CallerRequest(
        method=method,
        target=path,
        path=path,
        headers=headers,
        read_body=read_body,
    )

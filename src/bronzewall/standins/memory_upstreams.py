"""In-memory upstream instances that record every run and can crash."""

import asyncio
import json
import random
from collections.abc import AsyncIterator, Callable

import attrs

from bronzewall import headers as header_rules
from bronzewall.config_model import Instance
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.ports import UpstreamAnswer, UpstreamRequest
from bronzewall.types import InstanceId

_STATUS_CREATED = 201


@attrs.frozen(kw_only=True)
class MemoryRun:
    """One run of a request on an instance.

    :param at: loop time.
    """

    instance_id: InstanceId
    request_id: str
    marker: str
    target: str
    at: float


@attrs.define(kw_only=True)
class MemoryUpstreamFaults:
    """Shares of exchanges, 0 to 1, that fail in each way.

    :param connect: no connection is opened; not run.
    :param shed: explicit shed answer; not run.
    :param break_before: the connection breaks; not run, but unknown.
    :param break_after: the connection breaks after the run.
    :param hang_after: no answer until the timeout, after the run.
    :param truncate: the body ends early.
    :param crashes: whether a request kills the instance that runs it.
    :param restart: seconds until a dead instance runs again.
    """

    connect: float = 0
    shed: float = 0
    break_before: float = 0
    break_after: float = 0
    hang_after: float = 0
    truncate: float = 0
    crashes: Callable[[str], bool] = lambda _target: False
    restart: float = 3.0


@attrs.define(kw_only=True)
class MemoryUpstreams:
    """Port ``UpstreamHttp`` for all VMs of a test.

    :param latency: seconds to an instance, one way.
    :param run_time: seconds to run a request, at most.
    :param lost_markers: requests whose answer was lost by a fault.
    """

    random: random.Random
    latency: float = 0.002
    run_time: float = 0.05
    body_bytes: int = 0
    faults: MemoryUpstreamFaults = attrs.field(factory=MemoryUpstreamFaults)
    runs: list[MemoryRun] = attrs.field(factory=list)
    deaths: list[MemoryRun] = attrs.field(factory=list)
    lost_markers: set[str] = attrs.field(factory=set)
    _down_until_by_id: dict[InstanceId, float] = attrs.field(factory=dict)
    _work: set[asyncio.Task[None]] = attrs.field(factory=set)
    _broken_by_id: dict[InstanceId, asyncio.Event] = attrs.field(factory=dict)

    async def exchange(self, request: UpstreamRequest) -> 'MemoryExchange':
        """Run a request or fail as the faults say."""
        try:
            async with asyncio.timeout(request.timeout):
                return await self._exchange(request)
        except TimeoutError:
            raise UpstreamTimeoutError('no answer in time') from None

    def stop(self, instance_id: InstanceId) -> None:
        """Let an instance refuse connections from now on."""
        self._down_until_by_id[instance_id] = float('inf')

    async def refuses_connections(self, instance: Instance) -> bool:
        """Return whether an instance is down."""
        await asyncio.sleep(self.latency)
        return self._is_down(instance.instance_id)

    def _is_down(self, instance_id: InstanceId) -> bool:
        now = asyncio.get_running_loop().time()
        return self._down_until_by_id.get(instance_id, 0) > now

    async def _exchange(self, request: UpstreamRequest) -> 'MemoryExchange':
        await asyncio.sleep(self.latency)
        now = asyncio.get_running_loop().time()
        if self._is_down(request.instance_id):
            raise ConnectFailedError('the instance is down')
        self._fail_before(request)
        run = _run(request, now)
        self.runs.append(run)
        # The instance does not notice that nobody waits for the answer.
        work = asyncio.create_task(self._run(run))
        self._work.add(work)
        work.add_done_callback(self._end_work)
        await asyncio.shield(work)
        return await self._finish(run)

    def _fail_before(self, request: UpstreamRequest) -> None:
        faults = self.faults
        if self._happens(faults.connect):
            raise ConnectFailedError('no connection')
        if self._happens(faults.shed):
            raise UpstreamShedError(f'{request.instance_id} shed')
        if self._happens(faults.break_before):
            self.lost_markers.add(_run(request, 0).marker)
            raise UpstreamBrokenError('broken before the run')

    async def _run(self, run: MemoryRun) -> None:
        """Wait for the end of a run or of the instance."""
        broken = self._broken_by_id.setdefault(run.instance_id, asyncio.Event())
        seconds = self.run_time * self.random.uniform(0.5, 1)
        try:
            async with asyncio.timeout(seconds):
                await broken.wait()
        except TimeoutError:
            if self.faults.crashes(run.target):
                self._crash(run)
                raise UpstreamBrokenError('the instance died') from None
            return
        raise UpstreamBrokenError('the instance died')

    def _end_work(self, work: asyncio.Task[None]) -> None:
        self._work.discard(work)
        if not work.cancelled():
            # Marks the exception as seen if nobody waits.
            work.exception()

    def _crash(self, run: MemoryRun) -> None:
        now = asyncio.get_running_loop().time()
        self.deaths.append(run)
        self._down_until_by_id[run.instance_id] = now + self.faults.restart
        self._broken_by_id.pop(run.instance_id).set()

    async def _finish(self, run: MemoryRun) -> 'MemoryExchange':
        if self._happens(self.faults.break_after):
            self.lost_markers.add(run.marker)
            raise UpstreamBrokenError('broken after the run')
        if self._happens(self.faults.hang_after):
            self.lost_markers.add(run.marker)
            await asyncio.Event().wait()
        await asyncio.sleep(self.latency)
        body = json.dumps({'ran': run.request_id, 'marker': run.marker})
        return self._answer(
            body.encode() + b' ' * self.body_bytes,
            is_cut=self._happens(self.faults.truncate),
        )

    def _answer(self, body: bytes, *, is_cut: bool) -> 'MemoryExchange':
        async def chunks() -> AsyncIterator[bytes]:
            yield body[: len(body) // 2]
            if is_cut:
                raise UpstreamBrokenError('truncated')
            yield body[len(body) // 2 :]

        return MemoryExchange(
            answer=UpstreamAnswer(
                status=_STATUS_CREATED,
                headers=[('Content-Type', 'application/json')],
                body=chunks(),
            )
        )

    def _happens(self, share: float) -> bool:
        return share > 0 and self.random.random() < share


@attrs.define(kw_only=True)
class MemoryExchange:
    """One exchange with an in-memory instance."""

    answer: UpstreamAnswer

    def close(self) -> None:
        """Do nothing; there is no connection."""


def _run(request: UpstreamRequest, at: float) -> MemoryRun:
    marker = header_rules.find(request.headers, 'X-Marker')
    request_id = header_rules.find(request.headers, header_rules.REQUEST_ID)
    return MemoryRun(
        instance_id=request.instance_id,
        request_id=request_id or '',
        marker=marker or '',
        target=request.target,
        at=at,
    )

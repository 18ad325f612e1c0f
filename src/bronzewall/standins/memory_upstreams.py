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

    :param at: loop time in seconds.
    """

    instance_id: InstanceId
    request_id: str
    marker: str
    target: str
    at: float


@attrs.define(kw_only=True)
class MemoryUpstreamFaults:
    """Fractions of exchanges, 0 to 1, that fail in each way.

    :param connect: no connection is opened; the request does not run.
    :param shed: the instance answers that it sheds the request, which does
        not run.
    :param break_before: the connection breaks and the request does not run,
        which the sender cannot know.
    :param break_after: the connection breaks after the run.
    :param hang_after: no answer until the timeout, after the run.
    :param truncate: the body ends early.
    :param crashes: whether a request, by its target, crashes the instance
        that runs it.
    :param restart_delay: seconds until a crashed instance runs again.
    """

    connect: float = 0
    shed: float = 0
    break_before: float = 0
    break_after: float = 0
    hang_after: float = 0
    truncate: float = 0
    crashes: Callable[[str], bool] = lambda _target: False
    restart_delay: float = 3.0


@attrs.define(kw_only=True)
class MemoryUpstreams:
    """Port ``UpstreamHttp`` for all VMs of a test.

    :param latency: seconds to an instance, one way.
    :param run_time: seconds to run a request, at most.
    :param crashes: runs that crashed their instance.
    :param lost_answer_markers: markers of the requests whose answer was lost
        by a fault.
    """

    random: random.Random
    latency: float = 0.002
    run_time: float = 0.05
    body_bytes: int = 0
    faults: MemoryUpstreamFaults = attrs.field(factory=MemoryUpstreamFaults)
    runs: list[MemoryRun] = attrs.field(factory=list)
    crashes: list[MemoryRun] = attrs.field(factory=list)
    lost_answer_markers: set[str] = attrs.field(factory=set)
    _down_until_by_id: dict[InstanceId, float] = attrs.field(factory=dict)
    _run_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _crash_events_by_id: dict[InstanceId, asyncio.Event] = attrs.field(
        factory=dict
    )

    async def exchange(self, request: UpstreamRequest) -> 'MemoryExchange':
        """Run a request or fail according to the faults."""
        try:
            async with asyncio.timeout(request.timeout):
                return await self._exchange(request)
        except TimeoutError:
            raise UpstreamTimeoutError('no answer in time') from None

    def stop(self, instance_id: InstanceId) -> None:
        """Make an instance refuse connections from now on."""
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
        run = _run_record(request, now)
        self.runs.append(run)
        # The run goes on if the sender stops waiting for the answer.
        task = asyncio.create_task(self._wait_for_run(run))
        self._run_tasks.add(task)
        task.add_done_callback(self._discard_run_task)
        await asyncio.shield(task)
        return await self._finish(run)

    def _fail_before(self, request: UpstreamRequest) -> None:
        faults = self.faults
        if self._occurs(faults.connect):
            raise ConnectFailedError('no connection')
        if self._occurs(faults.shed):
            raise UpstreamShedError(f'{request.instance_id} shed')
        if self._occurs(faults.break_before):
            self.lost_answer_markers.add(_run_record(request, 0).marker)
            raise UpstreamBrokenError('broken before the run')

    async def _wait_for_run(self, run: MemoryRun) -> None:
        """Wait until a run ends or its instance crashes."""
        crashed = self._crash_events_by_id.setdefault(
            run.instance_id, asyncio.Event()
        )
        seconds = self.run_time * self.random.uniform(0.5, 1)
        try:
            async with asyncio.timeout(seconds):
                await crashed.wait()
        except TimeoutError:
            if self.faults.crashes(run.target):
                self._crash(run)
                raise UpstreamBrokenError('the instance crashed') from None
            return
        raise UpstreamBrokenError('the instance crashed')

    def _discard_run_task(self, task: asyncio.Task[None]) -> None:
        self._run_tasks.discard(task)
        if not task.cancelled():
            # Retrieves the exception, so that asyncio does not log it if
            # no sender waits.
            task.exception()

    def _crash(self, run: MemoryRun) -> None:
        now = asyncio.get_running_loop().time()
        self.crashes.append(run)
        self._down_until_by_id[run.instance_id] = (
            now + self.faults.restart_delay
        )
        self._crash_events_by_id.pop(run.instance_id).set()

    async def _finish(self, run: MemoryRun) -> 'MemoryExchange':
        if self._occurs(self.faults.break_after):
            self.lost_answer_markers.add(run.marker)
            raise UpstreamBrokenError('broken after the run')
        if self._occurs(self.faults.hang_after):
            self.lost_answer_markers.add(run.marker)
            await asyncio.Event().wait()
        await asyncio.sleep(self.latency)
        body = json.dumps({'ran': run.request_id, 'marker': run.marker})
        return self._answer(
            body.encode() + b' ' * self.body_bytes,
            is_truncated=self._occurs(self.faults.truncate),
        )

    def _answer(self, body: bytes, *, is_truncated: bool) -> 'MemoryExchange':
        async def chunks() -> AsyncIterator[bytes]:
            yield body[: len(body) // 2]
            if is_truncated:
                raise UpstreamBrokenError('truncated')
            yield body[len(body) // 2 :]

        return MemoryExchange(
            answer=UpstreamAnswer(
                status=_STATUS_CREATED,
                headers=[('Content-Type', 'application/json')],
                body=chunks(),
            )
        )

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self.random.random() < probability


@attrs.define(kw_only=True)
class MemoryExchange:
    """One exchange with an in-memory instance."""

    answer: UpstreamAnswer

    def close(self) -> None:
        """Do nothing; there is no connection."""


def _run_record(request: UpstreamRequest, at: float) -> MemoryRun:
    marker = header_rules.find(request.headers, 'X-Marker')
    request_id = header_rules.find(request.headers, header_rules.REQUEST_ID)
    return MemoryRun(
        instance_id=request.instance_id,
        request_id=request_id or '',
        marker=marker or '',
        target=request.target,
        at=at,
    )

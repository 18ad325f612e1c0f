"""Upstream instances that record the requests they run, with faults."""

import asyncio
import math
import random
import time

import attrs
from aiohttp import web

_STATUS_FAILED = 500
_STATUS_WRONG_INSTANCE = 421
_HANG_S = 30
# Seconds that a caller wants an instance to work on its request.
WORK_TIME_HEADER = 'X-Work-Time'


@attrs.define(kw_only=True)
class Run:
    """One request that an instance began to run.

    :param at: monotonic time in seconds, as is ``ended_at``.
    :param ended_at: when the instance ended its work, infinite before.
    :param has_answered: the instance gave a whole answer.
    :param has_broken_off: the instance reset the connection.
    """

    attempt_id: str
    instance_id: str
    account: str
    path: str
    at: float
    ended_at: float = math.inf
    has_answered: bool = False
    has_broken_off: bool = False


@attrs.define(kw_only=True, eq=False)
class SoakInstance:
    """One instance that listens on a loopback port.

    :param fault: ``''``, ``errors``, ``hang``, ``reset`` or ``shed``.
    :param fault_rate: fraction of the requests that the fault affects.
    :param response_time: seconds from receiving a request to its answer.
    :param request_limit: requests a second that its answers state as limit.
    :param is_leaving: its answers state that it leaves.
    :param boot: number of its process; one that has left starts again.
    """

    instance_id: str
    service: str
    random: random.Random
    runs: list[Run]
    fault: str = ''
    fault_rate: float = 0.7
    response_time: float = 0.03
    request_limit: float | None = None
    is_leaving: bool = False
    boot: int = 1
    address: str = ''
    _runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', self._handle)
        # Instances drop a request whose connection is closed.
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=0.1,
            handler_cancellation=True,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', 0).start()
        self.address = f'127.0.0.1:{self._runner.addresses[0][1]}'

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self, *, state: str = 'ready') -> dict[str, object]:
        """Return the row of this instance in the store."""
        return {
            'serviceName': self.service,
            'address': self.address,
            'zone': 'a',
            'capacitySlots': 8,
            'instanceState': state,
            'warmupLeft': 0,
            'born': self.boot,
        }

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.headers['X-Attempt-Id']
        echo = {'X-Attempt-Id': attempt_id}
        if self.request_limit is not None:
            echo['Server-Limit'] = str(self.request_limit)
        if self.is_leaving:
            echo['Server-Leaving'] = '1'
        if request.headers['X-Target-Instance'] != self.instance_id:
            return web.Response(status=_STATUS_WRONG_INSTANCE, headers=echo)
        fault = self.fault
        if self.random.random() > self.fault_rate:
            fault = ''
        if fault == 'shed':
            return web.Response(
                status=503, headers={**echo, 'X-Not-Executed': '1'}
            )
        run = Run(
            attempt_id=attempt_id,
            instance_id=self.instance_id,
            account=request.headers.get('X-Tenant-Name', ''),
            path=request.path,
            at=time.monotonic(),
        )
        self.runs.append(run)
        try:
            return await self._work(request, run, fault, echo)
        finally:
            run.ended_at = time.monotonic()

    async def _work(
        self,
        request: web.Request,
        run: Run,
        fault: str,
        echo: dict[str, str],
    ) -> web.Response:
        """Return the answer to a request after the time that it takes."""
        await request.read()
        sealed = {**echo, 'X-Response-Seal': self.instance_id}
        if fault == 'errors':
            run.has_answered = True
            return web.Response(status=_STATUS_FAILED, headers=sealed)
        asked = float(request.headers.get(WORK_TIME_HEADER, 0))
        work_time = _HANG_S if fault == 'hang' else asked or self.response_time
        await asyncio.sleep(work_time)
        if fault == 'reset':
            assert request.transport is not None
            request.transport.abort()
            run.has_broken_off = True
        else:
            run.has_answered = True
        return web.Response(body=body_of(run.attempt_id), headers=sealed)


def body_of(attempt_id: str) -> bytes:
    """Return the body that the answer to an attempt must have."""
    return (attempt_id * 40).encode()

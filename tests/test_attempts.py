"""Recorded outcomes of attempts, and their abandonment."""

import asyncio

import attrs
import pytest
from builders import a_route, an_instance

from bronzewall.attempts import observed_exchange
from bronzewall.errors import (
    AttemptAbandonedError,
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.evidence import Evidence
from bronzewall.ports import UpstreamAnswer, UpstreamRequest
from bronzewall.standins.virtual_time import VirtualClock, run_virtual

READ = a_route()
WRITE = a_route('write', idempotent=False)
REQUEST = UpstreamRequest(
    instance_id=an_instance().instance_id,
    address='',
    method='GET',
    target='/',
    headers=(),
    body=b'',
    timeout=2,
)


@attrs.define(kw_only=True)
class FakeUpstreams:
    """Fails, or answers with a status after a delay."""

    delay: float = 0.02
    status: int = 200
    failure: UpstreamError | None = None
    answer: UpstreamAnswer | None = None

    async def exchange(self, request):
        """Wait, then fail or answer."""
        await asyncio.sleep(self.delay)
        if self.failure:
            raise self.failure
        self.answer = UpstreamAnswer(status=self.status, headers=(), body=())
        return self

    def close(self) -> None:
        """Nothing to close."""


async def _attempt(evidence, upstreams, route=READ):
    return await observed_exchange(
        upstreams=upstreams,
        evidence=evidence,
        clock=VirtualClock(),
        instance=an_instance(),
        route=route,
        request=REQUEST,
    )


@pytest.mark.parametrize(
    ('upstreams', 'ok', 'failed'),
    [
        (FakeUpstreams(), 1, 0),
        (FakeUpstreams(status=404), 1, 0),
        (FakeUpstreams(status=502), 0, 1),
        (FakeUpstreams(failure=ConnectFailedError()), 0, 1),
        (FakeUpstreams(failure=UpstreamBrokenError()), 0, 1),
        (FakeUpstreams(failure=UpstreamTimeoutError()), 1, 0),
        (FakeUpstreams(failure=UpstreamShedError()), 0, 0),
    ],
)
def test_outcome_becomes_evidence(upstreams, ok, failed) -> None:
    """Guards against shed requests that count as failures, and lost failures.

    A timeout counts as a slow answer, because its cause may be shared.
    """

    async def main() -> None:
        evidence = Evidence()
        try:
            await _attempt(evidence, upstreams)
        except UpstreamError as exc:
            assert exc is upstreams.failure
        rows = evidence.drain(READ.service, 1)
        assert sum(row.ok for row in rows) == ok
        assert sum(row.failed for row in rows) == failed

    run_virtual(main())


@pytest.mark.parametrize(('route', 'ended_at'), [(READ, 1), (WRITE, 5)])
def test_overdue_attempt_ends_early_only_if_idempotent(route, ended_at) -> None:
    """Guards against a long wait for an answer and against a second run."""

    async def main() -> None:
        evidence = Evidence()
        for _ in range(20):
            await _attempt(evidence, FakeUpstreams(), route)
        loop = asyncio.get_running_loop()
        start = loop.time()
        loop.call_later(
            1,
            evidence.cancel_overdue,
            REQUEST.instance_id,
            route.route_id,
            start + 1,
        )
        try:
            await _attempt(evidence, FakeUpstreams(delay=5), route)
        except AttemptAbandonedError:
            assert route is READ
        assert loop.time() - start == pytest.approx(ended_at)

    run_virtual(main())

"""The request path with a fake upstream and a fake caller."""

import random
from collections.abc import AsyncIterator, Sequence

import attrs
import pytest
from builders import (
    ACCOUNT_KEY,
    a_configuration,
    a_fleet,
    a_route,
    a_service,
)

from bronzewall.config_feed import ConfigFeed
from bronzewall.dispatch import Dispatcher
from bronzewall.errors import (
    BronzewallError,
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.journal import Journal
from bronzewall.metrics import Metrics
from bronzewall.ports import (
    CallerRequest,
    UpstreamAnswer,
    UpstreamRequest,
)
from bronzewall.proxy import RequestPath
from bronzewall.quota import StaticSplitQuota
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.standins.memory_fleet import MemoryAnswer
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import VmId


@attrs.define(kw_only=True)
class FakeExchange:
    """An exchange with a given answer."""

    answer: UpstreamAnswer
    closed: int = 0

    def close(self) -> None:
        """Count the call."""
        self.closed += 1


@attrs.define(kw_only=True)
class FakeUpstreams:
    """Raises the given failures, then answers with the given chunks."""

    failures: list[Exception] = attrs.field(factory=list)
    chunks: Sequence[bytes | BronzewallError] = (b'ok',)
    sent: list[UpstreamRequest] = attrs.field(factory=list)

    async def exchange(self, request: UpstreamRequest) -> FakeExchange:
        """Fail or answer."""
        self.sent.append(request)
        if self.failures:
            raise self.failures.pop(0)
        return FakeExchange(
            answer=UpstreamAnswer(
                status=200, headers=[('X-A', 'b')], body=self._body()
            )
        )

    async def _body(self) -> AsyncIterator[bytes]:
        for chunk in self.chunks:
            if isinstance(chunk, BronzewallError):
                raise chunk
            yield chunk


def _request(method: str = 'GET', key: str = ACCOUNT_KEY) -> CallerRequest:
    async def read_body() -> bytes:
        return b''

    return CallerRequest(
        method=method,
        target='/drafts/7?x=1',
        path='/drafts/7',
        headers=[
            ('Authorization', f'Bearer {key}'),
            ('Bronzewall-Account', 'forged'),
            ('Idempotency-Key', 'once-1'),
        ],
        read_body=read_body,
    )


def _serve(
    upstreams: FakeUpstreams, request: CallerRequest
) -> tuple[MemoryAnswer, RequestPath]:
    async def main() -> tuple[MemoryAnswer, RequestPath]:
        clock = VirtualClock()
        platform = MemoryPlatform(clock=clock)
        feed = ConfigFeed(clock=clock, table=platform, objects=platform)
        write = a_route('write', methods=frozenset({'POST'}), idempotent=False)
        feed.apply_configuration(
            a_configuration(services=[a_service(routes=[a_route(), write])])
        )
        vm = a_fleet([write], vms=1).vms_by_id[VmId('vm-0')]
        path = RequestPath(
            vm_id=VmId('vm-1'),
            run_gate=vm.gate,
            crash_guard=vm.guard,
            clock=vm.path.clock,
            random=random.Random(1),
            feed=feed,
            quota=StaticSplitQuota(clock=clock, fraction=1),
            dispatcher=Dispatcher(random=random.Random(1)),
            upstreams=upstreams,
            metrics=Metrics(),
            journal=Journal(),
            may_serve_keyed=lambda: True,
        )
        writer = MemoryAnswer()
        await path.handle(request, writer)
        return writer, path

    return run_virtual(main())


def test_key_and_forged_identity_do_not_reach_upstream() -> None:
    """Guards against leaking keys and against forged accounts."""
    upstreams = FakeUpstreams()
    writer, _ = _serve(upstreams, _request())
    sent = {name.lower(): text for name, text in upstreams.sent[0].headers}
    assert 'authorization' not in sent
    assert sent['bronzewall-account'] == 'gulf-daily'
    assert (writer.status, writer.body) == (200, b'ok')
    assert writer.is_finished


@pytest.mark.parametrize(
    ('method', 'failure', 'sends', 'ran'),
    [
        ('POST', ConnectFailedError('x'), 1, b'"ran": "no"'),
        ('POST', UpstreamShedError('x'), 1, b'"ran": "no"'),
        ('POST', UpstreamBrokenError('x'), 1, b'"ran": "unknown"'),
        ('POST', UpstreamTimeoutError('x'), 1, b'"ran": "unknown"'),
        ('GET', UpstreamBrokenError('x'), 1, b'"ran": "unknown"'),
    ],
)
def test_refusal_says_whether_it_ran(
    method: str, failure: BronzewallError, sends: int, ran: bytes
) -> None:
    """Guards against repeated runs and false "not run" answers.

    With one instance there is none left for a second attempt. A request
    that may have run must then not be reported as "not run".
    """
    upstreams = FakeUpstreams(failures=[failure])
    writer, _ = _serve(upstreams, _request(method))
    assert len(upstreams.sent) == sends
    assert ran in writer.body


def test_truncated_answer_breaks_the_connection() -> None:
    """Guards against a short body that looks complete."""
    upstreams = FakeUpstreams(chunks=(b'half', UpstreamBrokenError('cut')))
    writer, _ = _serve(upstreams, _request())
    assert writer.is_broken
    assert not writer.is_finished


def test_unknown_key_is_refused_and_counted() -> None:
    """Guards against serving a key that is not in force."""
    upstreams = FakeUpstreams()
    writer, path = _serve(upstreams, _request(key='other'))
    assert writer.status == 401
    assert not upstreams.sent
    assert path.metrics.refusals == {'key_unknown': 1}


def test_unexpected_error_is_answered_with_unknown_outcome() -> None:
    """Guards against a request without an answer after an internal error."""
    writer, path = _serve(FakeUpstreams(failures=[KeyError('x')]), _request())
    assert writer.status == 500
    assert b'"ran": "unknown"' in writer.body
    assert path.metrics.refusals == {'internal_error': 1}

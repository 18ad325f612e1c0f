"""The request path with retries, budgets, hedges and overload."""

import asyncio
import random
from collections.abc import Sequence

import attrs
import pytest
from builders import (
    ACCOUNT_KEY,
    a_configuration,
    a_fleet,
    a_placement,
    a_route,
    a_service,
    an_account,
    an_instance,
)
from test_proxy import FakeExchange, FakeUpstreams

from bronzewall.config_feed import ConfigFeed
from bronzewall.config_model import Route
from bronzewall.dispatch import Dispatcher
from bronzewall.errors import (
    BronzewallError,
    UpstreamBrokenError,
    UpstreamShedError,
)
from bronzewall.journal import Journal
from bronzewall.metrics import Metrics
from bronzewall.ports import CallerRequest, UpstreamRequest
from bronzewall.proxy import RequestPath
from bronzewall.quota import StaticSplitQuota
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.standins.memory_fleet import MemoryAnswer
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import VmId

TWO_INSTANCES = ('muscat-a', 'muscat-a')
BROKEN, SHED = UpstreamBrokenError('x'), UpstreamShedError('x')


@attrs.define(kw_only=True)
class SlowUpstreams(FakeUpstreams):
    """Answers after the given delays, one for each attempt.

    :param cancelled: instances whose attempt was cancelled.
    """

    delays: list[float] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)

    async def exchange(self, request: UpstreamRequest) -> FakeExchange:
        """Wait, then answer."""
        try:
            await asyncio.sleep(self.delays.pop(0) if self.delays else 0)
        except asyncio.CancelledError:
            self.cancelled.append(request.instance_id)
            raise
        return await super().exchange(request)


async def _no_body() -> bytes:
    return b''


GET = CallerRequest(
    method='GET',
    target='/drafts/7',
    path='/drafts/7',
    headers=[('Authorization', f'Bearer {ACCOUNT_KEY}')],
    read_body=_no_body,
)


def _path(
    upstreams: FakeUpstreams, *, route: Route, zones: Sequence[str]
) -> RequestPath:
    clock = VirtualClock()
    platform = MemoryPlatform(clock=clock)
    feed = ConfigFeed(clock=clock, table=platform, objects=platform)
    instances = [
        an_instance(f'i-{number}', placement=a_placement(zone))
        for number, zone in enumerate(zones)
    ]
    feed.apply_configuration(
        a_configuration(
            services=[a_service(instances=instances, routes=[route])],
            accounts=[an_account(rate=1e6, burst=100000)],
        )
    )
    vm = a_fleet([route], vms=1).vms_by_id[VmId('vm-0')]
    return RequestPath(
        vm_id=VmId('vm-1'),
        run_gate=vm.gate,
        crash_guard=vm.guard,
        clock=clock,
        random=random.Random(1),
        feed=feed,
        quota=StaticSplitQuota(clock=clock, fraction=1),
        dispatcher=Dispatcher(
            random=random.Random(1), clock=clock, placement=a_placement()
        ),
        upstreams=upstreams,
        metrics=Metrics(),
        journal=Journal(),
        may_serve_keyed=lambda: True,
    )


@pytest.mark.parametrize(
    ('failures', 'zones', 'ran', 'sends'),
    [
        ([BROKEN, SHED], TWO_INSTANCES, b'"ran": "unknown"', 2),
        ([BROKEN], ('muscat-a',), b'"ran": "unknown"', 1),
        ([SHED, SHED], TWO_INSTANCES, b'"ran": "no"', 2),
    ],
)
def test_refusal_keeps_an_earlier_unknown_outcome(
    failures: list[BronzewallError],
    zones: Sequence[str],
    ran: bytes,
    sends: int,
) -> None:
    """Guards against "not run" after an attempt that may have run."""
    upstreams = FakeUpstreams(failures=failures)
    writer = MemoryAnswer()

    async def main() -> None:
        path = _path(upstreams, route=a_route(), zones=zones)
        await path.handle(GET, writer)

    run_virtual(main())
    assert ran in writer.body
    assert len(upstreams.sent) == sends


def test_retries_stay_within_the_budget_if_all_attempts_fail() -> None:
    """Guards against retries that amplify an outage."""
    upstreams = FakeUpstreams(failures=[BROKEN for _ in range(1000)])

    async def main() -> None:
        path = _path(upstreams, route=a_route(), zones=TWO_INSTANCES)
        for _ in range(100):
            await path.handle(GET, MemoryAnswer())

    run_virtual(main())
    assert len(upstreams.sent) <= 100 * 1.1 + 3


def test_bytes_from_other_regions_are_counted() -> None:
    """Guards against billed cross-region traffic that no metric shows."""

    async def main() -> None:
        for zone, counted in (('muscat-b', 0), ('dhofar-a', 2)):
            path = _path(FakeUpstreams(), route=a_route(), zones=[zone])
            await path.handle(GET, MemoryAnswer())
            assert path.metrics.cross_region_bytes == counted

    run_virtual(main())


@pytest.mark.parametrize('hedge', [False, True])
def test_slow_answer_is_hedged_only_if_configured(hedge: bool) -> None:
    """Guards against hedges on routes that do not allow them, and against
    slots that the cancelled attempt does not release.
    """
    upstreams = SlowUpstreams(delays=[5])

    async def main() -> None:
        path = _path(upstreams, route=a_route(hedge=hedge), zones=TWO_INSTANCES)
        writer = MemoryAnswer()
        await path.handle(GET, writer)
        assert writer.body == b'ok'
        assert path.metrics.events['hedged'] == hedge
        assert len(upstreams.cancelled) == hedge
        state = path.dispatcher.states_by_service['drafts']
        assert not any(load.in_flight for load in state.loads_by_id.values())

    run_virtual(main())

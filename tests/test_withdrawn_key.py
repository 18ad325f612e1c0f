"""A key withdrawn while its request waits on this VM."""

import random
from collections.abc import Callable
from typing import Any
from unittest.mock import AsyncMock, Mock

import pytest
from builders import (
    ACCOUNT_KEY,
    a_configuration,
    a_route,
    a_service,
    an_account,
    an_instance,
)

from bronzewall.config_feed import ConfigFeed
from bronzewall.journal import Journal
from bronzewall.metrics import Metrics
from bronzewall.ports import CallerRequest
from bronzewall.proxy import RequestPath
from bronzewall.quota import StaticSplitQuota
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import VmId

Event = Callable[[ConfigFeed, Mock], None]


def _withdraw(feed: ConfigFeed, _may_serve: Mock) -> None:
    configuration = a_configuration(
        generation=2, accounts=[an_account(key_digests=())]
    )
    feed.offer(configuration)


def _cut_off(_feed: ConfigFeed, may_serve: Mock) -> None:
    may_serve.return_value = False


@pytest.mark.parametrize(
    ('event', 'when_cut_off', 'reason'),
    [
        (_withdraw, 'refuse', b'key_unknown'),
        (_withdraw, 'serve', b'key_unknown'),
        (_cut_off, 'refuse', b'cut_off'),
    ],
)
def test_queued_request_is_refused(
    event: Event, when_cut_off: str, reason: bytes
) -> None:
    """Guards P2 for requests that were admitted before the withdrawal."""

    async def main() -> None:
        clock = VirtualClock()
        platform = MemoryPlatform(clock=clock)
        feed = ConfigFeed(clock=clock, table=platform, objects=platform)
        route = a_route(when_cut_off=when_cut_off)
        feed.offer(a_configuration(services=[a_service(routes=[route])]))
        may_serve = Mock(return_value=True)

        async def acquire(**_arguments: Any) -> Any:
            event(feed, may_serve)
            return an_instance()

        upstreams, writer = AsyncMock(), AsyncMock()
        path = RequestPath(
            vm_id=VmId('vm-1'),
            clock=clock,
            random=random.Random(1),
            feed=feed,
            quota=StaticSplitQuota(clock=clock, share=1),
            dispatcher=Mock(acquire=acquire),
            upstreams=upstreams,
            metrics=Metrics(),
            journal=Journal(),
            may_serve_keyed=may_serve,
        )
        request = CallerRequest(
            method='GET',
            target='/drafts/7',
            path='/drafts/7',
            headers=[('Authorization', f'Bearer {ACCOUNT_KEY}')],
            read_body=AsyncMock(return_value=b''),
        )
        await path.handle(request, writer)
        body = writer.write.await_args.args[0]
        assert reason in body
        assert b'"ran": "no"' in body
        upstreams.exchange.assert_not_called()

    run_virtual(main())

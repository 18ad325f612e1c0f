"""Tests of a key that is withdrawn while its request is queued."""

import random
from collections.abc import Callable
from typing import Any

import attrs
import pytest
from builders import (
    ACCOUNT_KEY,
    a_configuration,
    a_fleet,
    a_route,
    a_service,
    an_account,
)

from bronzewall.config_feed import ConfigFeed
from bronzewall.config_model import Instance
from bronzewall.journal import Journal
from bronzewall.metrics import Metrics
from bronzewall.ports import CallerRequest, Headers, UpstreamRequest
from bronzewall.proxy import RequestPath
from bronzewall.quota import StaticSplitQuota
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import VmId


@attrs.define(kw_only=True)
class QueueingDispatcher:
    """Calls a function while the request waits for an instance."""

    while_queued: Callable[[], object]

    async def acquire(self, *, service: Any, **_others: object) -> Instance:
        """Wait, then return the first instance."""
        self.while_queued()
        found: Instance = next(iter(service.instances_by_id.values()))
        return found

    def release(self, _instance: Instance, **_outcome: object) -> None:
        """Return the instance."""


@attrs.define(kw_only=True)
class NoUpstream:
    """Counts requests that should not have been sent."""

    sent: int = 0

    async def exchange(self, _request: UpstreamRequest) -> Any:
        """Count the request."""
        self.sent += 1
        raise AssertionError('sent with a withdrawn key')


@attrs.define(kw_only=True)
class StatusWriter:
    """Keeps the status and body of the answer."""

    status: int = 0
    body: bytes = b''

    @property
    def is_started(self) -> bool:
        """Whether a status was sent."""
        return self.status > 0

    async def start(self, *, status: int, headers: Headers) -> None:
        """Keep the status."""
        self.status = status

    async def write(self, chunk: bytes) -> None:
        """Keep a chunk."""
        self.body += chunk

    async def finish(self) -> None:
        """End the answer."""

    def abort(self) -> None:
        """Break the answer."""


@attrs.define(kw_only=True)
class KeyFreshness:
    """Stub that reports whether the VM's keys are fresh."""

    is_fresh: bool = True

    def expire(self) -> None:
        """Make the keys stale."""
        self.is_fresh = False


def _withdraw(feed: ConfigFeed, when_cut_off: str) -> None:
    route = a_route(when_cut_off=when_cut_off)
    feed.apply_configuration(
        a_configuration(
            generation=2,
            services=[a_service(routes=[route])],
            accounts=[an_account(key_digests=())],
        )
    )


@pytest.mark.parametrize(
    ('event', 'when_cut_off', 'reason'),
    [
        ('withdrawn', 'refuse', b'key_unknown'),
        ('withdrawn', 'serve', b'key_unknown'),
        ('cut_off', 'refuse', b'cut_off'),
    ],
)
def test_queued_request_is_refused(
    event: str, when_cut_off: str, reason: bytes
) -> None:
    """Guards against sending a queued request with a withdrawn key (P2).

    The request was admitted before the withdrawal.
    """

    async def main() -> None:
        clock = VirtualClock()
        platform = MemoryPlatform(clock=clock)
        feed = ConfigFeed(clock=clock, table=platform, objects=platform)
        route = a_route(when_cut_off=when_cut_off)
        feed.apply_configuration(
            a_configuration(services=[a_service(routes=[route])])
        )
        freshness = KeyFreshness()
        upstreams: Any = NoUpstream()
        dispatcher: Any = QueueingDispatcher(
            while_queued=freshness.expire
            if event == 'cut_off'
            else lambda: _withdraw(feed, when_cut_off)
        )
        parts = a_fleet([route], vms=1).vms_by_id[VmId('vm-0')]
        path = RequestPath(
            vm_id=VmId('vm-1'),
            clock=clock,
            random=random.Random(1),
            feed=feed,
            quota=StaticSplitQuota(clock=clock, fraction=1),
            dispatcher=dispatcher,
            upstreams=upstreams,
            run_gate=parts.gate,
            crash_guard=parts.guard,
            metrics=Metrics(),
            journal=Journal(),
            may_serve_keyed=lambda: freshness.is_fresh,
        )
        writer = StatusWriter()
        await path.handle(_request(), writer)
        assert reason in writer.body
        assert b'"ran": "no"' in writer.body
        assert not upstreams.sent

    run_virtual(main())


def _request() -> CallerRequest:
    async def read_body() -> bytes:
        return b''

    return CallerRequest(
        method='GET',
        target='/drafts/7',
        path='/drafts/7',
        headers=[('Authorization', f'Bearer {ACCOUNT_KEY}')],
        read_body=read_body,
    )

"""Chooses the instance for a request and waits for its permit."""

from collections.abc import Collection

import attrs
import structlog

from bronzewall.edge.connection_shares import ConnectionShares
from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.limit_permits import LimitPermits
from bronzewall.edge.recent_ranks import RecentRanks
from bronzewall.edge.scheduling.scheduler import Scheduler
from bronzewall.edge.selection import (
    Candidate,
    RequestProfile,
    Selector,
    least_time,
)
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.problems import Reason, RefusalError
from bronzewall.types import InstanceId

# Retry-After of requests that no instance can take, seconds.
RETRY_AFTER_S = 0.5
# Instances whose limit may refuse a request before only those without a limit
# are considered.
_MAX_PERMIT_REFUSALS = 6
# Time for which a request waits for a connection that another one uses,
# seconds. Response times are of this order; a longer wait would cost a caller
# more than a retry at another VM.
_MAX_CONNECTION_WAIT_S = 0.25
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class InstanceChooser:
    """Chooses instances for requests, within their limits."""

    clock: Clock
    selector: Selector
    permits: LimitPermits
    metrics: Metrics
    scheduler: Scheduler
    connections: ConnectionShares
    recent_ranks: RecentRanks = attrs.field(factory=RecentRanks)

    async def choose(
        self, exchange: EdgeExchange, profile: RequestProfile
    ) -> Candidate:
        """Return an instance that the request may be sent to now.

        :raises RefusalError: there is none, or its queue is too long.
        """
        excluded = set(exchange.tried_ids)
        waits: list[float] = []
        while True:
            if len(waits) == _MAX_PERMIT_REFUSALS:
                excluded |= self.permits.limits.limited_ids()
            candidate = await self._next(
                exchange, profile, excluded, may_wait=not waits
            )
            if candidate is None:
                break
            now = self.clock.now()
            max_wait = self._check_queue(exchange, profile, candidate, now)
            if self._limit(candidate) is None:
                return candidate
            if not self.scheduler.is_enabled():
                # Otherwise the wait that a refused permit states keeps the
                # request in the waiting room until then.
                excluded.add(candidate.instance.instance_id)
            tolerable_wait = self.selector.tolerable_wait(
                profile, candidate, excluded=excluded, now=now
            )
            wait = await self._wait_for_permit(
                exchange, candidate, min(max_wait, tolerable_wait)
            )
            if wait is None:
                return candidate
            waits.append(wait)
        raise self._refusal(exchange, profile, waits)

    def queue_refusal(
        self,
        exchange: EdgeExchange,
        profile: RequestProfile,
        candidate: Candidate,
    ) -> RefusalError | None:
        """Return the refusal of a request whose queue is too long, if any."""
        try:
            self._check_queue(exchange, profile, candidate, self.clock.now())
        except RefusalError as refusal:
            return refusal
        return None

    async def _next(
        self,
        exchange: EdgeExchange,
        profile: RequestProfile,
        excluded: set[InstanceId],
        *,
        may_wait: bool,
    ) -> Candidate | None:
        """Return the best instance, one with room if the VM schedules.

        :param may_wait: whether to wait for a connection if all are in use.
        :raises RefusalError: the request cannot wait until there is room.
        """
        if self.scheduler.is_enabled():
            return await self.scheduler.choose(
                exchange, profile, excluded=frozenset(excluded)
            )
        return await self._find_candidate(
            exchange, profile, excluded, may_wait=may_wait
        )

    async def _find_candidate(
        self,
        exchange: EdgeExchange,
        profile: RequestProfile,
        excluded: Collection[InstanceId],
        *,
        may_wait: bool,
    ) -> Candidate | None:
        """Return the best instance to which a connection may be used.

        :param may_wait: whether to wait for a connection if all are in use.
        """
        wait_ends = self.clock.now() + _MAX_CONNECTION_WAIT_S
        is_first = True
        while True:
            candidate = self.selector.choose(
                profile, excluded=excluded, now=self.clock.now()
            )
            if candidate is not None or not may_wait:
                return candidate
            may_wait = await self._wait_for_connection(
                exchange, profile, excluded, wait_ends, is_first=is_first
            )
            is_first = False

    async def _wait_for_connection(
        self,
        exchange: EdgeExchange,
        profile: RequestProfile,
        excluded: Collection[InstanceId],
        wait_ends: float,
        *,
        is_first: bool,
    ) -> bool:
        """Wait until a connection may be free; return whether to try again.

        :param wait_ends: clock time after which the request waits no more.
        """
        now = self.clock.now()
        if not self.selector.has_full_instance(
            profile, excluded=excluded, now=now
        ):
            return False
        timeout = min(wait_ends, exchange.deadline) - now
        if is_first:
            self.metrics.events['connection_awaited'] += 1
        is_ended = timeout > 0 and await self.connections.wait(
            exchange.service, timeout, is_first=is_first
        )
        if not is_ended:
            self.metrics.events['connection_refused'] += 1
            _LOG.info(
                'connections_in_use',
                request_id=exchange.request_id,
                service=exchange.service,
                share=self.connections.share(exchange.service),
            )
        return is_ended

    def _limit(self, candidate: Candidate) -> float | None:
        return self.permits.limits.limit(candidate.instance.instance_id)

    def _check_queue(
        self,
        exchange: EdgeExchange,
        profile: RequestProfile,
        candidate: Candidate,
        now: float,
    ) -> float:
        """Return the seconds for which the request may wait for a permit.

        A wait after which the answer would miss the target latency is
        longer than the caller's next attempt.

        :raises RefusalError: the expected wait is too long already.
        """
        remaining = exchange.deadline - now
        fraction = self._queue_fraction(exchange, now)
        spare_time = remaining - least_time(profile)
        queue_time = candidate.queue_time * profile.queue_factor
        if spare_time <= 0 or queue_time > fraction * spare_time:
            raise exchange.refusal(
                Reason.UPSTREAM_TIMEOUT
                if remaining <= 0
                else Reason.OVERLOADED,
                detail=(
                    f'{remaining:.2f} s left before the deadline,'
                    f' {queue_time:.2f} s expected in the queue,'
                    f' rank {exchange.rank} may queue for a fraction of'
                    f' {fraction:g} of the time left'
                ),
                retry_after=max(RETRY_AFTER_S, queue_time),
            )
        max_wait = fraction * spare_time
        if profile.target_latency is not None:
            in_time = exchange.started + profile.target_latency - now
            max_wait = min(max_wait, in_time - profile.expected_time)
        return max(0, max_wait)

    def _queue_fraction(self, exchange: EdgeExchange, now: float) -> float:
        """Return the fraction of its time that a request may queue.

        Waiting rooms keep the order of ranks themselves.
        """
        if self.scheduler.is_enabled():
            return 1
        return self.recent_ranks.queue_fraction(
            exchange.service, exchange.rank, now=now
        )

    async def _wait_for_permit(
        self, exchange: EdgeExchange, candidate: Candidate, max_wait: float
    ) -> float | None:
        """Wait until the request may be sent.

        :return: ``None`` if it may be sent now, else the seconds after
            which the instance may take a request.
        """
        instance = candidate.instance
        limits = self.permits.limits
        wait = limits.wait(instance.instance_id, now=self.clock.now())
        if wait <= max_wait:
            granted = await self.permits.acquire(instance, max_wait=max_wait)
            if granted is not None:
                self.metrics.events['permit_granted'] += 1
                await self.clock.sleep(granted)
                if self.selector.is_usable(instance, now=self.clock.now()):
                    return None
            wait = limits.wait(instance.instance_id, now=self.clock.now())
        self.metrics.events['permit_refused'] += 1
        _LOG.info(
            'instance_at_limit',
            request_id=exchange.request_id,
            instance=instance.instance_id,
            limit=limits.limit(instance.instance_id),
            wait=round(wait, 3),
            max_wait=round(max_wait, 3),
        )
        return wait

    def _refusal(
        self,
        exchange: EdgeExchange,
        profile: RequestProfile,
        waits: list[float],
    ) -> RefusalError:
        """Return the refusal of a request that no instance can take.

        :param waits: seconds until instances at their limit may take one.
        """
        now = self.clock.now()
        if not waits and self.selector.has_full_instance(
            profile, excluded=exchange.tried_ids, now=now
        ):
            share = self.connections.share(exchange.service)
            return exchange.refusal(
                Reason.OVERLOADED,
                detail=f'all {share:g} connections to each instance in use',
                retry_after=RETRY_AFTER_S,
            )
        pause = self.selector.shortest_pause(exchange.service, now=now)
        if pause and not waits:
            # Instances pause for one VM each; another one may serve a retry.
            return exchange.refusal(
                Reason.OVERLOADED,
                detail=f'instances pause for {pause:.2f} s or more',
                retry_after=min(RETRY_AFTER_S, pause),
            )
        if waits:
            return exchange.refusal(
                Reason.OVERLOADED,
                detail=f'{len(waits)} instances are at their limit',
                retry_after=max(RETRY_AFTER_S, min(waits)),
            )
        detail = f'{exchange.service}: no further instance'
        evacuated = self.selector.state.evacuations.zones
        if evacuated:
            self.metrics.events['no_instance_while_evacuated'] += 1
            detail = f'{detail}, evacuated: {sorted(evacuated)}'
        if exchange.home_regions is not None:
            self.metrics.events['no_instance_in_home_regions'] += 1
            detail = f'{detail} in {sorted(exchange.home_regions)}'
        return exchange.refusal(
            Reason.NO_INSTANCE,
            detail=detail,
            retry_after=RETRY_AFTER_S,
        )

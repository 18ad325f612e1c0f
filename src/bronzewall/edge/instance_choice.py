"""Chooses the instance for a request and waits for its permit."""

import attrs
import structlog

from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.limit_permits import LimitPermits
from bronzewall.edge.recent_ranks import RecentRanks
from bronzewall.edge.selection import Candidate, RequestProfile, Selector
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.problems import Reason, RefusalError

# A request is refused if less than this fraction of the expected response
# time is left before its deadline.
_MIN_RESPONSE_TIME_FRACTION = 0.3
# Retry-After of requests that no instance can take, seconds.
RETRY_AFTER_S = 0.5
# Instances whose limit may refuse a request before only those without a limit
# are considered.
_MAX_PERMIT_REFUSALS = 6
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class InstanceChooser:
    """Chooses instances for requests, within their limits."""

    clock: Clock
    selector: Selector
    permits: LimitPermits
    metrics: Metrics
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
            now = self.clock.now()
            candidate = self.selector.choose(
                profile, excluded=excluded, now=now
            )
            if candidate is None:
                break
            max_wait = self._check_queue(exchange, profile, candidate, now)
            if self._limit(candidate) is None:
                return candidate
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
        raise self._refusal(exchange, waits)

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
        fraction = self.recent_ranks.queue_fraction(
            exchange.service, exchange.rank, now=now
        )
        spare_time = (
            remaining - profile.expected_time * _MIN_RESPONSE_TIME_FRACTION
        )
        if spare_time <= 0 or candidate.queue_time > fraction * spare_time:
            raise exchange.refusal(
                Reason.UPSTREAM_TIMEOUT
                if remaining <= 0
                else Reason.OVERLOADED,
                detail=(
                    f'{remaining:.2f} s left before the deadline,'
                    f' {candidate.queue_time:.2f} s expected in the queue,'
                    f' rank {exchange.rank} may queue for a fraction of'
                    f' {fraction:g} of the time left'
                ),
                retry_after=max(RETRY_AFTER_S, candidate.queue_time),
            )
        max_wait = fraction * spare_time
        if profile.target_latency is not None:
            in_time = exchange.started + profile.target_latency - now
            max_wait = min(max_wait, in_time - profile.expected_time)
        return max(0, max_wait)

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
        self, exchange: EdgeExchange, waits: list[float]
    ) -> RefusalError:
        """Return the refusal of a request that no instance can take.

        :param waits: seconds until instances at their limit may take one.
        """
        pause = self.selector.shortest_pause(
            exchange.service, now=self.clock.now()
        )
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

"""Sends requests to instances, with retries and hedged requests."""

import asyncio
from collections.abc import Sequence

import attrs
import structlog

from bronzewall.edge.attempt_outcomes import (
    NOT_RUN_ERRORS,
    STATUS_SERVER_ERROR,
    AttemptOutcomes,
)
from bronzewall.edge.catalog import Catalog
from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.forwarded_headers import forwarded_headers
from bronzewall.edge.gate import Gate
from bronzewall.edge.instance_choice import RETRY_AFTER_S, InstanceChooser
from bronzewall.edge.instance_path import InstancePath
from bronzewall.edge.instance_paths import InstancePaths
from bronzewall.edge.limit_sharing import LimitSharing
from bronzewall.edge.ports import (
    HeaderNames,
    InstanceAnswer,
    InstanceHttp,
    InstanceRequest,
)
from bronzewall.edge.relay import Relay
from bronzewall.edge.retry_budget import RetryBudget
from bronzewall.edge.scheduling.scheduler import Scheduler
from bronzewall.edge.selection import Candidate, RequestProfile, Selector
from bronzewall.edge.zone_state import ZoneState
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamShedError,
    UpstreamTimeoutError,
    WrongInstanceError,
)
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.problems import Reason, RefusalError

_MS_PER_S = 1000
# Timeout of a new connection, seconds. Instances accept within 1 ms; a round
# trip between regions takes 16 ms.
_CONNECT_TIMEOUT_S = 0.3
# Number of instances that may reject a request before the VM refuses it.
_MAX_REJECTIONS = 3
# An overdue request is also sent to a second instance if the expected loss
# there is at most this fraction of the value of the answer.
_MAX_HEDGE_LOSS = 0.25
# In a planned stop, a request is sent only if this many times the time that it
# is expected to need are left.
_STOP_MARGIN = 2.0
_LOG = structlog.get_logger()

_REASONS_BY_ERROR: dict[type[UpstreamError], Reason] = {
    ConnectFailedError: Reason.NO_INSTANCE,
    UpstreamShedError: Reason.OVERLOADED,
    WrongInstanceError: Reason.NO_INSTANCE,
    UpstreamBrokenError: Reason.ANSWER_LOST,
    UpstreamTimeoutError: Reason.UPSTREAM_TIMEOUT,
}
_REJECTIONS = (UpstreamShedError.__name__, WrongInstanceError.__name__)


@attrs.define(kw_only=True, eq=False)
class Sender:
    """Sends requests to instances and decides on retries and hedges."""

    clock: Clock
    names: HeaderNames
    gate: Gate
    catalog: Catalog
    state: ZoneState
    selector: Selector
    instances: InstanceHttp
    budget: RetryBudget
    metrics: Metrics
    paths: InstancePaths
    relay: Relay
    chooser: InstanceChooser
    limits: LimitSharing
    outcomes: AttemptOutcomes
    scheduler: Scheduler

    async def run(self, exchange: EdgeExchange) -> InstanceAnswer:
        """Return the answer to deliver to the caller.

        :raises RefusalError: no instance has answered.
        """
        self.budget.credit(exchange.service)
        self.chooser.recent_ranks.record(
            exchange.service, exchange.rank, now=self.clock.now()
        )
        answer: InstanceAnswer | None = None
        while answer is None:
            if self._path(exchange).is_lost:
                return await self._relay(exchange)
            answer = await self._try_next_instance(exchange)
        return answer

    async def _try_next_instance(
        self, exchange: EdgeExchange
    ) -> InstanceAnswer | None:
        """Return the answer to deliver, or ``None`` to try another instance.

        :raises RefusalError: no instance has answered, and none is left.
        """
        try:
            candidate = await self._choose(exchange)
        except RefusalError:
            if exchange.last_answer is None:
                raise
            return exchange.last_answer
        try:
            answer = await self._send_with_hedge(exchange, candidate)
        except UpstreamError as exc:
            if not self._may_retry_error(exchange, exc):
                return self._fallback_answer(exchange, exc)
            self._count_retry(exchange, type(exc).__name__)
            await self._path(exchange).settle()
            await self.outcomes.crashes.settle(exchange.fingerprint)
            return None
        if not self._may_retry_answer(exchange, answer):
            return answer
        exchange.last_answer = answer
        self._count_retry(exchange, f'status_{answer.status}')
        return None

    async def _choose(self, exchange: EdgeExchange) -> Candidate:
        """Return an instance that the request may be sent to now.

        :raises RefusalError: there is none, or a planned stop ends too soon.
        """
        profile = self._profile(exchange)
        needed = profile.expected_time * profile.queue_factor * _STOP_MARGIN
        async with self.gate.stop.waiting(exchange, needed=needed):
            return await self.chooser.choose(exchange, profile)

    async def _relay(self, exchange: EdgeExchange) -> InstanceAnswer:
        """Return the answer that another VM got.

        A relayed request is not relayed again.

        :raises RefusalError: no VM has served the request.
        """
        self.gate.check(exchange)
        try:
            if exchange.is_relayed:
                raise ConnectFailedError(
                    f'this VM reaches no instance of {exchange.service}'
                )
            return await self.relay.send(exchange)
        except UpstreamError as exc:
            return self._fallback_answer(exchange, exc)

    def _path(self, exchange: EdgeExchange) -> InstancePath:
        return self.paths.path_to(exchange.service, exchange.home_regions)

    def _profile(self, exchange: EdgeExchange) -> RequestProfile:
        return RequestProfile(
            service=exchange.service,
            is_retryable=self._may_run_again(exchange, sent=1),
            expected_time=self.outcomes.expected_time(exchange),
            target_latency=exchange.route.target_latency,
            home_regions=exchange.home_regions,
            queue_factor=self.outcomes.queue_factor(exchange),
        )

    async def _send_with_hedge(
        self, exchange: EdgeExchange, candidate: Candidate
    ) -> InstanceAnswer:
        """Return the answer of one instance, or the first success of two."""
        if not self._may_run_again(exchange, sent=1):
            self.state.add_in_flight(candidate.instance.instance_id)
            try:
                return await self._attempt(exchange, candidate)
            finally:
                self.state.remove_in_flight(candidate.instance.instance_id)
        sent_at = self.clock.now()
        tasks = [self._start_attempt(exchange, candidate)]
        try:
            await asyncio.wait(
                tasks, timeout=self.outcomes.overdue_after(exchange)
            )
            is_path_intact = tasks[0].done() or await self._path(
                exchange
            ).check(sent_at=sent_at)
            if not tasks[0].done():
                tasks.extend(self._hedges(exchange, is_path_intact))
            return await _first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _start_attempt(
        self, exchange: EdgeExchange, candidate: Candidate
    ) -> 'asyncio.Task[InstanceAnswer]':
        """Start an attempt and count it as in flight until it ends."""
        instance_id = candidate.instance.instance_id
        self.state.add_in_flight(instance_id)
        task = asyncio.create_task(self._attempt(exchange, candidate))
        task.add_done_callback(
            lambda _task: self.state.remove_in_flight(instance_id)
        )
        return task

    def _hedges(
        self, exchange: EdgeExchange, is_path_intact: bool
    ) -> list['asyncio.Task[InstanceAnswer]']:
        """Start a second attempt for an overdue request, if any."""
        if is_path_intact:
            hedge = self._choose_hedge(exchange)
            return (
                [] if hedge is None else [self._start_attempt(exchange, hedge)]
            )
        if exchange.is_relayed or not self._may_run_again(exchange, sent=0):
            return []
        self._count_retry(exchange, 'overdue')
        return [asyncio.create_task(self.relay.send(exchange))]

    def _choose_hedge(self, exchange: EdgeExchange) -> Candidate | None:
        """Return a second instance for an overdue request, if any.

        Instances that have a limit get no hedged requests.
        """
        if self.scheduler.is_shedding(
            exchange.service
        ) or not self._may_run_again(exchange, sent=0):
            return None
        candidate = self.selector.choose(
            self._profile(exchange),
            excluded={
                *exchange.tried_ids,
                *self.limits.limits.limited_ids(),
            },
            now=self.clock.now(),
        )
        if (
            candidate is None
            or candidate.queue_time > 0
            or candidate.loss > _MAX_HEDGE_LOSS
        ):
            return None
        self._count_retry(exchange, 'overdue')
        return candidate

    async def _attempt(
        self, exchange: EdgeExchange, candidate: Candidate
    ) -> InstanceAnswer:
        """Send a request to one instance and record the outcome."""
        self.gate.check(exchange)
        instance_id = candidate.instance.instance_id
        exchange.tried_ids.add(instance_id)
        exchange.runs += 1
        sent_at = self.clock.now()
        if self.limits.limits.limit(instance_id) is not None:
            self.metrics.events['sent_to_limited_instance'] += 1
        self.metrics.record_ages(
            configuration=self.gate.freshness.age(),
            instances=sent_at - self.catalog.confirmed_at,
        )
        timer = asyncio.get_running_loop().call_later(
            self.outcomes.overdue_after(exchange),
            self.outcomes.record_overdue,
            exchange,
            candidate,
            sent_at,
        )
        try:
            answer = await self.instances.send(
                self._build_request(exchange, candidate)
            )
        except UpstreamError as exc:
            self.outcomes.record_error(exchange, candidate, exc, sent_at)
            raise
        finally:
            timer.cancel()
        self.outcomes.record_answer(exchange, candidate, answer, sent_at)
        return answer

    def _build_request(
        self, exchange: EdgeExchange, candidate: Candidate
    ) -> InstanceRequest:
        names = self.names
        remaining = max(0, exchange.deadline - self.clock.now())
        added = [
            (names.attempt_id, exchange.request_id),
            (names.deadline_ms, str(int(remaining * _MS_PER_S))),
            (names.target_instance, candidate.instance.instance_id),
        ]
        if exchange.account is not None:
            added.append((names.account, exchange.account.account_id))
        return InstanceRequest(
            instance_id=candidate.instance.instance_id,
            address=candidate.instance.address,
            method=exchange.request.method,
            target=exchange.request.target,
            headers=forwarded_headers(names, exchange.request.headers, added),
            body=exchange.body,
            attempt_id=exchange.request_id,
            timeout=remaining,
            connect_timeout=min(remaining, _CONNECT_TIMEOUT_S),
        )

    def _may_run_again(self, exchange: EdgeExchange, *, sent: int) -> bool:
        """Return whether one more instance may run the request.

        :param sent: attempts that are about to start and not yet counted.
        """
        return (
            exchange.route.idempotent
            and exchange.runs + sent < exchange.max_instances
            and self.budget.can_consume(exchange.service)
        )

    def _may_retry_error(
        self, exchange: EdgeExchange, exc: UpstreamError
    ) -> bool:
        remaining = exchange.deadline - self.clock.now()
        if remaining <= 0 or (
            exchange.rejections >= _MAX_REJECTIONS
            and not self.scheduler.is_shedding(exchange.service)
        ):
            return False
        if isinstance(exc, ConnectFailedError):
            return True
        if isinstance(exc, NOT_RUN_ERRORS):
            return self.scheduler.is_enabled() or self.budget.can_consume(
                exchange.service
            )
        return self._may_run_again(exchange, sent=0)

    def _may_retry_answer(
        self, exchange: EdgeExchange, answer: InstanceAnswer
    ) -> bool:
        if answer.status < STATUS_SERVER_ERROR:
            return False
        now = self.clock.now()
        profile = self._profile(exchange)
        candidate = self.selector.choose(
            profile, excluded=exchange.tried_ids, now=now
        )
        return (
            candidate is not None
            and exchange.deadline - now
            > profile.expected_time + candidate.queue_time
            and self._may_run_again(exchange, sent=0)
        )

    def _count_retry(self, exchange: EdgeExchange, cause: str) -> None:
        if cause in _REJECTIONS and self.scheduler.is_enabled():
            # The scheduler consumes a retry when it sends the request.
            exchange.owes_retry = True
        elif cause != ConnectFailedError.__name__:
            self.budget.consume(exchange.service)
        self.metrics.retries[cause] += 1
        _LOG.info(
            'sent_again',
            request_id=exchange.request_id,
            cause=cause,
            runs=exchange.runs,
        )

    def _fallback_answer(
        self, exchange: EdgeExchange, exc: UpstreamError
    ) -> InstanceAnswer:
        """Return the last error response of an instance, or refuse."""
        if exchange.last_answer is not None:
            return exchange.last_answer
        reason = _REASONS_BY_ERROR[type(exc)]
        retry_after = None if exchange.runs else RETRY_AFTER_S
        raise exchange.refusal(
            reason, detail=str(exc), retry_after=retry_after
        ) from exc


async def _first_answer(
    tasks: Sequence['asyncio.Task[InstanceAnswer]'],
) -> InstanceAnswer:
    """Return the first answer below 500, else any answer, else raise."""
    pending = set(tasks)
    failures: list[InstanceAnswer] = []
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        answers = [task.result() for task in done if task.exception() is None]
        for answer in answers:
            if answer.status < STATUS_SERVER_ERROR:
                return answer
        failures.extend(answers)
    if failures:
        return failures[0]
    errors = [task.exception() for task in tasks]
    unknown = [exc for exc in errors if not isinstance(exc, NOT_RUN_ERRORS)]
    error = (unknown or errors)[0]
    assert error is not None
    raise error

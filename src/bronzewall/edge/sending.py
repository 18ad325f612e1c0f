"""Sends requests to instances, with retries and hedged requests."""

import asyncio
import functools
from collections.abc import Sequence

import attrs
import structlog

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.failure_estimates import Observation
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
from bronzewall.edge.response_times import ResponseTimes
from bronzewall.edge.retry_budget import RetryBudget
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
from bronzewall.locality import locality_of
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.problems import Reason, RefusalError
from bronzewall.types import InstanceId

_MS_PER_S = 1000
_STATUS_SERVER_ERROR = 500
_STATUS_TIMEOUT = 504
# A 504 that arrives within this time of the deadline is attributed to the
# deadline and not to a fault of the instance, seconds.
_DEADLINE_MARGIN_S = 0.1
# Timeout of a new connection, seconds. Instances accept within 1 ms; a round
# trip between regions takes 16 ms.
_CONNECT_TIMEOUT_S = 0.3
# Number of instances that may reject a request before the VM refuses it.
_MAX_REJECTIONS = 3
# An answer that takes this many times the expected time is overdue.
_OVERDUE_FACTOR = 4.0
# The limit is lower if the target latency requires it, but at least this
# many times the expected time: a long tail of response times is normal.
_MIN_OVERDUE_FACTOR = 2.5
# An answer is overdue at the latest after this fraction of the target
# latency, subject to the two lower limits.
_TARGET_LATENCY_FRACTION = 0.7
_MIN_OVERDUE_S = 0.5
# An overdue request is also sent to a second instance if the expected loss
# there is at most this fraction of the value of the answer.
_MAX_HEDGE_LOSS = 0.25
_LOG = structlog.get_logger()

_REASONS_BY_ERROR: dict[type[UpstreamError], Reason] = {
    ConnectFailedError: Reason.NO_INSTANCE,
    UpstreamShedError: Reason.OVERLOADED,
    WrongInstanceError: Reason.NO_INSTANCE,
    UpstreamBrokenError: Reason.ANSWER_LOST,
    UpstreamTimeoutError: Reason.UPSTREAM_TIMEOUT,
}
_ANSWER_ERRORS = (UpstreamShedError, WrongInstanceError)
_NOT_RUN_ERRORS = (ConnectFailedError, UpstreamShedError, WrongInstanceError)


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
    response_times: ResponseTimes = attrs.field(factory=ResponseTimes)

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
            candidate = await self.chooser.choose(
                exchange, self._profile(exchange)
            )
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
            return None
        if not self._may_retry_answer(exchange, answer):
            return answer
        exchange.last_answer = answer
        self._count_retry(exchange, f'status_{answer.status}')
        return None

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
        return self.paths.path_to(exchange.service)

    def _profile(self, exchange: EdgeExchange) -> RequestProfile:
        return RequestProfile(
            service=exchange.service,
            is_retryable=self._may_run_again(exchange, sent=1),
            expected_time=self.response_times.mean(exchange.service),
            target_latency=exchange.route.target_latency,
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
            await asyncio.wait(tasks, timeout=self._overdue_after(exchange))
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

        Instances that state a limit get no hedged requests.
        """
        if not self._may_run_again(exchange, sent=0):
            return None
        candidate = self.selector.choose(
            self._profile(exchange),
            excluded={
                *exchange.tried_ids,
                *self.limits.limits.limits_by_id(),
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
            self._overdue_after(exchange),
            self._record_overdue,
            exchange,
            candidate,
            sent_at,
        )
        try:
            answer = await self.instances.send(
                self._build_request(exchange, candidate)
            )
        except UpstreamError as exc:
            self._record_error(exchange, candidate, exc, sent_at)
            raise
        finally:
            timer.cancel()
        self._record_answer(exchange, candidate, answer, sent_at)
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

    def _overdue_after(self, exchange: EdgeExchange) -> float:
        """Return the seconds after which an answer is overdue.

        The delay leaves a second attempt time to answer within the target
        latency.
        """
        mean = self.response_times.mean(exchange.service)
        delay = mean * _OVERDUE_FACTOR
        if exchange.route.target_latency is not None:
            delay = min(
                delay, exchange.route.target_latency * _TARGET_LATENCY_FRACTION
            )
        return max(_MIN_OVERDUE_S, mean * _MIN_OVERDUE_FACTOR, delay)

    def _record_overdue(
        self, exchange: EdgeExchange, candidate: Candidate, sent_at: float
    ) -> None:
        instance_id = candidate.instance.instance_id
        observation = Observation.OVERDUE
        if self.response_times.is_rarely_late(exchange.service):
            observation = Observation.SILENT
        self._path(exchange).record_if_intact(
            functools.partial(self._observe, instance_id, observation),
            sent_at=sent_at,
        )
        self.metrics.events['overdue'] += 1
        _LOG.info(
            'answer_overdue',
            request_id=exchange.request_id,
            instance=instance_id,
        )

    def _record_error(
        self,
        exchange: EdgeExchange,
        candidate: Candidate,
        exc: UpstreamError,
        sent_at: float,
    ) -> None:
        instance_id = candidate.instance.instance_id
        if isinstance(exc, _NOT_RUN_ERRORS):
            exchange.runs -= 1
            exchange.rejections += 1
        if isinstance(exc, WrongInstanceError):
            self.catalog.reject(candidate.instance)
        if isinstance(exc, UpstreamShedError):
            self._record_limit(instance_id, exc.request_limit, sent_at)
            self._record_leaving(candidate, is_leaving=exc.is_leaving)
            self._record_pause(instance_id, exc.pause)
            self._observe(instance_id, Observation.OVERDUE)
        if isinstance(exc, _ANSWER_ERRORS):
            self._path(exchange).record_answer()
        else:
            self._path(exchange).record_if_intact(
                functools.partial(
                    self._record_failure, exchange, instance_id, exc
                ),
                sent_at=sent_at,
                is_connected=not isinstance(exc, ConnectFailedError),
            )
        now = self.clock.now()
        self.metrics.events[f'attempt_{type(exc).__name__}'] += 1
        _LOG.info(
            'attempt_failed',
            request_id=exchange.request_id,
            instance=instance_id,
            error=type(exc).__name__,
            detail=str(exc),
            seconds=round(now - sent_at, 3),
            failing=round(
                self.state.failure_probability(instance_id, now=now), 3
            ),
        )

    def _record_failure(
        self,
        exchange: EdgeExchange,
        instance_id: InstanceId,
        exc: UpstreamError,
    ) -> None:
        """Record that an instance was not reached or broke an exchange."""
        if isinstance(exc, ConnectFailedError):
            self._observe(instance_id, Observation.UNREACHABLE)
        elif isinstance(exc, UpstreamBrokenError):
            self._observe(instance_id, Observation.FAILED)
            self.state.record_broken_request(
                exchange.fingerprint, instance_id, now=self.clock.now()
            )

    def _observe(
        self, instance_id: InstanceId, observation: Observation
    ) -> None:
        self.state.record_observation(
            instance_id, observation, now=self.clock.now()
        )

    def _record_answer(
        self,
        exchange: EdgeExchange,
        candidate: Candidate,
        answer: InstanceAnswer,
        sent_at: float,
    ) -> None:
        instance_id = candidate.instance.instance_id
        now = self.clock.now()
        self._record_limit(instance_id, answer.request_limit, sent_at)
        self._record_leaving(candidate, is_leaving=answer.is_leaving)
        self._record_pause(instance_id, answer.pause)
        self._path(exchange).record_answer()
        is_good = answer.status < _STATUS_SERVER_ERROR
        # A healthy instance answers 504 when the deadline of a request passes.
        is_timeout = (
            answer.status == _STATUS_TIMEOUT
            and exchange.deadline - now < _DEADLINE_MARGIN_S
        )
        if not is_timeout:
            observation = Observation.GOOD if is_good else Observation.FAILED
            self.state.record_observation(instance_id, observation, now=now)
        if is_good:
            is_late = now - sent_at > self._overdue_after(exchange)
            self.response_times.record_lateness(
                exchange.service, is_late=is_late
            )
            self.response_times.record(exchange.service, now - sent_at)
            self.state.crashes.clear(exchange.fingerprint, now=now)
        locality = locality_of(
            self.selector.own_placement, candidate.instance.placement
        )
        self.metrics.events[f'answer_bytes_{locality.name.lower()}'] += len(
            answer.body
        )
        self.metrics.events[f'answers_{locality.name.lower()}'] += 1
        _LOG.info(
            'instance_answered',
            request_id=exchange.request_id,
            instance=instance_id,
            status=answer.status,
            seconds=round(now - sent_at, 3),
            failing=round(
                self.state.failure_probability(instance_id, now=now), 3
            ),
        )

    def _record_limit(
        self, instance_id: InstanceId, limit: float | None, sent_at: float
    ) -> None:
        """Record the limit that an answer states, ``None`` for none."""
        if limit is not None:
            self.metrics.events['answers_with_limit'] += 1
        self.limits.record_answer(instance_id, limit, sent_at=sent_at)

    def _record_leaving(
        self, candidate: Candidate, *, is_leaving: bool
    ) -> None:
        """Record that an instance states that it leaves."""
        if not is_leaving:
            return
        self.metrics.events['answers_of_leaving_instances'] += 1
        self.catalog.record_leaving(candidate.instance)
        _LOG.info(
            'instance_leaving',
            instance=candidate.instance.instance_id,
            list_age=round(self.clock.now() - self.catalog.confirmed_at, 3),
        )

    def _record_pause(self, instance_id: InstanceId, pause: float) -> None:
        """Record that an instance wants no requests for some seconds."""
        if not pause:
            return
        self.metrics.events['answers_with_pause'] += 1
        _LOG.info('instance_pauses', instance=instance_id, seconds=pause)
        self.selector.pauses.record(instance_id, pause, now=self.clock.now())

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
        if remaining <= 0 or exchange.rejections >= _MAX_REJECTIONS:
            return False
        if isinstance(exc, ConnectFailedError):
            return True
        if isinstance(exc, _NOT_RUN_ERRORS):
            return self.budget.can_consume(exchange.service)
        return self._may_run_again(exchange, sent=0)

    def _may_retry_answer(
        self, exchange: EdgeExchange, answer: InstanceAnswer
    ) -> bool:
        if answer.status < _STATUS_SERVER_ERROR:
            return False
        remaining = exchange.deadline - self.clock.now()
        mean = self.response_times.mean(exchange.service)
        candidate = self.selector.choose(
            self._profile(exchange),
            excluded=exchange.tried_ids,
            now=self.clock.now(),
        )
        return (
            candidate is not None
            and remaining > mean + candidate.queue_time
            and self._may_run_again(exchange, sent=0)
        )

    def _count_retry(self, exchange: EdgeExchange, cause: str) -> None:
        if cause != ConnectFailedError.__name__:
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
            if answer.status < _STATUS_SERVER_ERROR:
                return answer
        failures.extend(answers)
    if failures:
        return failures[0]
    errors = [task.exception() for task in tasks]
    unknown = [exc for exc in errors if not isinstance(exc, _NOT_RUN_ERRORS)]
    error = (unknown or errors)[0]
    assert error is not None
    raise error

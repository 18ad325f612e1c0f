"""Records how attempts at instances ended."""

import functools
from collections.abc import Callable

import attrs
import structlog

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.crash_evidence import CrashEvidence
from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.failure_estimates import Observation
from bronzewall.edge.instance_paths import InstancePaths
from bronzewall.edge.limit_sharing import LimitSharing
from bronzewall.edge.ports import InstanceAnswer
from bronzewall.edge.remaining_work import RemainingWork
from bronzewall.edge.request_costs import CostClass
from bronzewall.edge.response_times import ResponseTimes
from bronzewall.edge.scheduling.scheduler import Scheduler
from bronzewall.edge.scheduling.service_outcomes import Outcome
from bronzewall.edge.selection import Candidate, Selector
from bronzewall.edge.zone_state import ZoneState
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamShedError,
    WrongInstanceError,
)
from bronzewall.locality import locality_of
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.types import InstanceId

_STATUS_CALLER_ERROR = 400
STATUS_SERVER_ERROR = 500
_STATUS_TIMEOUT = 504
# A 504 that arrives within this time of the deadline is attributed to the
# deadline and not to a fault of the instance, seconds.
_DEADLINE_MARGIN_S = 0.1
# An answer that takes this many times the expected time is overdue.
_OVERDUE_FACTOR = 4.0
# The limit is lower if the target latency requires it, but at least this
# many times the expected time: a long tail of response times is normal.
_MIN_OVERDUE_FACTOR = 2.5
# An answer is overdue at the latest after this fraction of the target
# latency, subject to the two lower limits.
_TARGET_LATENCY_FRACTION = 0.7
_MIN_OVERDUE_S = 0.5
_LOG = structlog.get_logger()

_ANSWER_ERRORS = (UpstreamShedError, WrongInstanceError)
NOT_RUN_ERRORS = (ConnectFailedError, UpstreamShedError, WrongInstanceError)


@attrs.define(kw_only=True, eq=False)
class AttemptOutcomes:
    """Records the outcomes of attempts where later decisions use them.

    :param work: work that instances still have, and learned costs.
    :param uses_costs: returns whether requests cost what was learned of their
        class, rather than the mean of their service.
    """

    clock: Clock
    catalog: Catalog
    state: ZoneState
    selector: Selector
    metrics: Metrics
    paths: InstancePaths
    limits: LimitSharing
    scheduler: Scheduler
    crashes: CrashEvidence
    work: RemainingWork
    uses_costs: Callable[[], bool]
    response_times: ResponseTimes = attrs.field(factory=ResponseTimes)

    def expected_time(self, exchange: EdgeExchange) -> float:
        """Return the seconds that an instance is expected to work."""
        if self.uses_costs():
            return self.work.costs.mean(_cost_class(exchange))
        return self.response_times.mean(exchange.service)

    def queue_factor(self, exchange: EdgeExchange) -> float:
        """Return by how much queues were longer than expected.

        Under load the counts of other VMs' requests lag behind, so that
        learned costs alone admit requests that answer too late. The mean
        response time, which includes the queue, shows it.
        """
        if not self.uses_costs():
            return 1
        work = self.work.costs.service_mean(exchange.service)
        return max(1, self.response_times.mean(exchange.service) / work)

    def overdue_after(self, exchange: EdgeExchange) -> float:
        """Return the seconds after which an answer is overdue.

        The delay leaves a second attempt time to answer within the target
        latency. It goes by what requests of the same class cost, so that each
        long one of a service with short ones is not overdue.
        """
        mean = self.expected_time(exchange) * self.queue_factor(exchange)
        delay = mean * _OVERDUE_FACTOR
        if exchange.route.target_latency is not None:
            delay = min(
                delay, exchange.route.target_latency * _TARGET_LATENCY_FRACTION
            )
        return max(_MIN_OVERDUE_S, mean * _MIN_OVERDUE_FACTOR, delay)

    def record_overdue(
        self, exchange: EdgeExchange, candidate: Candidate, sent_at: float
    ) -> None:
        """Record that an answer is overdue."""
        instance_id = candidate.instance.instance_id
        observation = Observation.OVERDUE
        if self.response_times.is_rarely_late(exchange.service):
            observation = Observation.SILENT
        self.paths.path_to(
            exchange.service, exchange.home_regions
        ).record_if_intact(
            functools.partial(self._observe, instance_id, observation),
            sent_at=sent_at,
        )
        self.metrics.events['overdue'] += 1
        _LOG.info(
            'answer_overdue',
            request_id=exchange.request_id,
            instance=instance_id,
        )

    def record_error(
        self,
        exchange: EdgeExchange,
        candidate: Candidate,
        exc: UpstreamError,
        sent_at: float,
    ) -> None:
        """Record an attempt that ended without an answer of use."""
        instance_id = candidate.instance.instance_id
        if isinstance(exc, NOT_RUN_ERRORS):
            exchange.runs -= 1
            exchange.rejections += 1
        if isinstance(exc, WrongInstanceError):
            self.catalog.reject(candidate.instance)
        if isinstance(exc, UpstreamShedError):
            self._record_limit(instance_id, exc.request_limit, sent_at)
            self._record_leaving(candidate, is_leaving=exc.is_leaving)
            self._record_pause(instance_id, exc.pause)
            self._record_rejection(exchange, instance_id)
        if isinstance(exc, _ANSWER_ERRORS):
            self.paths.path_to(
                exchange.service, exchange.home_regions
            ).record_answer()
        else:
            self.scheduler.record(exchange.service, instance_id, Outcome.FAILED)
            self.paths.path_to(
                exchange.service, exchange.home_regions
            ).record_if_intact(
                functools.partial(
                    self._record_failure, exchange, candidate, exc
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

    def record_answer(
        self,
        exchange: EdgeExchange,
        candidate: Candidate,
        answer: InstanceAnswer,
        sent_at: float,
    ) -> None:
        """Record the answer of an instance."""
        instance_id = candidate.instance.instance_id
        now = self.clock.now()
        self._record_limit(instance_id, answer.request_limit, sent_at)
        self._record_leaving(candidate, is_leaving=answer.is_leaving)
        self._record_pause(instance_id, answer.pause)
        self.paths.path_to(
            exchange.service, exchange.home_regions
        ).record_answer()
        is_good = answer.status < STATUS_SERVER_ERROR
        self.scheduler.record(
            exchange.service,
            instance_id,
            Outcome.ANSWERED if is_good else Outcome.FAILED,
        )
        # A healthy instance answers 504 when the deadline of a request passes.
        is_timeout = (
            answer.status == _STATUS_TIMEOUT
            and exchange.deadline - now < _DEADLINE_MARGIN_S
        )
        if not is_timeout:
            observation = Observation.GOOD if is_good else Observation.FAILED
            self.state.record_observation(instance_id, observation, now=now)
        if is_good:
            is_late = now - sent_at > self.overdue_after(exchange)
            self.response_times.record_lateness(
                exchange.service, is_late=is_late
            )
            self.response_times.record(exchange.service, now - sent_at)
            self._record_cost(exchange, candidate, answer, sent_at)
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
            service=exchange.service,
            route=exchange.route.route_id,
            queue_time=round(self._queue_time(candidate), 3),
            failing=round(
                self.state.failure_probability(instance_id, now=now), 3
            ),
        )

    def _record_rejection(
        self, exchange: EdgeExchange, instance_id: InstanceId
    ) -> None:
        """Record that an instance rejected a request.

        It says nothing about the instance if all of them reject.
        """
        self.scheduler.record(exchange.service, instance_id, Outcome.REJECTED)
        if not self.scheduler.is_shedding(exchange.service):
            self._observe(instance_id, Observation.OVERDUE)

    def _queue_time(self, candidate: Candidate) -> float:
        """Return the expected seconds in an instance's own queue.

        Requests wait for a permit before they are sent, and an instance that
        states a limit has no queue.
        """
        limit = self.limits.limits.limit(candidate.instance.instance_id)
        return candidate.queue_time if limit is None else 0

    def _record_cost(
        self,
        exchange: EdgeExchange,
        candidate: Candidate,
        answer: InstanceAnswer,
        sent_at: float,
    ) -> None:
        """Learn from a good answer what requests of its class cost.

        Answers of instances that have just started are left out.
        """
        if (
            not self.uses_costs()
            or answer.status >= _STATUS_CALLER_ERROR
            or candidate.instance.warmup
        ):
            return
        now = self.clock.now()
        self.work.record(
            candidate.instance.instance_id,
            _cost_class(exchange),
            now - sent_at,
            queue_time=self._queue_time(candidate),
            now=now,
        )

    def _record_failure(
        self,
        exchange: EdgeExchange,
        candidate: Candidate,
        exc: UpstreamError,
    ) -> None:
        """Record that an instance was not reached or broke an exchange."""
        instance_id = candidate.instance.instance_id
        if isinstance(exc, ConnectFailedError):
            self._observe(instance_id, Observation.UNREACHABLE)
        elif isinstance(exc, UpstreamBrokenError):
            self._observe(instance_id, Observation.FAILED)
            self.crashes.record_break(exchange.fingerprint, candidate.instance)

    def _observe(
        self, instance_id: InstanceId, observation: Observation
    ) -> None:
        self.state.record_observation(
            instance_id, observation, now=self.clock.now()
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


def _cost_class(exchange: EdgeExchange) -> CostClass:
    return CostClass(service=exchange.service, route=exchange.route.route_id)

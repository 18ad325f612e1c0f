"""Handles one request from its arrival to its answer or refusal."""

import asyncio
import random

import attrs
import structlog

from bronzewall import headers as header_rules
from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.gate import Gate
from bronzewall.edge.ports import HeaderNames, InstanceAnswer
from bronzewall.edge.sending import Sender
from bronzewall.errors import (
    CallerGoneError,
)
from bronzewall.metrics import Metrics
from bronzewall.ports import AnswerWriter, CallerRequest, Clock
from bronzewall.problems import (
    Problem,
    Ran,
    Reason,
    RefusalError,
    problem_document,
)
from bronzewall.refusals import read_whole_body, refuse_bad_input
from bronzewall.types import RequestId

_REQUEST_ID_BITS = 64
# Time for which requests wait for the configuration after a start, seconds. A
# VM normally reads it within this time.
_CONFIGURATION_TIMEOUT_S = 0.6
# Statuses that assure the caller that a request has not run. An answer of an
# instance with one of them does not prove it, unless its not-run header says
# so.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class EdgeRequestHandler:
    """Handles the requests of callers."""

    clock: Clock
    random: random.Random
    names: HeaderNames
    gate: Gate
    sender: Sender
    metrics: Metrics
    in_flight: int = 0

    async def handle(
        self, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        """Answer one request with the answer of an instance or a refusal."""
        started = self.clock.now() - request.waited
        attempt_id = header_rules.find(request.headers, self.names.attempt_id)
        request_id = RequestId(attempt_id or self._new_request_id())
        self.metrics.requests += 1
        self.in_flight += 1
        try:
            await self._serve(request, request_id, writer, started)
        except RefusalError as refusal:
            await self._refuse(refusal, request_id, writer, started)
        except (CallerGoneError, asyncio.CancelledError) as exc:
            self._record_caller_gone(request_id, started)
            if isinstance(exc, asyncio.CancelledError):
                raise
        except Exception:
            await self._handle_internal_error(request_id, writer, started)
        finally:
            self.in_flight -= 1
            self.metrics.record_latency(self.clock.now() - started)

    def bad_input(self, error: str) -> Problem:
        """Count a request that cannot be parsed and return its refusal.

        :param error: name of the parser's error.
        """
        _LOG.info('bad_input', error=error)
        return refuse_bad_input(
            error,
            metrics=self.metrics,
            request_id=self._new_request_id(),
        )

    async def _serve(
        self,
        request: CallerRequest,
        request_id: RequestId,
        writer: AnswerWriter,
        started: float,
    ) -> None:
        if self.gate.directory.configuration is None:
            await self.gate.directory.wait_for_configuration(
                _CONFIGURATION_TIMEOUT_S
            )
        exchange = self.gate.open(request, request_id, started)
        exchange.attach_body(await read_whole_body(request))
        self.gate.check(exchange)
        self.gate.admit(exchange)
        try:
            answer = await self.sender.run(exchange)
        except RefusalError:
            if not exchange.runs:
                self.gate.refund(exchange)
            raise
        await self._deliver(exchange, answer, writer)

    async def _deliver(
        self,
        exchange: EdgeExchange,
        answer: InstanceAnswer,
        writer: AnswerWriter,
    ) -> None:
        if answer.status in _NOT_RUN_STATUSES:
            raise RefusalError(
                reason=Reason.ANSWER_LOST,
                ran=Ran.UNKNOWN,
                detail=(
                    f'instance answered {answer.status} without proof that'
                    ' the request has not run'
                ),
            )
        await writer.start(
            status=answer.status,
            headers=header_rules.answer_headers(answer.headers),
        )
        if answer.body:
            await writer.write(answer.body)
        await writer.finish()
        self.metrics.answered += 1
        _LOG.info(
            'answered',
            request_id=exchange.request_id,
            route=exchange.route.route_id,
            account=exchange.account and exchange.account.account_id,
            status=answer.status,
            runs=exchange.runs,
            seconds=round(self.clock.now() - exchange.started, 3),
            version=self.gate.directory.version,
        )

    def _record_caller_gone(
        self, request_id: RequestId, started: float
    ) -> None:
        self.metrics.events['caller_gone'] += 1
        _LOG.info(
            'caller_gone',
            request_id=request_id,
            seconds=round(self.clock.now() - started, 3),
        )

    async def _handle_internal_error(
        self, request_id: RequestId, writer: AnswerWriter, started: float
    ) -> None:
        """Answer a request after an unexpected exception."""
        _LOG.exception('internal_error', request_id=request_id)
        if writer.is_started:
            writer.abort()
            self.metrics.events['internal_error'] += 1
            return
        # It is unknown whether an instance has run the request.
        refusal = RefusalError(reason=Reason.INTERNAL_ERROR, ran=Ran.UNKNOWN)
        await self._refuse(refusal, request_id, writer, started)

    async def _refuse(
        self,
        refusal: RefusalError,
        request_id: RequestId,
        writer: AnswerWriter,
        started: float,
    ) -> None:
        code = refusal.reason.code
        self.metrics.refusals[code] += 1
        _LOG.info(
            'refused',
            request_id=request_id,
            reason=code,
            ran=refusal.ran.value,
            detail=refusal.detail,
            seconds=round(self.clock.now() - started, 3),
            version=self.gate.directory.version,
            store_age=round(self.gate.freshness.age(), 2),
        )
        problem = problem_document(
            refusal=refusal, request_id=request_id, is_exact=True
        )
        try:
            await writer.start(status=problem.status, headers=problem.headers)
            await writer.write(problem.body)
            await writer.finish()
        except CallerGoneError:
            self._record_caller_gone(request_id, started)

    def _new_request_id(self) -> RequestId:
        return RequestId(f'{self.random.getrandbits(_REQUEST_ID_BITS):016x}')

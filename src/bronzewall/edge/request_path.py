"""Handles one request from its arrival to its answer or refusal."""

import asyncio
import random

import attrs
import structlog

from bronzewall import headers as header_rules
from bronzewall.edge.answer_room import AnswerRoom
from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.gate import Gate
from bronzewall.edge.ports import HeaderNames, InstanceAnswer
from bronzewall.edge.relay_header import RelayHeader, find_relay_header
from bronzewall.edge.relay_tickets import RelayTickets
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
class _Arrival:
    """A request with what is known of it on arrival.

    :param started: clock time of the arrival.
    :param relay: what the VM that relayed it states.
    :param exchange: its exchange, once its route was found.
    """

    request: CallerRequest
    writer: AnswerWriter
    request_id: RequestId
    started: float
    relay: RelayHeader | None
    exchange: EdgeExchange | None = None


@attrs.frozen(kw_only=True)
class UnfinishedRequest:
    """A request that is in progress.

    :param runs: instances that it was sent to and that may run it.
    :param seconds: time since its arrival.
    """

    request_id: RequestId
    runs: int
    seconds: float


@attrs.define(kw_only=True, eq=False)
class EdgeRequestHandler:
    """Handles the requests of callers."""

    clock: Clock
    random: random.Random
    names: HeaderNames
    gate: Gate
    sender: Sender
    tickets: RelayTickets
    metrics: Metrics
    room: AnswerRoom
    _in_progress: set[_Arrival] = attrs.field(factory=set)

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return len(self._in_progress)

    def unfinished(self) -> list[UnfinishedRequest]:
        """Return the requests in progress, the oldest first."""
        now = self.clock.now()
        return [
            UnfinishedRequest(
                request_id=arrival.request_id,
                runs=arrival.exchange.runs if arrival.exchange else 0,
                seconds=now - arrival.started,
            )
            for arrival in sorted(
                self._in_progress, key=lambda found: found.started
            )
        ]

    async def handle(
        self, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        """Answer one request with the answer of an instance or a refusal."""
        attempt_id = header_rules.find(request.headers, self.names.attempt_id)
        arrival = _Arrival(
            request=request,
            writer=writer,
            request_id=RequestId(attempt_id or self._new_request_id()),
            started=self.clock.now() - request.waited,
            relay=find_relay_header(request.headers),
        )
        self.metrics.requests += 1
        self._in_progress.add(arrival)
        try:
            await self._serve(arrival)
        except RefusalError as refusal:
            await self._refuse(refusal, arrival)
        except (CallerGoneError, asyncio.CancelledError) as exc:
            self._record_caller_gone(arrival)
            if isinstance(exc, asyncio.CancelledError):
                raise
        except Exception:
            await self._handle_internal_error(arrival)
        finally:
            self._in_progress.discard(arrival)
            self.metrics.record_latency(self.clock.now() - arrival.started)

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

    async def _serve(self, arrival: '_Arrival') -> None:
        if self.gate.directory.configuration is None:
            await self.gate.directory.wait_for_configuration(
                _CONFIGURATION_TIMEOUT_S
            )
        request = arrival.request
        exchange = self._open(arrival)
        arrival.exchange = exchange
        async with self.gate.stop.waiting(exchange):
            exchange.attach_body(await read_whole_body(request))
        if exchange.body:
            exchange.received_at = self.clock.now()
        self.gate.check(exchange)
        with self.room.hold(exchange) as held:
            if not self._is_admitted(arrival):
                await self.gate.admit(exchange)
            try:
                answer = await self.sender.run(exchange)
            except (RefusalError, asyncio.CancelledError):
                if not exchange.runs:
                    self.gate.refund(exchange)
                raise
            self.room.record_answer(held, len(answer.body))
            await self._deliver(exchange, answer, arrival.writer)

    def _open(self, arrival: '_Arrival') -> EdgeExchange:
        """Find the route and account of a request.

        :raises RefusalError: the request is refused, or another VM accepted
            it by a newer configuration.
        """
        relay = arrival.relay
        version = self.gate.directory.version
        if relay is not None and version < relay.version:
            raise RefusalError(
                reason=Reason.NOT_CONFIGURED,
                detail=f'version {version}, relayed by {relay.version}',
            )
        exchange = self.gate.open(
            arrival.request, arrival.request_id, arrival.started
        )
        if relay is not None:
            exchange.is_relayed = True
            exchange.relayed_instances = relay.max_instances
        return exchange

    def _is_admitted(self, arrival: '_Arrival') -> bool:
        """Return whether the VM that relayed a request has admitted it."""
        relay = arrival.relay
        return relay is not None and self.tickets.is_valid(relay.ticket)

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

    def _record_caller_gone(self, arrival: '_Arrival') -> None:
        self.metrics.events['caller_gone'] += 1
        _LOG.info(
            'caller_gone',
            request_id=arrival.request_id,
            seconds=round(self.clock.now() - arrival.started, 3),
        )

    async def _handle_internal_error(self, arrival: '_Arrival') -> None:
        """Answer a request after an unexpected exception."""
        _LOG.exception('internal_error', request_id=arrival.request_id)
        if arrival.writer.is_started:
            arrival.writer.abort()
            self.metrics.events['internal_error'] += 1
            return
        # It is unknown whether an instance has run the request.
        refusal = RefusalError(reason=Reason.INTERNAL_ERROR, ran=Ran.UNKNOWN)
        await self._refuse(refusal, arrival)

    async def _refuse(self, refusal: RefusalError, arrival: '_Arrival') -> None:
        code = refusal.reason.code
        self.metrics.refusals[code] += 1
        _LOG.info(
            'refused',
            request_id=arrival.request_id,
            reason=code,
            ran=refusal.ran.value,
            detail=refusal.detail,
            seconds=round(self.clock.now() - arrival.started, 3),
            version=self.gate.directory.version,
            store_age=round(self.gate.freshness.age(), 2),
        )
        problem = problem_document(
            refusal=refusal, request_id=arrival.request_id, is_exact=True
        )
        headers = problem.headers
        if arrival.relay is not None:
            # A VM accepts only answers that echo the attempt id.
            headers = [*headers, (self.names.attempt_id, arrival.request_id)]
        writer = arrival.writer
        try:
            await writer.start(status=problem.status, headers=headers)
            await writer.write(problem.body)
            await writer.finish()
        except CallerGoneError:
            self._record_caller_gone(arrival)

    def _new_request_id(self) -> RequestId:
        return RequestId(f'{self.random.getrandbits(_REQUEST_ID_BITS):016x}')

"""Handles one request, from the caller to an upstream and back."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import attrs
import structlog

from bronzewall import headers as header_rules
from bronzewall.attempts import observed_exchange
from bronzewall.config_feed import ConfigFeed
from bronzewall.config_model import Account, Instance, Route
from bronzewall.config_state import ConfigurationInForce
from bronzewall.crash_guard import CrashGuard, WatchedAttempt
from bronzewall.dispatch import Dispatcher
from bronzewall.errors import (
    CallerGoneError,
    NoConfigurationError,
    NoInstanceError,
    QueueFullError,
    RateExceededError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamTimeoutError,
)
from bronzewall.evidence import Evidence
from bronzewall.exchange import Exchange
from bronzewall.hedging import OpenedAnswer, open_answer
from bronzewall.journal import Journal
from bronzewall.metrics import Metrics
from bronzewall.ports import (
    AnswerWriter,
    CallerRequest,
    Clock,
    UpstreamHttp,
    UpstreamRequest,
)
from bronzewall.problems import (
    Problem,
    Ran,
    Reason,
    RefusalError,
    problem_document,
)
from bronzewall.refusals import (
    read_whole_body,
    refusal_of,
    refuse_bad_input,
)
from bronzewall.retry import is_not_run, may_retry
from bronzewall.run_gate import RunGate
from bronzewall.run_issue import (
    ISSUE_ROUTE,
    ISSUE_SERVICE,
    answer_issue,
    is_issue_request,
)
from bronzewall.types import RequestId, VmId

_MS_PER_S = 1000
_REQUEST_ID_BITS = 64
_LOG = structlog.get_logger()


class Quota(Protocol):
    """Admits requests within the rates of client accounts."""

    async def admit(self, account: Account) -> None:
        """Admit one request or raise :class:`RateExceededError`."""


@attrs.define(kw_only=True)
class RequestPath:
    """Serves callers' requests on one VM.

    :param may_serve_keyed: returns whether this VM's list of withdrawn
        keys is recent enough to serve routes that need a key.
    """

    vm_id: VmId
    clock: Clock
    random: random.Random
    feed: ConfigFeed
    quota: Quota
    dispatcher: Dispatcher
    upstreams: UpstreamHttp
    run_gate: RunGate
    crash_guard: CrashGuard
    metrics: Metrics
    journal: Journal
    may_serve_keyed: Callable[[], bool]
    evidence: Evidence = attrs.field(factory=Evidence)
    in_flight_by_request: dict[RequestId, Route] = attrs.field(factory=dict)

    async def handle(
        self, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        """Answer one request with an upstream's answer or a refusal."""
        started = self.clock.now()
        request_id = self._new_request_id()
        self.metrics.requests += 1
        try:
            await self._serve(request, request_id, writer)
        except RefusalError as refusal:
            await self._refuse(refusal, request_id, writer)
        except Exception:
            await self._fail(request_id, writer)
        finally:
            self.in_flight_by_request.pop(request_id, None)
            self.metrics.record_latency(self.clock.now() - started)

    def bad_input(self, error: str) -> Problem:
        """Count a request that cannot be parsed and return its refusal.

        :param error: name of the parser's error.
        """
        return refuse_bad_input(
            error,
            metrics=self.metrics,
            request_id=self._new_request_id(),
        )

    def record_step(
        self, exchange: Exchange, event: str, **fields: object
    ) -> None:
        """Add a decision about a request to the journal."""
        self.journal.add(
            request_id=exchange.request_id,
            at=self.clock.wall(),
            event=event,
            **fields,
        )

    async def _serve(
        self,
        request: CallerRequest,
        request_id: RequestId,
        writer: AnswerWriter,
    ) -> None:
        exchange = self._open(request, request_id, writer)
        self.in_flight_by_request[request_id] = exchange.route
        self._check_freshness(exchange)
        await self._admit(exchange)
        if exchange.route is ISSUE_ROUTE:
            await answer_issue(
                permits=self.run_gate.permits,
                account=exchange.account,
                request_id=request_id,
                writer=writer,
            )
            return
        exchange.body = await read_whole_body(request)
        self.crash_guard.check(exchange.fingerprint())
        if exchange.route.idempotent:
            await self._run(exchange)
        else:
            await self._run_once(exchange)

    async def _run_once(self, exchange: Exchange) -> None:
        async def execute(writer: AnswerWriter) -> None:
            exchange.writer = writer
            await self._run(exchange)

        await self.run_gate.run(
            exchange.run_request(), exchange.writer, execute
        )

    def _open(
        self,
        request: CallerRequest,
        request_id: RequestId,
        writer: AnswerWriter,
    ) -> Exchange:
        in_force = self._in_force()
        route = in_force.routes.find(method=request.method, path=request.path)
        if is_issue_request(request):
            route = ISSUE_ROUTE
        if route is None:
            raise RefusalError(reason=Reason.UNKNOWN_ROUTE)
        services = in_force.configuration.services_by_name
        key = header_rules.caller_key(request.headers)
        exchange = Exchange(
            request=request,
            request_id=request_id,
            writer=writer,
            route=route,
            service=services.get(route.service, ISSUE_SERVICE),
            account=None,
            key=key,
            deadline=self.clock.now() + route.deadline,
            generation=in_force.configuration.generation,
        )
        exchange.account = self._authenticate(exchange)
        self.record_step(
            exchange,
            'received',
            route=route.route_id,
            account=exchange.account.account_id if exchange.account else None,
            generation=in_force.configuration.generation,
        )
        return exchange

    def _in_force(self) -> ConfigurationInForce:
        try:
            return self.feed.current()
        except NoConfigurationError:
            raise RefusalError(
                reason=Reason.NOT_CONFIGURED, retry_after=1
            ) from None

    def _authenticate(self, exchange: Exchange) -> Account | None:
        if exchange.route.open_to_all:
            return None
        if exchange.key is None:
            raise RefusalError(reason=Reason.KEY_MISSING)
        in_force = self._in_force()
        account_id = in_force.keys.find(exchange.key)
        if account_id is None:
            raise RefusalError(reason=Reason.KEY_UNKNOWN)
        return in_force.configuration.accounts_by_id[account_id]

    def _check_freshness(self, exchange: Exchange) -> None:
        route = exchange.route
        if route.open_to_all or route.when_cut_off == 'serve':
            return
        if not self.may_serve_keyed():
            raise RefusalError(reason=Reason.CUT_OFF, retry_after=1)

    async def _admit(self, exchange: Exchange) -> None:
        if exchange.account is None:
            return
        try:
            await self.quota.admit(exchange.account)
        except RateExceededError as exc:
            raise RefusalError(
                reason=Reason.RATE_EXCEEDED, retry_after=exc.retry_after
            ) from exc

    async def _run(self, exchange: Exchange) -> None:
        while True:
            exchange.attempts += 1
            try:
                await self._attempt(exchange)
            except UpstreamError as exc:
                self._check_retry(exchange, exc)
            except RefusalError as refusal:
                raise exchange.with_attempt_history(refusal) from refusal
            else:
                return

    async def _attempt(self, exchange: Exchange) -> None:
        instance = await self._acquire(exchange)
        error, is_served = None, False
        try:
            async with self.crash_guard.watch_attempt(
                instance,
                exchange.fingerprint(),
                deadline=exchange.deadline,
            ) as watched:
                await self._send_guarded(exchange, watched)
                watched.is_answered = exchange.is_answered
            is_served = True
        except UpstreamError as exc:
            error = exc
            raise
        finally:
            self.dispatcher.release(instance, is_served=is_served, error=error)

    async def _send_guarded(
        self, exchange: Exchange, watched: WatchedAttempt
    ) -> None:
        self._check_before_send(exchange)
        async with self.crash_guard.watch_exchange(watched):
            await self._send(exchange, watched)

    async def _acquire(self, exchange: Exchange) -> Instance:
        account = exchange.account
        try:
            instance = await self.dispatcher.acquire(
                service=exchange.service,
                route=exchange.route,
                account_id=account.account_id if account else None,
                deadline=exchange.deadline,
                excluded=frozenset(exchange.tried_ids),
            )
        except NoInstanceError as exc:
            raise RefusalError(
                reason=Reason.NO_INSTANCE, retry_after=1
            ) from exc
        except QueueFullError as exc:
            raise RefusalError(
                reason=Reason.OVERLOADED, retry_after=exc.retry_after
            ) from exc
        exchange.tried_ids.add(instance.instance_id)
        return instance

    def _check_before_send(self, exchange: Exchange) -> None:
        # The key may have been withdrawn while the request was queued.
        if self.feed.generation != exchange.generation:
            self._authenticate(exchange)
        self._check_freshness(exchange)
        # After a pause of this VM, another VM may already have answered a
        # repeat of this request with an unknown outcome, so it must not be
        # sent late.
        if self.clock.now() >= exchange.deadline:
            raise RefusalError(
                reason=Reason.UPSTREAM_TIMEOUT,
                detail='the deadline passed before the request was sent',
            )

    async def _send(self, exchange: Exchange, watched: WatchedAttempt) -> None:
        instance = watched.instance
        self.record_step(exchange, 'sent', instance=instance.instance_id)
        opened = await open_answer(
            dispatcher=self.dispatcher,
            service=exchange.service,
            route=exchange.route,
            first=self._open_first(exchange, watched),
            take_second=lambda: self._take_second(exchange),
            open_second=lambda to: self._open_second(exchange, to),
        )
        headers = opened.exchange.answer.headers
        self.dispatcher.observe_headers(opened.instance, headers)
        try:
            await self._relay(exchange, opened)
        finally:
            opened.exchange.close()

    async def _open_first(
        self, exchange: Exchange, watched: WatchedAttempt
    ) -> OpenedAnswer:
        try:
            return await self._open_one(exchange, watched)
        except asyncio.CancelledError:
            # The second attempt answered first; this one may still run on
            # its instance.
            self.crash_guard.abandon(watched)
            raise

    async def _open_second(
        self, exchange: Exchange, instance: Instance
    ) -> OpenedAnswer:
        guard = self.crash_guard
        fingerprint, deadline = exchange.fingerprint(), exchange.deadline
        async with guard.watch_attempt(
            instance, fingerprint, deadline=deadline
        ) as watched:
            async with guard.watch_exchange(watched):
                return await self._open_one(exchange, watched)

    async def _open_one(
        self, exchange: Exchange, watched: WatchedAttempt
    ) -> OpenedAnswer:
        instance = watched.instance
        attempt, upstream = await observed_exchange(
            upstreams=self.upstreams,
            evidence=self.evidence,
            clock=self.clock,
            instance=instance,
            route=exchange.route,
            request=self._upstream_request(exchange, instance),
            fingerprint=exchange.fingerprint(),
        )
        return OpenedAnswer(
            exchange=upstream,
            instance=instance,
            attempt=attempt,
            watched=watched,
        )

    def _take_second(self, exchange: Exchange) -> Instance | None:
        if self.crash_guard.table.find(exchange.fingerprint()) is not None:
            # A request that may crash instances runs on one instance at a
            # time.
            return None
        instance = self.dispatcher.try_hedge(
            service=exchange.service,
            route=exchange.route,
            excluded=frozenset(exchange.tried_ids),
        )
        if instance is not None:
            exchange.tried_ids.add(instance.instance_id)
            self.metrics.events['hedged'] += 1
            self.record_step(exchange, 'hedged', instance=instance.instance_id)
        return instance

    def _upstream_request(
        self, exchange: Exchange, instance: Instance
    ) -> UpstreamRequest:
        remaining = max(exchange.deadline - self.clock.now(), 0)
        own_headers = [
            (header_rules.REQUEST_ID, exchange.request_id),
            (header_rules.DEADLINE_MS, str(int(remaining * _MS_PER_S))),
        ]
        if exchange.account is not None:
            own_headers.append(
                (header_rules.ACCOUNT, exchange.account.account_id)
            )
        return UpstreamRequest(
            instance_id=instance.instance_id,
            address=instance.address,
            method=exchange.request.method,
            target=exchange.request.target,
            headers=header_rules.request_headers(
                exchange.request.headers, own_headers
            ),
            body=exchange.body,
            timeout=remaining,
        )

    async def _relay(
        self,
        exchange: Exchange,
        opened: OpenedAnswer,
    ) -> None:
        answer, writer = opened.exchange.answer, exchange.writer
        instance = opened.instance
        request_id_header = (header_rules.REQUEST_ID, exchange.request_id)
        is_remote = self.dispatcher.is_remote(instance)
        try:
            await writer.start(
                status=answer.status,
                headers=[
                    *header_rules.answer_headers(answer.headers),
                    request_id_header,
                ],
            )
            async for chunk in answer.body:
                if is_remote:
                    self.metrics.cross_region_bytes += len(chunk)
                await writer.write(chunk)
            await writer.finish()
        except (UpstreamBrokenError, UpstreamTimeoutError) as exc:
            if opened.watched and isinstance(exc, UpstreamBrokenError):
                await self.crash_guard.check_for_crash(opened.watched)
            # The status line was sent, so only a broken connection can
            # show the caller that the body is incomplete.
            writer.abort()
            if opened.attempt is not None:
                self.evidence.fail(opened.attempt)
            self.metrics.events['answer_truncated'] += 1
            self.record_step(exchange, 'answer_truncated', error=str(exc))
            return
        except CallerGoneError:
            self.metrics.events['caller_gone'] += 1
            return
        exchange.is_answered = True
        self.metrics.answered += 1
        self.record_step(exchange, 'answered', status=answer.status)

    def _check_retry(self, exchange: Exchange, exc: UpstreamError) -> None:
        """Return if another attempt is allowed, else raise a refusal."""
        cause = type(exc).__name__
        self.record_step(exchange, 'attempt_failed', error=cause)
        exchange.may_have_run |= not is_not_run(exc)
        is_allowed = may_retry(
            route=exchange.route,
            error=exc,
            attempts=exchange.attempts,
            remaining=exchange.deadline - self.clock.now(),
        )
        if is_allowed and self.dispatcher.may_retry(exchange.service):
            self.metrics.retries[cause] += 1
            return
        raise exchange.with_attempt_history(refusal_of(exc)) from exc

    async def _fail(self, request_id: RequestId, writer: AnswerWriter) -> None:
        """Answer after an unexpected error."""
        _LOG.exception('internal_error', request_id=request_id)
        if writer.is_started:
            writer.abort()
            self.metrics.events['internal_error'] += 1
            return
        # The request may or may not have been sent to an upstream.
        refusal = RefusalError(reason=Reason.INTERNAL_ERROR, ran=Ran.UNKNOWN)
        await self._refuse(refusal, request_id, writer)

    async def _refuse(
        self,
        refusal: RefusalError,
        request_id: RequestId,
        writer: AnswerWriter,
    ) -> None:
        code = refusal.reason.code
        self.metrics.refusals[code] += 1
        self.journal.add(
            request_id=request_id,
            at=self.clock.wall(),
            event='refused',
            reason=code,
            ran=refusal.ran.value,
        )
        _LOG.info(
            'refused', request_id=request_id, reason=code, ran=refusal.ran.value
        )
        problem = problem_document(refusal=refusal, request_id=request_id)
        try:
            await writer.start(status=problem.status, headers=problem.headers)
            await writer.write(problem.body)
            await writer.finish()
        except CallerGoneError:
            self.metrics.events['caller_gone'] += 1

    def _new_request_id(self) -> RequestId:
        number = self.random.getrandbits(_REQUEST_ID_BITS)
        return RequestId(f'{self.vm_id}-{number:016x}')

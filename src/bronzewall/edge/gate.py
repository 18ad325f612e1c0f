"""Finds the route and account of a request and checks its admission."""

import attrs

from bronzewall import headers as header_rules
from bronzewall.edge.directory import Directory
from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.freshness import KeyFreshness
from bronzewall.edge.model import EdgeAccount, EdgeConfiguration, EdgeRoute
from bronzewall.edge.stop_limit import StopLimit
from bronzewall.edge.token_waits import TokenWaits
from bronzewall.edge.traffic_splits import TrafficSplits
from bronzewall.edge.zone_state import ZoneState
from bronzewall.errors import RateExceededError
from bronzewall.ports import CallerRequest, Clock, Headers
from bronzewall.problems import Reason, RefusalError
from bronzewall.types import RequestId
from bronzewall.wire_checks import whole_number

_MS_PER_S = 1000
# Timeout of a request if neither the caller nor the route sets one, seconds.
_DEFAULT_TIMEOUT_S = 30.0
# Callers that state more wait for this time, milliseconds.
_MAX_TIMEOUT_MS = 86_400_000
# Retry-After while this VM cannot serve, seconds. It is short because another
# VM may be able to serve the retry.
_RETRY_AFTER_S = 0.2


@attrs.define(kw_only=True, eq=False)
class Gate:
    """Decides whether a request may be sent to an instance.

    :param deadline_header: header with the milliseconds that a caller
        waits.
    :param stop: end of a planned stop.
    """

    clock: Clock
    splits: TrafficSplits
    directory: Directory
    freshness: KeyFreshness
    state: ZoneState
    waits: TokenWaits
    deadline_header: str
    stop: StopLimit = attrs.field(
        default=attrs.Factory(
            lambda gate: StopLimit(clock=gate.clock), takes_self=True
        )
    )

    def open(
        self, request: CallerRequest, request_id: RequestId, started: float
    ) -> EdgeExchange:
        """Find the route and account of a request.

        :raises RefusalError: the route or account is not found, or the VM
            has no configuration or stale keys.
        """
        configuration = self.directory.configuration
        if configuration is None:
            raise RefusalError(
                reason=Reason.NOT_CONFIGURED, retry_after=_RETRY_AFTER_S
            )
        route = self._find_route(configuration, request)
        key = header_rules.caller_key(request.headers)
        route_timeout = (
            _DEFAULT_TIMEOUT_S if route.timeout is None else route.timeout
        )
        timeout = min(route_timeout, self._caller_timeout(request.headers))
        return EdgeExchange(
            request=request,
            request_id=request_id,
            route=route,
            service=self.splits.draw(route),
            account=self._find_account(configuration, route, key),
            key=key,
            started=started,
            deadline=started + timeout,
        )

    def check(self, exchange: EdgeExchange) -> None:
        """Check the conditions that may have changed since the arrival.

        :raises RefusalError: the request must not be sent to an instance.
        """
        now = self.clock.now()
        self.stop.check_arrival(exchange)
        if self.state.crashes.is_refused(exchange.fingerprint, now=now):
            raise exchange.refusal(Reason.CRASH_SUSPECT)
        if exchange.account is None:
            return
        if not self.freshness.is_fresh():
            raise self._stale_keys_refusal(exchange)
        assert exchange.key is not None
        if self.directory.find_account(exchange.key) is None:
            raise exchange.refusal(Reason.KEY_UNKNOWN)

    async def admit(self, exchange: EdgeExchange) -> None:
        """Consume one rate-limit token of the account.

        A request that waited for it is checked again.

        :raises RefusalError: the account has exceeded its rate.
        """
        if exchange.account is None:
            return
        arrived_at = self.clock.now()
        try:
            async with self.stop.waiting(exchange):
                await self.waits.admit(
                    exchange.account, deadline=exchange.deadline
                )
        except RateExceededError as exc:
            raise RefusalError(
                reason=Reason.RATE_EXCEEDED,
                retry_after=exc.retry_after,
                detail=str(exc),
            ) from exc
        exchange.has_token = True
        if self.clock.now() > arrived_at:
            self._check_after_wait(exchange)

    def refund(self, exchange: EdgeExchange) -> None:
        """Refund the token of a request that has certainly not run."""
        if exchange.account is not None and exchange.has_token:
            exchange.has_token = False
            self.state.admission.refund(exchange.account, now=self.clock.now())

    def _check_after_wait(self, exchange: EdgeExchange) -> None:
        """Check a request that has waited for its token.

        :raises RefusalError: it must not be sent; its token is refunded.
        """
        try:
            self.check(exchange)
        except RefusalError:
            self.refund(exchange)
            raise

    def _find_route(
        self, configuration: EdgeConfiguration, request: CallerRequest
    ) -> EdgeRoute:
        host = header_rules.find(request.headers, 'Host') or ''
        path = request.target.partition('?')[0]
        route = self.directory.find_route(host=host, path=path)
        if route is not None:
            if not route.traffic_split:
                raise _unreadable_refusal(f'route {route.route_id}')
            return route
        if configuration.has_unreadable_routes:
            raise _unreadable_refusal('a route')
        if not self.freshness.is_fresh():
            # The route may have been added since the last confirmation.
            raise self._stale_keys_refusal()
        raise RefusalError(reason=Reason.UNKNOWN_ROUTE)

    def _caller_timeout(self, headers: Headers) -> float:
        """Return the seconds for which the caller waits for an answer."""
        text = header_rules.find(headers, self.deadline_header) or ''
        timeout_ms = whole_number(text, limit=_MAX_TIMEOUT_MS)
        if timeout_ms is None:
            return _DEFAULT_TIMEOUT_S
        return timeout_ms / _MS_PER_S

    def _find_account(
        self,
        configuration: EdgeConfiguration,
        route: EdgeRoute,
        key: str | None,
    ) -> EdgeAccount | None:
        if route.open_to_all or not configuration.needs_keys:
            return None
        if key is None:
            raise RefusalError(reason=Reason.KEY_MISSING)
        account = self.directory.find_account(key)
        if account is not None:
            if not account.is_usable:
                raise _unreadable_refusal(f'account {account.account_id}')
            return account
        if configuration.has_unreadable_accounts:
            raise _unreadable_refusal('an account')
        if not self.freshness.is_fresh():
            # The key may have been added since the last confirmation.
            raise self._stale_keys_refusal()
        raise RefusalError(reason=Reason.KEY_UNKNOWN)

    def _stale_keys_refusal(
        self, exchange: EdgeExchange | None = None
    ) -> RefusalError:
        detail = (
            f'configuration last confirmed {self.freshness.age():.1f} s ago'
        )
        if exchange is not None:
            return exchange.refusal(
                Reason.CUT_OFF, detail=detail, retry_after=_RETRY_AFTER_S
            )
        return RefusalError(
            reason=Reason.CUT_OFF, detail=detail, retry_after=_RETRY_AFTER_S
        )


def _unreadable_refusal(subject: str) -> RefusalError:
    return RefusalError(
        reason=Reason.NOT_CONFIGURED,
        detail=f'{subject} of the configuration cannot be read',
    )

"""Explains where a request would go now, without sending it."""

from collections.abc import Mapping
from typing import Any

import attrs

from bronzewall.edge.attempt_outcomes import AttemptOutcomes
from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.gate import Gate
from bronzewall.edge.instance_choice import InstanceChooser
from bronzewall.edge.model import EdgeAccount, EdgeRoute, TrafficShare
from bronzewall.edge.selection import (
    Candidate,
    ExplainedCandidate,
    RequestProfile,
)
from bronzewall.metrics import Metrics
from bronzewall.ports import CallerRequest, Clock
from bronzewall.problems import Reason, RefusalError
from bronzewall.types import AccountId, RequestId

# Seconds that a caller waits who states no time limit; as in gate.py.
_DEFAULT_TIMEOUT_S = 30.0
_DIGITS = 3
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400


@attrs.frozen(kw_only=True)
class AskedRequest:
    """A request of which is asked where it would go.

    :param target: path and query in wire form.
    :param account: id of the account; its key is not needed.
    :param size: bytes of the body.
    """

    host: str
    target: str
    method: str = 'GET'
    account: AccountId | None = None
    size: int = 0


@attrs.define(kw_only=True, eq=False)
class RouteExplainer:
    """Goes through the decisions about a request and changes nothing.

    No token, random draw, permit or turn of an instance is spent.
    """

    clock: Clock
    gate: Gate
    chooser: InstanceChooser
    outcomes: AttemptOutcomes
    metrics: Metrics

    def explain(self, asked: AskedRequest) -> dict[str, Any]:
        """Return the decisions in the words of the log lines."""
        self.metrics.events['route_explained'] += 1
        found: dict[str, Any] = {'version': self.gate.directory.version}
        try:
            route, account = self._open(asked, found)
        except RefusalError as refusal:
            return {**found, **_refused(refusal)}
        found['services'] = [
            self._service(asked, route, account, share)
            for share in route.traffic_split
        ]
        return found

    def _open(
        self, asked: AskedRequest, found: dict[str, Any]
    ) -> tuple[EdgeRoute, EdgeAccount | None]:
        """Find route and account, and what the account may still send.

        :raises RefusalError: the request would be refused before an instance
            is chosen.
        """
        directory = self.gate.directory
        if directory.configuration is None:
            raise RefusalError(reason=Reason.NOT_CONFIGURED)
        path = asked.target.partition('?')[0]
        route = directory.find_route(host=asked.host, path=path)
        if route is None:
            raise RefusalError(reason=Reason.UNKNOWN_ROUTE)
        found['route'] = route.route_id
        if not route.traffic_split:
            raise RefusalError(reason=Reason.NOT_CONFIGURED)
        account = self._account(asked, route)
        if account is not None:
            found['account'] = account.account_id
            found['tokens'] = self._tokens(account)
        if asked.size > directory.limits.body_bytes:
            raise RefusalError(reason=Reason.BODY_TOO_LARGE)
        self._check_account(account)
        return route, account

    def _check_account(self, account: EdgeAccount | None) -> None:
        """Check the key's age and the rate of an account.

        :raises RefusalError: the account would be refused now.
        """
        if account is None:
            return
        if not self.gate.freshness.is_fresh():
            raise RefusalError(reason=Reason.CUT_OFF)
        tokens = self._tokens(account)
        if tokens is not None and tokens < 1:
            raise RefusalError(reason=Reason.RATE_EXCEEDED)

    def _account(
        self, asked: AskedRequest, route: EdgeRoute
    ) -> EdgeAccount | None:
        """Return the account whose key the request would need.

        :raises RefusalError: there is none.
        """
        configuration = self.gate.directory.configuration
        assert configuration is not None
        if route.open_to_all or not configuration.needs_keys:
            return None
        if asked.account is None:
            raise RefusalError(reason=Reason.KEY_MISSING)
        account = self.gate.directory.accounts_by_id.get(asked.account)
        if account is None:
            raise RefusalError(reason=Reason.KEY_UNKNOWN)
        if not account.is_usable:
            raise RefusalError(reason=Reason.NOT_CONFIGURED)
        return account

    def _tokens(self, account: EdgeAccount) -> float | None:
        """Return the tokens of an account, ``None`` if it has no limit."""
        if not account.rate:
            return None
        admission = self.gate.state.admission
        level = admission.tokens(account, now=self.clock.now())
        return round(level, _DIGITS)

    def _service(
        self,
        asked: AskedRequest,
        route: EdgeRoute,
        account: EdgeAccount | None,
        share: TrafficShare,
    ) -> dict[str, Any]:
        """Return what would happen if the split drew this service."""
        exchange = self._exchange(asked, route, account, share)
        profile = RequestProfile(
            service=share.service,
            is_retryable=route.idempotent and exchange.max_instances > 1,
            expected_time=self.outcomes.expected_time(exchange),
            target_latency=route.target_latency,
            queue_factor=self.outcomes.queue_factor(exchange),
            home_regions=exchange.home_regions,
        )
        now = exchange.started
        selector = self.chooser.selector
        winner = selector.best(profile, excluded=(), now=now)
        found: dict[str, Any] = {
            'service': share.service,
            'weight': share.weight,
            'expected_time': round(profile.expected_time, _DIGITS),
            'overdue_after': round(
                self.outcomes.overdue_after(exchange), _DIGITS
            ),
            'candidates': [
                _shown(item) for item in selector.explain(profile, now=now)
            ],
        }
        if winner is None:
            refusal = RefusalError(reason=Reason.NO_INSTANCE)
            return {**found, **_refused(refusal)}
        if self.chooser.scheduler.is_enabled():
            return {**found, **self._scheduled(exchange, profile)}
        found['instance'] = winner.instance.instance_id
        found['wait'] = round(winner.queue_time, _DIGITS)
        return {**found, **self._refusal(exchange, profile, winner)}

    def _scheduled(
        self, exchange: EdgeExchange, profile: RequestProfile
    ) -> dict[str, Any]:
        """Return whether the request would wait in this VM, and how long."""
        preview = self.chooser.scheduler.preview(exchange, profile)
        found: dict[str, Any] = {
            'waiting': preview.waiting,
            'wait': round(preview.wait, _DIGITS),
        }
        if preview.is_hopeless:
            refusal = RefusalError(reason=Reason.OVERLOADED)
            return {**found, **_refused(refusal)}
        if preview.candidate is None:
            return found
        found['instance'] = preview.candidate.instance.instance_id
        return {
            **found,
            **self._refusal(exchange, profile, preview.candidate),
        }

    def _refusal(
        self,
        exchange: EdgeExchange,
        profile: RequestProfile,
        winner: Candidate,
    ) -> dict[str, Any]:
        refusal = self.chooser.queue_refusal(exchange, profile, winner)
        return {} if refusal is None else _refused(refusal)

    def _exchange(
        self,
        asked: AskedRequest,
        route: EdgeRoute,
        account: EdgeAccount | None,
        share: TrafficShare,
    ) -> EdgeExchange:
        now = self.clock.now()
        timeout = _DEFAULT_TIMEOUT_S if route.timeout is None else route.timeout
        return EdgeExchange(
            request=CallerRequest(
                method=asked.method,
                target=asked.target,
                path=asked.target.partition('?')[0],
                headers=(('Host', asked.host),),
                read_body=_no_body,
            ),
            request_id=RequestId(''),
            route=route,
            service=share.service,
            account=account,
            key=None,
            started=now,
            deadline=now + timeout,
        )


async def _no_body() -> bytes:
    return b''


def _shown(item: ExplainedCandidate) -> dict[str, Any]:
    return {
        name: round(found, _DIGITS) if isinstance(found, float) else found
        for name, found in attrs.asdict(item).items()
    }


def _refused(refusal: RefusalError) -> dict[str, Any]:
    return {
        'reason': refusal.reason.code,
        'status': refusal.reason.status,
        'retry_after': refusal.retry_after,
        'detail': refusal.detail,
    }


def asked_request(query: Mapping[str, str]) -> AskedRequest:
    """Return the request that a query of the admin page describes.

    :raises ValueError: a part is missing, unknown or malformed.
    """
    fields = {field.name for field in attrs.fields(AskedRequest)}
    unknown = ', '.join(sorted(set(query) - fields))
    if unknown:
        raise ValueError(f'unknown: {unknown}')
    host, target = query.get('host', ''), query.get('target', '')
    if not host:
        raise ValueError('host is missing')
    if not target.startswith('/'):
        raise ValueError(f'target {target!r} does not begin with a slash')
    size = query.get('size', '0')
    if not size.isdecimal():
        raise ValueError(f'size {size!r} is not a number of bytes')
    account = query.get('account')
    return AskedRequest(
        host=host,
        target=target,
        method=query.get('method', 'GET'),
        account=AccountId(account) if account else None,
        size=int(size),
    )


def explanation_page(
    explainer: RouteExplainer, query: Mapping[str, str]
) -> tuple[int, dict[str, Any]]:
    """Return status and contents of the admin page."""
    try:
        asked = asked_request(query)
    except ValueError as exc:
        return _STATUS_BAD_REQUEST, {'error': str(exc)}
    return _STATUS_OK, explainer.explain(asked)

"""Transfers rate tokens of accounts between zones."""

import asyncio

import attrs

from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.edge.zone_messages import TokenGrant, TokenRequest
from bronzewall.errors import PeerTimeoutError
from bronzewall.messages import Envelope
from bronzewall.types import VmId

# A zone with fewer tokens of an account than this requests some from another.
_LOW_TOKENS = 1.0
# Seconds of its own demand for which a zone requests tokens, and the least
# number of tokens that it requests.
_REQUEST_AHEAD_S = 1.0
_MIN_REQUEST_TOKENS = 2.0
# Seconds of its own demand, and tokens besides, that a zone keeps.
_RESERVE_S = 0.5
_RESERVE_TOKENS = 1.0
# Least time between two token requests of a leader, seconds. One request
# covers all accounts that are low, because traffic between zones is billed.
_REQUEST_INTERVAL_S = 0.25
# Backoff after a zone granted no tokens of an account, seconds; it doubles
# each time.
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
# A round trip between regions takes 16 ms; a call that exceeds this limit is
# lost or too slow.
_TIMEOUT_S = 0.3


@attrs.define(kw_only=True, eq=False)
class TokenTransfers:
    """Requests tokens when few are left, and answers such requests.

    Tokens are subtracted before they are sent and added once. A lost answer
    loses its tokens, so a rate is never exceeded.
    """

    leader: ZoneLeader
    _rotation: int = 0
    _next_request_at: float = 0
    _retry_at_by_account: dict[str, float] = attrs.field(factory=dict)
    _backoff_by_account: dict[str, float] = attrs.field(factory=dict)
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def serve(self) -> None:
        """Handle token requests of the leaders of other zones."""
        self.leader.endpoint.serve(TokenRequest, self.handle_request)

    def handle_request(self, envelope: Envelope) -> TokenGrant:
        """Grant at most half of the tokens that this zone can spare.

        A zone can spare what exceeds its reserve.
        """
        request: TokenRequest = envelope.body
        if not self.leader.is_leader():
            return TokenGrant()
        rates = self.leader.pools.demand.rates(now=self.leader.clock.now())
        granted: dict[str, float] = {}
        for account, requested in request.tokens.items():
            reserve = _RESERVE_TOKENS + _RESERVE_S * rates.get(account, 0)
            spare = self.leader.pools.level(account) - reserve
            tokens = round(min(requested, spare / 2), 2)
            if tokens > 0:
                self.leader.pools.add(account, -tokens)
                granted[account] = tokens
        return TokenGrant(tokens=granted)

    def request_missing_tokens(self) -> None:
        """Request the tokens that this zone is short of from another one."""
        now = self.leader.clock.now()
        if now < self._next_request_at:
            return
        requested = {
            account: max(_MIN_REQUEST_TOKENS, round(rate * _REQUEST_AHEAD_S, 1))
            for account, rate in self.leader.pools.demand.rates(now=now).items()
            if self.leader.pools.level(account) < _LOW_TOKENS
            and now >= self._retry_at_by_account.get(account, 0)
        }
        leaders = self.leader.other_leaders()
        if not requested or not leaders:
            return
        self._next_request_at = now + _REQUEST_INTERVAL_S
        self._rotation += 1
        to = leaders[self._rotation % len(leaders)]
        task = asyncio.create_task(self._request_from(to, requested))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request_from(
        self, to: VmId, requested: dict[str, float]
    ) -> None:
        granted = await self._call(to, requested)
        now = self.leader.clock.now()
        for account in requested:
            tokens = granted.get(account, 0)
            if tokens > 0:
                self._backoff_by_account.pop(account, None)
                self.leader.pools.add(account, tokens)
                continue
            backoff = self._backoff_by_account.get(account, _MIN_BACKOFF_S)
            self._retry_at_by_account[account] = now + backoff
            self._backoff_by_account[account] = min(_MAX_BACKOFF_S, backoff * 2)
        self.leader.has_updates |= bool(granted)

    async def _call(
        self, to: VmId, requested: dict[str, float]
    ) -> dict[str, float]:
        try:
            grant: TokenGrant = await self.leader.endpoint.call(
                to=to,
                message=TokenRequest(tokens=requested),
                timeout=_TIMEOUT_S,
            )
        except PeerTimeoutError:
            self.leader.endpoint.counters['token_ask_lost'] += 1
            return {}
        return grant.tokens

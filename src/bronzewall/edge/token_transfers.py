"""Transfers rate tokens of accounts between zones."""

import asyncio

import attrs

from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.edge.zone_messages import TokenGrant, TokenRequest
from bronzewall.errors import PeerTimeoutError
from bronzewall.messages import Envelope
from bronzewall.types import VmId

# A zone with fewer tokens of an account than this, or than its demand uses in
# this time, seconds, requests some from another: an answer and the status that
# follows it take up to 0.3 s.
_LOW_TOKENS = 1.0
_LOW_S = 0.3
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
# Zones that are asked at the same time. One alone often has no tokens.
_ASKED_ZONES = 2
# Backoff after a zone granted no tokens of an account, seconds, for that zone
# only; it doubles each time.
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
    _retry_at_by_account: dict[tuple[VmId, str], float] = attrs.field(
        factory=dict
    )
    _backoff_by_account: dict[tuple[VmId, str], float] = attrs.field(
        factory=dict
    )
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def serve(self) -> None:
        """Handle token requests of the leaders of other zones."""
        self.leader.endpoint.serve(TokenRequest, self.handle_request)

    async def handle_request(self, envelope: Envelope) -> TokenGrant:
        """Grant tokens, or get them from the leader of this zone.

        Another zone may not know yet who leads this one.
        """
        request: TokenRequest = envelope.body
        if self.leader.is_leader():
            return self.grant(request)
        leader = self.leader.find_leader()
        if leader is None or leader == envelope.sender:
            return TokenGrant()
        if self._is_from_zone(envelope.sender):
            # A VM of the own zone has passed it on; it is not passed again.
            return TokenGrant()
        return TokenGrant(tokens=await self._call(leader, request.tokens))

    def grant(self, request: TokenRequest) -> TokenGrant:
        """Grant at most half of the tokens that this zone can spare.

        A zone can spare what exceeds its reserve.
        """
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
        short = {
            account: max(_MIN_REQUEST_TOKENS, round(rate * _REQUEST_AHEAD_S, 1))
            for account, rate in self.leader.pools.demand.rates(now=now).items()
            if self.leader.pools.level(account)
            < max(_LOW_TOKENS, rate * _LOW_S)
        }
        leaders = self.leader.other_leaders()
        if not short or not leaders:
            return
        self._next_request_at = now + _REQUEST_INTERVAL_S
        for _ in range(min(_ASKED_ZONES, len(leaders))):
            self._rotation += 1
            to = leaders[self._rotation % len(leaders)]
            self._request(to, short, now)

    def _request(self, to: VmId, short: dict[str, float], now: float) -> None:
        requested = {
            account: tokens
            for account, tokens in short.items()
            if now >= self._retry_at_by_account.get((to, account), 0)
        }
        if not requested:
            return
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
            asked = (to, account)
            if tokens > 0:
                self._backoff_by_account.pop(asked, None)
                self.leader.pools.add(account, tokens)
                continue
            backoff = self._backoff_by_account.get(asked, _MIN_BACKOFF_S)
            self._retry_at_by_account[asked] = now + backoff
            self._backoff_by_account[asked] = min(_MAX_BACKOFF_S, backoff * 2)
        self.leader.has_updates |= bool(granted)

    def _is_from_zone(self, sender: VmId) -> bool:
        return any(
            entry.vm_id == sender for entry in self.leader.fleet.zone_vms()
        )

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

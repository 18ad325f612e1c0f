"""Moves tokens of accounts from zones that have some to zones that do not."""

import asyncio

import attrs

from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.edge.zone_messages import TokenGrant, TokenRequest
from bronzewall.errors import PeerTimeoutError
from bronzewall.messages import Envelope
from bronzewall.types import VmId

# A zone that cannot admit the next request of an account asks another one.
_LOW_TOKENS = 1.0
# Seconds of its own demand for which a zone asks at least.
_AHEAD_S = 1.0
_MIN_ASKED = 2.0
# Seconds of its own demand that a zone keeps.
_KEEP_S = 0.5
_KEEP_TOKENS = 1.0
# Pause between two questions of a hub, seconds. One question is about all
# accounts that are low; bytes between zones are paid.
_ASK_PAUSE_S = 0.25
# Pause after a zone had no tokens of an account; it doubles each time.
_EMPTY_PAUSE_S = 0.25
_MAX_PAUSE_S = 2.0
# Regions are 16 ms away and back; what takes longer is cut or slow.
_TIMEOUT_S = 0.3


@attrs.define(kw_only=True, eq=False)
class TokenTransfers:
    """Asks for tokens when they are used up, and answers such questions.

    Tokens are taken off before they are sent and added once; a lost answer
    loses tokens, so that a rate is never exceeded.
    """

    leader: ZoneLeader
    _turn: int = 0
    _next_ask: float = 0
    _waits_until: dict[str, float] = attrs.field(factory=dict)
    _pauses: dict[str, float] = attrs.field(factory=dict)
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def serve(self) -> None:
        """Answer the hubs of other zones."""
        self.leader.endpoint.serve(TokenRequest, self.give)

    def give(self, envelope: Envelope) -> TokenGrant:
        """Give up what this zone does not need soon."""
        ask: TokenRequest = envelope.body
        if not self.leader.is_leader():
            return TokenGrant()
        rates = self.leader.pools.demand.rates(now=self.leader.clock.now())
        granted: dict[str, float] = {}
        for account, asked in ask.tokens.items():
            keep = _KEEP_TOKENS + _KEEP_S * rates.get(account, 0)
            spare = self.leader.pools.level(account) - keep
            tokens = round(min(asked, spare / 2), 2)
            if tokens > 0:
                self.leader.pools.add(account, -tokens)
                granted[account] = tokens
        return TokenGrant(tokens=granted)

    def ask_where_low(self) -> None:
        """Ask another zone for the tokens that this one is short of."""
        now = self.leader.clock.now()
        if now < self._next_ask:
            return
        asked = {
            account: max(_MIN_ASKED, round(rate * _AHEAD_S, 1))
            for account, rate in self.leader.pools.demand.rates(now=now).items()
            if self.leader.pools.level(account) < _LOW_TOKENS
            and now >= self._waits_until.get(account, 0)
        }
        hubs = self.leader.other_leaders()
        if not asked or not hubs:
            return
        self._next_ask = now + _ASK_PAUSE_S
        self._turn += 1
        to = hubs[self._turn % len(hubs)]
        task = asyncio.create_task(self._ask(to, asked))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, to: VmId, asked: dict[str, float]) -> None:
        granted = await self._granted(to, asked)
        now = self.leader.clock.now()
        for account in asked:
            tokens = granted.get(account, 0)
            if tokens > 0:
                self._pauses.pop(account, None)
                self.leader.pools.add(account, tokens)
                continue
            pause = self._pauses.get(account, _EMPTY_PAUSE_S)
            self._waits_until[account] = now + pause
            self._pauses[account] = min(_MAX_PAUSE_S, pause * 2)
        self.leader.has_updates |= bool(granted)

    async def _granted(
        self, to: VmId, asked: dict[str, float]
    ) -> dict[str, float]:
        try:
            grant: TokenGrant = await self.leader.endpoint.call(
                to=to, message=TokenRequest(tokens=asked), timeout=_TIMEOUT_S
            )
        except PeerTimeoutError:
            self.leader.endpoint.counters['token_ask_lost'] += 1
            return {}
        return grant.tokens

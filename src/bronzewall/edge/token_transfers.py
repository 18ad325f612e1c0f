"""Moves tokens of accounts from zones that have some to zones that do not."""

import asyncio

import attrs
import structlog

from bronzewall.edge.hub import Hub
from bronzewall.edge.zone_messages import TokenAsk, TokenGrant
from bronzewall.errors import PeerTimeoutError
from bronzewall.messages import Envelope

# A zone with fewer tokens than this asks another one.
_LOW_TOKENS = 2.0
# Seconds of its own demand for which a zone asks at least.
_AHEAD_S = 1.0
_MIN_ASKED = 2.0
# Seconds of its own demand that a zone keeps.
_KEEP_S = 0.5
_KEEP_TOKENS = 1.0
# Pause between two questions about one account, seconds.
_PAUSE_S = 0.2
# Pause after all zones had none, seconds.
_EMPTY_PAUSE_S = 1.0
# Regions are 16 ms away and back; what takes longer is cut or slow.
_TIMEOUT_S = 0.3


@attrs.define(kw_only=True, eq=False)
class TokenTransfers:
    """Asks for tokens ahead of need, and answers such questions.

    Tokens are taken off before they are sent and added once; a lost answer
    loses tokens, so that a rate is never exceeded.
    """

    hub: Hub
    _next_ask: dict[str, float] = attrs.field(factory=dict)
    _turns: dict[str, int] = attrs.field(factory=dict)
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)

    def serve(self) -> None:
        """Answer the hubs of other zones."""
        self.hub.endpoint.serve(TokenAsk, self.give)

    def give(self, envelope: Envelope) -> TokenGrant:
        """Give up what this zone does not need soon."""
        ask: TokenAsk = envelope.body
        if not self.hub.is_acting():
            return TokenGrant()
        now = self.hub.clock.now()
        rates = self.hub.pools.demand.rates(now=now)
        keep = _KEEP_TOKENS + _KEEP_S * rates.get(ask.account, 0)
        spare = self.hub.pools.level(ask.account) - keep
        tokens = round(min(ask.tokens, max(0, spare / 2)), 2)
        self.hub.pools.add(ask.account, -tokens)
        return TokenGrant(tokens=tokens)

    def ask_where_low(self) -> None:
        """Ask for tokens of accounts that this zone is short of."""
        now = self.hub.clock.now()
        for account, rate in self.hub.pools.demand.rates(now=now).items():
            is_low = self.hub.pools.level(account) < _LOW_TOKENS
            if is_low and now >= self._next_ask.get(account, 0):
                self._next_ask[account] = now + _PAUSE_S
                tokens = max(_MIN_ASKED, rate * _AHEAD_S)
                task = asyncio.create_task(self._ask(account, tokens))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _ask(self, account: str, tokens: float) -> None:
        """Ask one zone after the other, beginning with another each time."""
        hubs = self.hub.other_hubs()
        if not hubs:
            return
        turn = self._turns.get(account, 0)
        for step in range(len(hubs)):
            to = hubs[(turn + step) % len(hubs)]
            try:
                grant = await self.hub.endpoint.call(
                    to=to,
                    message=TokenAsk(account=account, tokens=tokens),
                    timeout=_TIMEOUT_S,
                )
            except PeerTimeoutError:
                self.hub.endpoint.counters['token_ask_lost'] += 1
                continue
            if grant.tokens > 0:
                self._turns[account] = turn + step
                self.hub.pools.add(account, grant.tokens)
                self.hub.is_dirty = True
                return
        self._turns[account] = turn + 1
        now = self.hub.clock.now()
        self._next_ask[account] = now + _EMPTY_PAUSE_S

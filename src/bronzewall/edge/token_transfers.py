"""Moves tokens of accounts from zones that have some to zones that do not."""

import asyncio

import attrs

from bronzewall.edge.hub import Hub
from bronzewall.edge.zone_messages import TokenAsk, TokenGrant
from bronzewall.errors import PeerTimeoutError
from bronzewall.messages import Envelope
from bronzewall.types import VmId

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
# The pause doubles with each zone that has none, up to this, seconds.
_MAX_PAUSE_S = 0.8
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
    _pauses: dict[str, float] = attrs.field(factory=dict)
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
        """Ask one zone; the next one if it has none."""
        hubs = self.hub.other_hubs()
        if not hubs:
            return
        turn = self._turns.get(account, 0)
        granted = await self._granted(hubs[turn % len(hubs)], account, tokens)
        if granted > 0:
            self._pauses.pop(account, None)
            self.hub.pools.add(account, granted)
            self.hub.is_dirty = True
            return
        self._turns[account] = turn + 1
        pause = self._pauses.get(account, _PAUSE_S)
        self._next_ask[account] = self.hub.clock.now() + pause
        self._pauses[account] = min(_MAX_PAUSE_S, pause * 2)

    async def _granted(self, hub: VmId, account: str, tokens: float) -> float:
        try:
            grant: TokenGrant = await self.hub.endpoint.call(
                to=hub,
                message=TokenAsk(account=account, tokens=tokens),
                timeout=_TIMEOUT_S,
            )
        except PeerTimeoutError:
            self.hub.endpoint.counters['token_ask_lost'] += 1
            return 0
        return grant.tokens

"""Token bucket state."""

import attrs


@attrs.define(kw_only=True)
class TokenBucket:
    """Tokens that accrue over time, up to the burst.

    :param rate: tokens a second.
    :param burst: maximum number of tokens.
    :param tokens: number of tokens at clock time ``updated``.
    """

    rate: float
    burst: float
    tokens: float
    updated: float

    def accrue(self, now: float) -> None:
        """Add the tokens that accrued since the last call."""
        elapsed = max(now - self.updated, 0)
        self.tokens = min(self.tokens + elapsed * self.rate, self.burst)
        self.updated = max(now, self.updated)

    def consume(self, now: float) -> bool:
        """Consume one token and return whether there was one."""
        self.accrue(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def delay(self) -> float:
        """Return the seconds until the next token, from ``updated``."""
        if self.tokens >= 1:
            return 0
        if self.rate <= 0:
            return float('inf')
        return (1 - self.tokens) / self.rate

"""Checks an account's rate limit over every window of time."""

import math

import attrs

from bronzewall.config_model import Account

# Tolerance for rounding errors in sums of times and rates, in requests.
_ROUNDING = 1e-6


@attrs.define(kw_only=True)
class WindowCheck:
    """Largest excess over ``burst + rate * t`` in any window.

    :param lowest_surplus: least value so far of admissions less ``rate * t``,
        taken just before an admission: the start of the worst window.
    :param excess: most requests admitted over the bound in any window.
    """

    account: Account
    count: int = 0
    lowest_surplus: float = math.inf
    excess: float = 0

    def admit(self, now: float) -> None:
        """Count one admission."""
        accrued = self.account.rate * now
        self.lowest_surplus = min(self.lowest_surplus, self.count - accrued)
        self.count += 1
        used = self.count - accrued - self.lowest_surplus
        self.excess = max(self.excess, used - self.account.burst)

    def over_admitted(self) -> int:
        """Return the number of requests admitted over the bound."""
        return max(math.ceil(self.excess - _ROUNDING), 0)

"""Check of an account's bound in every window of time."""

import math

import attrs

from bronzewall.config_model import Account

# Rounding errors of the sums of times and rates.
_ROUNDING = 1e-6


@attrs.define(kw_only=True)
class WindowCheck:
    """Largest excess over ``burst + rate * t`` in any window.

    :param lowest: least value of admissions less accrued rate before a
        window's first admission.
    """

    account: Account
    count: int = 0
    lowest: float = math.inf
    excess: float = 0

    def admit(self, now: float) -> None:
        """Count one admission."""
        accrued = self.account.rate * now
        self.lowest = min(self.lowest, self.count - accrued)
        self.count += 1
        used = self.count - accrued - self.lowest
        self.excess = max(self.excess, used - self.account.burst)

    def over_admitted(self) -> int:
        """Return the requests admitted over the bound."""
        return max(math.ceil(self.excess - _ROUNDING), 0)

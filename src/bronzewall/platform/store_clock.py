"""Converts times of the store's clock to this VM's clock."""

import math

import attrs


@attrs.define(kw_only=True, eq=False)
class StoreClock:
    """Bound on the difference of the two clocks, from the calls so far.

    The store reads its clock after a call was sent and before its answer was
    received. Short calls make the bound tight, so that the answer to a long
    watch can be dated as well.

    :param offset: largest possible value of the store's clock less this
        VM's, seconds.
    """

    offset: float = math.inf

    def date(
        self, stated: float, *, sent_at: float, received_at: float
    ) -> float:
        """Return a clock time at which an answer was not yet written.

        :param stated: the store's clock as the answer states it.
        """
        if stated - self.offset > received_at:
            # One of the clocks stood still or jumped.
            self.offset = math.inf
        self.offset = min(self.offset, stated - sent_at)
        return max(sent_at, stated - self.offset)

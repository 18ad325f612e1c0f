"""Use of a service's instances by client account."""

import attrs

from bronzewall.types import AccountId

# Accounts whose use is remembered; beyond it those that used least start anew.
_MAX_ACCOUNTS = 1024


@attrs.define(kw_only=True, eq=False)
class FairUse:
    """Start-time fair queueing of the time that instances work.

    Each account has a start tag: the virtual time at which its next request
    is due. Requests with the smallest tag go first, so that an account that
    sends more than its share waits behind the others, and a share that is not
    used is lent at once. An account that was idle starts at the present
    virtual time; it cannot save up.
    """

    _virtual_time: float = 0
    _finish_by_account: dict[AccountId | None, float] = attrs.field(
        factory=dict
    )

    def start_tag(self, account_id: AccountId | None) -> float:
        """Return the virtual time at which an account's next request is due.

        :param account_id: ``None`` for requests without an account.
        """
        finish = self._finish_by_account.get(account_id, 0)
        return max(self._virtual_time, finish)

    def charge(
        self, account_id: AccountId | None, *, work: float, weight: float
    ) -> None:
        """Count a request that is sent to an instance.

        :param work: seconds for which an instance is expected to work on it.
        :param weight: share of the account, relative to other accounts.
        """
        start = self.start_tag(account_id)
        self._virtual_time = start
        self._finish_by_account[account_id] = start + work / weight
        if len(self._finish_by_account) > _MAX_ACCOUNTS:
            self._forget_idle()

    def _forget_idle(self) -> None:
        """Forget the half of the accounts that has used least.

        Time moves on to what they used, so that none of them gains by it.
        """
        by_finish = sorted(
            self._finish_by_account.items(), key=lambda item: item[1]
        )
        half = len(by_finish) // 2
        self._virtual_time = max(self._virtual_time, by_finish[half - 1][1])
        self._finish_by_account = dict(by_finish[half:])

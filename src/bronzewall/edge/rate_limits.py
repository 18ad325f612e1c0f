"""Rate limits of client accounts on one VM."""

from collections import Counter, deque
from collections.abc import Mapping

import attrs

from bronzewall.edge.model import EdgeAccount
from bronzewall.edge.own_quota import OwnQuota
from bronzewall.edge.token_bucket import Bucket, KnownLevel, OwnRate
from bronzewall.errors import RateExceededError
from bronzewall.types import AccountId

# A VM that received nothing from a zone leader for this long uses only its
# own part of the quota, seconds. A leader sends its status at least every
# 0.25 s and after a check every 0.05 s.
_STATUS_TIMEOUT_S = 0.4
# The same if the leader has answered none of its reports for this long,
# seconds: it may not hear them. Reports are sent at least every 0.4 s.
_ANSWER_TIMEOUT_S = 1.0
# A leader leaves out a VM that it has not heard for this long, seconds; see
# REPORT_TIMEOUT_S of zone_leader.py. What the VM admits later counts against
# its own part of the rate only.
_LEFT_OUT_S = 1.5
# Between two statuses a VM adds this multiple of its own part of the zone's
# rate: not all VMs use theirs at the same time.
_SHARE_FACTOR = 1.5
# Limits of the Retry-After of refused requests, seconds.
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 5.0


@attrs.frozen(kw_only=True)
class _SentReport:
    """Admitted requests by account that a report to a leader stated."""

    at: float
    admitted: dict[str, int]


@attrs.define(kw_only=True, eq=False)
class Admission:
    """Applies the rate limits of accounts on this VM.

    :param own: what the VM may use while it has no leader.
    :param started_at: clock time of the start of the process.
    """

    own: OwnQuota = attrs.field(factory=OwnQuota)
    started_at: float = 0
    admitted: Counter[str] = attrs.field(factory=Counter)
    requested: Counter[str] = attrs.field(factory=Counter)
    _last_contact_at: float = float('-inf')
    # When the latest report that the leader has answered was sent.
    _answered_at: float = float('-inf')
    _zone_buckets_by_id: dict[str, Bucket] = attrs.field(factory=dict)
    _refill_rates_by_id: Mapping[str, float] = attrs.field(factory=dict)
    _own_rates_by_id: dict[str, OwnRate] = attrs.field(factory=dict)
    # Reports that the leader has not answered.
    _unanswered: deque[_SentReport] = attrs.field(factory=deque)

    def take_admitted(self, *, now: float) -> dict[str, int]:
        """Return the admitted requests by account since the last report.

        They are remembered until the leader has answered the report.
        """
        admitted = dict(self.admitted)
        self.admitted.clear()
        if admitted:
            self._unanswered.append(_SentReport(at=now, admitted=admitted))
        return admitted

    def report_again(self) -> None:
        """Report what the leader before has not answered to the next one."""
        for report in self._unanswered:
            self.admitted.update(report.admitted)
        self._unanswered.clear()

    def update_from_leader(
        self,
        *,
        tokens: Mapping[str, float],
        refill: Mapping[str, float],
        answered_at: float | None,
        now: float,
    ) -> None:
        """Store the zone's tokens as the zone leader reports them.

        Requests that this VM admitted and that the leader has not counted yet
        are subtracted.

        :param answered_at: when the report that the leader answers was sent,
            ``None`` if it has not read any.
        """
        self._last_contact_at = now
        if answered_at is not None:
            self._answered_at = max(self._answered_at, answered_at)
            while self._unanswered and self._unanswered[0].at <= answered_at:
                self._unanswered.popleft()
        self._refill_rates_by_id = refill
        uncounted = self.admitted.copy()
        for report in self._unanswered:
            uncounted.update(report.admitted)
        self._zone_buckets_by_id = {
            account_id: Bucket(level=level - uncounted[account_id], at=now)
            for account_id, level in tokens.items()
        }
        if self.uses_zone_pool(now=now):
            self.own.forget()

    def count(self, account: EdgeAccount) -> None:
        """Count a request as demand, whether it is admitted or not."""
        if account.rate:
            self.requested[account.account_id] += 1

    def admit(self, account: EdgeAccount, *, now: float) -> None:
        """Consume one token.

        :raises RateExceededError: less than one token is available.
        """
        if not account.rate:
            return
        account_id = account.account_id
        bucket, _ = self._bucket(account, now)
        if bucket.level < 1:
            raise self.refusal(account, now=now)
        bucket.level -= 1
        if self._is_counted(now):
            self.admitted[account_id] += 1
        if self.uses_zone_pool(now=now):
            # Without a leader the VM would measure its own refill.
            own_rate = self._own_rates_by_id.setdefault(account_id, OwnRate())
            own_rate.count(now=now)

    def refusal(self, account: EdgeAccount, *, now: float) -> RateExceededError:
        """Return the refusal of a request for which no token is left."""
        bucket, rate = self._bucket(account, now)
        seconds_to_token = (
            (1 - bucket.level) / rate if rate else _MAX_RETRY_AFTER_S
        )
        return RateExceededError(
            retry_after=min(
                _MAX_RETRY_AFTER_S,
                max(_MIN_RETRY_AFTER_S, seconds_to_token),
            ),
            detail=(
                f'{account.account_id}: {bucket.level:.2f} tokens,'
                f' {rate:.2f}/s here of {account.rate:g}/s,'
                ' last contact with a zone leader'
                f' {now - self._last_contact_at:.2f} s ago'
            ),
        )

    def tokens(self, account: EdgeAccount, *, now: float) -> float:
        """Return how many requests of an account could be admitted now."""
        return self._bucket(account, now)[0].level

    def refund(self, account: EdgeAccount, *, now: float) -> None:
        """Refund the token of a request that no instance ran."""
        if not account.rate:
            return
        account_id = account.account_id
        if self._is_counted(now):
            self.admitted[account_id] -= 1
        if account_id in self._zone_buckets_by_id:
            self._zone_buckets_by_id[account_id].level += 1
        self.own.refund(account_id)

    def zone_levels(
        self, accounts: Mapping[AccountId, EdgeAccount], *, now: float
    ) -> dict[str, KnownLevel]:
        """Return the zone's tokens by account, as far as this VM knows them."""
        levels = {}
        for account_id, bucket in self._zone_buckets_by_id.items():
            account = accounts.get(AccountId(account_id))
            if account is not None and account.rate:
                rate = self._refill_rates_by_id.get(account_id, 0)
                levels[account_id] = KnownLevel(
                    level=bucket.level,
                    gained=rate * max(0, now - self._last_contact_at),
                )
        return levels

    def uses_zone_pool(self, *, now: float) -> bool:
        """Return whether a zone leader counts what this VM admits."""
        return (
            now - self._last_contact_at < _STATUS_TIMEOUT_S
            and now - self._answered_at < _ANSWER_TIMEOUT_S
        )

    def _is_counted(self, now: float) -> bool:
        """Return whether a leader counts, or is yet to, what is admitted."""
        return now - max(self.started_at, self._answered_at) < _LEFT_OUT_S

    def _bucket(self, account: EdgeAccount, now: float) -> tuple[Bucket, float]:
        account_id = account.account_id
        rate = self._rate_between_statuses(account, now)
        zone_bucket = self._zone_buckets_by_id.get(account_id)
        if zone_bucket is not None and self.uses_zone_pool(now=now):
            zone_bucket.refill(rate=rate, limit=max(1, account.burst), now=now)
            return zone_bucket, rate
        # Until its leader leaves this VM out, the leader or the next one hands
        # out its part of the rate.
        is_left_out = now - self._answered_at >= _LEFT_OUT_S
        rate = self.own.rate(account) if is_left_out else 0
        bucket = self.own.bucket(
            account, begin=self._begin_alone, rate=rate, now=now
        )
        return bucket, rate

    def _rate_between_statuses(self, account: EdgeAccount, now: float) -> float:
        """Return the tokens a second that this VM adds by itself.

        The zone's rate is for all of its VMs, which do not hear of each
        other's use until the next status.
        """
        zone_rate = self._refill_rates_by_id.get(account.account_id, 0)
        share = _SHARE_FACTOR * self.own.rate(account)
        return min(zone_rate, max(share, self._use(account.account_id, now)))

    def _use(self, account_id: str, now: float) -> float:
        """Return the requests a second that this VM admitted lately."""
        own_rate = self._own_rates_by_id.get(account_id, OwnRate())
        return own_rate.rate(now=min(now, self._last_contact_at))

    def _begin_alone(self, account: EdgeAccount) -> Bucket:
        """Return the bucket of an account after the last status."""
        known = self._zone_buckets_by_id.get(account.account_id)
        if known is None:
            return Bucket(level=0, at=self.started_at)
        zone_rate = self._refill_rates_by_id.get(account.account_id, 0)
        use = self._use(account.account_id, known.at)
        part = self.own.part(
            known.level, use=use / zone_rate if zone_rate else 0
        )
        return Bucket(level=part, at=known.at)

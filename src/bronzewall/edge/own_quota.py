"""What a VM may admit while no zone leader counts what it admits."""

from collections.abc import Callable, Mapping

import attrs

from bronzewall.edge.model import EdgeAccount
from bronzewall.edge.token_bucket import Bucket
from bronzewall.types import VmId

# The largest bucket of a VM holds this much more than its part of the burst,
# or a small burst would admit nothing.
_ROUNDING_TOKENS = 1.0
# A VM that loses its leader may admit one request at once of an account of
# which the zone had this many tokens: most accounts do not use theirs at that
# moment, and one that does has fewer.
_PLENTY_TOKENS = 3.0
# A VM of the zone without a report for this long counts as departed, and the
# others use its quota share, seconds. The first time applies to a leader that
# hears most of the zone, the second one to any other: the VMs that it does not
# hear may be the greater part, with a leader of their own.
_DEPARTURE_TIMEOUT_S = 15.0
_MINORITY_DEPARTURE_TIMEOUT_S = 60.0


@attrs.define(kw_only=True, eq=False)
class OwnQuota:
    """Tokens of this VM alone, by account.

    They only shrink until a leader is heard: the VM takes its part of the
    zone's tokens as it last knew them, and adds its own part of the rate.

    :param zone_count: number of zones.
    :param zone_vm_count: VMs of the own zone, 0 while they are not known.
    """

    zone_count: int = 1
    zone_vm_count: int = 0
    _buckets_by_id: dict[str, Bucket] = attrs.field(factory=dict)

    def rate(self, account: EdgeAccount) -> float:
        """Return the VM's own part of an account's rate."""
        return account.rate * self._fraction()

    def forget(self) -> None:
        """Drop the tokens; a leader counts what the VM admits."""
        self._buckets_by_id = {}

    def bucket(
        self,
        account: EdgeAccount,
        *,
        begin: Callable[[EdgeAccount], Bucket],
        rate: float,
        now: float,
    ) -> Bucket:
        """Return the refilled bucket of an account.

        :param begin: returns the bucket that the VM begins with.
        :param rate: tokens a second.
        """
        limit = account.burst * self._fraction() + _ROUNDING_TOKENS
        found = self._buckets_by_id.get(account.account_id)
        if found is None:
            found = begin(account)
            self._buckets_by_id[account.account_id] = found
        found.refill(rate=rate, limit=limit, now=now)
        return found

    def part(self, level: float, *, use: float) -> float:
        """Return this VM's part of the zone's tokens.

        :param level: tokens of the zone.
        :param use: fraction of what the zone admitted that this VM did.
        """
        if level <= 0:
            return level
        if not self.zone_vm_count:
            return 0
        part = level * min(1, max(use, 1 / self.zone_vm_count))
        return max(part, 1) if level >= _PLENTY_TOKENS else part

    def refund(self, account_id: str) -> None:
        """Return the token of a request that no instance ran."""
        found = self._buckets_by_id.get(account_id)
        if found is not None:
            found.level += 1

    def _fraction(self) -> float:
        if not self.zone_vm_count:
            return 0
        return 1 / (self.zone_count * self.zone_vm_count)


def usable_fraction(
    *, present: int, missing_since: Mapping[VmId, float], now: float
) -> float:
    """Return the fraction of a zone's quota that its leader may use.

    VMs without recent reports may be cut off from this one and use their own
    part; after a time they count as departed.

    :param present: VMs that report to the leader, and itself.
    :param missing_since: when the others were first missed.
    """
    timeout = (
        _DEPARTURE_TIMEOUT_S
        if present > len(missing_since)
        else _MINORITY_DEPARTURE_TIMEOUT_S
    )
    partitioned = sum(now - since < timeout for since in missing_since.values())
    return present / (present + partitioned)

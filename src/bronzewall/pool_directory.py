"""Which VM is asked as the home of each region's pool."""

import math
from collections.abc import Callable, Sequence

import attrs

from bronzewall.membership import Members
from bronzewall.ports import Clock
from bronzewall.rendezvous import rank_vms
from bronzewall.types import VmId

# A home that should renew loans but is not heard for this long is passed
# over: two of its renewals were lost.
SILENCE_S = 0.6
# A home that did not answer an ask is not asked for this long.
BACKOFF_S = 0.5
_VIEW_LIFETIME_S = 0.1

PoolRegions = Callable[[], Sequence[str | None]]


@attrs.define(kw_only=True, eq=False)
class PoolDirectory:
    """This VM's view of the pool homes; nothing safe depends on it.

    :param own_region: region of the pool that this VM asks first.
    :param regions: regions with a pool; ``None`` stands for one pool of
        the whole fleet.
    """

    own_id: VmId
    own_region: str | None
    members: Members
    clock: Clock
    regions: PoolRegions
    _heard_at_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _wanted_at_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _retry_at_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _homes_by_region: dict[str | None, VmId | None] = attrs.field(factory=dict)
    _expires: float = 0

    def hear(self, vm_id: VmId) -> None:
        """Note that a VM renews loans as the home of a pool."""
        self._heard_at_by_id[vm_id] = self.clock.now()

    def forget(self, vm_id: VmId) -> None:
        """Note that a VM is no longer the home of a pool."""
        self._heard_at_by_id.pop(vm_id, None)
        self._wanted_at_by_id[vm_id] = -SILENCE_S
        self._expires = 0

    def note_unanswered(self, vm_id: VmId) -> None:
        """Note that a home did not answer an ask."""
        self._retry_at_by_id[vm_id] = self.clock.now() + BACKOFF_S

    def is_own(self) -> bool:
        """Return whether this VM should be the home of its region."""
        return self.home_of(self.own_region) == self.own_id

    def home_of(self, region: str | None) -> VmId | None:
        """Return the home of a region's pool, if one is known."""
        now = self.clock.now()
        if now >= self._expires:
            self._expires = now + _VIEW_LIFETIME_S
            self._homes_by_region = {
                name: self._first_heard(name, now) for name in self.regions()
            }
        return self._homes_by_region.get(region)

    def to_ask(self) -> list[VmId]:
        """Return the homes to ask, that of the own region first.

        Homes that did not answer lately come last.
        """
        own = self.home_of(self.own_region)
        homes = [self.home_of(region) for region in self.regions()]
        others = [home for home in homes if home not in {own, None}]
        ordered = [home for home in (own, *others) if home is not None]
        return sorted(ordered, key=self._is_backed_off)

    def others(self) -> list[VmId]:
        """Return the homes of other regions that answer."""
        return [
            home
            for home in self.to_ask()
            if home != self.own_id and not self._is_backed_off(home)
        ]

    def _is_backed_off(self, vm_id: VmId) -> bool:
        return self._retry_at_by_id.get(vm_id, 0) > self.clock.now()

    def _renews(self, vm_id: VmId, now: float) -> bool:
        # The present home stays home when a VM that ranks before it comes
        # back, because a change of the home costs loans.
        heard_at = self._heard_at_by_id.get(vm_id, -math.inf)
        return now - heard_at <= SILENCE_S

    def _first_heard(self, region: str | None, now: float) -> VmId | None:
        candidates = rank_vms(
            duty=f'pool/{region}',
            vm_ids=self.members.usable_ids(region=region),
        )
        renewing = [vm_id for vm_id in candidates if self._renews(vm_id, now)]
        if renewing:
            return renewing[0]
        for vm_id in candidates:
            wanted_at = self._wanted_at_by_id.setdefault(vm_id, now)
            heard_at = self._heard_at_by_id.get(vm_id, wanted_at)
            latest = max(wanted_at, heard_at)
            if vm_id == self.own_id or now - latest <= SILENCE_S:
                return vm_id
        return candidates[0] if candidates else None

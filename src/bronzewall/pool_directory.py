"""View of which VM is the coordinator of each region's pool."""

import math
from collections.abc import Callable, Sequence

import attrs

from bronzewall.membership import Members
from bronzewall.ports import Clock
from bronzewall.rendezvous import rank_vms
from bronzewall.types import VmId

# A coordinator that sends no renewal for this long is skipped: two of its
# renewals were lost.
RENEWAL_TIMEOUT_S = 0.6
# A coordinator that did not answer a request is tried last for this long.
BACKOFF_S = 0.5
_VIEW_LIFETIME_S = 0.1

PoolRegions = Callable[[], Sequence[str | None]]


@attrs.define(kw_only=True, eq=False)
class PoolDirectory:
    """This VM's view of the pool coordinators.

    The limits of accounts hold even if the views of two VMs differ.

    :param own_region: region of the pool that this VM tries first.
    :param regions: regions with a pool; ``None`` stands for one pool of
        the whole fleet.
    """

    own_id: VmId
    own_region: str | None
    members: Members
    clock: Clock
    regions: PoolRegions
    _renewed_at_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _expected_since_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _retry_at_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _coordinators_by_region: dict[str | None, VmId | None] = attrs.field(
        factory=dict
    )
    _view_expires: float = 0

    def record_renewal(self, vm_id: VmId) -> None:
        """Record that a VM renews loans as the coordinator of a pool."""
        self._renewed_at_by_id[vm_id] = self.clock.now()

    def forget(self, vm_id: VmId) -> None:
        """Record that a VM is no longer the coordinator of a pool."""
        self._renewed_at_by_id.pop(vm_id, None)
        self._expected_since_by_id[vm_id] = -RENEWAL_TIMEOUT_S
        self._view_expires = 0

    def record_no_answer(self, vm_id: VmId) -> None:
        """Record that a coordinator did not answer a request."""
        self._retry_at_by_id[vm_id] = self.clock.now() + BACKOFF_S

    def is_coordinator(self) -> bool:
        """Return whether this VM should be the coordinator of its region."""
        return self.coordinator_of(self.own_region) == self.own_id

    def coordinator_of(self, region: str | None) -> VmId | None:
        """Return the coordinator of a region's pool, if one is known."""
        now = self.clock.now()
        if now >= self._view_expires:
            self._view_expires = now + _VIEW_LIFETIME_S
            self._coordinators_by_region = {
                name: self._find_coordinator(name, now)
                for name in self.regions()
            }
        return self._coordinators_by_region.get(region)

    def coordinators(self) -> list[VmId]:
        """Return the coordinators in the order in which to try them.

        That of the own region comes first; those that did not answer
        lately come last.
        """
        own = self.coordinator_of(self.own_region)
        known = [self.coordinator_of(region) for region in self.regions()]
        others = [
            coordinator
            for coordinator in known
            if coordinator not in {own, None}
        ]
        ordered = [
            coordinator
            for coordinator in (own, *others)
            if coordinator is not None
        ]
        return sorted(ordered, key=self._is_backed_off)

    def other_coordinators(self) -> list[VmId]:
        """Return the coordinators of other regions, except backed-off ones."""
        return [
            coordinator
            for coordinator in self.coordinators()
            if coordinator != self.own_id
            and not self._is_backed_off(coordinator)
        ]

    def _is_backed_off(self, vm_id: VmId) -> bool:
        return self._retry_at_by_id.get(vm_id, 0) > self.clock.now()

    def _is_renewing(self, vm_id: VmId, now: float) -> bool:
        # A coordinator that renews stays in place when a VM that ranks
        # before it returns, because a change of coordinator ends loans.
        renewed_at = self._renewed_at_by_id.get(vm_id, -math.inf)
        return now - renewed_at <= RENEWAL_TIMEOUT_S

    def _find_coordinator(self, region: str | None, now: float) -> VmId | None:
        candidates = rank_vms(
            duty=f'pool/{region}',
            vm_ids=self.members.usable_ids(region=region),
        )
        renewing = [
            vm_id for vm_id in candidates if self._is_renewing(vm_id, now)
        ]
        if renewing:
            return renewing[0]
        for vm_id in candidates:
            expected_since = self._expected_since_by_id.setdefault(vm_id, now)
            renewed_at = self._renewed_at_by_id.get(vm_id, expected_since)
            latest = max(expected_since, renewed_at)
            if vm_id == self.own_id or now - latest <= RENEWAL_TIMEOUT_S:
                return vm_id
        return candidates[0] if candidates else None

"""Which VM of a zone reads the store and collects for the others."""

import math

import attrs

from bronzewall.edge.fleet_view import FleetView, rank
from bronzewall.types import VmId

# A hub sends beacons at least each 0.25 s; two lost ones mean it is gone.
LEADER_TIMEOUT_S = 0.7
# Time between the attempts of successive candidates, seconds.
_CANDIDATE_STEP_S = 0.25
# The same while the hub does not reach the store: a change may be waiting.
_STORE_STEP_S = 0.1
# More candidates than this do not wait longer.
_MAX_STEPS = 6
# A candidate that did not reach the store either waits before the next try.
_STORE_RETRY_S = 2.0


@attrs.define(kw_only=True)
class _Heard:
    """Last beacon of a VM.

    :param lost_store_at: since when it has reported no store.
    """

    at: float
    has_store: bool
    lost_store_at: float


@attrs.define(kw_only=True, eq=False)
class LeaderElection:
    """Decides whom this VM follows and whether it acts as a hub.

    Any number of VMs may act at the same time; this costs calls to the
    store and nothing else.
    """

    fleet: FleetView
    started_at: float
    is_leader: bool = False
    store_failed_at: float = -math.inf
    is_leaving: bool = False
    _heard_by_id: dict[VmId, _Heard] = attrs.field(factory=dict)
    _silent_since: float = -math.inf

    def record_status(
        self, vm_id: VmId, *, has_store: bool, now: float
    ) -> None:
        """Note a beacon; one of a VM that is not known says nothing."""
        if vm_id not in self.fleet.entries_by_id:
            return
        known = self._heard_by_id.get(vm_id)
        lost_at = now
        if known is not None and not known.has_store:
            lost_at = known.lost_store_at
        self._heard_by_id[vm_id] = _Heard(
            at=now, has_store=has_store, lost_store_at=lost_at
        )
        self._silent_since = now

    def record_leaving(self, vm_id: VmId) -> None:
        """Note that a hub stops."""
        self._heard_by_id.pop(vm_id, None)
        self.fleet.remove(vm_id)
        self._silent_since = -math.inf

    def current_leader(self, *, now: float) -> VmId | None:
        """Return the VM to follow, or ``None``."""
        heard = [
            (not item.has_store, rank(self.fleet.entries_by_id[vm_id]), vm_id)
            for vm_id, item in self._heard_by_id.items()
            if now - item.at < LEADER_TIMEOUT_S
            and vm_id in self.fleet.entries_by_id
        ]
        return min(heard)[2] if heard else None

    def decide(self, *, now: float) -> bool:
        """Return whether this VM acts as a hub now."""
        if self.is_leaving:
            self.is_leader = False
            return False
        other = self.current_leader(now=now)
        if other is None:
            since = max(self.started_at, self._silent_since + LEADER_TIMEOUT_S)
            self.is_leader = self.is_leader or (now - since >= self._patience())
            return self.is_leader
        heard = self._heard_by_id[other]
        own_store = now - self.store_failed_at > _STORE_RETRY_S
        if self.is_leader:
            is_better = rank(self.fleet.own) < rank(
                self.fleet.entries_by_id[other]
            )
            self.is_leader = (own_store, is_better) > (
                heard.has_store,
                not is_better,
            )
        elif not heard.has_store and own_store:
            waited = now - heard.lost_store_at
            self.is_leader = waited >= self._patience(_STORE_STEP_S)
        return self.is_leader

    def _patience(self, step: float = _CANDIDATE_STEP_S) -> float:
        """Return how long this VM waits for candidates before it.

        :param step: seconds for each of them.
        """
        before = 0
        for entry in self.fleet.zone_vms():
            if entry.vm_id == self.fleet.own.vm_id:
                break
            before += 1
        return step * min(before, _MAX_STEPS)

"""Leader election among the VMs of a zone."""

import math

import attrs

from bronzewall.edge.fleet_view import FleetView, rank
from bronzewall.edge.knowledge_age import KnowledgeAge
from bronzewall.types import VmId

# A leader sends its status at least every 0.25 s; after two lost messages it
# counts as failed.
LEADER_TIMEOUT_S = 0.7
# Delay between the takeovers of successive candidates, seconds.
_CANDIDATE_DELAY_S = 0.25
# The same while the leader does not reach the store: a configuration change
# may be pending.
_STORE_TAKEOVER_DELAY_S = 0.1
# Further preceding candidates do not lengthen the delay.
_MAX_PRECEDING_CANDIDATES = 6
# Delay of each further candidate while the leader does not reach the store: if
# so many failed, the store probably answers nobody, and each call is billed.
_STORE_OUTAGE_DELAY_S = 0.4
# A leader that reaches the store again tells all VMs within this time, seconds.
_NEWS_S = 0.7
# Wait of a candidate that failed to reach the store itself, and its addition
# for each candidate that precedes it, seconds.
_STORE_RETRY_S = 2.0
_STORE_RETRY_DELAY_S = 0.4


@attrs.define(kw_only=True)
class _LeaderContact:
    """Last status message of a leader.

    :param changed_at: since when it reaches the store, or does not.
    """

    received_at: float
    has_store: bool
    changed_at: float


@attrs.define(kw_only=True, eq=False)
class LeaderElection:
    """Decides which VM this one follows and whether it acts as a leader.

    Several VMs may be leaders at the same time; the only cost is more calls
    to the store. A VM whose data is too old acts as a leader until it has read
    the store, whatever the leaders say that it hears.
    """

    fleet: FleetView
    age: KnowledgeAge
    started_at: float
    is_leader: bool = False
    store_failed_at: float = -math.inf
    is_leaving: bool = False
    _contacts_by_id: dict[VmId, _LeaderContact] = attrs.field(factory=dict)
    _last_contact_at: float = -math.inf
    # When a leader that reaches the store was last heard.
    _store_heard_at: float = -math.inf

    def record_status(
        self, vm_id: VmId, *, has_store: bool, now: float
    ) -> None:
        """Record a status message; one from an unknown VM is ignored."""
        if vm_id not in self.fleet.entries_by_id:
            return
        previous = self._contacts_by_id.get(vm_id)
        changed_at = now
        if previous is not None and previous.has_store == has_store:
            changed_at = previous.changed_at
        self._contacts_by_id[vm_id] = _LeaderContact(
            received_at=now, has_store=has_store, changed_at=changed_at
        )
        self._last_contact_at = now
        if has_store:
            self._store_heard_at = now

    def record_leaving(self, vm_id: VmId) -> None:
        """Record the leave announcement of a leader."""
        self._contacts_by_id.pop(vm_id, None)
        self.fleet.remove(vm_id)
        self._last_contact_at = -math.inf

    def current_leader(self, *, now: float) -> VmId | None:
        """Return the VM to follow, or ``None``."""
        reachable = [
            (
                not contact.has_store,
                rank(self.fleet.entries_by_id[vm_id]),
                vm_id,
            )
            for vm_id, contact in self._contacts_by_id.items()
            if now - contact.received_at < LEADER_TIMEOUT_S
            and vm_id in self.fleet.entries_by_id
        ]
        return min(reachable)[2] if reachable else None

    def decide(self, *, now: float) -> bool:
        """Return whether this VM acts as a leader now."""
        if self.is_leaving:
            self.is_leader = False
            return False
        preceding = self._preceding()
        reaches_store = now - self.store_failed_at > (
            _STORE_RETRY_S + _STORE_RETRY_DELAY_S * preceding
        )
        leader = self.current_leader(now=now)
        if reaches_store and self._must_read(leader, preceding, now):
            self.is_leader = True
            return True
        if leader is None:
            waiting_since = max(
                self.started_at, self._last_contact_at + LEADER_TIMEOUT_S
            )
            self.is_leader = self.is_leader or (
                now - waiting_since
                >= _CANDIDATE_DELAY_S
                * min(preceding, _MAX_PRECEDING_CANDIDATES)
            )
            return self.is_leader
        contact = self._contacts_by_id[leader]
        if self.is_leader:
            ranks_higher = rank(self.fleet.own) < rank(
                self.fleet.entries_by_id[leader]
            )
            self.is_leader = (reaches_store, ranks_higher) > (
                contact.has_store,
                not ranks_higher,
            )
        elif not contact.has_store and reaches_store:
            # The leader may have lost the store long before this VM followed
            # it; the candidates' turns begin with the loss of the last leader
            # that had it, or else all of them would try at once.
            waited = now - max(contact.changed_at, self._store_heard_at)
            self.is_leader = waited >= _store_takeover_delay(preceding)
        return self.is_leader

    def _must_read(
        self, leader: VmId | None, preceding: int, now: float
    ) -> bool:
        """Return whether this VM must read although others may lead.

        While the leader says that it does not reach the store, candidates
        take over one after the other; when it reaches it again, this VM gets
        its data soon.
        """
        if leader is not None:
            contact = self._contacts_by_id[leader]
            if not contact.has_store or now - contact.changed_at < _NEWS_S:
                return False
        return self.age.is_read_due(preceding=preceding)

    def _preceding(self) -> int:
        """Return the number of VMs of the zone that rank higher."""
        preceding = 0
        for entry in self.fleet.zone_vms():
            if entry.vm_id == self.fleet.own.vm_id:
                break
            preceding += 1
        return preceding


def _store_takeover_delay(preceding: int) -> float:
    """Return how long a candidate waits after the leader lost the store.

    :param preceding: candidates that rank higher.
    """
    further = max(0, preceding - _MAX_PRECEDING_CANDIDATES)
    return (
        _STORE_TAKEOVER_DELAY_S * min(preceding, _MAX_PRECEDING_CANDIDATES)
        + _STORE_OUTAGE_DELAY_S * further
    )

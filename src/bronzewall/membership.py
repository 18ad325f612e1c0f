"""This VM's view of the members of the fleet."""

import enum
from collections.abc import Callable

import attrs

from bronzewall.types import Placement, VmId, VmRecord, VmState

# Long enough for a notice to reach every VM with the heartbeat acks.
_NOTICE_TTL_S = 10.0
_MAX_NOTICES = 16


class MemberState(enum.StrEnum):
    """State of a member in a notice."""

    UP = 'up'
    DOWN = 'down'
    STOPPING = 'stopping'


@attrs.frozen(kw_only=True)
class Notice:
    """A change of a member's state, distributed in heartbeat acks.

    :param incarnation: incarnation of the member that changed state.
    :param at: clock time of the event on the clock of the VM that holds
        this object.
    """

    vm_id: VmId
    incarnation: int
    state: MemberState
    at: float


@attrs.define(kw_only=True)
class Members:
    """Members by id, this VM included.

    No safety guarantee may depend on this view.

    :param suspected_ids: members that were found to be down by a vote.
    :param unreachable_ids: members from which this VM receives nothing; they
        stay usable, because the fault may be on its own network path.
    :param stopping_ids: members that announced a planned stop.
    :param version: grows with every change of the view.
    """

    own_id: VmId
    own_placement: Placement
    records_by_id: dict[VmId, VmRecord] = attrs.field(factory=dict)
    suspected_ids: set[VmId] = attrs.field(factory=set)
    unreachable_ids: set[VmId] = attrs.field(factory=set)
    stopping_ids: set[VmId] = attrs.field(factory=set)
    incarnations_by_id: dict[VmId, int] = attrs.field(factory=dict)
    version: int = 0
    _last_contact_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _notices_by_id: dict[VmId, Notice] = attrs.field(factory=dict)
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function after every change of the view."""
        self._listeners.append(listener)

    def update(self, records: tuple[VmRecord, ...]) -> None:
        """Store a new copy of the platform's list."""
        by_id = {record.vm_id: record for record in records}
        if by_id == self.records_by_id:
            return
        self.records_by_id = by_id
        self._notify_change()

    def usable_ids(
        self, *, region: str | None = None, zone: str | None = None
    ) -> list[VmId]:
        """Return live members that are neither suspected nor stopping.

        :param region: only members of this region.
        :param zone: only members of this availability zone.
        """
        excluded = self.suspected_ids | self.stopping_ids
        found = [
            record.vm_id
            for record in self.records_by_id.values()
            if record.state is VmState.LIVE
            and record.vm_id not in excluded
            and region in {None, record.placement.region}
            and zone in {None, record.placement.zone}
        ]
        return sorted(found)

    def region_of(self, vm_id: VmId) -> str:
        """Return the region of a member, empty if it is not known."""
        record = self.records_by_id.get(vm_id)
        return record.placement.region if record else ''

    def regions(self) -> list[str]:
        """Return the regions that have members."""
        return sorted(
            {rec.placement.region for rec in self.records_by_id.values()}
        )

    def zones(self) -> list[str]:
        """Return the zones with live members that are not stopping.

        A suspected member counts, because a zone that is only unreachable
        must not look like one that was removed.
        """
        return sorted(
            {
                record.placement.zone
                for record in self.records_by_id.values()
                if record.state is VmState.LIVE
                and record.vm_id not in self.stopping_ids
            }
        )

    def usable_by_zone(self) -> dict[str, list[VmId]]:
        """Return the usable members of every zone."""
        found: dict[str, list[VmId]] = {}
        for vm_id in self.usable_ids():
            zone = self.records_by_id[vm_id].placement.zone
            found.setdefault(zone, []).append(vm_id)
        return found

    def listed_ids(self, *, zone: str) -> list[VmId]:
        """Return the members of a zone that are not destroyed."""
        return [
            record.vm_id
            for record in self.records_by_id.values()
            if record.placement.zone == zone
            and record.state is not VmState.DESTROYED
        ]

    def destroyed_ids(self) -> set[VmId]:
        """Return the VMs that the platform lists as destroyed."""
        return {
            record.vm_id
            for record in self.records_by_id.values()
            if record.state is VmState.DESTROYED
        }

    def record_contact(
        self, *, vm_id: VmId, incarnation: int, at: float
    ) -> bool:
        """Record a message from a member.

        :param at: clock time of its arrival.
        :returns: ``False`` if the message comes from an older incarnation
            and must be ignored.
        """
        known = self.incarnations_by_id.get(vm_id, 0)
        if incarnation < known:
            return False
        is_new = incarnation > known
        self.incarnations_by_id[vm_id] = incarnation
        self._last_contact_by_id[vm_id] = at
        self.unreachable_ids.discard(vm_id)
        is_back = vm_id in self.suspected_ids or (
            is_new and vm_id in self.stopping_ids
        )
        if is_back:
            # Members that receive no heartbeats from it must be notified.
            self.apply(
                Notice(
                    vm_id=vm_id,
                    incarnation=incarnation,
                    state=MemberState.UP,
                    at=at,
                )
            )
        return True

    def last_contact_at(self, vm_id: VmId) -> float | None:
        """Return the clock time of the newest message of a member."""
        return self._last_contact_by_id.get(vm_id)

    def apply(self, notice: Notice) -> bool:
        """Apply a notice and return whether it changed the view."""
        vm_id = notice.vm_id
        if notice.incarnation < self.incarnations_by_id.get(vm_id, 0):
            return False
        known = self._notices_by_id.get(vm_id)
        if known is not None and not _is_newer(notice, known):
            return False
        if self._is_refuted_by_contact(notice):
            return False
        self._notices_by_id[vm_id] = notice
        self.incarnations_by_id[vm_id] = notice.incarnation
        for state, ids in (
            (MemberState.DOWN, self.suspected_ids),
            (MemberState.STOPPING, self.stopping_ids),
        ):
            ids.discard(vm_id)
            if notice.state is state:
                ids.add(vm_id)
        self._notify_change()
        return True

    def recent_notices(self, now: float) -> list[Notice]:
        """Return the newest notices that are still to be distributed."""
        recent = [
            notice
            for notice in self._notices_by_id.values()
            if now - notice.at < _NOTICE_TTL_S
        ]
        recent.sort(key=lambda notice: notice.at, reverse=True)
        return recent[:_MAX_NOTICES]

    def _is_refuted_by_contact(self, notice: Notice) -> bool:
        """Return whether a message from the member is newer than the event."""
        last_contact = self._last_contact_by_id.get(notice.vm_id)
        return (
            notice.state is MemberState.DOWN
            and last_contact is not None
            and last_contact > notice.at
            and notice.incarnation
            <= self.incarnations_by_id.get(notice.vm_id, 0)
        )

    def _notify_change(self) -> None:
        self.version += 1
        for listener in self._listeners:
            listener()


def _is_newer(notice: Notice, known: Notice) -> bool:
    if notice.incarnation != known.incarnation:
        return notice.incarnation > known.incarnation
    # A planned stop is final for its incarnation.
    if known.state is MemberState.STOPPING:
        return False
    if notice.state is known.state:
        return False
    return notice.at > known.at

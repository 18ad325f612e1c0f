"""Tells the VMs of all zones which instances state limits."""

from collections.abc import Iterable

import attrs

from bronzewall.edge.instance_limits import InstanceLimits
from bronzewall.edge.limit_messages import LimitUpdate
from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.messages import Envelope
from bronzewall.types import InstanceId, VmId

# Time between two updates with all limits to the VMs of a zone, for those that
# have missed a change, seconds.
_REPEAT_INTERVAL_S = 1.0
# Least time between two updates to other zones, seconds. Traffic between zones
# is billed.
_FLEET_INTERVAL_S = 1.0


@attrs.define(kw_only=True, eq=False)
class LimitSharing:
    """Sends changes of limits to the zone leader, and from there to all VMs."""

    limits: InstanceLimits
    leader: ZoneLeader
    _changes_for_zone: dict[InstanceId, float | None] = attrs.field(
        factory=dict
    )
    _changes_for_fleet: dict[InstanceId, float | None] = attrs.field(
        factory=dict
    )
    _zone_sent_at: float = 0
    _fleet_sent_at: float = 0

    def serve(self) -> None:
        """Handle updates of other VMs."""
        self.leader.endpoint.serve(LimitUpdate, self.handle_update)

    def record_answer(
        self, instance_id: InstanceId, limit: float | None, *, sent_at: float
    ) -> None:
        """Record the limit that an answer states, ``None`` for none.

        :param limit: requests a second.
        :param sent_at: clock time at which the request was sent.
        """
        if self.limits.record_answer(
            instance_id, limit, sent_at=sent_at, now=self.leader.clock.now()
        ):
            self._changes_for_zone[instance_id] = limit
            self._changes_for_fleet[instance_id] = limit

    def handle_update(self, envelope: Envelope) -> None:
        """Apply an update, or forward it to the leader of this zone."""
        update: LimitUpdate = envelope.body
        is_of_zone = self._is_of_zone(envelope.sender)
        if not is_of_zone and not self.leader.is_leader():
            leader = self.leader.find_leader()
            if leader is not None:
                self.leader.endpoint.send(to=leader, message=update)
            return
        changed = self.limits.apply_update(update, now=self.leader.clock.now())
        if self.leader.is_leader():
            changes = _changes(changed)
            self._changes_for_zone.update(changes)
            if is_of_zone:
                self._changes_for_fleet.update(changes)

    def send_updates(self) -> None:
        """Send what has changed to the leader, or to all VMs as a leader."""
        if not self.leader.is_leader():
            self._report()
            return
        now = self.leader.clock.now()
        if now - self._zone_sent_at >= _REPEAT_INTERVAL_S:
            for instance_id, limit in self.limits.limits_by_id().items():
                self._changes_for_zone.setdefault(instance_id, limit)
        if self._changes_for_zone:
            self._zone_sent_at = now
            own = self.leader.fleet.own.vm_id
            zone_vms = self.leader.fleet.zone_vms()
            self._send(
                [entry.vm_id for entry in zone_vms if entry.vm_id != own],
                self._changes_for_zone,
            )
        is_due = now - self._fleet_sent_at >= _FLEET_INTERVAL_S
        if self._changes_for_fleet and is_due:
            self._fleet_sent_at = now
            self._send(self.leader.other_leaders(), self._changes_for_fleet)

    def _send(
        self, vm_ids: Iterable[VmId], changes: dict[InstanceId, float | None]
    ) -> None:
        """Send the collected changes and clear them."""
        update = _update(changes)
        changes.clear()
        for vm_id in vm_ids:
            self.leader.endpoint.send(to=vm_id, message=update)

    def _report(self) -> None:
        """Send the changes that this VM has seen to the zone leader."""
        leader = self.leader.find_leader()
        if leader is not None and self._changes_for_fleet:
            self._send([leader], self._changes_for_fleet)
            self._changes_for_zone.clear()

    def _is_of_zone(self, vm_id: VmId) -> bool:
        zone_vms = self.leader.fleet.zone_vms()
        return any(entry.vm_id == vm_id for entry in zone_vms)


def _changes(update: LimitUpdate) -> dict[InstanceId, float | None]:
    return {**update.limits, **dict.fromkeys(update.ended)}


def _update(changes: dict[InstanceId, float | None]) -> LimitUpdate:
    return LimitUpdate(
        limits={
            instance_id: limit
            for instance_id, limit in changes.items()
            if limit is not None
        },
        ended=[
            instance_id
            for instance_id, limit in changes.items()
            if limit is None
        ],
    )

"""Tells the VMs of a zone which zones are evacuated.

The list is a message of its own: builds that do not know it drop it, and would
reject a zone status with a field for it.
"""

import attrs

from bronzewall.edge.evacuations import Evacuations
from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.edge.zone_messages import EvacuationList
from bronzewall.messages import Envelope

# Time between two lists to the zone, for VMs that have missed one, seconds:
# while a zone is evacuated, and otherwise. The bound of an evacuation is some
# seconds; a VM that misses a return only uses a zone later.
_REPEAT_INTERVAL_S = 0.25
_EMPTY_REPEAT_INTERVAL_S = 5.0


@attrs.define(kw_only=True, eq=False)
class EvacuationSharing:
    """Sends the list to the zone as a leader, and applies those that come."""

    evacuations: Evacuations
    leader: ZoneLeader
    _sent_at: float = 0
    _sent_zones: list[str] = attrs.field(factory=list)

    def serve(self) -> None:
        """Handle the lists of other VMs."""
        self.leader.endpoint.serve(EvacuationList, self.handle_list)

    def handle_list(self, envelope: Envelope) -> None:
        """Apply the list of another VM if it is newer."""
        self.evacuations.accept(envelope.body, source='vm')

    def send_updates(self) -> None:
        """Send the list to the VMs of the zone, as a leader, if it is due."""
        known = self.evacuations.shared
        if known is None or not self.leader.is_leader():
            return
        now = self.leader.clock.now()
        interval = (
            _REPEAT_INTERVAL_S if known.zones else _EMPTY_REPEAT_INTERVAL_S
        )
        if known.zones == self._sent_zones and now - self._sent_at < interval:
            return
        self._sent_at, self._sent_zones = now, known.zones
        for entry in self.leader.fleet.zone_vms():
            if entry.vm_id != self.leader.fleet.own.vm_id:
                self.leader.endpoint.send(to=entry.vm_id, message=known)

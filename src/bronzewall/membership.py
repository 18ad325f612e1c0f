"""This VM's view of the members of the fleet."""

import attrs

from bronzewall.types import Placement, VmId, VmRecord, VmState


@attrs.define(kw_only=True)
class Members:
    """Members by id, this VM included.

    Nothing that must be safe may depend on this view.
    """

    own_id: VmId
    own_placement: Placement
    records_by_id: dict[VmId, VmRecord] = attrs.field(factory=dict)
    suspected_ids: set[VmId] = attrs.field(factory=set)

    def update(self, records: tuple[VmRecord, ...]) -> None:
        """Take over a reading of the platform's list."""
        self.records_by_id = {record.vm_id: record for record in records}

    def usable_ids(
        self, *, region: str | None = None, zone: str | None = None
    ) -> list[VmId]:
        """Return live members that are not suspected.

        :param region: only members of this region.
        :param zone: only members of this availability zone.
        """
        found = [
            record.vm_id
            for record in self.records_by_id.values()
            if record.state is VmState.LIVE
            and record.vm_id not in self.suspected_ids
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

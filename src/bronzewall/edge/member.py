"""A VM's part in its zone: reports to the hub and takes over its beacons."""

import zlib

import attrs
import structlog

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.directory import Directory
from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.freshness import KeyFreshness
from bronzewall.edge.leader_election import LeaderElection
from bronzewall.edge.ports import FleetStore
from bronzewall.edge.zone_leader import ZoneLeader
from bronzewall.edge.zone_messages import MemberReport, ZoneStatus
from bronzewall.edge.zone_packing import unpack_instances, unpack_vms
from bronzewall.edge.zone_state import ZoneState
from bronzewall.errors import StoreEntryError
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.types import InstanceId, VmId

_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Member:
    """Exchanges reports and beacons with the zone's hub."""

    clock: Clock
    endpoint: PeerEndpoint
    fleet: FleetView
    election: LeaderElection
    leader: ZoneLeader
    directory: Directory
    catalog: Catalog
    freshness: KeyFreshness
    state: ZoneState
    store: FleetStore
    is_leaving: bool = False
    _followed: VmId | None = None
    _is_known: bool = False
    _catalog_revision: int = -1
    _members_revision: int = -1

    def serve(self) -> None:
        """Handle the beacons of hubs."""
        self.endpoint.serve(ZoneStatus, self.handle_status)

    def report(self) -> None:
        """Tell the hub what happened since the last report."""
        now = self.clock.now()
        state = self.state
        state.has_changes = False
        state.has_urgent_changes = False
        signs, state.unreported_observations = state.unreported_observations, []
        broken, state.unreported_breaks = state.unreported_breaks, []
        spent = dict(state.admission.admitted)
        wanted = dict(state.admission.requested)
        state.admission.admitted.clear()
        state.admission.requested.clear()
        if self.election.is_leader:
            self.leader.record_broken_requests(broken, now=now)
            self.leader.record_demand(wanted, spent, now=now)
            return
        report = MemberReport(
            stamp=now,
            entry=None if self._is_known else self.fleet.own,
            version=self.directory.version,
            catalog_revision=self._catalog_revision,
            members_revision=self._members_revision,
            in_flight=dict(state.own_in_flight),
            signs=signs,
            spent=spent,
            wanted=wanted,
            broken=broken,
            is_leaving=self.is_leaving,
        )
        for vm_id in self._receivers(now):
            self.endpoint.send(to=vm_id, message=report)

    def handle_status(self, envelope: Envelope) -> None:
        """Take over what a hub of the zone tells."""
        beacon: ZoneStatus = envelope.body
        if beacon.is_leaving:
            self.election.record_leaving(envelope.sender)
            return
        now = self.clock.now()
        self._take_members(beacon)
        self.election.record_status(
            envelope.sender, has_store=beacon.has_store, now=now
        )
        self._take_configuration(beacon)
        if beacon.echo is not None:
            self._take_ages(beacon)
        followed = self.election.current_leader(now=now)
        if followed != self._followed:
            _LOG.info('hub_followed', hub=followed, before=self._followed)
            self._followed = followed
            self._is_known = False
            self._catalog_revision = -1
            self._members_revision = -1
        if envelope.sender == followed and not self.election.is_leader:
            self._take_state(beacon, now)

    def _receivers(self, now: float) -> list[VmId]:
        """Return the hub, or who may become it."""
        leader = self.election.current_leader(now=now)
        if leader is not None:
            return [leader]
        own = self.fleet.own.vm_id
        mates = [entry.vm_id for entry in self.fleet.zone_vms()]
        return [vm_id for vm_id in mates[:2] if vm_id != own]

    def _take_members(self, beacon: ZoneStatus) -> None:
        if beacon.members is None:
            return
        for entry in unpack_vms(beacon.members):
            self.fleet.add(entry)

    def _take_configuration(self, beacon: ZoneStatus) -> None:
        if beacon.raw is None:
            return
        raw = zlib.decompress(beacon.raw)
        try:
            configuration = self.store.decode_configuration(raw)
        except StoreEntryError as exc:
            _LOG.warning('configuration_ignored', error=str(exc))
            return
        self.directory.accept(configuration, raw=raw, source='hub')
        self.state.has_changes = True

    def _take_ages(self, beacon: ZoneStatus) -> None:
        """Count ages from the report that the beacon answers.

        The hub sent the beacon after it had that report; when the beacon
        came says nothing, because it may have been held up on its way.
        """
        assert beacon.echo is not None
        if (
            beacon.store_age is not None
            and self.directory.version >= beacon.version
        ):
            self.freshness.confirm(beacon.echo - beacon.store_age)

    def _take_catalog(self, beacon: ZoneStatus) -> None:
        """Take over the list of the hub that this VM follows.

        Its revisions are compared only with its own.
        """
        if beacon.echo is None or beacon.catalog_age is None:
            return
        confirmed_at = beacon.echo - beacon.catalog_age
        if beacon.catalog is not None:
            listed = unpack_instances(beacon.catalog)
            if self.catalog.copy(listed, confirmed_at=confirmed_at):
                self._catalog_revision = beacon.catalog_revision
                self.state.has_changes = True
        elif beacon.catalog_revision == self._catalog_revision:
            self.catalog.confirm(confirmed_at)

    def _take_state(self, beacon: ZoneStatus, now: float) -> None:
        state = self.state
        if beacon.echo is not None:
            self._is_known = True
        self._take_catalog(beacon)
        if beacon.members is not None and beacon.members_revision >= 0:
            self._members_revision = beacon.members_revision
            self.state.has_changes = True
        state.other_in_flight = beacon.in_flight
        self._take_beliefs(beacon.beliefs, now)
        state.admission.update_from_leader(
            tokens=beacon.tokens, refill=beacon.refill, now=now
        )
        state.crashes.refuse(beacon.crashing, now=now)

    def _take_beliefs(
        self, beliefs: dict[InstanceId, float], now: float
    ) -> None:
        for instance_id in self.state.zone_estimates.significant(now=now):
            if instance_id not in beliefs:
                self.state.zone_estimates.forget(instance_id)
        for instance_id, failing in beliefs.items():
            self.state.zone_estimates.set(instance_id, failing, now=now)

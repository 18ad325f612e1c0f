"""Zone member: reports to the zone leader and applies its status."""

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
from bronzewall.edge.zone_packing import (
    unpack_configuration,
    unpack_instances,
    unpack_vms,
)
from bronzewall.edge.zone_pools import ZoneQuota
from bronzewall.edge.zone_state import ZoneState
from bronzewall.errors import StoreEntryError
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.types import InstanceId, VmId

_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Member:
    """Sends member reports to the zone leader and applies zone statuses."""

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
    _followed_leader: VmId | None = None
    _is_known_to_leader: bool = False
    # Revisions of the followed leader's lists that this VM holds, -1 for none.
    _catalog_revision: int = -1
    _members_revision: int = -1

    def serve(self) -> None:
        """Handle the status messages of leaders."""
        self.endpoint.serve(ZoneStatus, self.handle_status)

    def report(self) -> None:
        """Send the leader a report of what happened since the last one.

        A VM that is a leader itself sends nothing and records its broken
        requests and its demand directly.
        """
        now = self.clock.now()
        state = self.state
        state.has_updates = False
        state.has_urgent_updates = False
        observations, state.unreported_observations = (
            state.unreported_observations,
            [],
        )
        broken, state.unreported_breaks = state.unreported_breaks, []
        admitted = state.admission.take_admitted(now=now)
        requested = dict(state.admission.requested)
        state.admission.requested.clear()
        if self.election.is_leader:
            # The list that this VM reads replaces that of the leader before.
            self._catalog_revision = -1
            self.leader.record_broken_requests(broken, now=now)
            self.leader.record_demand(requested, admitted, now=now)
            return
        report = MemberReport(
            stamp=now,
            entry=None if self._is_known_to_leader else self.fleet.own,
            version=self.directory.version,
            catalog_revision=self._catalog_revision,
            members_revision=self._members_revision,
            in_flight=dict(state.own_in_flight),
            signs=observations,
            spent=admitted,
            wanted=requested,
            broken=broken,
            is_leaving=self.is_leaving,
        )
        for vm_id in self._receivers(now):
            self.endpoint.send(to=vm_id, message=report)

    def handle_status(self, envelope: Envelope) -> None:
        """Apply the status message of a leader of the zone."""
        status: ZoneStatus = envelope.body
        if status.is_leaving:
            self.election.record_leaving(envelope.sender)
            return
        now = self.clock.now()
        self._add_members(status)
        if self.election.is_leader and self.fleet.precedes(envelope.sender):
            self.leader.older_builds.record_leader(envelope.sender, now=now)
        self.election.record_status(
            envelope.sender, has_store=status.has_store, now=now
        )
        self._apply_configuration(status)
        if status.echo is not None:
            self._confirm_freshness(status)
        followed = self.election.current_leader(now=now)
        if followed != self._followed_leader:
            _LOG.info(
                'hub_followed', hub=followed, before=self._followed_leader
            )
            self._followed_leader = followed
            self.state.admission.report_again()
            self._is_known_to_leader = False
            self._catalog_revision = -1
            self._members_revision = -1
        if envelope.sender == followed and not self.election.is_leader:
            self._apply_state(status, now)

    def _receivers(self, now: float) -> list[VmId]:
        """Return the leader, or the first two candidates if there is none."""
        leader = self.election.current_leader(now=now)
        if leader is not None:
            return [leader]
        own = self.fleet.own.vm_id
        zone_vm_ids = [entry.vm_id for entry in self.fleet.zone_vms()]
        return [vm_id for vm_id in zone_vm_ids[:2] if vm_id != own]

    def _add_members(self, status: ZoneStatus) -> None:
        if status.members is None:
            return
        for entry in unpack_vms(status.members):
            self.fleet.add(entry)

    def _apply_configuration(self, status: ZoneStatus) -> None:
        if status.raw is None:
            return
        raw = unpack_configuration(status.raw)
        try:
            configuration = self.store.decode_configuration(raw)
        except StoreEntryError as exc:
            _LOG.warning('configuration_ignored', error=str(exc))
            self.directory.stop_waiting()
            return
        self.directory.accept(configuration, raw=raw, source='hub')
        self.state.has_updates = True

    def _confirm_freshness(self, status: ZoneStatus) -> None:
        """Confirm the keys as of the store age that the status states.

        The age counts from when this VM sent the report that the status
        answers (``echo``), because the leader sent the status after it
        received that report. The arrival time of the status is not used,
        because the message may have been delayed.
        """
        assert status.echo is not None
        if (
            status.store_age is not None
            and self.directory.version >= status.version
        ):
            self.freshness.confirm(status.echo - status.store_age)

    def _update_catalog(self, status: ZoneStatus) -> None:
        """Apply the instance list of the leader that this VM follows.

        Revisions of one leader are compared only with each other.
        """
        if status.echo is None or status.catalog_age is None:
            return
        confirmed_at = status.echo - status.catalog_age
        if status.catalog is not None:
            listed = unpack_instances(status.catalog)
            if self.catalog.adopt(listed, confirmed_at=confirmed_at):
                self._catalog_revision = status.catalog_revision
                self.state.has_updates = True
        elif status.catalog_revision == self._catalog_revision:
            self.catalog.confirm(confirmed_at)

    def _apply_state(self, status: ZoneStatus, now: float) -> None:
        state = self.state
        if status.echo is not None:
            self._is_known_to_leader = True
        self._update_catalog(status)
        if status.members is not None and status.members_revision >= 0:
            self._members_revision = status.members_revision
            self.fleet.record_list()
            self.state.has_updates = True
        state.other_in_flight = status.in_flight
        self._apply_estimates(status.beliefs, now)
        self._apply_quota(status, now)
        state.crashes.refuse(status.crashing, now=now)

    def _apply_quota(self, status: ZoneStatus, now: float) -> None:
        tokens, refill = status.tokens, status.refill
        if status.quota_share is not None:
            quota = ZoneQuota(
                share=status.quota_share,
                extra=status.quota_extra,
                tokens=tokens,
            )
            accounts = self.directory.accounts_by_id
            tokens, refill = quota.levels(accounts), quota.rates(accounts)
        self.state.admission.update_from_leader(
            tokens=tokens, refill=refill, answered_at=status.echo, now=now
        )

    def _apply_estimates(
        self, estimates: dict[InstanceId, float], now: float
    ) -> None:
        for instance_id in self.state.zone_estimates.significant(now=now):
            if instance_id not in estimates:
                self.state.zone_estimates.forget(instance_id)
        for instance_id, probability in estimates.items():
            self.state.zone_estimates.set(instance_id, probability, now=now)

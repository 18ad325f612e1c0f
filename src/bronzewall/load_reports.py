"""Load reports between VMs and the slot grants that result."""

from collections.abc import Callable

import attrs

from bronzewall import messages
from bronzewall.choice import InstanceLoad
from bronzewall.config_model import Service
from bronzewall.dispatch import Dispatcher
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.queueing import AccountKey
from bronzewall.rendezvous import rank_vms
from bronzewall.service_load import ServiceLoad
from bronzewall.shares import divide_equally, slots_of
from bronzewall.slot_coordinator import (
    MAX_HOLDS,
    OTHER_ACCOUNTS,
    LoadReport,
    SlotCoordinator,
    SlotGrant,
)
from bronzewall.slot_lending import SlotLending
from bronzewall.types import AccountId, InstanceId, Placement, ServiceName, VmId

REPORT_INTERVAL_S = 0.25
# A VM without a grant for this long cannot reach the coordinator and uses
# equal shares.
GRANT_MAX_AGE_S = 1.5
# Reports in one round; bounds the messages of a VM that serves many services.
MAX_REPORTS = 10
# Accounts listed in a report; the others are summed under one name.
MAX_ACCOUNTS = 32


@attrs.define(kw_only=True, eq=False)
class LoadExchange:
    """Reports this VM's load and applies the slot grants that it receives.

    For the services that this VM coordinates it also sends the grants.
    Grants are advisory: an instance sheds requests beyond its slots, so
    two coordinators or none only reduce efficiency.

    :param find_service: returns a service of the configuration in force.
    """

    vm_id: VmId
    placement: Placement
    clock: Clock
    dispatcher: Dispatcher
    find_service: Callable[[ServiceName], Service | None]
    members: Members
    endpoint: PeerEndpoint
    _granted_at: dict[ServiceName, float] = attrs.field(factory=dict)
    # Service and number of VMs for which equal shares were last computed.
    _equal_shares_basis: dict[ServiceName, tuple[Service, int]] = attrs.field(
        factory=dict
    )
    _report_offset: int = 0
    slot_coordinator: SlotCoordinator = attrs.field(init=False)
    lending: SlotLending = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the message handlers and create the components."""
        self.endpoint.serve(LoadReport, self._on_report)
        self.endpoint.serve(SlotGrant, self._on_grant)
        self.dispatcher.on_update = self._check_grant
        self.slot_coordinator = SlotCoordinator(
            find_service=self.find_service,
            weight_of=self.dispatcher.weight_of,
            shuffle_key=self.dispatcher.random.random,
        )
        self.lending = SlotLending(
            clock=self.clock,
            dispatcher=self.dispatcher,
            endpoint=self.endpoint,
        )

    async def run(self) -> None:
        """Exchange reports until cancelled."""
        while True:
            self.step()
            await self.clock.sleep(REPORT_INTERVAL_S)

    def step(self) -> None:
        """Send one round of reports and grants."""
        states = list(self.dispatcher.states_by_service.values())
        placements = self._placements()
        for state in states:
            state.close_period(REPORT_INTERVAL_S)
            self._check_grant(state)
            state.limit_connections(len(placements))
        active = [used for used in states if used.rate_by_account]
        for reported in self._next_reported(active):
            self._report(reported)
        now = self.clock.now()
        for receiver, grant in self.slot_coordinator.grants(placements, now):
            if receiver == self.vm_id:
                self._apply(grant)
            else:
                self.endpoint.send(to=receiver, message=grant)

    def debug(self) -> dict[str, dict[str, float]]:
        """Return the load by service, for operators."""
        return {
            name: {
                'slots': sum(load.usable() for load in _loads(state)),
                'in_flight': sum(load.in_flight for load in _loads(state)),
                'waiting': state.queue.length,
                'mean_hold_s': state.mean_hold,
                'retries_saved': state.retry.balance,
            }
            for name, state in self.dispatcher.states_by_service.items()
        }

    def _next_reported(self, active: list[ServiceLoad]) -> list[ServiceLoad]:
        if len(active) <= MAX_REPORTS:
            return active
        self._report_offset = (self._report_offset + MAX_REPORTS) % len(active)
        return [*active[self._report_offset :], *active[: self._report_offset]][
            :MAX_REPORTS
        ]

    def _placements(self) -> dict[VmId, Placement]:
        records = self.members.records_by_id
        placements = {
            vm_id: records[vm_id].placement
            for vm_id in self.members.usable_ids()
        }
        return {self.vm_id: self.placement, **placements}

    def _report(self, state: ServiceLoad) -> None:
        now = self.clock.now()
        report = LoadReport(
            service=state.service.name,
            rate_by_account=_rates_by_name(state.rate_by_account),
            admitted_by_account=_rates_by_name(state.admitted_by_account),
            mean_hold=state.mean_hold,
            holds=min(state.holds, MAX_HOLDS),
            in_flight_by_id={
                instance_id: load.in_flight
                for instance_id, load in state.loads_by_id.items()
                if load.in_flight
            },
            leaving_ids=tuple(
                instance_id
                for instance_id, load in state.loads_by_id.items()
                if load.leaving_seen_until > now
            ),
        )
        duty = f'slots/{state.service.name}'
        coordinator = rank_vms(duty=duty, vm_ids=self._placements())[0]
        if coordinator == self.vm_id:
            self.slot_coordinator.record_report(self.vm_id, report, now)
        else:
            self.endpoint.send(to=coordinator, message=report)

    def _on_report(self, envelope: messages.Envelope) -> None:
        self.slot_coordinator.record_report(
            envelope.sender, envelope.body, self.clock.now()
        )

    def _on_grant(self, envelope: messages.Envelope) -> None:
        self._apply(envelope.body)

    def _apply(self, grant: SlotGrant) -> None:
        service = ServiceName(grant.service)
        state = self.dispatcher.states_by_service.get(service)
        if state is None:
            return
        self._granted_at[service] = self.clock.now()
        self._equal_shares_basis.pop(service, None)
        for instance_id, load in state.loads_by_id.items():
            load.others_in_flight = grant.others_by_id.get(instance_id, 0)
        for leaving_id in grant.leaving_ids:
            self.dispatcher.mark_leaving(
                InstanceId(leaving_id), service=service, is_reported=True
            )
        state.set_shares(grant.shares_by_id)
        state.admit_by_account = {
            AccountId(account) if account else None: fraction
            for account, fraction in grant.admit_by_account.items()
        }
        self.lending.set_lenders(
            state, tuple(VmId(vm_id) for vm_id in grant.lenders)
        )
        self.dispatcher.dispatch_queued(state)

    def _check_grant(self, state: ServiceLoad) -> None:
        """Use equal shares if the last grant of a service is too old."""
        service = state.service
        granted_at = self._granted_at.get(service.name, float('-inf'))
        if self.clock.now() - granted_at < GRANT_MAX_AGE_S:
            return
        placements = self._placements()
        basis = (service, len(placements))
        if self._equal_shares_basis.get(service.name) == basis:
            return
        self._equal_shares_basis[service.name] = basis
        table = divide_equally(
            slots=slots_of(service.instances_by_id.values()),
            placement_by_vm=placements,
        )
        state.set_shares(table.shares_of(self.vm_id))
        state.admit_by_account = None
        self.lending.set_lenders(state, ())
        for load in state.loads_by_id.values():
            load.others_in_flight = 0


def _loads(state: ServiceLoad) -> list[InstanceLoad]:
    return list(state.loads_by_id.values())


def _rates_by_name(
    rate_by_account: dict[AccountKey, float],
) -> dict[str, float]:
    """Return the rates of the largest accounts and the sum of the others.

    Requests without an account count among the others.
    """
    ranked = sorted(
        rate_by_account.items(), key=lambda item: item[1], reverse=True
    )
    rates: dict[str, float] = {}
    for number, (account, rate) in enumerate(ranked):
        name = account or OTHER_ACCOUNTS
        if number >= MAX_ACCOUNTS:
            name = OTHER_ACCOUNTS
        rates[name] = rates.get(name, 0) + rate
    return rates

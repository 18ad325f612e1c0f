"""Load reports between VMs and the grants of slot shares that follow."""

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
from bronzewall.shares import equal_shares, slots_of
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
# Without a grant for this long the home is gone and equal shares apply.
GRANT_LIFE_S = 1.5
# Bounds the messages of a VM that serves many services.
MAX_REPORTS = 10
# Accounts named in a report; the others are reported as one.
MAX_ACCOUNTS = 32


@attrs.define(kw_only=True, eq=False)
class LoadExchange:
    """Reports this VM's load and serves the services it is home of.

    Grants are advice: an instance sheds what exceeds its slots, so two
    homes or none cost efficiency only.

    :param find_service: a service of the configuration in force.
    """

    vm_id: VmId
    placement: Placement
    clock: Clock
    dispatcher: Dispatcher
    find_service: Callable[[ServiceName], Service | None]
    members: Members
    endpoint: PeerEndpoint
    _granted_at: dict[ServiceName, float] = attrs.field(factory=dict)
    _equal_for: dict[ServiceName, tuple[Service, int]] = attrs.field(
        factory=dict
    )
    _turn: int = 0
    slot_coordinator: SlotCoordinator = attrs.field(init=False)
    lending: SlotLending = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Receive reports and grants."""
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
            state.share_connections(len(placements))
        active = [used for used in states if used.rate_by_account]
        for reported in self._in_turn(active):
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

    def _in_turn(self, active: list[ServiceLoad]) -> list[ServiceLoad]:
        if len(active) <= MAX_REPORTS:
            return active
        self._turn = (self._turn + MAX_REPORTS) % len(active)
        return [*active[self._turn :], *active[: self._turn]][:MAX_REPORTS]

    def _placements(self) -> dict[VmId, Placement]:
        records = self.members.records_by_id
        found = {
            vm_id: records[vm_id].placement
            for vm_id in self.members.usable_ids()
        }
        return {self.vm_id: self.placement, **found}

    def _report(self, state: ServiceLoad) -> None:
        now = self.clock.now()
        report = LoadReport(
            service=state.service.name,
            rate_by_account=_named(state.rate_by_account),
            admitted_by_account=_named(state.admitted_by_account),
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
        home = rank_vms(duty=duty, vm_ids=self._placements())[0]
        if home == self.vm_id:
            self.slot_coordinator.keep(self.vm_id, report, now)
        else:
            self.endpoint.send(to=home, message=report)

    def _on_report(self, envelope: messages.Envelope) -> None:
        self.slot_coordinator.keep(
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
        self._equal_for.pop(service, None)
        for instance_id, load in state.loads_by_id.items():
            load.others = grant.others_by_id.get(instance_id, 0)
        for leaving_id in grant.leaving_ids:
            self.dispatcher.mark_leaving(
                InstanceId(leaving_id), service=service, is_reported=True
            )
        state.set_shares(grant.shares_by_id)
        state.admit_by_account = {
            AccountId(account) if account else None: share
            for account, share in grant.admit_by_account.items()
        }
        self.lending.set_lenders(
            state, tuple(VmId(vm_id) for vm_id in grant.lenders)
        )
        self.dispatcher.pump(state)

    def _check_grant(self, state: ServiceLoad) -> None:
        service = state.service
        granted_at = self._granted_at.get(service.name, float('-inf'))
        if self.clock.now() - granted_at < GRANT_LIFE_S:
            return
        placements = self._placements()
        basis = (service, len(placements))
        if self._equal_for.get(service.name) == basis:
            return
        self._equal_for[service.name] = basis
        table = equal_shares(
            slots=slots_of(service.instances_by_id.values()),
            placement_by_vm=placements,
        )
        state.set_shares(table.shares_of(self.vm_id))
        state.admit_by_account = None
        self.lending.set_lenders(state, ())
        for load in state.loads_by_id.values():
            load.others = 0


def _loads(state: ServiceLoad) -> list[InstanceLoad]:
    return list(state.loads_by_id.values())


def _named(rate_by_account: dict[AccountKey, float]) -> dict[str, float]:
    """Return the rates of the largest accounts and of the others as one."""
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

"""Grants of slot shares by the coordinator of each service."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from bronzewall import messages
from bronzewall.choice import FULL_WEIGHT, WeightOf
from bronzewall.config_model import Instance, Service
from bronzewall.locality import locality_of
from bronzewall.shares import (
    SlotTable,
    divide_equally,
    max_min_allocation,
    slots_of,
)
from bronzewall.types import InstanceId, Placement, ServiceName, VmId

# A VM without a report for this long has failed or has no traffic.
REPORT_MAX_AGE_S = 1.0
OTHER_ACCOUNTS = ''
# Bounds the weight of one VM in the mean hold time of all.
MAX_HOLDS = 20
_DEFAULT_HOLD_S = 0.05
# VMs whose share exceeds their demand by at least this many slots rank
# first as lenders.
_MIN_SPARE_SLOTS = 0.2
MAX_LENDERS = 8
# The fleet admits this many times the requests of each account that it can
# serve, so that random variation leaves no slot without a request.
_ADMIT_MARGIN = 1.35
# How strongly a deviation of the admitted rate from the fair share is
# corrected. The rates are means of 2.5 s, so a higher power would oscillate.
_EXCESS_POWER = 2
_MIN_EXCESS = 0.6
_MAX_EXCESS = 1.6
_NEGLIGIBLE_RATE = 0.01


@messages.message('load_report')
@attrs.frozen(kw_only=True)
class LoadReport:
    """One VM's load on one service.

    :param rate_by_account: requests per second, served or refused.
    :param admitted_by_account: those of them that were not refused.
    :param mean_hold: mean seconds for which a request holds a slot.
    :param holds: weight of the mean: the number of requests in it, limited
        by ``MAX_HOLDS``.
    :param in_flight_by_id: requests in flight by instance.
    :param leaving_ids: instances that announced that they are leaving.
    """

    service: str
    rate_by_account: dict[str, float]
    admitted_by_account: dict[str, float]
    mean_hold: float
    holds: int
    in_flight_by_id: dict[str, int]
    leaving_ids: tuple[str, ...]


@messages.message('slot_grant')
@attrs.frozen(kw_only=True)
class SlotGrant:
    """What one VM may use of one service until the next grant.

    :param shares_by_id: slots by instance.
    :param others_by_id: other VMs' requests in flight by instance.
    :param admit_by_account: fraction of requests to admit, for accounts
        that request more than an equal share.
    :param leaving_ids: instances that some VM observed to be leaving.
    :param lenders: VMs that may have idle slots, nearest first.
    """

    service: str
    shares_by_id: Mapping[InstanceId, int]
    others_by_id: dict[str, int]
    admit_by_account: dict[str, float]
    leaving_ids: tuple[str, ...]
    lenders: tuple[str, ...]


@attrs.frozen(kw_only=True)
class _ReceivedReport:
    """A report with the clock time of its arrival."""

    report: LoadReport
    at: float


@attrs.define(kw_only=True, eq=False)
class _ServiceState:
    """State of one service on its coordinator."""

    table: SlotTable = attrs.field(factory=SlotTable)
    received_by_vm: dict[VmId, _ReceivedReport] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class _AllocationInputs:
    """Inputs of one allocation round of a service.

    :param mean_hold: mean seconds for which a request holds a slot.
    """

    service: Service
    table: SlotTable
    reports: Mapping[VmId, LoadReport]
    leaving_ids: tuple[str, ...]
    placements: Mapping[VmId, Placement]
    mean_hold: float


@attrs.define(kw_only=True, eq=False)
class SlotCoordinator:
    """Divides the slots of the services that this VM coordinates.

    :param find_service: returns a service of the configuration in force.
    :param shuffle_key: returns random numbers that spread the slot requests
        over the lenders.
    """

    find_service: Callable[[ServiceName], Service | None]
    weight_of: WeightOf
    shuffle_key: Callable[[], float]
    state_by_service: dict[ServiceName, _ServiceState] = attrs.field(
        factory=dict
    )

    def record_report(
        self, sender: VmId, report: LoadReport, now: float
    ) -> None:
        """Store a VM's report."""
        service_state = self.state_by_service.setdefault(
            ServiceName(report.service), _ServiceState()
        )
        service_state.received_by_vm[sender] = _ReceivedReport(
            report=report, at=now
        )

    def grants(
        self, placements: Mapping[VmId, Placement], now: float
    ) -> list[tuple[VmId, SlotGrant]]:
        """Return the next grants of all services, with their receivers.

        :param placements: the current members.
        """
        addressed_grants: list[tuple[VmId, SlotGrant]] = []
        for name, service_state in list(self.state_by_service.items()):
            service_state.received_by_vm = {
                vm_id: received
                for vm_id, received in service_state.received_by_vm.items()
                if received.at >= now - REPORT_MAX_AGE_S and vm_id in placements
            }
            service = self.find_service(name)
            if service_state.received_by_vm and service is not None:
                addressed_grants.extend(
                    self._grants_of(service, service_state, placements)
                )
            else:
                del self.state_by_service[name]
        return addressed_grants

    def _grants_of(
        self,
        service: Service,
        service_state: _ServiceState,
        placements: Mapping[VmId, Placement],
    ) -> list[tuple[VmId, SlotGrant]]:
        reports = {
            vm_id: received.report
            for vm_id, received in service_state.received_by_vm.items()
        }
        leaving = {
            leaving_id
            for report in reports.values()
            for leaving_id in report.leaving_ids
        }
        inputs = _AllocationInputs(
            service=service,
            table=service_state.table,
            reports=reports,
            leaving_ids=tuple(sorted(leaving)),
            placements=placements,
            mean_hold=_mean_hold(reports.values()),
        )
        admit_fractions = self._allocate(inputs)
        return self._build_grants(inputs, admit_fractions)

    def _allocate(self, inputs: _AllocationInputs) -> dict[str, float]:
        """Reassign slots by demand; return the admitted fractions."""
        slots = slots_of(
            instance
            for instance_id, instance in inputs.service.instances_by_id.items()
            if instance_id not in inputs.leaving_ids
            and _is_usable(instance, inputs.service, self.weight_of)
        )
        if not inputs.table.owner_by_slot:
            # The VMs start with equal shares, so most slots keep their owner.
            inputs.table.owner_by_slot = divide_equally(
                slots=slots, placement_by_vm=inputs.placements
            ).owner_by_slot
        totals = _totals(rep.rate_by_account for rep in inputs.reports.values())
        granted = max_min_allocation(
            demand_by_account=totals, capacity=len(slots) / inputs.mean_hold
        )
        factors = {
            name: granted[name] / total
            for name, total in totals.items()
            if total > 0
        }
        inputs.table.rebalance(
            slots=slots,
            weight_by_vm={
                vm_id: _weighted_rate(report.rate_by_account, factors)
                * inputs.mean_hold
                for vm_id, report in inputs.reports.items()
            },
            placement_by_vm=inputs.placements,
        )
        admitted = _totals(
            rep.admitted_by_account for rep in inputs.reports.values()
        )
        return _admit_fractions(factors, granted, admitted)

    def _build_grants(
        self, inputs: _AllocationInputs, admit_fractions: Mapping[str, float]
    ) -> list[tuple[VmId, SlotGrant]]:
        in_flight = _totals(
            rep.in_flight_by_id for rep in inputs.reports.values()
        )
        shares_by_vm = {
            vm_id: inputs.table.shares_of(vm_id) for vm_id in inputs.reports
        }
        spare_by_vm = {
            vm_id: sum(shares_by_vm[vm_id].values())
            - sum(report.rate_by_account.values()) * inputs.mean_hold
            for vm_id, report in inputs.reports.items()
        }
        return [
            (
                vm_id,
                SlotGrant(
                    service=inputs.service.name,
                    shares_by_id=shares_by_vm[vm_id],
                    others_by_id=_others_in_flight(
                        in_flight, report.in_flight_by_id
                    ),
                    admit_by_account={
                        account: admit_fractions[account]
                        for account in report.rate_by_account
                        if account in admit_fractions
                    },
                    leaving_ids=inputs.leaving_ids,
                    lenders=self._lenders(
                        vm_id, spare_by_vm, inputs.placements
                    ),
                ),
            )
            for vm_id, report in inputs.reports.items()
        ]

    def _lenders(
        self,
        borrower: VmId,
        spare_by_vm: Mapping[VmId, float],
        placements: Mapping[VmId, Placement],
    ) -> tuple[VmId, ...]:
        """Return the VMs to request idle slots from, nearest first.

        Within a locality, VMs with spare slots come first.
        """
        candidates = [
            (
                locality_of(placements[borrower], placements[vm_id]),
                spare_slots < _MIN_SPARE_SLOTS,
                self.shuffle_key(),
                vm_id,
            )
            for vm_id, spare_slots in spare_by_vm.items()
            if vm_id != borrower
        ]
        return tuple(ranked[-1] for ranked in sorted(candidates)[:MAX_LENDERS])


def _mean_hold(reports: Iterable[LoadReport]) -> float:
    """Return the mean hold time over all VMs, in seconds."""
    holds, seconds = 1, _DEFAULT_HOLD_S
    for report in reports:
        holds += report.holds
        seconds += report.holds * report.mean_hold
    return seconds / holds


def _totals(mappings: Iterable[Mapping[str, float]]) -> dict[str, float]:
    totals: dict[str, float] = {}
    for mapping in mappings:
        for key, amount in mapping.items():
            totals[key] = totals.get(key, 0) + amount
    return totals


def _others_in_flight(
    totals: Mapping[str, float], own: Mapping[str, int]
) -> dict[str, int]:
    return {key: int(total) - own.get(key, 0) for key, total in totals.items()}


def _admit_fractions(
    factors: Mapping[str, float],
    granted: Mapping[str, float],
    admitted: Mapping[str, float],
) -> dict[str, float]:
    """Return the fraction to admit of each account above its fair share.

    An account of which more was admitted than its fair share, for instance
    because its requests more often arrive when a slot is free, is limited
    more.
    """
    equal_rate = sum(granted.values()) / max(1, len(granted))
    fractions = {}
    for name, factor in factors.items():
        if factor >= 1 and granted[name] <= equal_rate:
            continue
        excess = admitted.get(name, 0) / max(granted[name], _NEGLIGIBLE_RATE)
        excess = max(_MIN_EXCESS, min(_MAX_EXCESS, excess))
        fractions[name] = factor * _ADMIT_MARGIN / excess**_EXCESS_POWER
    return fractions


def _weighted_rate(
    rate_by_account: Mapping[str, float], factors: Mapping[str, float]
) -> float:
    return sum(
        rate * factors.get(account, 0)
        for account, rate in rate_by_account.items()
    )


def _is_usable(
    instance: Instance, service: Service, weight_of: WeightOf
) -> bool:
    weights = (
        weight_of(instance, route) for route in service.routes_by_id.values()
    )
    return max(weights, default=FULL_WEIGHT) > 0

"""Grants of slot shares by the home VM of each service."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from bronzewall import messages
from bronzewall.choice import FULL_WEIGHT, WeightOf
from bronzewall.config_model import Instance, Service
from bronzewall.locality import locality_of
from bronzewall.shares import (
    SlotTable,
    equal_shares,
    fair_demand,
    slots_of,
)
from bronzewall.types import InstanceId, Placement, ServiceName, VmId

# A VM that did not report for this long has died or has no traffic.
REPORT_LIFE_S = 1.0
OTHER_ACCOUNTS = ''
# Bounds the weight of one VM in the mean hold time of all.
MAX_HOLDS = 20
_UNKNOWN_HOLD_S = 0.05
# VMs with at least this spare share, in slots, are asked for loans first.
_MIN_SPARE = 0.2
MAX_LENDERS = 8
# The fleet admits this much more than it can serve of each account, so that
# chance leaves no slot without a request.
_ADMIT_MARGIN = 1.35
# How strongly a deviation of the admitted rate from the fair part is
# corrected. The rates are means of 2.5 s, so a higher power would swing.
_EXCESS_POWER = 2
_MIN_EXCESS = 0.6
_MAX_EXCESS = 1.6
_NEGLIGIBLE_RATE = 0.01


@messages.message('load_report')
@attrs.frozen(kw_only=True)
class LoadReport:
    """One VM's load on one service.

    :param rate_by_account: requests a second, served or not.
    :param admitted_by_account: those of them that were not refused.
    :param mean_hold: mean seconds for which a request holds a slot.
    :param holds: requests that the mean is taken from.
    :param in_flight_by_id: requests in progress by instance.
    :param leaving_ids: instances that said that they are leaving.
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
    :param others_by_id: other VMs' requests in progress by instance.
    :param admit_by_account: share of requests to admit, for accounts that
        ask for more than an equal part.
    :param leaving_ids: instances that some VM saw leaving.
    :param lenders: VMs that may have idle slots, nearest first.
    """

    service: str
    shares_by_id: Mapping[InstanceId, int]
    others_by_id: dict[str, int]
    admit_by_account: dict[str, float]
    leaving_ids: tuple[str, ...]
    lenders: tuple[str, ...]


@attrs.frozen(kw_only=True)
class _Received:
    """A report with the clock time of its arrival."""

    report: LoadReport
    at: float


@attrs.define(kw_only=True, eq=False)
class _Homed:
    """State of one service on its home."""

    table: SlotTable = attrs.field(factory=SlotTable)
    received_by_vm: dict[VmId, _Received] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class _Round:
    """What one round of grants of a service is made from.

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
    """Divides the slots of the services that this VM is home of.

    :param find_service: a service of the configuration in force.
    :param shuffle_key: random numbers that spread the asks for loans.
    """

    find_service: Callable[[ServiceName], Service | None]
    weight_of: WeightOf
    shuffle_key: Callable[[], float]
    homed_by_service: dict[ServiceName, _Homed] = attrs.field(factory=dict)

    def keep(self, sender: VmId, report: LoadReport, now: float) -> None:
        """Take over a VM's report."""
        homed = self.homed_by_service.setdefault(
            ServiceName(report.service), _Homed()
        )
        homed.received_by_vm[sender] = _Received(report=report, at=now)

    def grants(
        self, placements: Mapping[VmId, Placement], now: float
    ) -> list[tuple[VmId, SlotGrant]]:
        """Return the next grants of all services, with their receivers.

        :param placements: the members in view.
        """
        found: list[tuple[VmId, SlotGrant]] = []
        for name, homed in list(self.homed_by_service.items()):
            homed.received_by_vm = {
                vm_id: received
                for vm_id, received in homed.received_by_vm.items()
                if received.at >= now - REPORT_LIFE_S and vm_id in placements
            }
            service = self.find_service(name)
            if homed.received_by_vm and service is not None:
                found.extend(self._grants_of(service, homed, placements))
            else:
                del self.homed_by_service[name]
        return found

    def _grants_of(
        self,
        service: Service,
        homed: _Homed,
        placements: Mapping[VmId, Placement],
    ) -> list[tuple[VmId, SlotGrant]]:
        reports = {
            vm_id: received.report
            for vm_id, received in homed.received_by_vm.items()
        }
        leaving = {
            gone for report in reports.values() for gone in report.leaving_ids
        }
        now = _Round(
            service=service,
            table=homed.table,
            reports=reports,
            leaving_ids=tuple(sorted(leaving)),
            placements=placements,
            mean_hold=_mean_hold(reports.values()),
        )
        admit_shares = self._deal(now)
        return self._build(now, admit_shares)

    def _deal(self, now: _Round) -> dict[str, float]:
        """Bring the slots closer to the demand; return admit shares."""
        slots = slots_of(
            instance
            for instance_id, instance in now.service.instances_by_id.items()
            if instance_id not in now.leaving_ids
            and _is_usable(instance, now.service, self.weight_of)
        )
        if not now.table.owner_by_slot:
            # The VMs begin with this deal, so most of them keep it.
            now.table.owner_by_slot = equal_shares(
                slots=slots, placement_by_vm=now.placements
            ).owner_by_slot
        totals = _totals(rep.rate_by_account for rep in now.reports.values())
        granted = fair_demand(
            demand_by_account=totals, capacity=len(slots) / now.mean_hold
        )
        factors = {
            name: granted[name] / total
            for name, total in totals.items()
            if total > 0
        }
        now.table.deal(
            slots=slots,
            weight_by_vm={
                vm_id: _weighed(report.rate_by_account, factors) * now.mean_hold
                for vm_id, report in now.reports.items()
            },
            placement_by_vm=now.placements,
        )
        admitted = _totals(
            rep.admitted_by_account for rep in now.reports.values()
        )
        return _admit_shares(factors, granted, admitted)

    def _build(
        self, now: _Round, admit_shares: Mapping[str, float]
    ) -> list[tuple[VmId, SlotGrant]]:
        in_flight = _totals(rep.in_flight_by_id for rep in now.reports.values())
        shares = {vm_id: now.table.shares_of(vm_id) for vm_id in now.reports}
        spares = {
            vm_id: sum(shares[vm_id].values())
            - sum(report.rate_by_account.values()) * now.mean_hold
            for vm_id, report in now.reports.items()
        }
        return [
            (
                vm_id,
                SlotGrant(
                    service=now.service.name,
                    shares_by_id=shares[vm_id],
                    others_by_id=_others(in_flight, report.in_flight_by_id),
                    admit_by_account={
                        account: admit_shares[account]
                        for account in report.rate_by_account
                        if account in admit_shares
                    },
                    leaving_ids=now.leaving_ids,
                    lenders=self._lenders(vm_id, spares, now.placements),
                ),
            )
            for vm_id, report in now.reports.items()
        ]

    def _lenders(
        self,
        borrower: VmId,
        spares: Mapping[VmId, float],
        placements: Mapping[VmId, Placement],
    ) -> tuple[VmId, ...]:
        """Return VMs to ask for idle slots, the likely and near first."""
        found = [
            (
                locality_of(placements[borrower], placements[vm_id]),
                spare < _MIN_SPARE,
                self.shuffle_key(),
                vm_id,
            )
            for vm_id, spare in spares.items()
            if vm_id != borrower
        ]
        return tuple(ranked[-1] for ranked in sorted(found)[:MAX_LENDERS])


def _mean_hold(reports: Iterable[LoadReport]) -> float:
    """Return the mean hold time over all VMs, in seconds."""
    holds, seconds = 1, _UNKNOWN_HOLD_S
    for report in reports:
        holds += report.holds
        seconds += report.holds * report.mean_hold
    return seconds / holds


def _totals(parts: Iterable[Mapping[str, float]]) -> dict[str, float]:
    totals: dict[str, float] = {}
    for part in parts:
        for key, amount in part.items():
            totals[key] = totals.get(key, 0) + amount
    return totals


def _others(
    totals: Mapping[str, float], own: Mapping[str, int]
) -> dict[str, int]:
    return {key: int(total) - own.get(key, 0) for key, total in totals.items()}


def _admit_shares(
    factors: Mapping[str, float],
    granted: Mapping[str, float],
    admitted: Mapping[str, float],
) -> dict[str, float]:
    """Return the part of requests to admit of each account above its part.

    An account of which more was admitted than its fair part, for instance
    because its requests come more often when a slot is free, is cut more.
    """
    equal_part = sum(granted.values()) / max(1, len(granted))
    shares = {}
    for name, factor in factors.items():
        if factor >= 1 and granted[name] <= equal_part:
            continue
        excess = admitted.get(name, 0) / max(granted[name], _NEGLIGIBLE_RATE)
        excess = max(_MIN_EXCESS, min(_MAX_EXCESS, excess))
        shares[name] = factor * _ADMIT_MARGIN / excess**_EXCESS_POWER
    return shares


def _weighed(
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

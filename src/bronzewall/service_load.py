"""State of one service on this VM: loads, demand, queue and send budgets."""

import asyncio
from collections import Counter
from collections.abc import Mapping

import attrs

from bronzewall.choice import InstanceLoad
from bronzewall.config_model import Service
from bronzewall.locality import locality_of
from bronzewall.queueing import AccountKey, FairQueue
from bronzewall.retry import SendBudget, new_retry_budget
from bronzewall.types import InstanceId, Placement

# Shed answers per request that this VM may cause by using other VMs' slots
# without a loan; the retries that follow consume the retry budget.
BORROW_RATIO = 0.02
# Longest useful wait in the queue. A request that would wait longer is
# refused at once, so that its caller can try something else.
MAX_WAIT_S = 0.5
# If this many mean hold times are longer than MAX_WAIT_S, a request may
# wait for as long as they take.
_MAX_WAIT_HOLDS = 2.0
# Fraction of the time until the deadline that may be spent waiting.
WAIT_FRACTION = 0.5
_INITIAL_HOLD_S = 0.05
_HOLD_GAIN = 0.05
# Clips a sample, in mean hold times, so that one request that hangs does
# not raise the expected wait of all others.
_MAX_HOLD_STEP = 4.0
_MEAN_SLOTS_GAIN = 0.2
_SLOW_QUANTILE = 0.95
_SLOW_GAIN = 0.1
_RATE_GAIN = 0.1
_NEGLIGIBLE_RATE = 0.01
# Accounts below an equal share may fill the queue up to this multiple of
# its usual limit.
_LIGHT_ACCOUNT_FACTOR = 2.0


@attrs.define(kw_only=True, eq=False)
class ServiceLoad:
    """Load, demand and budgets of one service on this VM.

    :param mean_hold: mean seconds for which a request holds its slot.
    :param slow_hold: estimated 95th percentile of the same; a hedge starts
        after it.
    :param holds: number of requests in ``mean_hold``.
    :param mean_slots: mean number of slots in this VM's share.
    :param arrivals: requests by account since the last report.
    :param admissions: those of them that were not refused.
    :param rate_by_account: smoothed requests per second.
    :param admitted_by_account: those of them that were not refused.
    :param admit_by_account: fraction of requests to admit, for each account
        that requests more than an equal share of the fleet; ``None`` if
        this VM has no grant.
    :param has_shares: shares were assigned; before that each VM may use
        every slot.
    :param has_lenders: other VMs accept requests for idle slots.
    :param is_pump_set: the timer that dispatches queued requests is set.
    """

    service: Service
    loads_by_id: dict[InstanceId, InstanceLoad]
    queue: FairQueue
    retry: SendBudget
    hedge: SendBudget
    borrow: SendBudget
    mean_hold: float = _INITIAL_HOLD_S
    slow_hold: float = _INITIAL_HOLD_S
    mean_slots: float = 0
    holds: int = 0
    arrivals: Counter[AccountKey] = attrs.field(factory=Counter)
    admissions: Counter[AccountKey] = attrs.field(factory=Counter)
    rate_by_account: dict[AccountKey, float] = attrs.field(factory=dict)
    admitted_by_account: dict[AccountKey, float] = attrs.field(factory=dict)
    periods: int = 0
    admit_by_account: dict[AccountKey, float] | None = None
    has_shares: bool = False
    has_lenders: bool = False
    is_pump_set: bool = False

    def record_hold(self, seconds: float) -> None:
        """Record how long a request that may have run held its slot."""
        is_slow = seconds > self.slow_hold
        step = _SLOW_QUANTILE if is_slow else _SLOW_QUANTILE - 1
        estimate = self.slow_hold + _SLOW_GAIN * self.mean_hold * step
        self.slow_hold = max(estimate, self.mean_hold)
        self.holds += 1
        gain = max(_HOLD_GAIN, 1 / self.holds)
        seconds = min(seconds, self.mean_hold * _MAX_HOLD_STEP)
        self.mean_hold += gain * (seconds - self.mean_hold)

    def count_arrival(self, account_id: AccountKey) -> None:
        """Count one request as demand."""
        self.arrivals[account_id] += 1

    def credit_budgets(self) -> None:
        """Credit the send budgets for one request that was sent."""
        for budget in (self.retry, self.hedge, self.borrow):
            budget.credit()

    def admit(self, account_id: AccountKey, now: float) -> None:
        """Count one request that was not refused."""
        self.admissions[account_id] += 1
        self.queue.charge(account_id, now)

    def may_enqueue(self, account_id: AccountKey, *, limit: float) -> bool:
        """Return whether a request of an account may wait.

        :param limit: queue length up to which an account of mean usage
            may add requests.
        """
        if self.admit_by_account is None:
            return self.queue.may_enqueue(account_id, limit=limit)
        fraction = self.admit_by_account.get(account_id)
        if fraction is None:
            # The fleet has capacity for all requests of this account.
            return self.queue.length < limit * _LIGHT_ACCOUNT_FACTOR
        return self.queue.sample(
            account_id, fraction
        ) and self.queue.may_enqueue(
            account_id, limit=limit, usage_divisor=max(1, fraction)
        )

    def close_period(self, seconds: float) -> None:
        """Smooth the rates at the end of a report period."""
        self.periods += 1
        gain = max(_RATE_GAIN, 1 / self.periods)
        _smooth(self.rate_by_account, self.arrivals, gain, seconds)
        _smooth(self.admitted_by_account, self.admissions, gain, seconds)

    def limit_connections(self, fleet_size: int) -> None:
        """Divide the connections of each instance among the VMs.

        :param fleet_size: VMs that share the connections of an instance.
        """
        for load in self.loads_by_id.values():
            per_vm = max(1, load.instance.connections // fleet_size)
            load.connection_cap = min(load.instance.slots, per_vm)

    def set_shares(self, slots_by_instance: Mapping[InstanceId, int]) -> None:
        """Apply this VM's share of each instance's slots."""
        for instance_id, load in self.loads_by_id.items():
            load.share = slots_by_instance.get(instance_id, 0)
        total = float(sum(slots_by_instance.values()))
        if not self.has_shares:
            self.mean_slots = total
        self.has_shares = True
        self.mean_slots += _MEAN_SLOTS_GAIN * (total - self.mean_slots)

    def wait_limit(self, remaining: float) -> float:
        """Return the longest expected wait with which a request may queue.

        :param remaining: seconds until the caller's deadline.
        :returns: seconds.
        """
        longest = max(MAX_WAIT_S, self.mean_hold * _MAX_WAIT_HOLDS)
        return min(longest, remaining * WAIT_FRACTION)

    def served_per_second(self) -> float:
        """Return the requests per second that this VM's share can serve.

        At least half a slot is assumed.
        """
        slots = max(self.mean_slots, 1 / 2)
        if not self.has_shares:
            slots = sum(load.share for load in self.loads_by_id.values())
        return max(slots, 1 / 2) / self.mean_hold


@attrs.frozen(kw_only=True, eq=False)
class HeldSlot:
    """One slot that a request of this VM holds.

    :param started: clock time at which it was taken.
    """

    state: ServiceLoad
    load: InstanceLoad
    started: float


def ignore(*_arguments: object) -> None:
    """Do nothing; the default of the dispatcher's callbacks."""


class LoopClock:
    """Time of the running event loop."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time()


def _smooth(
    rates: dict[AccountKey, float],
    counts: Counter[AccountKey],
    gain: float,
    seconds: float,
) -> None:
    accounts = (*rates, *(counts.keys() - rates.keys()))
    for account in accounts:
        before = rates.get(account, 0)
        rates[account] = before + gain * (counts[account] / seconds - before)
        if rates[account] < _NEGLIGIBLE_RATE:
            del rates[account]
    counts.clear()


def new_service_load(service: Service) -> ServiceLoad:
    """Return the initial state of a service."""
    return ServiceLoad(
        service=service,
        loads_by_id={},
        queue=FairQueue(),
        retry=new_retry_budget(service),
        hedge=SendBudget(ratio=service.hedge_ratio),
        borrow=SendBudget(ratio=min(BORROW_RATIO, service.retry_ratio / 2)),
    )


def update_instances(
    state: ServiceLoad,
    *,
    service: Service,
    placement: Placement | None,
    now: float,
) -> None:
    """Apply the instances of a new configuration.

    The ramp-up of an instance that was not listed before starts now, except
    on a VM that has just started.
    """
    is_first = not state.loads_by_id
    loads_by_id = {}
    for instance_id, instance in service.instances_by_id.items():
        load = state.loads_by_id.get(instance_id)
        if load is None or load.instance.address != instance.address:
            load = InstanceLoad(
                instance=instance,
                locality=locality_of(
                    placement or instance.placement, instance.placement
                ),
                share=0 if state.has_shares else instance.slots,
                cold_since=None if is_first else now,
            )
        load.instance = instance
        load.connection_cap = instance.slots
        loads_by_id[instance_id] = load
    state.loads_by_id = loads_by_id
    state.service = service
    state.retry.ratio = service.retry_ratio
    state.hedge.ratio = service.hedge_ratio
    state.borrow.ratio = min(BORROW_RATIO, service.retry_ratio / 2)

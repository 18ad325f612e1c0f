"""Retry budgets of one VM within the budget of the fleet."""

import attrs

from bronzewall.retry import SendBudget
from bronzewall.types import ServiceName

# Fraction of the fleet's slack that the VMs use. The rest covers VMs that
# are not in its list yet.
_SLACK_FRACTION = 0.8
# Fraction of the fleet's ratio that the VMs use. The rest is a margin, as the
# time windows of the VMs do not coincide.
_RATIO_FRACTION = 0.9


@attrs.define(kw_only=True, eq=False)
class RetryBudget:
    """Retry budgets by service.

    :param ratio: retries per request over the fleet.
    :param slack: additional retries over the fleet in any time window.
    :param vm_count: VMs that share the slack.
    """

    ratio: float
    slack: float
    vm_count: int = 1
    _by_service: dict[ServiceName, SendBudget] = attrs.field(factory=dict)

    def credit(self, service: ServiceName) -> None:
        """Credit the budget with one request of a caller."""
        self._service_budget(service).credit()

    def ratio_per_vm(self) -> float:
        """Return the retries that one request of a caller adds."""
        return self.ratio * _RATIO_FRACTION

    def can_consume(self, service: ServiceName) -> bool:
        """Return whether ``consume`` would succeed."""
        return self._service_budget(service).can_consume()

    def consume(self, service: ServiceName) -> bool:
        """Consume one retry and return whether there was one."""
        return self._service_budget(service).consume()

    def _service_budget(self, service: ServiceName) -> SendBudget:
        budget = self._by_service.get(service)
        limit = max(1, self.slack * _SLACK_FRACTION / self.vm_count)
        if budget is None:
            budget = SendBudget(
                ratio=self.ratio_per_vm(), limit=limit, balance=limit
            )
            self._by_service[service] = budget
        budget.limit = limit
        return budget

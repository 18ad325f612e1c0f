"""Retries that a VM may make within the fleet's budget."""

import attrs

from bronzewall.retry import SendBudget
from bronzewall.types import ServiceName

# Part of the fleet's slack that VMs use; the rest covers VMs that this one
# does not know of.
_SLACK_PART = 0.8
# Part of the fleet's ratio that VMs use; windows of VMs do not coincide.
_RATIO_PART = 0.9


@attrs.define(kw_only=True, eq=False)
class RetryBudget:
    """Allowances by service.

    :param ratio: retries per request over the fleet.
    :param slack: retries besides over the fleet, in any window.
    :param vm_count: VMs that share the slack.
    """

    ratio: float
    slack: float
    vm_count: int = 1
    _by_service: dict[ServiceName, SendBudget] = attrs.field(factory=dict)

    def credit(self, service: ServiceName) -> None:
        """Count one request of a caller."""
        self._allowance(service).credit()

    def can_consume(self, service: ServiceName) -> bool:
        """Return whether ``consume`` would succeed."""
        return self._allowance(service).can_consume()

    def consume(self, service: ServiceName) -> bool:
        """Use one retry, if there is one."""
        return self._allowance(service).consume()

    def _allowance(self, service: ServiceName) -> SendBudget:
        found = self._by_service.get(service)
        limit = max(1, self.slack * _SLACK_PART / self.vm_count)
        if found is None:
            found = SendBudget(
                ratio=self.ratio * _RATIO_PART, limit=limit, balance=limit
            )
            self._by_service[service] = found
        found.limit = limit
        return found

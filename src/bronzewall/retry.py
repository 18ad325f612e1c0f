"""Retry rule and the send budgets for retries, hedges and borrowing."""

import attrs

from bronzewall.config_model import Route, Service
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamError,
    UpstreamShedError,
)

NOT_RUN_ERRORS = (ConnectFailedError, UpstreamShedError)
# Extra sends that a budget allows beyond its ratio, so that a VM with little
# traffic can repeat a request at all.
SEND_BUDGET_LIMIT = 3.0


@attrs.define(kw_only=True)
class SendBudget:
    """Extra sends in proportion to requests.

    In any window with ``n`` requests at most ``ratio * n + limit`` extra
    sends are consumed.

    :param ratio: extra sends credited for each request.
    :param limit: largest balance.
    :param balance: extra sends that are available now.
    """

    ratio: float
    limit: float = SEND_BUDGET_LIMIT
    balance: float = 1

    def credit(self) -> None:
        """Credit one request that was sent."""
        self.balance = min(self.limit, self.balance + self.ratio)

    def consume(self) -> bool:
        """Consume one extra send; return whether one was available."""
        if not self.can_consume():
            return False
        self.balance -= 1
        return True

    def can_consume(self) -> bool:
        """Return whether ``consume`` would succeed."""
        return self.balance >= 1


def new_retry_budget(service: Service) -> SendBudget:
    """Return a service's retry budget, full at the start.

    A crash of one instance breaks as many requests as it has slots. A
    fleet with little traffic must be able to repeat all of them.
    """
    slots = [item.slots for item in service.instances_by_id.values()]
    limit = max([SEND_BUDGET_LIMIT, *slots])
    return SendBudget(ratio=service.retry_ratio, limit=limit, balance=limit)


def is_not_run(error: UpstreamError) -> bool:
    """Return whether an error proves that the request has not run."""
    return isinstance(error, NOT_RUN_ERRORS)


def may_retry(
    *, route: Route, error: UpstreamError, attempts: int, remaining: float
) -> bool:
    """Return whether another attempt is safe, allowed and in time.

    The retry budget is not checked here.

    :param attempts: attempts made so far, the failed one included.
    :param remaining: seconds until the caller's deadline.
    """
    is_safe = is_not_run(error) or route.idempotent
    return is_safe and attempts <= route.retries and remaining > 0

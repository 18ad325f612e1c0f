"""Builders of waiting requests."""

from typing import Any

from bronzewall.edge.scheduling.waiting_request import WaitingRequest
from bronzewall.edge.selection import RequestProfile
from bronzewall.types import AccountId, ServiceName


def a_profile(**changes: Any) -> RequestProfile:
    """Return the profile of a request of 0.2 s with a target of 1 s."""
    fields: dict[str, Any] = {
        'service': ServiceName('drafts'),
        'is_retryable': False,
        'expected_time': 0.2,
        'target_latency': 1.0,
    }
    return RequestProfile(**{**fields, **changes})


def a_waiting_request(
    account: str = 'gulf-daily', **changes: Any
) -> WaitingRequest:
    """Return a request that arrived at 0 s; an event loop must be running."""
    fields: dict[str, Any] = {
        'profile': a_profile(),
        'excluded': frozenset(),
        'rank': 1,
        'account_id': AccountId(account),
        'weight': 1.0,
        'needs_retry': False,
        'is_first': True,
        'arrived': 0,
        'in_time_until': 0.8,
        'expires_at': 2.0,
    }
    return WaitingRequest(**{**fields, **changes})

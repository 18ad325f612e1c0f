"""A request that waits for room at the instances of its service."""

import asyncio
import enum

import attrs

from bronzewall.edge.selection import Candidate, RequestProfile
from bronzewall.types import AccountId, InstanceId


class WaitEnd(enum.Enum):
    """Why a request no longer waits."""

    SENT = 'sent'
    NO_INSTANCE = 'no_instance'
    HOPELESS = 'hopeless'
    DISPLACED = 'displaced'


@attrs.define(kw_only=True, eq=False)
class WaitingRequest:
    """A request that waits for room.

    :param rank: priority rank, 0 the most urgent.
    :param weight: share of its account, relative to other accounts.
    :param needs_retry: an instance has rejected it, so that sending it again
        consumes one retry of the budget.
    :param is_first: it waits for the first time.
    :param arrived: clock time at which it began to wait.
    :param in_time_until: clock time until which it can be sent and answered
        within its target latency.
    :param expires_at: clock time after which it cannot be answered before its
        deadline.
    :param candidate: instance to which it goes, once it was released.
    """

    profile: RequestProfile
    excluded: frozenset[InstanceId]
    rank: int
    account_id: AccountId | None
    weight: float
    needs_retry: bool
    is_first: bool
    arrived: float
    in_time_until: float
    expires_at: float
    candidate: Candidate | None = None
    ended: 'asyncio.Future[WaitEnd]' = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def bounds(self) -> tuple[object, ...]:
        """What it may be sent to, apart from what all requests may."""
        return self.profile.home_regions, self.excluded

    def end(self, reason: WaitEnd, candidate: Candidate | None = None) -> None:
        """End the wait; the caller has removed it from the room."""
        self.candidate = candidate
        if not self.ended.done():
            self.ended.set_result(reason)

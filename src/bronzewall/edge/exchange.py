"""State of one request while a VM of the edge handles it."""

import hashlib

import attrs

from bronzewall.edge.home_regions import HomeRegions, combine
from bronzewall.edge.model import EdgeAccount, EdgeRoute
from bronzewall.edge.ports import InstanceAnswer
from bronzewall.ports import CallerRequest
from bronzewall.problems import Ran, Reason, RefusalError
from bronzewall.types import InstanceId, RequestId, ServiceName

_FINGERPRINT_BYTES = 12


@attrs.define(kw_only=True)
class EdgeExchange:
    """One request that is being handled.

    :param key: key that the caller presented.
    :param started: clock time of the request's arrival.
    :param received_at: clock time at which its last byte was read.
    :param deadline: clock time by which the final answer is due.
    :param fingerprint: identifies the request, also when it is sent again.
    :param tried_ids: instances already tried.
    :param runs: number of instances that may have started to run it.
    :param rejections: number of attempts after which it had certainly not run.
    :param owes_retry: it was rejected and has not yet consumed the retry with
        which it may be sent again.
    :param waiting_since: clock time at which it last began to wait for room.
    :param last_answer: last error response of an instance, delivered if no
        retry succeeds.
    :param is_relayed: another VM relayed it to this one.
    :param relayed_instances: instances that may run it, if it was relayed.
    :param has_token: it consumed a rate-limit token of this VM.
    """

    request: CallerRequest
    request_id: RequestId
    route: EdgeRoute
    service: ServiceName
    account: EdgeAccount | None
    key: str | None
    started: float
    deadline: float
    received_at: float = attrs.field(
        default=attrs.Factory(lambda found: found.started, takes_self=True)
    )
    body: bytes = b''
    fingerprint: bytes = b''
    tried_ids: set[InstanceId] = attrs.field(factory=set)
    runs: int = 0
    rejections: int = 0
    owes_retry: bool = False
    waiting_since: float | None = None
    last_answer: InstanceAnswer | None = None
    is_relayed: bool = False
    relayed_instances: int | None = None
    has_token: bool = False

    @property
    def max_instances(self) -> int:
        """Number of instances that may run the request."""
        if self.relayed_instances is None:
            return self.route.max_instances
        return min(self.relayed_instances, self.route.max_instances)

    @property
    def rank(self) -> int:
        """Priority rank, 0 the most urgent.

        The rank of the account overrides that of the route.
        """
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def home_regions(self) -> HomeRegions | None:
        """Regions in which the request may be served, if it is bound."""
        if self.account is None:
            return self.route.home_regions
        return combine(self.route.home_regions, self.account.home_regions)

    def attach_body(self, body: bytes) -> None:
        """Store the body and compute the fingerprint of the request."""
        self.body = body
        digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
        account_id = self.account.account_id if self.account else ''
        for part in (
            account_id.encode(),
            self.request.method.encode(),
            self.request.target.encode(),
            body,
        ):
            digest.update(len(part).to_bytes(4, 'big'))
            digest.update(part)
        self.fingerprint = digest.digest()

    def refusal(
        self,
        reason: Reason,
        *,
        detail: str = '',
        retry_after: float | None = None,
    ) -> RefusalError:
        """Return a refusal that states whether the request may have run.

        If an instance may have run it, the refusal has no ``retry_after``,
        and every reason except a timeout becomes ``ANSWER_LOST``.
        """
        if not self.runs:
            return RefusalError(
                reason=reason, detail=detail, retry_after=retry_after
            )
        if reason is not Reason.UPSTREAM_TIMEOUT:
            reason = Reason.ANSWER_LOST
        return RefusalError(reason=reason, ran=Ran.UNKNOWN, detail=detail)

"""State of one request while a VM processes it."""

import attrs

from bronzewall import headers as header_rules
from bronzewall.config_model import Account, Route, Service
from bronzewall.crash_suspects import request_fingerprint
from bronzewall.ports import AnswerWriter, CallerRequest
from bronzewall.problems import Ran, RefusalError
from bronzewall.run_outcome import RunRequest, request_digest
from bronzewall.types import AccountId, InstanceId, RequestId


@attrs.define(kw_only=True)
class Exchange:
    """State of one request while it is processed.

    :param deadline: clock time at which the caller's deadline passes.
    :param generation: configuration under which the key was checked.
    :param key: the caller's key, never sent to an upstream.
    :param may_have_run: an attempt ended with an unknown outcome, so no
        later refusal may say "not run".
    :param is_answered: the whole answer was received.
    """

    request: CallerRequest
    request_id: RequestId
    writer: AnswerWriter
    route: Route
    service: Service
    account: Account | None
    key: str | None
    deadline: float
    generation: int = 0
    body: bytes = b''
    tried_ids: set[InstanceId] = attrs.field(factory=set)
    attempts: int = 0
    may_have_run: bool = False
    is_answered: bool = False
    _fingerprint: bytes | None = None

    @property
    def account_id(self) -> AccountId | None:
        """Account of the request, ``None`` on a route open to all."""
        return self.account.account_id if self.account else None

    def fingerprint(self) -> bytes:
        """Return a digest that identifies a request which crashes instances.

        Requires that the body was read.
        """
        if self._fingerprint is None:
            self._fingerprint = request_fingerprint(
                account_id=self.account_id,
                route_id=self.route.route_id,
                target=self.request.target,
                body=self.body,
            )
        return self._fingerprint

    def run_request(self) -> RunRequest:
        """Return the identity of a non-idempotent request for the run gate."""
        request = self.request
        return RunRequest(
            account_id=self.account_id,
            route_id=self.route.route_id,
            key=header_rules.find(
                request.headers, header_rules.IDEMPOTENCY_KEY
            ),
            run_id=header_rules.find(request.headers, header_rules.RUN_ID),
            digest=request_digest(
                method=request.method, target=request.target, body=self.body
            ),
            attempt_id=self.request_id,
            deadline=self.deadline,
            is_key_optional=self.route.idempotency_key == 'optional',
        )

    def with_attempt_history(self, refusal: RefusalError) -> RefusalError:
        """Mark a refusal if an earlier attempt may have run."""
        if self.may_have_run:
            refusal.ran = Ran.UNKNOWN
        return refusal

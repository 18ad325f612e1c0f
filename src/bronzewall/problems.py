"""Refusals as RFC 9457 problem documents."""

import enum
import json
import math

import attrs

from bronzewall import headers as header_rules
from bronzewall.errors import BronzewallError
from bronzewall.ports import Headers
from bronzewall.types import RequestId


class Ran(enum.StrEnum):
    """Whether the refused request has run on an upstream."""

    NO = 'no'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Reason of a refusal with its HTTP status.

    ``key_missing`` and ``key_unknown`` refer to the key of a client
    account, ``key_reused`` to an idempotency key. ``cut_off`` means that
    the account keys on this VM are too old to trust, ``run_id_unreachable``
    that the coordinator of an issued id did not answer.
    """

    BAD_REQUEST = ('bad_request', 400)
    KEY_MISSING = ('key_missing', 401)
    KEY_UNKNOWN = ('key_unknown', 401)
    UNKNOWN_ROUTE = ('unknown_route', 404)
    BODY_TIMEOUT = ('body_timeout', 408)
    HEADER_TIMEOUT = ('header_timeout', 408)
    IN_PROGRESS = ('in_progress', 409)
    OUTCOME_UNKNOWN = ('outcome_unknown', 409)
    BODY_TOO_LARGE = ('body_too_large', 413)
    KEY_REUSED = ('key_reused', 422)
    IDEMPOTENCY_KEY_REQUIRED = ('idempotency_key_required', 428)
    RATE_EXCEEDED = ('rate_exceeded', 429)
    INTERNAL_ERROR = ('internal_error', 500)
    ANSWER_LOST = ('answer_lost', 502)
    NOT_CONFIGURED = ('not_configured', 503)
    CUT_OFF = ('cut_off', 503)
    CRASH_SUSPECT = ('crash_suspect', 503)
    RUN_ID_UNREACHABLE = ('run_id_unreachable', 503)
    STORE_UNAVAILABLE = ('store_unavailable', 503)
    OVERLOADED = ('overloaded', 503)
    NO_INSTANCE = ('no_instance', 503)
    STOPPING = ('stopping', 503)
    UPSTREAM_TIMEOUT = ('upstream_timeout', 504)

    def __init__(self, code: str, status: int) -> None:
        """Store the code and the HTTP status."""
        self.code = code
        self.status = status


class RefusalError(BronzewallError):
    """A request is refused.

    :param ran: whether it has run; ``no`` must be certain.
    :param retry_after: seconds until a retry may succeed, or ``None``
        where a retry cannot help.
    :param detail: explanation for the caller; empty for none.
    """

    def __init__(
        self,
        *,
        reason: Reason,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
        detail: str = '',
    ) -> None:
        """Store the contents of the problem document."""
        super().__init__(f'{reason.code}: {detail}')
        self.reason = reason
        self.ran = ran
        self.retry_after = retry_after
        self.detail = detail


@attrs.frozen(kw_only=True)
class Problem:
    """A problem document ready to send."""

    status: int
    headers: Headers
    body: bytes


def problem_document(
    *, refusal: RefusalError, request_id: RequestId, is_exact: bool = False
) -> Problem:
    """Return the document of a refusal.

    :param is_exact: write fractions of a second in ``Retry-After``, for
        callers that accept them.
    """
    reason = refusal.reason
    members = {
        'type': f'urn:bronzewall:refusal:{reason.code}',
        'title': reason.code.replace('_', ' '),
        'status': reason.status,
        'reason': reason.code,
        'ran': refusal.ran.value,
        'request_id': request_id,
    }
    if refusal.detail:
        members['detail'] = refusal.detail
    body = json.dumps(members).encode()
    extra = []
    if refusal.retry_after is not None:
        # Retry-After has whole seconds; rounding down would invite a
        # retry that comes too early.
        delay = str(math.ceil(refusal.retry_after))
        if is_exact:
            delay = f'{refusal.retry_after:.2f}'
        extra.append(('Retry-After', delay))
    return Problem(
        status=reason.status,
        headers=[
            ('Content-Type', 'application/problem+json'),
            ('Content-Length', str(len(body))),
            (header_rules.REQUEST_ID, request_id),
            *extra,
        ],
        body=body,
    )

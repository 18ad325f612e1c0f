"""Answers requests for run ids."""

import json

from bronzewall import headers as header_rules
from bronzewall.config_model import Account, Route, Service
from bronzewall.errors import CallerGoneError
from bronzewall.issued_ids import RETENTION_S
from bronzewall.ports import AnswerWriter, CallerRequest
from bronzewall.run_permits import RunPermits
from bronzewall.types import AccountId, RequestId, RouteId, ServiceName

ISSUE_PATH = '/.bronzewall/request-ids'
_METHOD = 'POST'
_STATUS_CREATED = 201
_SERVICE_NAME = ServiceName('.bronzewall')

# Pseudo-service under which such a request is processed; it has no
# instances.
ISSUE_SERVICE = Service(name=_SERVICE_NAME, instances_by_id={}, routes_by_id={})
ISSUE_ROUTE = Route(
    route_id=RouteId(f'{_SERVICE_NAME}/request-ids'),
    service=_SERVICE_NAME,
    path=ISSUE_PATH,
    methods=frozenset({_METHOD}),
    idempotent=True,
)


def is_issue_request(request: CallerRequest) -> bool:
    """Return whether a caller asks for a run id."""
    return request.path == ISSUE_PATH and request.method == _METHOD


async def answer_issue(
    *,
    permits: RunPermits,
    account: Account | None,
    request_id: RequestId,
    writer: AnswerWriter,
) -> None:
    """Answer with a new run id.

    :raises RefusalError: too many ids are in use.
    """
    account_id = account.account_id if account else AccountId('')
    document = {
        'run_id': permits.issue(account_id),
        'expires_in_s': int(RETENTION_S),
    }
    body = json.dumps(document).encode()
    try:
        await writer.start(
            status=_STATUS_CREATED,
            headers=[
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
                ('Cache-Control', 'no-store'),
                (header_rules.REQUEST_ID, request_id),
            ],
        )
        await writer.write(body)
        await writer.finish()
    except CallerGoneError:
        return

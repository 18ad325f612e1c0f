"""Header rules between callers and upstreams."""

from bronzewall.ports import Headers

REQUEST_ID = 'Bronzewall-Request-Id'
RUN_ID = 'Bronzewall-Run-Id'
REPLAY = 'Bronzewall-Replay'
ACCOUNT = 'Bronzewall-Account'
DEADLINE_MS = 'Bronzewall-Deadline-Ms'
SHED = 'X-Load-Shed'
DRAINING = 'X-Draining'
RELAY = 'Bronzewall-Relay'
IDEMPOTENCY_KEY = 'Idempotency-Key'

_OWN_PREFIX = 'bronzewall-'
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# The key must not reach the upstream. The client library sets the length and
# the host, so that the upstream gets exactly one message framing.
_DROPPED_FROM_REQUEST = _HOP_BY_HOP | {
    'authorization',
    'content-length',
    'expect',
    'host',
    'x-api-key',
}


def caller_key(headers: Headers) -> str | None:
    """Return the bearer key of a request, or ``None``."""
    for name, text in headers:
        if name.lower() == 'authorization':
            scheme, _, key = text.partition(' ')
            if scheme.lower() == 'bearer' and key.strip():
                return key.strip()
    return None


def find(headers: Headers, header_name: str) -> str | None:
    """Return the first header of this name, or ``None``."""
    lowered = header_name.lower()
    for name, text in headers:
        if name.lower() == lowered:
            return text
    return None


def request_headers(headers: Headers, own: Headers) -> Headers:
    """Return the headers sent to the upstream.

    :param own: headers that bronzewall adds; inbound ones with the same
        prefix are dropped, so that no caller can forge an account.
    """
    dropped = _DROPPED_FROM_REQUEST | _named_by_connection(headers)
    kept = [
        (name, text)
        for name, text in headers
        if name.lower() not in dropped
        and not name.lower().startswith(_OWN_PREFIX)
    ]
    return [*kept, *own]


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's answer sent to the caller."""
    dropped = _HOP_BY_HOP | _named_by_connection(headers)
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in dropped
        and not name.lower().startswith(_OWN_PREFIX)
    ]


def _named_by_connection(headers: Headers) -> frozenset[str]:
    names: set[str] = set()
    for name, text in headers:
        if name.lower() == 'connection':
            names.update(part.strip().lower() for part in text.split(','))
    return frozenset(names)

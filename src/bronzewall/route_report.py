"""Fetches and shows where a VM would send a request."""

from collections.abc import Iterable, Mapping
from typing import Any

import aiohttp

from bronzewall.errors import AdminUnavailableError, QuestionError

_TIMEOUT_S = 2.0
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_COLUMNS = (
    'instance',
    'zone',
    'loss',
    'failing',
    'distance',
    'load',
    'queue',
    'cold',
    'queue_time',
    'in_flight',
    'slots',
    'limit',
    'pause',
)


async def fetch(
    session: aiohttp.ClientSession, *, address: str, query: Mapping[str, str]
) -> dict[str, Any]:
    """Return what a VM says of a request.

    :param address: ``host:port`` of the VM's admin endpoint.
    :raises AdminUnavailableError: the VM did not answer.
    :raises QuestionError: the request is described wrongly.
    """
    url = f'http://{address}/explain-route'
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with session.get(url, params=query, timeout=timeout) as answer:
            if answer.status not in {_STATUS_OK, _STATUS_BAD_REQUEST}:
                answer.raise_for_status()
            found: dict[str, Any] = await answer.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise AdminUnavailableError(f'{address}: {exc!r}') from exc
    if 'error' in found:
        raise QuestionError(found['error'])
    return found


def is_refused(found: Mapping[str, Any]) -> bool:
    """Return whether the request would be refused whatever is drawn."""
    services = found.get('services', ())
    return 'reason' in found or all('reason' in item for item in services)


def lines(found: Mapping[str, Any]) -> Iterable[str]:
    """Yield the lines that show an explanation."""
    yield _fields(found, skipped=('services',))
    for service in found.get('services', ()):
        yield _fields(service, skipped=('candidates',))
        for candidate in service['candidates']:
            yield f'  {_fields(candidate, names=_COLUMNS)}'


def _fields(
    item: Mapping[str, Any],
    *,
    names: Iterable[str] | None = None,
    skipped: Iterable[str] = (),
) -> str:
    return ' '.join(
        f'{name}={item[name]}' for name in names or item if name not in skipped
    )

"""HTTP client of the admin endpoints of VMs."""

from typing import Any

import aiohttp
import attrs

from bronzewall.adapters.stated_end import check_stated_end
from bronzewall.errors import AdminUnavailableError
from bronzewall.publication_check import VmAnswer
from bronzewall.published_change import PublishedChange, encode_change
from bronzewall.types import VmRecord

_TIMEOUT_S = 2.0


@attrs.define(kw_only=True)
class AdminClient:
    """Reads reports from VMs and sends them published changes."""

    session: aiohttp.ClientSession

    async def send_change(
        self, record: VmRecord, change: PublishedChange
    ) -> VmAnswer | None:
        """Send a stored change to one VM; ``None`` if it does not answer."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        url = f'http://{record.admin_address}/change'
        try:
            async with self.session.post(
                url, data=encode_change(change), timeout=timeout
            ) as response:
                return VmAnswer(**await _document(response))
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def fetch(self, address: str, path: str) -> Any:
        """Return the decoded JSON of one report.

        :param address: ``host:port`` of one VM's admin endpoint.
        :raises AdminUnavailableError: the VM did not answer.
        """
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        url = f'http://{address}{path}'
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return await _document(response)
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise AdminUnavailableError(f'{address}: {exc!r}') from exc


async def _document(response: aiohttp.ClientResponse) -> Any:
    """Return the decoded JSON of an answer.

    :raises aiohttp.ClientError: it is an error, or not certainly whole.
    """
    response.raise_for_status()
    check_stated_end(response)
    return await response.json()

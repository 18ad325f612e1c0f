"""Reads reports from the admin endpoints of VMs."""

from typing import Any

import aiohttp
import attrs

from bronzewall.errors import AdminUnavailableError

_TIMEOUT_S = 2.0


@attrs.define(kw_only=True)
class AdminClient:
    """Client of all admin endpoints."""

    session: aiohttp.ClientSession

    async def fetch(self, address: str, path: str) -> Any:
        """Return the decoded JSON report.

        :param address: ``host:port`` of one VM's admin endpoint.
        :raises AdminUnavailableError: the VM did not answer.
        """
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        url = f'http://{address}{path}'
        try:
            async with self.session.get(url, timeout=timeout) as response:
                response.raise_for_status()
                return await response.json()
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise AdminUnavailableError(f'{address}: {exc!r}') from exc

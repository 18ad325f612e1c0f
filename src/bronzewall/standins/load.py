"""Load generator that acts as callers and balancer and counts outcomes."""

import asyncio
import itertools
import json
import random
from collections import Counter
from collections.abc import Sequence

import aiohttp
import attrs

from bronzewall import headers as header_rules

_CHECK_INTERVAL_S = 0.2
_CHECK_TIMEOUT = aiohttp.ClientTimeout(total=0.5)
_STATUS_OK = 200


@attrs.frozen(kw_only=True)
class EntryPoint:
    """Addresses of one VM, each ``host:port``."""

    listen: str
    admin: str


@attrs.frozen(kw_only=True)
class LoadAccount:
    """One client account.

    :param key: API key, sent with each request.
    """

    account_id: str
    key: str


@attrs.frozen(kw_only=True)
class LoadRoute:
    """Method and path of one kind of request."""

    method: str
    path: str
    idempotent: bool


@attrs.define(kw_only=True)
class LoadResult:
    """Counts of outcomes that the callers observed.

    :param cut: requests that ended in a connection or payload error.
    :param silent: requests without an answer in time.
    :param not_run_markers: markers of refused requests that did not run.
    """

    requests: int = 0
    answered: int = 0
    refused: Counter[str] = attrs.field(factory=Counter)
    wrong_account: int = 0
    cut: int = 0
    silent: int = 0
    answered_markers: set[str] = attrs.field(factory=set)
    not_run_markers: set[str] = attrs.field(factory=set)
    outcomes_by_second: dict[int, Counter[str]] = attrs.field(factory=dict)

    def record(self, second: int, outcome: str) -> None:
        """Count an outcome in the second in which the request was sent."""
        self.outcomes_by_second.setdefault(second, Counter())[outcome] += 1


@attrs.define(kw_only=True)
class LoadGenerator:
    """Sends requests at a fixed rate to the VMs that pass the health check.

    :param caller_timeout: seconds after which a request without an answer
        is counted as ``silent``.
    """

    entry_points: Sequence[EntryPoint]
    accounts: Sequence[LoadAccount]
    routes: Sequence[LoadRoute]
    random: random.Random
    caller_timeout: float = 12.0
    outcome: LoadResult = attrs.field(factory=LoadResult)
    _started_at: float = 0
    _ready: list[EntryPoint] = attrs.field(factory=list)
    _marker_numbers: 'itertools.count[int]' = attrs.field(
        factory=itertools.count
    )

    async def run(self, *, rate: float, duration: float) -> LoadResult:
        """Send ``rate`` requests a second for ``duration`` seconds."""
        self._ready = list(self.entry_points)
        self._started_at = asyncio.get_running_loop().time()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            checks = asyncio.create_task(self._check_loop(session))
            sends = []
            for _ in range(int(rate * duration)):
                sends.append(asyncio.create_task(self._send(session)))
                await asyncio.sleep(1 / rate)
            await asyncio.gather(*sends)
            checks.cancel()
        return self.outcome

    async def _check_loop(self, session: aiohttp.ClientSession) -> None:
        while True:
            readiness = await asyncio.gather(
                *(self._is_ready(session, entry) for entry in self.entry_points)
            )
            self._ready = list(itertools.compress(self.entry_points, readiness))
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _is_ready(
        self, session: aiohttp.ClientSession, entry: EntryPoint
    ) -> bool:
        url = f'http://{entry.admin}/check'
        try:
            async with session.get(url, timeout=_CHECK_TIMEOUT) as answer:
                return answer.status == _STATUS_OK
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _send(self, session: aiohttp.ClientSession) -> None:
        outcome = self.outcome
        outcome.requests += 1
        account = self.random.choice(self.accounts)
        route = self.random.choice(self.routes)
        marker = f'{account.account_id}-{next(self._marker_numbers)}'
        second = int(asyncio.get_running_loop().time() - self._started_at)
        try:
            async with asyncio.timeout(self.caller_timeout):
                kind = await self._exchange(session, account, route, marker)
        except TimeoutError:
            outcome.silent += 1
            kind = 'silent'
        except aiohttp.ClientError:
            outcome.cut += 1
            kind = 'cut'
        outcome.record(second, kind)

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        account: LoadAccount,
        route: LoadRoute,
        marker: str,
    ) -> str:
        """Send one request and return the kind of its outcome."""
        headers = {'Authorization': f'Bearer {account.key}', 'X-Marker': marker}
        if not route.idempotent:
            headers[header_rules.IDEMPOTENCY_KEY] = marker
        entry = self.random.choice(self._ready)
        async with session.request(
            route.method, f'http://{entry.listen}{route.path}', headers=headers
        ) as response:
            body = await response.read()
            return self._count(account, marker, response, json.loads(body))

    def _count(
        self,
        account: LoadAccount,
        marker: str,
        response: aiohttp.ClientResponse,
        document: dict[str, str],
    ) -> str:
        outcome = self.outcome
        if response.content_type == 'application/problem+json':
            outcome.refused[document['reason']] += 1
            if document['ran'] == 'no':
                outcome.not_run_markers.add(marker)
            return document['reason']
        outcome.answered += 1
        outcome.answered_markers.add(marker)
        is_own = document['marker'] == marker
        if not is_own or document['account'] != account.account_id:
            outcome.wrong_account += 1
        return 'answered'

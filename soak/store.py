"""Stand-in for the platform's store over HTTP, with faults per VM."""

import asyncio
import base64
import json
import time
from typing import Any

import attrs
from aiohttp import web

_POLL_S = 0.02
# Time between two reports of an instance, seconds.
_REPORT_INTERVAL_S = 1.5
_STATUS_OK = 200
_STATUS_GONE = 410
_VM = web.AppKey('vm', str)


@attrs.define(kw_only=True, eq=False)
class SoakStore:
    """Rows of all tables, with one listener for each VM.

    :param refused_vms: VMs that get 503.
    :param unanswered_vms: VMs that get no answer.
    :param delay: seconds before each answer.
    :param addresses_by_vm: addresses by instance that a VM reads in place of
        the stored ones.
    :param history_from: least revision after which changes can be read.
    :param era: rises with each restore from a copy.
    :param is_away: connections are reset.
    """

    rows: dict[str, dict[str, tuple[str, int]]] = attrs.field(
        factory=lambda: {'op': {}, 'servers': {}, 'bronzewall-vms': {}}
    )
    dropped: dict[str, dict[str, int]] = attrs.field(
        factory=lambda: {'op': {}, 'servers': {}, 'bronzewall-vms': {}}
    )
    revision: int = 1
    history_from: int = 0
    era: int = 1
    is_away: bool = False
    refused_vms: set[str] = attrs.field(factory=set)
    unanswered_vms: set[str] = attrs.field(factory=set)
    delay: float = 0
    addresses_by_vm: dict[str, dict[str, str]] = attrs.field(factory=dict)
    _runners: list[web.AppRunner] = attrs.field(factory=list)

    async def listen(self, vm_id: str) -> str:
        """Start the listener of a VM and return its address."""
        app = web.Application(client_max_size=1 << 24)
        app[_VM] = vm_id
        app.add_routes(
            [
                web.get('/bronzewall/rows-get', self._read),
                web.get('/bronzewall/rows-feed', self._watch),
                web.post('/bronzewall/rows-tx', self._write),
            ]
        )
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self._runners.append(runner)
        return f'127.0.0.1:{runner.addresses[0][1]}'

    async def stop(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row."""
        self.revision += 1
        raw = base64.b64encode(json.dumps(document).encode()).decode()
        self.rows[table][key] = (raw, self.revision)

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self.revision += 1
        self.rows[table].pop(key, None)
        self.dropped[table][key] = self.revision

    def copy(self) -> 'SoakStore':
        """Return a copy of the rows."""
        return SoakStore(
            rows={table: dict(rows) for table, rows in self.rows.items()},
            dropped={
                table: dict(revisions)
                for table, revisions in self.dropped.items()
            },
            revision=self.revision,
        )

    def restore(self, copy: 'SoakStore') -> None:
        """Return to a copy and begin the next era."""
        self.rows = {table: dict(rows) for table, rows in copy.rows.items()}
        self.dropped = {
            table: dict(revisions) for table, revisions in copy.dropped.items()
        }
        self.revision = copy.revision
        self.history_from = min(self.history_from, copy.revision)
        self.era += 1

    def write_again(self, before: 'SoakStore') -> None:
        """Write what operators and instances had written before a restore."""
        for table in ('op', 'servers'):
            for key, (raw, _) in before.rows[table].items():
                self.revision += 1
                self.rows[table][key] = (raw, self.revision)

    def heal(self) -> None:
        """End all faults."""
        self.refused_vms.clear()
        self.unanswered_vms.clear()
        self.delay = 0

    async def _apply_faults(self, request: web.Request) -> None:
        """Delay a call, leave it without an answer or refuse it."""
        vm_id = request.app[_VM]
        await asyncio.sleep(self.delay)
        if self.is_away:
            # The caller may have closed the connection during the delay.
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable
        while vm_id in self.unanswered_vms:
            await asyncio.sleep(_POLL_S)
        if vm_id in self.refused_vms:
            raise web.HTTPServiceUnavailable

    async def _read(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        return self._page(request, after=0)

    async def _watch(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        after = int(request.query['after'])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(request.query['waitMs']) / 1000
        while loop.time() < ends_at:
            table = self.rows[request.query['table']]
            if not self.history_from <= after <= self.revision:
                return self._answer({}, status=_STATUS_GONE)
            changed = [revision for _, revision in table.values()]
            changed.extend(self.dropped[request.query['table']].values())
            if max(changed, default=0) > after:
                break
            await asyncio.sleep(_POLL_S)
            await self._apply_faults(request)
        return self._page(request, after=after)

    async def _write(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        wire = await request.json()
        for row in wire['upserts']:
            self.revision += 1
            stored = (row['value'], self.revision)
            self.rows[row['table']][row['key']] = stored
        return self._answer({'schemaVersion': self.revision, 'now': 0})

    def _answer(self, wire: Any, *, status: int = _STATUS_OK) -> web.Response:
        return web.json_response(
            wire, status=status, headers={'Store-Era': str(self.era)}
        )

    def _seen_by(self, vm_id: str, table: str, key: str, raw: str) -> str:
        """Return a stored value as a VM sees it.

        Instances report all the time, which changes only their count.
        """
        address = self.addresses_by_vm.get(vm_id, {}).get(key)
        if table != 'servers' or address is None:
            return raw
        document = {
            **json.loads(base64.b64decode(raw)),
            'address': address,
            'sequence': int(time.monotonic() / _REPORT_INTERVAL_S),
        }
        return base64.b64encode(json.dumps(document).encode()).decode()

    def _page(self, request: web.Request, *, after: int) -> web.Response:
        table, vm_id = request.query['table'], request.app[_VM]
        rows = [
            {
                'table': table,
                'part': '',
                'key': key,
                'value': self._seen_by(vm_id, table, key, raw),
            }
            for key, (raw, revision) in sorted(self.rows[table].items())
            if revision > after
        ]
        if after:
            rows.extend(
                {'table': table, 'part': '', 'key': key, 'deleted': True}
                for key, revision in self.dropped[table].items()
                if revision > after and key not in self.rows[table]
            )
        return self._answer(
            {
                'tableRows': rows,
                'hasMore': False,
                'schemaVersion': self.revision,
                'now': asyncio.get_running_loop().time(),
            }
        )

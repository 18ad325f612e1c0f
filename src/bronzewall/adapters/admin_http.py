"""Admin HTTP endpoint over aiohttp."""

import attrs
from aiohttp import web

from bronzewall.adapters.listening import listen_on
from bronzewall.admin import AdminView
from bronzewall.errors import SnapshotError
from bronzewall.published_change import decode_change
from bronzewall.types import RequestId

_STATUS_NOT_READY = 503
_STATUS_BAD_CHANGE = 400


@attrs.define(kw_only=True, eq=False)
class AdminServer:
    """Serves the reports of one VM.

    :param listen: ``host:port``.
    """

    listen: str
    view: AdminView
    _runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen for operators and for the load balancer's checks."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/check', self._check),
                web.get('/status', self._status),
                web.get('/debug', self._debug),
                web.get('/explain/{request_id}', self._explain),
                web.get('/metrics', self._metrics),
                web.post('/change', self._change),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await listen_on(self._runner, self.listen)

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _check(self, _request: web.Request) -> web.Response:
        if self.view.is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=_STATUS_NOT_READY, text='not ready\n')

    async def _status(self, _request: web.Request) -> web.Response:
        return web.json_response(self.view.status())

    async def _debug(self, _request: web.Request) -> web.Response:
        return web.json_response(self.view.debug())

    async def _explain(self, request: web.Request) -> web.Response:
        request_id = RequestId(request.match_info['request_id'])
        return web.json_response(self.view.explain(request_id))

    async def _change(self, request: web.Request) -> web.Response:
        try:
            change = decode_change(await request.read())
        except SnapshotError as exc:
            return web.Response(status=_STATUS_BAD_CHANGE, text=str(exc))
        return web.json_response(attrs.asdict(self.view.answer(change)))

    async def _metrics(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=self.view.metrics(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

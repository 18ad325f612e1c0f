"""Upstream stand-in with gray failures and a record of every run."""

import asyncio
import json

import attrs
from aiohttp import web

from bronzewall import headers as header_rules

_HANG_S = 3600
_STATUS_FAILED = 500
_STATUS_SHED = 503


@attrs.frozen(kw_only=True)
class Run:
    """One request that this instance ran.

    :param marker: header ``X-Marker``, by which tests identify a request.
    :param saw_key: the request had an ``Authorization`` header, so the
        caller's key was not removed.
    """

    request_id: str
    account: str
    method: str
    target: str
    marker: str
    saw_key: bool


@attrs.define(kw_only=True)
class UpstreamFaults:
    """Fault that the instance injects.

    :param fault: ``none``, ``hang``, ``slow``, ``fail``, ``reset``,
        ``truncate`` or ``shed``.
    :param path: prefix of the request paths that the fault affects.
    :param extra_delay: seconds that ``slow`` adds to a request.
    """

    fault: str = 'none'
    path: str = '/'
    extra_delay: float = 1.0


@attrs.define(kw_only=True)
class UpstreamStandin:
    """One upstream instance with an HTTP interface to control its faults.

    :param delay: seconds to run a request.
    """

    name: str
    delay: float = 0.005
    faults: UpstreamFaults = attrs.field(factory=UpstreamFaults)
    runs: list[Run] = attrs.field(factory=list)

    def application(self) -> web.Application:
        """Return the web application."""
        app = web.Application()
        app.on_response_prepare.append(_echo_request_id)
        app.add_routes(
            [
                web.post('/-/control', self._control),
                web.get('/-/runs', self._list_runs),
                web.get('/-/health', self._health),
                web.route('*', '/{path:.*}', self._serve),
            ]
        )
        return app

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        fault = self.faults.fault
        if not request.path.startswith(self.faults.path):
            fault = 'none'
        if fault == 'shed':
            return web.Response(
                status=_STATUS_SHED, headers={header_rules.SHED: '1'}
            )
        if fault == 'reset':
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        body = await request.read()
        self._record(request)
        await asyncio.sleep(self._run_time(fault))
        if fault == 'fail':
            return web.Response(status=_STATUS_FAILED)
        if fault == 'truncate':
            return await self._truncate(request)
        return web.json_response(
            {
                'instance': self.name,
                'marker': request.headers.get('X-Marker', ''),
                'account': request.headers.get(header_rules.ACCOUNT, ''),
                'size': len(body),
            }
        )

    def _run_time(self, fault: str) -> float:
        if fault == 'hang':
            return _HANG_S
        if fault == 'slow':
            return self.delay + self.faults.extra_delay
        return self.delay

    def _record(self, request: web.Request) -> None:
        names = {name.lower() for name in request.headers}
        self.runs.append(
            Run(
                request_id=request.headers.get(header_rules.REQUEST_ID, ''),
                account=request.headers.get(header_rules.ACCOUNT, ''),
                method=request.method,
                target=request.raw_path,
                marker=request.headers.get('X-Marker', ''),
                saw_key='authorization' in names,
            )
        )

    async def _truncate(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={'Content-Length': '1000'})
        await response.prepare(request)
        await response.write(b'{"instance"')
        assert request.transport is not None
        request.transport.close()
        return response

    async def _control(self, request: web.Request) -> web.Response:
        fields = json.loads(await request.read())
        self.faults = attrs.evolve(self.faults, **fields)
        return web.json_response({})

    async def _list_runs(self, _request: web.Request) -> web.Response:
        return web.json_response([attrs.asdict(run) for run in self.runs])

    async def _health(self, _request: web.Request) -> web.Response:
        return web.json_response({'status': 'ok', 'load': 0})


async def _echo_request_id(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Echo the request's id, so that connections are used again."""
    request_id = request.headers.get(header_rules.REQUEST_ID)
    if request_id is not None:
        response.headers[header_rules.REQUEST_ID] = request_id


async def serve_upstream(
    *, listen: str, name: str, delay: float
) -> web.AppRunner:
    """Start an instance on ``host:port`` and return its runner."""
    standin = UpstreamStandin(name=name, delay=delay)
    runner = web.AppRunner(
        standin.application(),
        access_log=None,
        # Hanging requests must not delay the end of the process.
        shutdown_timeout=0.1,
    )
    await runner.setup()
    host, _, port = listen.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    return runner

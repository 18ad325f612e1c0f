"""HTTP server for the pages of one VM: checks, metrics, status."""

from collections.abc import Callable, Mapping

import attrs
from aiohttp import web

from bronzewall.adapters.listening import listen_on

_STATUS_OK = 200
_STATUS_NOT_READY = 503
_STATUS_MISSING = 404


@attrs.frozen(kw_only=True)
class Page:
    """Body, status and content type of an answer."""

    body: bytes
    status: int = _STATUS_OK
    content_type: str = 'text/plain; charset=utf-8'


PageBuilder = Callable[[], Page]
QueryPageBuilder = Callable[[Mapping[str, str]], Page]


def readiness_page(is_ready: Callable[[], bool]) -> PageBuilder:
    """Return the page builder of the load balancer's readiness check."""

    def build() -> Page:
        if is_ready():
            return Page(body=b'ready\n')
        return Page(body=b'not ready\n', status=_STATUS_NOT_READY)

    return build


@attrs.define(kw_only=True, eq=False)
class ReportServer:
    """Serves pages by path.

    :param listen: ``host:port``.
    :param query_pages_by_path: pages that depend on the query.
    """

    listen: str
    pages_by_path: Mapping[str, PageBuilder]
    query_pages_by_path: Mapping[str, QueryPageBuilder] = attrs.field(
        factory=dict
    )
    _runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen for requests."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server)
        await listen_on(self._runner, self.listen)

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        build = self.pages_by_path.get(request.path)
        build_of_query = self.query_pages_by_path.get(request.path)
        if build is not None:
            page = build()
        elif build_of_query is not None:
            page = build_of_query(request.query)
        else:
            return web.Response(status=_STATUS_MISSING, text='no such page\n')
        return web.Response(
            status=page.status,
            body=page.body,
            headers={'Content-Type': page.content_type},
        )

"""Tests of the HTTP server for checks and reports."""

import aiohttp
import pytest

from bronzewall.adapters.report_http import Page, ReportServer, readiness_page


@pytest.mark.parametrize(
    ('path', 'is_ready', 'status'),
    [('/check', True, 200), ('/check', False, 503), ('/other', True, 404)],
)
async def test_status_by_path(path, is_ready, status, unused_tcp_port) -> None:
    server = ReportServer(
        listen=f'127.0.0.1:{unused_tcp_port}',
        pages_by_path={
            '/check': readiness_page(lambda: is_ready),
            '/text': lambda: Page(body=b'text'),
        },
    )
    await server.start()
    try:
        async with aiohttp.ClientSession() as session:
            url = f'http://127.0.0.1:{unused_tcp_port}{path}'
            async with session.get(url) as response:
                assert response.status == status
    finally:
        await server.stop()

"""Bare aiohttp pass-through, the baseline of the overhead bench."""

import asyncio
import signal
import sys

import aiohttp
from aiohttp import web


async def _serve(listen: str, upstream: str) -> None:
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
    )

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        async with session.request(
            request.method,
            f'http://{upstream}{request.raw_path}',
            data=await request.read() or None,
        ) as answer:
            response = web.StreamResponse(
                status=answer.status,
                headers={'Content-Length': answer.headers['Content-Length']},
            )
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    host, _, port = listen.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    await stop.wait()
    await runner.cleanup()
    await session.close()


if __name__ == '__main__':
    asyncio.run(_serve(sys.argv[1], sys.argv[2]))

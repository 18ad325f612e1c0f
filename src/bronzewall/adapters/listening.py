"""Listening sockets of aiohttp servers."""

from aiohttp import web


async def listen_on(runner: web.BaseRunner, address: str) -> None:
    """Set up a server and listen on an address.

    :param address: ``host:port``.
    """
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()

"""Runs one stand-in as a process: ``python -m bronzewall.standins``."""

import argparse
import asyncio
import signal

from aiohttp import web

from bronzewall.standins.platform import serve_platform
from bronzewall.standins.upstream import serve_upstream

_DEFAULT_DELAY_S = 0.005


async def _run(arguments: argparse.Namespace) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    runner: web.AppRunner
    if arguments.kind == 'platform':
        runner = await serve_platform(listen=arguments.listen)
    else:
        runner = await serve_upstream(
            listen=arguments.listen,
            name=arguments.name,
            delay=arguments.delay,
        )
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Parse the arguments and run the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument('kind', choices=['platform', 'upstream'])
    parser.add_argument('--listen', required=True)
    parser.add_argument('--name', default='upstream')
    parser.add_argument('--delay', type=float, default=_DEFAULT_DELAY_S)
    asyncio.run(_run(parser.parse_args()))


if __name__ == '__main__':
    main()

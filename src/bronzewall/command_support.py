"""Options and helpers shared by the commands."""

import asyncio
import os
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

import aiohttp
from cleo.commands.command import Command
from cleo.helpers import option

from bronzewall import fleet_report
from bronzewall.adapters.admin_client import AdminClient
from bronzewall.adapters.platform_http import (
    PlatformClient,
    PlatformVmList,
    open_platform_session,
)
from bronzewall.errors import SettingsError
from bronzewall.types import VmRecord

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
PLATFORM_VARIABLE = 'BRONZEWALL_PLATFORM'
JSON_OPTION = option('json', None, 'Print JSON for programs.')
PLATFORM_OPTION = option(
    'platform',
    None,
    f'Base URL of the platform; default {PLATFORM_VARIABLE}.',
    flag=False,
)
_ResultT = TypeVar('_ResultT')


def platform_url(command: Command) -> str:
    url = command.option('platform') or os.environ.get(PLATFORM_VARIABLE)
    if not url:
        raise SettingsError(
            f'give --platform or set {PLATFORM_VARIABLE} to a base URL'
        )
    return str(url)


def parse_flags(parts: Sequence[str]) -> dict[str, str]:
    flags = {}
    for part in parts:
        name, separator, setting = part.partition('=')
        if not separator:
            raise SettingsError(f'--set {part!r}; expected name=value')
        flags[name] = setting
    return flags


def collect_reports(platform: str, path: str) -> list[fleet_report.VmReport]:
    async def ask(session: aiohttp.ClientSession) -> Any:
        records = await list_vms(platform, session)
        client = AdminClient(session=session)
        return await fleet_report.collect(
            records=records, fetch=client.fetch, path=path
        )

    reports: list[fleet_report.VmReport] = with_session(ask)
    return reports


async def list_vms(
    platform: str, session: aiohttp.ClientSession
) -> Sequence[VmRecord]:
    client = PlatformClient(base_url=platform, session=session)
    return await PlatformVmList(client=client).read()


def with_session(
    work: Callable[[aiohttp.ClientSession], Awaitable[_ResultT]],
) -> _ResultT:
    async def run() -> _ResultT:
        async with open_platform_session() as session:
            return await work(session)

    return asyncio.run(run())

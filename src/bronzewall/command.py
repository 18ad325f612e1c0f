"""Command line: thin commands over the library."""

import asyncio
import json
import os
import pathlib
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

import aiohttp
from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option

from bronzewall import fleet_report
from bronzewall.adapters.admin_client import AdminClient
from bronzewall.adapters.platform_http import PlatformClient, PlatformVmList
from bronzewall.composition import serve
from bronzewall.config_files import load_directory
from bronzewall.errors import (
    BronzewallError,
    ConfigurationFilesError,
    SettingsError,
)
from bronzewall.key_table import key_digest
from bronzewall.logs import configure_logs
from bronzewall.settings import load_settings
from bronzewall.types import VmRecord

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
_EXIT_HELP = """
Exit codes: 0 success, 1 failure or mistakes found, 2 wrong usage."""
_PLATFORM_VARIABLE = 'BRONZEWALL_PLATFORM'
_JSON_OPTION = option('json', None, 'Print JSON for programs.')
_PLATFORM_OPTION = option(
    'platform',
    None,
    f'Base URL of the platform; default {_PLATFORM_VARIABLE}.',
    flag=False,
)
_ResultT = TypeVar('_ResultT')


class ServeCommand(Command):
    """Run the daemon of one VM."""

    name = 'serve'
    description = 'Run the daemon of one VM until SIGTERM.'
    help = (
        'Each setting NAME is read from BRONZEWALL_NAME, or from '
        f'--set name=value, which goes first.\n{_EXIT_HELP}'
    )
    options = [
        option('set', 's', 'Setting as name=value.', flag=False, multiple=True)
    ]

    def handle(self) -> int:
        """Load the settings and serve."""
        settings, origins = load_settings(
            flags=_flags(self.option('set')), environment=os.environ
        )
        configure_logs(log_format=settings.log_format, level=settings.log_level)
        asyncio.run(serve(settings, origins))
        return EXIT_OK


class CheckCommand(Command):
    """Check operators' files."""

    name = 'check'
    description = 'Check the files of a directory and list all mistakes.'
    help = _EXIT_HELP
    arguments = [argument('path', 'Directory with the files.')]
    options = [_JSON_OPTION]

    def handle(self) -> int:
        """Print all mistakes, or a summary."""
        try:
            found = load_directory(pathlib.Path(self.argument('path')))
        except ConfigurationFilesError as exc:
            return self._report(exc)
        if self.option('json'):
            self.line(json.dumps({'problems': []}))
        else:
            self.line(
                f'{len(found.services_by_name)} services and '
                f'{len(found.accounts_by_id)} accounts are valid'
            )
        return EXIT_OK

    def _report(self, exc: ConfigurationFilesError) -> int:
        if self.option('json'):
            problems = [
                {
                    'path': problem.path,
                    'line': problem.line,
                    'key': problem.key,
                    'found': problem.found,
                    'allowed': problem.allowed,
                }
                for problem in exc.problems
            ]
            self.line(json.dumps({'problems': problems}))
        else:
            for problem in exc.problems:
                self.line_error(str(problem))
        return EXIT_FAILED


class DigestCommand(Command):
    """Compute the digest of a key."""

    name = 'digest'
    description = 'Read a key from standard input and print its digest.'
    help = (
        'The accounts file holds digests only. The key is read from '
        f'standard input, so that it is not kept in a shell history.\n'
        f'{_EXIT_HELP}'
    )

    def handle(self) -> int:
        """Print the digest."""
        self.line(key_digest(sys.stdin.readline().strip()).hex())
        return EXIT_OK


class StatusCommand(Command):
    """Show the state of the fleet."""

    name = 'status'
    description = 'Show generation, store, ejections and rights by VM.'
    help = f'Reads only; exit 1 if a VM did not answer.\n{_EXIT_HELP}'
    options = [_PLATFORM_OPTION, _JSON_OPTION]

    def handle(self) -> int:
        """Print the reports of all VMs."""
        reports = _collect(_platform(self), '/status')
        if self.option('json'):
            self.line(json.dumps(fleet_report.to_json(reports)))
        else:
            for line in fleet_report.status_lines(reports):
                self.line(line)
        has_errors = any(vm_report.error for vm_report in reports)
        return EXIT_FAILED if has_errors else EXIT_OK


class ExplainCommand(Command):
    """Show what the fleet did with a request."""

    name = 'explain'
    description = 'Show the decisions about one request and their reasons.'
    help = (
        'The request id is in the header Bronzewall-Request-Id of every '
        'answer. VMs remember their most recent requests; exit 1 if none '
        f'remembers this one.\n{_EXIT_HELP}'
    )
    arguments = [argument('request-id', 'Id of the request.')]
    options = [_PLATFORM_OPTION, _JSON_OPTION]

    def handle(self) -> int:
        """Print the steps of the request."""
        path = f'/explain/{self.argument("request-id")}'
        reports = _collect(_platform(self), path)
        steps = [
            step for vm_report in reports for step in vm_report.report or ()
        ]
        steps.sort(key=_step_time)
        if self.option('json'):
            self.line(json.dumps(steps))
        else:
            for line in fleet_report.explain_lines(steps):
                self.line(line)
        return EXIT_OK if steps else EXIT_FAILED


class DebugCommand(Command):
    """Show settings and beliefs of VMs."""

    name = 'debug'
    description = 'Show settings with their origin and what VMs believe.'
    help = f'Reads only; always prints JSON.\n{_EXIT_HELP}'
    arguments = [argument('vm', 'Id of one VM; default all.', optional=True)]
    options = [_PLATFORM_OPTION]

    def handle(self) -> int:
        """Print the debug reports."""
        wanted = self.argument('vm')
        reports = [
            vm_report
            for vm_report in _collect(_platform(self), '/debug')
            if wanted in {None, vm_report.record.vm_id}
        ]
        self.line(json.dumps(fleet_report.to_json(reports), indent=2))
        return EXIT_OK if reports else EXIT_FAILED


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application('bronzewall')
    application.catch_exceptions(False)
    for command_class in (
        ServeCommand,
        CheckCommand,
        DigestCommand,
        StatusCommand,
        ExplainCommand,
        DebugCommand,
    ):
        application.add(command_class())
    return application


def main() -> None:
    """Run a command and exit."""
    try:
        code = build_application().run()
    except CleoError as exc:
        sys.stderr.write(f'error: {exc}\n')
        code = EXIT_USAGE
    except BronzewallError as exc:
        sys.stderr.write(f'error: {exc}\n')
        code = EXIT_FAILED
    sys.exit(code)


def _platform(command: Command) -> str:
    url = command.option('platform') or os.environ.get(_PLATFORM_VARIABLE)
    if not url:
        raise SettingsError(
            f'give --platform or set {_PLATFORM_VARIABLE} to a base URL'
        )
    return str(url)


def _flags(parts: Sequence[str]) -> dict[str, str]:
    flags = {}
    for part in parts:
        name, separator, setting = part.partition('=')
        if not separator:
            raise SettingsError(f'--set {part!r}; expected name=value')
        flags[name] = setting
    return flags


def _step_time(step: dict[str, Any]) -> float:
    return float(step['at'])


def _collect(platform: str, path: str) -> list[fleet_report.VmReport]:
    async def ask(session: aiohttp.ClientSession) -> Any:
        records = await _list_vms(platform, session)
        client = AdminClient(session=session)
        return await fleet_report.collect(
            records=records, fetch=client.fetch, path=path
        )

    reports: list[fleet_report.VmReport] = _with_session(ask)
    return reports


async def _list_vms(
    platform: str, session: aiohttp.ClientSession
) -> Sequence[VmRecord]:
    client = PlatformClient(base_url=platform, session=session)
    return await PlatformVmList(client=client).read()


def _with_session(
    work: Callable[[aiohttp.ClientSession], Awaitable[_ResultT]],
) -> _ResultT:
    async def run() -> _ResultT:
        async with aiohttp.ClientSession() as session:
            return await work(session)

    return asyncio.run(run())

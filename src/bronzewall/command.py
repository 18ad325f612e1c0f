"""Command-line interface."""

import asyncio
import json
import os
import pathlib
import sys
from typing import Any

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError, CleoValueError
from cleo.helpers import argument, option

from bronzewall import fleet_report, route_report
from bronzewall.command_support import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    JSON_OPTION,
    PLATFORM_OPTION,
    collect_reports,
    parse_flags,
    platform_url,
    with_session,
)
from bronzewall.composition import serve
from bronzewall.config_files import load_directory
from bronzewall.errors import (
    BronzewallError,
    ConfigurationFilesError,
    QuestionError,
)
from bronzewall.key_table import key_digest
from bronzewall.log_explain import steps_of
from bronzewall.logs import configure_logs
from bronzewall.publish_command import PublishCommand
from bronzewall.settings import load_settings

_EXIT_HELP = """
Exit codes: 0 success, 1 failure or mistakes found, 2 wrong usage."""


class ServeCommand(Command):
    """Run the daemon of one VM."""

    name = 'serve'
    description = 'Run the daemon of one VM until SIGTERM.'
    help = (
        'Each setting NAME is read from BRONZEWALL_NAME, or from '
        f'--set name=value, which takes precedence.\n{_EXIT_HELP}'
    )
    options = [
        option('set', 's', 'Setting as name=value.', flag=False, multiple=True)
    ]

    def handle(self) -> int:
        """Load the settings and serve."""
        settings, origins = load_settings(
            flags=parse_flags(self.option('set')), environment=os.environ
        )
        configure_logs(log_format=settings.log_format, level=settings.log_level)
        asyncio.run(serve(settings, origins))
        return EXIT_OK


class CheckCommand(Command):
    """Check operators' configuration files."""

    name = 'check'
    description = 'Check the files of a directory and list all mistakes.'
    help = _EXIT_HELP
    arguments = [argument('path', 'Directory with the files.')]
    options = [JSON_OPTION]

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
        'The accounts file holds digests, not keys. The key is read from '
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
    description = 'Show generation, store, ejections and quota shares by VM.'
    help = f'Reads only; exit 1 if a VM did not answer.\n{_EXIT_HELP}'
    options = [PLATFORM_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Print the reports of all VMs."""
        reports = collect_reports(platform_url(self), '/status')
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
        'answer. VMs keep a record of their most recent requests; exit 1 if '
        f'none has a record of this one.\n{_EXIT_HELP}'
    )
    arguments = [argument('request-id', 'Id of the request.')]
    options = [
        PLATFORM_OPTION,
        JSON_OPTION,
        option('log', None, 'Log file to read; - for stdin.', flag=False),
    ]

    def handle(self) -> int:
        """Print the steps of the request."""
        if self.option('log'):
            return self._explain_log(self.option('log'))
        path = f'/explain/{self.argument("request-id")}'
        reports = collect_reports(platform_url(self), path)
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

    def _explain_log(self, path: str) -> int:
        """Print the steps of the request that a log contains."""
        request_id = self.argument('request-id')
        if path == '-':
            steps = steps_of(sys.stdin, request_id)
        else:
            with open(path, encoding='utf-8') as lines:
                steps = steps_of(lines, request_id)
        for step in steps:
            self.line(str(step))
        return EXIT_OK if steps else EXIT_FAILED


class ExplainRouteCommand(Command):
    """Show where a VM of the edge would send a request now, and why."""

    name = 'explain-route'
    description = 'Show where a request would go now, without sending it.'
    help = (
        'Asks one VM by its admin address. Exit 1 if the VM does not answer '
        f'or would refuse the request.\n{_EXIT_HELP}'
    )
    arguments = [
        argument('admin', 'host:port of the admin endpoint of a VM.'),
        argument('host', 'Host that the request names.'),
        argument('target', 'Path and query of the request.'),
    ]
    options = [
        JSON_OPTION,
        option('method', None, 'Method.', flag=False, default='GET'),
        option('account', None, 'Id of the account.', flag=False),
        option('size', None, 'Bytes of the body.', flag=False, default='0'),
    ]

    def handle(self) -> int:
        """Print what the VM answers."""
        query = {name: self.argument(name) for name in ('host', 'target')} | {
            name: self.option(name)
            for name in ('method', 'account', 'size')
            if self.option(name)
        }
        try:
            found = with_session(
                lambda session: route_report.fetch(
                    session, address=self.argument('admin'), query=query
                )
            )
        except QuestionError as exc:
            raise CleoValueError(str(exc)) from exc
        if self.option('json'):
            self.line(json.dumps(found))
        else:
            for line in route_report.lines(found):
                self.line(line)
        return EXIT_FAILED if route_report.is_refused(found) else EXIT_OK


class DebugCommand(Command):
    """Show settings and internal state of VMs."""

    name = 'debug'
    description = 'Show settings with their origin and the state of VMs.'
    help = f'Reads only; always prints JSON.\n{_EXIT_HELP}'
    arguments = [argument('vm', 'Id of one VM; default all.', optional=True)]
    options = [PLATFORM_OPTION]

    def handle(self) -> int:
        """Print the debug reports."""
        vm_id = self.argument('vm')
        reports = [
            vm_report
            for vm_report in collect_reports(platform_url(self), '/debug')
            if vm_id in {None, vm_report.record.vm_id}
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
        PublishCommand,
        DigestCommand,
        StatusCommand,
        ExplainCommand,
        ExplainRouteCommand,
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


def _step_time(step: dict[str, Any]) -> float:
    return float(step['at'])

"""Command line: thin commands over the library."""

import asyncio
import os
import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from bronzewall.daemon import serve
from bronzewall.errors import BronzewallError
from bronzewall.logs import configure_logs
from bronzewall.settings import load_settings

EXIT_OK = 0
EXIT_FAILED = 1


class ServeCommand(Command):
    """Run the daemon of one VM."""

    name = 'serve'
    description = 'Run the daemon of one VM until SIGTERM.'
    options = [
        option(
            'set',
            None,
            'NAME=VALUE; overrides BRONZEWALL_NAME.',
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Load the settings and serve."""
        flags = dict(part.partition('=')[::2] for part in self.option('set'))
        settings, origins = load_settings(flags=flags, environment=os.environ)
        configure_logs(log_format=settings.log_format, level=settings.log_level)
        asyncio.run(serve(settings, origins))
        return EXIT_OK


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application('bronzewall')
    application.catch_exceptions(False)
    application.add(ServeCommand())
    return application


def main(arguments: Sequence[str] | None = None) -> None:
    """Run a command and exit."""
    try:
        code = build_application().run()
    except BronzewallError as exc:
        sys.stderr.write(f'error: {exc}\n')
        code = EXIT_FAILED
    sys.exit(code)

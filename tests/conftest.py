"""Shared pytest configuration."""

import pathlib

import pytest
import structlog
from hypothesis import settings

_KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
# A line that begins so is the id of a test that is known to fail.
_TEST_ID_PREFIX = 'tests/'

# Every run tests the same examples, so that the result of CI is reproducible.
settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

# The default renderer prints all local variables of a traceback, which
# takes minutes for the state of a whole fleet. Cached loggers could not be
# captured by a test.
structlog.configure(
    processors=[
        structlog.processors.add_log_level,
        structlog.dev.ConsoleRenderer(
            colors=False, exception_formatter=structlog.dev.plain_traceback
        ),
    ],
    cache_logger_on_first_use=False,
)


def _known_red_ids() -> set[str]:
    return {
        line.strip()
        for line in _KNOWN_RED.read_text().splitlines()
        if line.startswith(_TEST_ID_PREFIX)
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect exactly the tests that KNOWN-RED.txt lists to fail.

    One that passes fails the run, so that its entry is removed.
    """
    listed = _known_red_ids()
    for item in items:
        if item.nodeid in listed:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that failed as KNOWN-RED.txt expects."""
    for report in terminalreporter.getreports('xfailed'):
        terminalreporter.write_line(f'KNOWN-RED {report.nodeid}')

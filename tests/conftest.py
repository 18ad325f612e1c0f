"""Shared pytest configuration."""

import structlog
from hypothesis import settings

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

"""Shared pytest configuration."""

import structlog
from hypothesis import settings

# The same examples on every run, so that CI gives one verdict.
settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

# The default renderer prints all local variables of a traceback, which
# takes minutes for the state of a whole fleet. Caching would keep loggers
# from being captured by a test.
structlog.configure(
    processors=[
        structlog.processors.add_log_level,
        structlog.dev.ConsoleRenderer(
            colors=False, exception_formatter=structlog.dev.plain_traceback
        ),
    ],
    cache_logger_on_first_use=False,
)

"""Configures structured logging."""

import logging
import sys

import structlog

from bronzewall.log_sink import LogSink

LEVELS_BY_NAME = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def configure_logs(
    *, log_format: str, level: str, sink: LogSink | None = None
) -> None:
    """Set up structlog to write to standard error or to a sink.

    :param log_format: ``console`` or ``json``.
    :param level: name of the lowest level that is written.
    :param sink: receives the lines instead of standard error.
    """
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if log_format == 'console':
        renderer = structlog.dev.ConsoleRenderer(
            colors=sys.stderr.isatty(),
            # The default formatter prints all local variables. That takes
            # seconds, and the variables may hold keys.
            exception_formatter=structlog.dev.plain_traceback,
        )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            LEVELS_BY_NAME[level]
        ),
        logger_factory=(
            structlog.PrintLoggerFactory(file=sys.stderr)
            if sink is None
            else lambda *_args: sink
        ),
        cache_logger_on_first_use=True,
    )

"""Time limits of callers' connections, and the answer to a late header."""

from http import HTTPStatus

import attrs

from bronzewall.problems import Problem


@attrs.frozen(kw_only=True)
class CallerTimeouts:
    """Time limits of one server, seconds.

    :param header: from the first byte of a header block to its last one.
    :param idle: without a byte from the caller and without an answer that is
        still to be taken. The default is that of aiohttp.
    """

    header: float = 10
    idle: float = 3630


def last_answer(problem: Problem) -> bytes:
    """Return an encoded answer after which the connection is closed."""
    phrase = HTTPStatus(problem.status).phrase
    lines = [
        f'HTTP/1.1 {problem.status} {phrase}',
        *(f'{name}: {text}' for name, text in problem.headers),
        'Connection: close',
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + problem.body

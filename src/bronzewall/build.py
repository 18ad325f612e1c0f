"""Identifies the sources that this process runs."""

import functools
import pathlib

# Written beside the package when it is built, see deploy/system.toml.
_FILE = pathlib.Path(__file__).parent / 'BUILD'
_UNKNOWN = 'unknown'


@functools.cache
def build_id() -> str:
    """Return the start of the digest of the sources, or ``unknown``.

    It is read when the process first needs it and does not change after that.
    """
    try:
        return _FILE.read_text(encoding='ascii').strip() or _UNKNOWN
    except OSError:
        # The package was not built for a deployment.
        return _UNKNOWN

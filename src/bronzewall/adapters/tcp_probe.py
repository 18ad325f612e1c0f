"""TCP checks of whether upstream instances accept connections."""

import asyncio

from bronzewall.config_model import Instance
from bronzewall.errors import AddressError
from bronzewall.wire_checks import split_address

_TIMEOUT_S = 0.3


async def refuses_connections(instance: Instance) -> bool:
    """Return whether connections to an instance are refused.

    A timeout does not mean that the instance has stopped: a full listen
    backlog causes it too.
    """
    try:
        await _connect(instance.address)
    except TimeoutError:
        return False
    except (OSError, AddressError):
        return True
    return False


async def accepts_connections(address: str) -> bool:
    """Return whether an address accepts a connection in time.

    :param address: ``host:port``.
    """
    try:
        await _connect(address)
    except (OSError, AddressError):
        return False
    return True


async def _connect(address: str) -> None:
    """Open a connection and close it.

    :raises AddressError: the address is not valid.
    """
    host, port = split_address(address)
    async with asyncio.timeout(_TIMEOUT_S):
        _, writer = await asyncio.open_connection(host, port)
    writer.close()

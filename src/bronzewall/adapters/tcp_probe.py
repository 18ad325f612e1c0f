"""TCP check of whether an upstream instance accepts connections."""

import asyncio

from bronzewall.config_model import Instance

_TIMEOUT_S = 0.3


async def refuses_connections(instance: Instance) -> bool:
    """Return whether connections to an instance are refused.

    A timeout does not mean that the instance has stopped: a full listen
    backlog causes it too.
    """
    host, _, port = instance.address.rpartition(':')
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return False
    except OSError:
        return True
    writer.close()
    return False

"""What the kernel knows of a TCP connection (Linux)."""

import asyncio
import fcntl
import socket
import struct
import termios

# ``tcpi_bytes_acked`` of ``struct tcp_info``: after 8 bytes of small fields, 24
# numbers of 4 bytes and two of 8 bytes.
_INFO_BYTES = 128
_ACKED = struct.Struct('120xQ')
_COUNT = struct.Struct('i')


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes in the send buffer that the peer has not acknowledged.

    A connection that is closed has none.
    """
    connection = transport.get_extra_info('socket')
    try:
        counted = fcntl.ioctl(
            connection.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size)
        )
    except (OSError, ValueError):
        return 0
    count: int = _COUNT.unpack(counted)[0]
    return count


def acknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the peer has acknowledged so far."""
    connection = transport.get_extra_info('socket')
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
        )
    except OSError:
        return 0
    count: int = _ACKED.unpack(info)[0]
    return count

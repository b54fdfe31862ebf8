"""The round-trip time of a connection as measured by the kernel."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# Offset of tcpi_rtt in Linux's struct tcp_info: the smoothed round-trip time in microseconds.
TCP_INFO_RTT_OFFSET_BYTES = 68
TCP_INFO_SIZE_BYTES = 72
_RTT_FIELD = struct.Struct('=I')


def read_round_trip_ms(transport: asyncio.Transport | None) -> float:
    """Return the round-trip time that the kernel measured on a connection, 0 if unknown."""
    connection_socket = transport.get_extra_info('socket') if transport is not None else None
    if connection_socket is None:
        return 0.0
    try:
        info = connection_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE_BYTES
        )
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_SIZE_BYTES:
        return 0.0
    round_trip_us: int = _RTT_FIELD.unpack_from(info, TCP_INFO_RTT_OFFSET_BYTES)[0]
    return round_trip_us / 1000.0

"""What a peer's host has yet to acknowledge of the bytes sent to it."""

import array
import asyncio
import fcntl
import socket
import termios

__all__ = ["UploadWatch"]

CHECK_INTERVAL_S = 0.005
# Longest time without an acknowledgement, after the peer has ended its side.
MAX_STALL_S = 1.0
RESET_ERROR = "the server reset the connection within the request"
STALL_ERROR = "the server ended its response and stopped taking the request"


class UploadWatch:
    """Wait until a peer that has ended its side has taken what was sent.

    A peer may send a response, end its side, and reset the connection while
    the request is still being written. The reset shows as an error of the
    socket, or of a later write, and not to a reader.

    :param transport: transport of the connection
    :param on_taken: function that is called once all bytes are acknowledged
    :param on_lost: function that is called with an ``OSError`` if the
        connection was reset, or the peer stopped taking bytes
    """

    __slots__ = ("transport", "on_taken", "on_lost", "left", "stalled_s")

    def __init__(self, transport, on_taken, on_lost):
        self.transport = transport
        self.on_taken = on_taken
        self.on_lost = on_lost
        self.left = unacknowledged_bytes(transport)
        self.stalled_s = 0.0

    def check(self):
        """Call one of the functions, or check again in a moment."""
        if self.transport.is_closing():
            # The error of a write has ended the connection.
            return
        if _has_error(self.transport):
            self.on_lost(ConnectionResetError(RESET_ERROR))
            return
        left = unacknowledged_bytes(self.transport)
        if not left:
            self.on_taken()
            return
        self._record_progress(left)
        if self.stalled_s >= MAX_STALL_S:
            self.on_lost(ConnectionResetError(STALL_ERROR))
            return
        loop = asyncio.get_running_loop()
        loop.call_later(CHECK_INTERVAL_S, self.check)

    def _record_progress(self, left):
        if left < self.left:
            self.stalled_s = 0.0
        else:
            self.stalled_s += CHECK_INTERVAL_S
        self.left = left


def unacknowledged_bytes(transport):
    """Return how many sent bytes the peer's host has not acknowledged.

    :returns: number of bytes; those in the kernel are left out where it does
        not tell their number
    """
    queued = array.array("i", [0])
    connection = transport.get_extra_info("socket")
    try:
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, queued)
    except OSError:
        queued[0] = 0
    return transport.get_write_buffer_size() + queued[0]


def _has_error(transport):
    connection = transport.get_extra_info("socket")
    return bool(connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

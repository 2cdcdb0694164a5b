"""Connections to targets that end a request which is given up."""

import socket
import struct
from typing import ClassVar, Final

from ragwortcourse.connections import ResetConnector, ResetProtocol

# Lingers for no time: a close resets the connection.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class TargetProtocol(ResetProtocol):
    """Protocol that resets the connection of a request that is given up."""

    def close(self) -> None:
        """Close the connection, by a reset if the answer is not whole.

        After an orderly close the rest of a request still reaches a target
        that stands still, which runs it as it goes on. A target that does not
        read notices only a reset.
        """
        if self.transport is None or self._is_answered():
            super().close()
            return
        opened: socket.socket | None = self.transport.get_extra_info('socket')
        if opened is not None:
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.abort()

    def _is_answered(self) -> bool:
        return self._payload is not None and self._payload.is_eof()


class TargetConnector(ResetConnector):
    """Connector whose connections use :class:`TargetProtocol`."""

    protocol: ClassVar[type[ResetProtocol]] = TargetProtocol

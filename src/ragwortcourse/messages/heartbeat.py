"""What one daemon tells another whenever it asks for its status."""

import msgspec

from ragwortcourse.identifiers import DaemonId, Generation
from ragwortcourse.messages.withdrawal import Withdrawal


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /status``.

    :param sender: ``ip:port`` at which the sender's documents can be had.
    :param generation: configuration in force at the sender.
    :param withdrawals: withdrawals known there and not yet settled.
    """

    daemon: DaemonId
    sender: str
    generation: Generation
    withdrawals: tuple[Withdrawal, ...] = ()

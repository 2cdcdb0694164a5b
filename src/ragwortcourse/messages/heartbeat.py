"""Message that a daemon sends with each status request to another."""

import msgspec

from ragwortcourse.identifiers import DaemonId, Generation
from ragwortcourse.messages.withdrawal import Withdrawal


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /status``.

    :param sender: ``ip:port`` that serves the sender's configuration.
    :param generation: configuration generation in force at the sender.
    :param withdrawals: withdrawals that the sender knows of and that no
        configuration has settled yet.
    """

    daemon: DaemonId
    sender: str
    generation: Generation
    withdrawals: tuple[Withdrawal, ...] = ()

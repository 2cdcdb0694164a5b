"""State and callbacks of the operators' routes."""

import dataclasses
from collections.abc import Awaitable, Callable

from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.store import ConfigurationStore
from ragwortcourse.entry.status_poller import StatusPoller
from ragwortcourse.identifiers import RequestId
from ragwortcourse.membership.membership import Membership
from ragwortcourse.messages.decision import RequestRecord
from ragwortcourse.messages.operator import CrasherList
from ragwortcourse.messages.peer_port import PeerUnavailable
from ragwortcourse.settings import Settings

RecordRelay = Callable[
    [str, RequestId], Awaitable[RequestRecord | PeerUnavailable | None]
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorContext:
    """State of the operators' routes in one entry daemon.

    :param status_poller: polls targets that this daemon does not watch.
    :param find_record: finds the record of a request served here.
    :param relay_record: fetches the record of a request from another
        daemon by its ``ip:port``; none if that daemon has no record.
    :param list_crashers: lists requests refused for crashing targets.
    :param release_crasher: releases such a request by its fingerprint;
        false if the request is unknown.
    """

    settings: Settings
    holder: ConfigurationHolder
    store: ConfigurationStore
    membership: Membership
    status_poller: StatusPoller
    find_record: Callable[[RequestId], RequestRecord | None]
    relay_record: RecordRelay
    list_crashers: Callable[[], CrasherList]
    release_crasher: Callable[[str], bool]

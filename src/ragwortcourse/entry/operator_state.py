"""What the operators' routes work on."""

import dataclasses
from collections.abc import Awaitable, Callable

from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.store import ConfigurationStore
from ragwortcourse.entry.survey import StatusPoller
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

    :param survey: asks the targets that are not watched.
    :param find_record: record of a request that this daemon served.
    :param relay_record: record of a request from another daemon, by its
        ``ip:port``; none where that one does not know it either.
    :param list_crashers: requests refused because they take targets down.
    :param release_crasher: let one of them run again; false if unknown.
    """

    settings: Settings
    holder: ConfigurationHolder
    store: ConfigurationStore
    membership: Membership
    survey: StatusPoller
    find_record: Callable[[RequestId], RequestRecord | None]
    relay_record: RecordRelay
    list_crashers: Callable[[], CrasherList]
    release_crasher: Callable[[str], bool]

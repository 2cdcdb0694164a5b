"""Records of the newest requests, for ``explain``."""

import collections
from typing import Final

from ragwortcourse.entry.decision_log import DecisionLog
from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages.decision import RequestRecord

RECORDS_LIMIT: Final = 600


class RequestRecords:
    """Bounded store of decisions; the oldest request goes first.

    :param limit: requests kept.
    """

    def __init__(self, *, limit: int = RECORDS_LIMIT) -> None:
        self._limit = limit
        self._trails: collections.OrderedDict[RequestId, DecisionLog] = (
            collections.OrderedDict()
        )

    def begin(self, request: RequestId) -> DecisionLog:
        """Start the record of one request."""
        trail = DecisionLog(request=request)
        self._trails[request] = trail
        while len(self._trails) > self._limit:
            self._trails.popitem(last=False)
        return trail

    def find(self, request: RequestId) -> RequestRecord | None:
        """Look up a request; none where it is too old or not from here."""
        trail = self._trails.get(request)
        return None if trail is None else trail.to_record()

"""Records of recent requests, for ``ragwortcourse explain``."""

import collections
from typing import Final

from ragwortcourse.entry.decision_log import DecisionLog
from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages.decision import RequestRecord

RECORDS_LIMIT: Final = 600


class RequestRecords:
    """Bounded store of decision logs; the oldest request is evicted first.

    :param limit: maximum number of requests.
    """

    def __init__(self, *, limit: int = RECORDS_LIMIT) -> None:
        self._limit = limit
        self._logs: collections.OrderedDict[RequestId, DecisionLog] = (
            collections.OrderedDict()
        )

    def begin(self, request: RequestId) -> DecisionLog:
        """Start the record of one request."""
        log = DecisionLog(request=request)
        self._logs[request] = log
        while len(self._logs) > self._limit:
            self._logs.popitem(last=False)
        return log

    def find(self, request: RequestId) -> RequestRecord | None:
        """Return a request's record; none if evicted or served elsewhere."""
        log = self._logs.get(request)
        return None if log is None else log.to_record()

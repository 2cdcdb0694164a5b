"""Status and headers of a target's answer."""

import dataclasses
from http import HTTPStatus
from typing import Final

from multidict import CIMultiDict

from ragwortcourse.identifiers import TargetName

# Callers send a request again after these, also one that may run once.
PROMISES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedLoad:
    """Load of a target as reported by the target itself.

    :param pace: how long work takes on the target's machine now, as a multiple
        of the usual time; none: not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Status and headers of an answer, decoded.

    :param ran: false if the target proves that it did not run the request.
    :param genuine: true if the answer belongs to the request and carries the
        stamp of the target.
    :param load: none if not reported.
    :param cold_seconds: how long the target stays cold; none: not reported.
    :param version: version of the weights on which the answer begins; none:
        not reported.
    :param rate_limit: requests a second that the target takes from all entry
        daemons together; none: no limit.
    :param rate_limit_readable: false if the target names a limit that can't
        be read.
    :param rest_seconds: how long the target wants nothing from this daemon;
        none: it does not say so.
    :param leaving: true if the target says that it leaves.
    :param instance: target that answered; none: it does not say so.
    :param headers: headers to pass on to the caller.
    """

    status: int
    ran: bool
    genuine: bool
    load: ReportedLoad | None
    cold_seconds: float | None
    version: int | None
    headers: CIMultiDict[str]
    rate_limit: float | None = None
    rate_limit_readable: bool = True
    rest_seconds: float | None = None
    leaving: bool = False
    instance: TargetName | None = None

    @property
    def speaks_for_target(self) -> bool:
        """Tell whether the answer comes from the addressed incarnation."""
        if self.status == HTTPStatus.MISDIRECTED_REQUEST:
            return False
        return self.genuine or not self.ran

    def refuses_version(self, target: TargetName) -> bool:
        """Tell whether a target refuses a version that it was to hold."""
        is_refusal = self.status == HTTPStatus.MISDIRECTED_REQUEST
        return is_refusal and self.instance in {None, target}

    @property
    def may_be_passed_on(self) -> bool:
        """Tell whether the answer is the request's, and true for its caller.

        A status by which callers take the request as not run is not, unless
        the target proves it.
        """
        return self.ran and self.genuine and self.status not in PROMISES

    @property
    def is_success(self) -> bool:
        """Tell whether the status is in the 2xx range."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

"""What stands before the body of a target's answer."""

import dataclasses
from http import HTTPStatus

from multidict import CIMultiDict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedLoad:
    """Load of a target in its own words."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Status and headers of an answer, decoded.

    :param ran: false where the target proves that it did not run the
        request.
    :param genuine: true where the answer belongs to the request and bears
        the target's own mark.
    :param load: none where the target does not tell.
    :param cold_seconds: how long the target stays cold; none: not said.
    :param version: weights that the answer begins on; none: not said.
    :param headers: headers to be passed on.
    """

    status: int
    ran: bool
    genuine: bool
    load: ReportedLoad | None
    cold_seconds: float | None
    version: int | None
    headers: CIMultiDict[str]

    @property
    def is_success(self) -> bool:
        """Tell whether the target did what it was asked."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

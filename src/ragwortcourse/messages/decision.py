"""One entry of a request's record, as ``ragwortcourse explain`` shows it."""

import enum

import msgspec

from ragwortcourse.identifiers import RequestId


class DecisionPoint(enum.StrEnum):
    """Place in the path at which something was decided."""

    ADMISSION = 'admission'
    CLAIM = 'claim'
    ROUTE = 'route'
    GATE = 'gate'
    VERSION = 'version'
    RETRY = 'retry'
    OUTCOME = 'outcome'


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """What was seen, weighed, turned down and chosen at one point.

    :param at_ms: milliseconds since the request arrived.
    :param chosen: what was decided.
    :param seen: what it was decided from.
    :param turned_down: the other ways, each with its reason.
    """

    point: DecisionPoint
    at_ms: float
    chosen: str
    seen: dict[str, str] = {}
    turned_down: dict[str, str] = {}


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True):
    """All decisions on one request, in order."""

    request: RequestId
    decisions: tuple[Decision, ...]

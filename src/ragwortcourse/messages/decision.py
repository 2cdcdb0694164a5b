"""Request records, as shown by ``ragwortcourse explain``."""

import enum

import msgspec

from ragwortcourse.identifiers import RequestId


class DecisionPoint(enum.StrEnum):
    """Stage of request processing at which a decision is made."""

    ADMISSION = 'admission'
    CLAIM = 'claim'
    ROUTE = 'route'
    GATE = 'gate'
    VERSION = 'version'
    RETRY = 'retry'
    OUTCOME = 'outcome'


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision on a request, with its inputs and alternatives.

    :param at_ms: milliseconds since the request arrived.
    :param chosen: the decision.
    :param seen: inputs of the decision.
    :param turned_down: rejected alternatives, each with its reason.
    """

    point: DecisionPoint
    at_ms: float
    chosen: str
    seen: dict[str, str] = {}
    turned_down: dict[str, str] = {}


class RequestRecord(msgspec.Struct, frozen=True, kw_only=True):
    """All decisions on one request, in chronological order."""

    request: RequestId
    decisions: tuple[Decision, ...]

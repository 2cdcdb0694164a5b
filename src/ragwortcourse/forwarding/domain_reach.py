"""Which failure domains can't be reached.

Load pattern: the way to a whole failure domain is lost. Without this each of
its targets is found out by requests of its own, at every daemon, and each of
these waits for a connection that does not come about.
"""

import dataclasses
import logging
from typing import Final

from ragwortcourse.identifiers import FailureDomainName, TargetName

# Targets that could not be reached while nothing came from their failure
# domain; one alone may have crashed.
SILENT_TARGETS: Final = 2
# Failures that lie farther apart have causes of their own.
SPAN_SECONDS: Final = 2.0
# One request goes there after that time; nobody else tells of the way.
FIRST_CLOSED_SECONDS: Final = 0.6
LONGEST_CLOSED_SECONDS: Final = 2.0
# For the answer to that request.
TRIAL_SECONDS: Final = 0.6

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Way:
    """The way to one failure domain, since something last came from there.

    :param silent: when each target could not be reached.
    :param blocked_until: zero where the way is not lost.
    :param is_tried: true while one request finds out whether it is back.
    """

    silent: dict[TargetName, float] = dataclasses.field(default_factory=dict)
    blocked_until: float = 0
    closed_for: float = FIRST_CLOSED_SECONDS
    is_tried: bool = False


class DomainReach:
    """Ways on which no connection came about of late."""

    def __init__(self) -> None:
        self._ways: dict[FailureDomainName, _Way] = {}

    def is_passed_by(self, domain: FailureDomainName, now: float) -> bool:
        """Tell whether targets elsewhere are to be preferred."""
        way = self._ways.get(domain)
        return way is not None and now < way.blocked_until

    def note_sent(self, domain: FailureDomainName, now: float) -> None:
        """Count a request on its way; over a lost way one goes at a time."""
        way = self._ways.get(domain)
        if way is not None and 0 < way.blocked_until <= now:
            way.is_tried = True
            way.blocked_until = now + TRIAL_SECONDS

    def note_answer(self, domain: FailureDomainName) -> None:
        """Note that something came from there."""
        way = self._ways.pop(domain, None)
        if way is not None and way.blocked_until:
            LOGGER.info('failure domain reached again', extra={'lost': domain})

    def note_unreachable(
        self, domain: FailureDomainName, target: TargetName, now: float
    ) -> None:
        """Count a connection that did not come about."""
        way = self._ways.setdefault(domain, _Way())
        if way.blocked_until:
            # Others were under way when it was lost; they tell nothing new.
            if way.is_tried:
                _close(way, now)
            return
        way.silent[target] = now
        recent = [at for at in way.silent.values() if now - at < SPAN_SECONDS]
        if len(recent) >= SILENT_TARGETS:
            LOGGER.info(
                'failure domain can not be reached',
                extra={'lost': domain, 'targets': sorted(way.silent)},
            )
            _close(way, now)


def _close(way: _Way, now: float) -> None:
    way.is_tried = False
    way.blocked_until = now + way.closed_for
    way.closed_for = min(way.closed_for * 2, LONGEST_CLOSED_SECONDS)

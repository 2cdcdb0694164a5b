"""Circuit breaker for failure domains that can't be reached.

Load pattern: the network path to a whole failure domain is lost. Without the
circuit breaker every daemon detects each target of the domain separately, by
requests that wait for a connection until the timeout.
"""

import dataclasses
import logging
from typing import Final

from ragwortcourse.identifiers import FailureDomainName, TargetName

# Unreachable targets, with no answer from their failure domain meanwhile,
# after which the domain counts as lost. A single target may have crashed.
UNREACHABLE_TARGETS: Final = 2
# Failures that lie farther apart are treated as separate faults.
FAILURE_WINDOW_SECONDS: Final = 2.0
# After this back-off one request probes the domain; a daemon has no other
# source about the path.
MIN_BACKOFF_SECONDS: Final = 0.6
MAX_BACKOFF_SECONDS: Final = 2.0
# Time to wait for the answer to the probe.
PROBE_SECONDS: Final = 0.6

LOGGER: Final = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class _DomainState:
    """Path to one failure domain since the last answer from the domain.

    :param silent: when each target could not be reached, in seconds.
    :param blocked_until: zero while the path is not considered lost.
    :param backoff: seconds of the next back-off.
    :param is_probing: true while one request probes the path.
    """

    silent: dict[TargetName, float] = dataclasses.field(default_factory=dict)
    blocked_until: float = 0
    backoff: float = MIN_BACKOFF_SECONDS
    is_probing: bool = False


class DomainReach:
    """Failure domains to which connections failed recently."""

    def __init__(self) -> None:
        self._domains: dict[FailureDomainName, _DomainState] = {}

    def is_avoided(self, domain: FailureDomainName, now: float) -> bool:
        """Tell whether targets in other failure domains are preferred."""
        state = self._domains.get(domain)
        return state is not None and now < state.blocked_until

    def note_sent(self, domain: FailureDomainName, now: float) -> None:
        """Note a request sent to a domain.

        The first request after the back-off becomes the probe and blocks the
        domain for other requests.
        """
        state = self._domains.get(domain)
        if state is not None and 0 < state.blocked_until <= now:
            state.is_probing = True
            state.blocked_until = now + PROBE_SECONDS

    def note_answer(self, domain: FailureDomainName) -> None:
        """Note an answer from a domain, which can be reached again."""
        state = self._domains.pop(domain, None)
        if state is not None and state.blocked_until:
            LOGGER.info(
                'failure domain reachable again', extra={'lost': domain}
            )

    def note_unreachable(
        self, domain: FailureDomainName, target: TargetName, now: float
    ) -> None:
        """Note a failed connection to a target of a domain."""
        state = self._domains.setdefault(domain, _DomainState())
        if state.blocked_until:
            # Requests sent before the path was lost carry no new information.
            if state.is_probing:
                _block_domain(state, now)
            return
        state.silent[target] = now
        recent = [
            at
            for at in state.silent.values()
            if now - at < FAILURE_WINDOW_SECONDS
        ]
        if len(recent) >= UNREACHABLE_TARGETS:
            LOGGER.info(
                'failure domain unreachable, preferring targets elsewhere',
                extra={'lost': domain, 'targets': sorted(state.silent)},
            )
            _block_domain(state, now)


def _block_domain(state: _DomainState, now: float) -> None:
    state.is_probing = False
    state.blocked_until = now + state.backoff
    state.backoff = min(state.backoff * 2, MAX_BACKOFF_SECONDS)

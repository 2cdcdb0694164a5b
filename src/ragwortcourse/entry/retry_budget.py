"""Retries as a bounded share of traffic, in all and for each target."""

from typing import Final

from ragwortcourse.identifiers import TargetName

RETRY_SHARE: Final = 0.1
RETRY_RESERVE: Final = 10.0
# Targets come and go; those used longest ago are forgotten.
TARGETS_LIMIT: Final = 1024


class TokenBucket:
    """Tokens that first dispatches earn and retries spend."""

    def __init__(self) -> None:
        self.tokens = RETRY_RESERVE

    def earn(self) -> None:
        """Count one first dispatch."""
        self.tokens = min(RETRY_RESERVE, self.tokens + RETRY_SHARE)

    @property
    def allows(self) -> bool:
        """Tell whether there is a whole token left."""
        return self.tokens >= 1


class RetryBudget:
    """Lets at most a share of the traffic be retries.

    A small reserve lets a quiet daemon retry; it refills by traffic only,
    so an outage can't turn into a storm.
    """

    def __init__(self) -> None:
        self._all = TokenBucket()
        self._targets: dict[TargetName, TokenBucket] = {}

    def earn(self, target: TargetName) -> None:
        """Count a first dispatch to a target."""
        self._all.earn()
        self._find(target).earn()

    def spend(self, target: TargetName) -> bool:
        """Take one retry from a target's share and the whole, if left.

        :param target: where the retry would go.
        """
        purse = self._find(target)
        if not (self._all.allows and purse.allows):
            return False
        self._all.tokens -= 1
        purse.tokens -= 1
        return True

    def _find(self, target: TargetName) -> TokenBucket:
        purse = self._targets.pop(target, None) or TokenBucket()
        self._targets[target] = purse
        if len(self._targets) > TARGETS_LIMIT:
            self._targets.pop(next(iter(self._targets)))
        return purse

"""Retry budget: limits retries to a share of traffic, in all and per target."""

from typing import Final

from ragwortcourse.identifiers import TargetName

RETRY_SHARE: Final = 0.1
RETRY_RESERVE: Final = 10.0
# Bounds memory, as targets come and go; the least recently used target is
# evicted first.
TARGETS_LIMIT: Final = 1024


class TokenBucket:
    """Tokens that first attempts earn and retries spend."""

    def __init__(self) -> None:
        self.tokens = RETRY_RESERVE

    def earn(self) -> None:
        """Add the share of a token that one first attempt earns."""
        self.tokens = min(RETRY_RESERVE, self.tokens + RETRY_SHARE)

    @property
    def allows(self) -> bool:
        """Tell whether a whole token is left."""
        return self.tokens >= 1


class RetryBudget:
    """Limits retries to a share of the first attempts.

    A small reserve allows retries under low traffic. The reserve refills
    only through first attempts, never with time, so that an outage can't
    cause a retry storm.
    """

    def __init__(self) -> None:
        self._total = TokenBucket()
        self._targets: dict[TargetName, TokenBucket] = {}

    def earn(self, target: TargetName) -> None:
        """Count a first attempt at a target."""
        self._total.earn()
        self._find(target).earn()

    def spend(self, target: TargetName) -> bool:
        """Take one retry from the budget of the target and from the total.

        :param target: target of the retry.
        :return: false if either budget is exhausted; nothing is taken then.
        """
        bucket = self._find(target)
        if not (self._total.allows and bucket.allows):
            return False
        self._total.tokens -= 1
        bucket.tokens -= 1
        return True

    def _find(self, target: TargetName) -> TokenBucket:
        bucket = self._targets.pop(target, None) or TokenBucket()
        self._targets[target] = bucket
        if len(self._targets) > TARGETS_LIMIT:
            self._targets.pop(next(iter(self._targets)))
        return bucket

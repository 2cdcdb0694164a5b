"""Names of headers, tables and keys of the platform."""

from typing import Final

ATTEMPT_ID: Final = 'Ragwortcourse-Attempt-Id'
DEADLINE: Final = 'Ragwortcourse-Deadline-Ms'
EXPECT_INSTANCE: Final = 'Ragwortcourse-Expect-Instance'
EXPECT_VERSION: Final = 'Ragwortcourse-Expect-Version'
# Target that made the answer.
INSTANCE: Final = 'Ragwortcourse-Instance-Id'
LAST_EVENT_ID: Final = 'Last-Event-Id'
LOAD: Final = 'Ragwortcourse-Server-Load'
# Requests a second from all daemons together, a decimal number.
RATE_LIMIT: Final = 'Server-Limit'
# ``1`` in each answer of a target that leaves.
LEAVING: Final = 'Server-Leaving'
# Seconds for which a target that answers 503 wants nothing from this daemon.
RETRY_AFTER: Final = 'Retry-After'
# Rises by one each time the store comes back from an older copy.
ERA: Final = 'Store-Era'
COLD: Final = 'Ragwortcourse-Cold-Ms'
# Set on every answer of a target that did not run the request.
NOT_RUN: Final = 'Ragwortcourse-Not-Executed'
# Proves that a target made the answer.
STAMP: Final = 'Ragwortcourse-Server-Stamp'
# Parts of the prompt in order, comma-separated ``ID:TOKENS`` entries; requests
# share all but the last.
PROMPT_PARTS: Final = 'Ragwortcourse-Prompt-Prefix'
# Name of the client account, not its key.
TENANT: Final = 'Ragwortcourse-Tenant'
# Prompt tokens and maximum output tokens, comma-separated.
TOKENS: Final = 'Ragwortcourse-Token-Count'
# Caller's estimate of the tokens of the answer.
LENGTH_HINT: Final = 'Ragwortcourse-Length-Hint'
# Version of the weights; one number despite the plural.
VERSION: Final = 'Ragwortcourse-Weight-Versions'
# 0 is admitted first, 9 last.
PRIORITY: Final = 'Ragwortcourse-Request-Priority'

OPERATORS_TABLE: Final = 'op'
# Targets of all services.
TARGETS_TABLE: Final = 'servers'
DESIRED_KEY: Final = 'config'
VERSION_PREFIX: Final = 'version/'
EVACUATION_PREFIX: Final = 'evacuate/'

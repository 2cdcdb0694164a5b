"""What may crash the targets that run a request."""

import dataclasses
import enum


class SuspectKind(enum.Enum):
    """Kind of a suspect."""

    # One request that callers send again.
    REQUEST = 'fingerprint'
    # One part of prompts, in requests that are otherwise different.
    PROMPT_PART = 'prompt_part'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspect:
    """One property of requests under which targets may end.

    :param name: fingerprint of a request, or id of a prompt part.
    """

    kind: SuspectKind
    name: str

    def describe(self) -> dict[str, str]:
        """Describe the suspect as a field of a log line."""
        return {self.kind.value: self.name}

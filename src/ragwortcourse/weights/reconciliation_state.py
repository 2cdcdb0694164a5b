"""How the landing on one target stands."""

import dataclasses

from ragwortcourse.identifiers import AdapterName, Sha256Hex
from ragwortcourse.weights.wanted import WantedWeights


@dataclasses.dataclass(slots=True, kw_only=True)
class ReconciliationState:
    """What the landing loop remembers.

    :param wanted: version it works for now.
    :param detail: what it waits for, or what went wrong, for a person.
    :param instance: start of the engine that the rest is about.
    :param adapters: adapters that the engine has confirmed, by manifest.
    :param role: role that the engine has confirmed.
    :param role_retry_at: monotonic seconds before which a target that
        serves is not taken out for its role again.
    :param refused: manifests that cannot be right, and why.
    """

    wanted: WantedWeights | None = None
    detail: str = ''
    instance: str = ''
    adapters: dict[AdapterName, Sha256Hex] = dataclasses.field(
        default_factory=dict
    )
    role: str = ''
    role_retry_at: float = 0
    refused: dict[Sha256Hex, str] = dataclasses.field(default_factory=dict)

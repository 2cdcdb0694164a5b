"""State of the reconciliation loop of one target."""

import dataclasses

from ragwortcourse.identifiers import AdapterName, Sha256Hex
from ragwortcourse.weights.wanted import WantedWeights


@dataclasses.dataclass(slots=True, kw_only=True)
class ReconciliationState:
    """State that the reconciliation loop keeps between passes.

    :param wanted: version that the loop is bringing to the target.
    :param detail: human-readable reason for waiting, or the last failure.
    :param instance: engine instance that ``adapters`` and ``role`` belong to.
    :param adapters: manifest digests of the adapters that the engine has
        confirmed, by name.
    :param role: role that the engine has confirmed.
    :param role_retry_at: monotonic seconds before which a serving target is
        not drained again to change its role.
    :param refused: reasons for rejecting invalid manifests, by digest.
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

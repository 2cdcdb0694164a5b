"""An admitted call with its client account and eligible deployments."""

import dataclasses

from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.deployment import Deployment
from ragwortcourse.entry.decision_log import DecisionLog
from ragwortcourse.identifiers import AdapterName, ModelName
from ragwortcourse.messages.call import Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedCall:
    """One admitted call, as routing and attempts use it.

    :param deployments: deployments that may run the call.
    :param idempotent: false if the call may run at most once.
    :param fingerprint: SHA-256 of client account and request, in hex.
    :param expires_at: the caller's deadline, in monotonic seconds.
    :param prefix: hash of the start of the body, for prefix affinity; none for
        services and short bodies.
    """

    call: Call
    account: ClientAccount
    deployments: tuple[Deployment, ...]
    idempotent: bool
    fingerprint: str
    expires_at: float
    decision_log: DecisionLog
    model: ModelName | None = None
    adapter: AdapterName | None = None
    prefix: int | None = None

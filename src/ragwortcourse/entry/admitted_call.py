"""An admitted call: for whom it is, and what may run it."""

import dataclasses

from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.deployment import Deployment
from ragwortcourse.entry.decision_log import DecisionLog
from ragwortcourse.identifiers import AdapterName, ModelName
from ragwortcourse.messages.call import Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedCall:
    """One admitted call.

    :param deployments: every deployment that may run it.
    :param idempotent: false where it may run at most once.
    :param fingerprint: digest of client account and request.
    :param expires_at: monotonic seconds of the caller's deadline.
    :param prefix: digest of the prompt's start; none for services.
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

"""Results of routing: a target with the model version it must serve."""

import dataclasses
from collections.abc import Mapping

from ragwortcourse.configuration.deployment import Deployment
from ragwortcourse.identifiers import VersionName
from ragwortcourse.membership.target_record import TargetRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The target of one attempt.

    :param version: model version that must serve the attempt; none for
        services.
    :param reason: rule by which the target was chosen.
    :param turned_down: rejected targets, each with the reason.
    """

    record: TargetRecord
    deployment: Deployment
    version: VersionName | None
    reason: str
    turned_down: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoChoice:
    """No target can take the work at this time.

    :param turned_down: rejected targets, each with the reason.
    """

    turned_down: Mapping[str, str]

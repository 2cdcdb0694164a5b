"""What routing decides: a target and the version it must answer with."""

import dataclasses
from collections.abc import Mapping

from ragwortcourse.configuration.deployment import Deployment
from ragwortcourse.identifiers import VersionName
from ragwortcourse.membership.target_record import TargetRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """One target for one attempt.

    :param version: version that must make the answer; none for services.
    :param turned_down: other targets, each with the reason against it.
    """

    record: TargetRecord
    deployment: Deployment
    version: VersionName | None
    reason: str
    turned_down: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoChoice:
    """No target can take the work now.

    :param turned_down: every target known, each with the reason.
    """

    turned_down: Mapping[str, str]

"""Chooses the model version that must serve a call."""

import collections
from collections.abc import Iterable

from ragwortcourse.configuration.deployment import ModelDeployment
from ragwortcourse.identifiers import AdapterName, VersionName
from ragwortcourse.membership.target_record import TargetRecord


def serves_version(
    record: TargetRecord,
    deployment: ModelDeployment,
    version: VersionName,
    adapter: AdapterName | None,
) -> bool:
    """Tell whether a target is known to serve this version."""
    if record.status is None:
        return False
    return any(
        served.model == deployment.model
        and served.version == version
        and (adapter is None or adapter in served.adapters)
        for served in record.status.served
    )


def choose_version(
    deployment: ModelDeployment,
    records: Iterable[TargetRecord],
    adapter: AdapterName | None,
) -> VersionName:
    """Choose the version that must serve a call.

    The deployment's own version is chosen if any target serves it. During a
    roll-out, before that, the version that most targets serve is chosen;
    ties go to the highest name.
    """
    counts: collections.Counter[VersionName] = collections.Counter()
    for record in records:
        if record.status is None:
            continue
        counts.update(
            served.version
            for served in record.status.served
            if served.model == deployment.model
            and (adapter is None or adapter in served.adapters)
        )
    if deployment.version in counts or not counts:
        return deployment.version
    return max(counts, key=lambda version: (counts[version], version))

"""Operators' routes that show configuration, targets and rollouts."""

from collections.abc import Mapping
from typing import Final

from aiohttp import web

from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.deployment import ModelDeployment
from ragwortcourse.entry.operator_answers import answer_error, answer_message
from ragwortcourse.entry.operator_state import OperatorContext
from ragwortcourse.membership.target_record import TargetRecord
from ragwortcourse.messages.operator import (
    OperatorStatus,
    ReplicaProgress,
    ReplicaSummary,
    TargetSummary,
)

NOT_FOUND: Final = 404
NOT_READY: Final = 503


async def get_configuration(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """Return the configuration document in force at this daemon."""
    del request
    if operators.holder.document is None:
        return answer_error(
            NOT_READY, 'no_configuration', 'no configuration is known here yet'
        )
    return answer_message(operators.holder.document)


async def get_status(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """Return the targets that this daemon watches, and all withdrawals.

    With ``failure_domain`` or ``target`` in the query, return all matching
    targets instead, including targets that this daemon does not watch.
    """
    holder = operators.holder
    records = await _select_records(operators, request.query)
    return answer_message(
        OperatorStatus(
            daemon=operators.settings.daemon,
            generation=holder.generation,
            withdrawals=holder.withdrawals,
            targets=tuple(
                summarize_target(operators, record) for record in records
            ),
            table_reachable=holder.table_reachable,
        )
    )


async def get_replicas(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """Return the rollout progress of a model deployment's version."""
    name = request.match_info['deployment']
    deployment = find_model(operators, name)
    if deployment is None:
        return answer_error(
            NOT_FOUND, 'no_deployment', f'no model deployment {name!r}'
        )
    records = await operators.status_poller.read(
        lambda agent: (
            agent.deployment == deployment.name
            and agent.failure_domain in deployment.failure_domains
        )
    )
    return answer_message(report_progress(deployment, records))


async def _select_records(
    operators: OperatorContext, query: Mapping[str, str]
) -> tuple[TargetRecord, ...]:
    failure_domain = query.get('failure_domain')
    target = query.get('target')
    if failure_domain is None and target is None:
        return operators.membership.directory.records
    return await operators.status_poller.read(
        lambda agent: (
            agent.failure_domain == failure_domain or agent.target == target
        )
    )


def summarize_target(
    operators: OperatorContext, record: TargetRecord
) -> TargetSummary:
    """Build the operators' summary of a target."""
    return TargetSummary(
        target=record.target,
        deployment=record.deployment,
        failure_domain=record.failure_domain,
        region=record.region,
        address=record.address,
        status=record.status,
        status_age=_read_age(record),
        spare=record.spare,
        latency=record.latency,
        leaving=record.leaving,
        withdrawn=operators.holder.is_withdrawn(
            record.target, record.failure_domain
        ),
        in_flight=record.in_flight,
    )


def find_model(operators: OperatorContext, name: str) -> ModelDeployment | None:
    """Return a model deployment of the configuration in force, by name."""
    document = operators.holder.document
    if document is None:
        return None
    for deployment in document.configuration.models:
        if deployment.name == name:
            return deployment
    return None


def report_progress(
    deployment: ModelDeployment, records: tuple[TargetRecord, ...]
) -> ReplicaProgress:
    """Sum up the rollout progress of all targets of a deployment."""
    replicas = tuple(
        summarize_replica(deployment, record) for record in records
    )
    landings = [
        replica.landing for replica in replicas if replica.landing is not None
    ]
    wanted = deployment.replicas or len(replicas)
    return ReplicaProgress(
        deployment=deployment.name,
        model=deployment.model,
        version=deployment.version,
        wanted=wanted,
        ready=sum(replica.ready for replica in replicas),
        rate=sum(landing.rate for landing in landings),
        from_origin=sum(landing.from_origin for landing in landings),
        from_peers=sum(landing.from_peers for landing in landings),
        replicas=replicas,
        seconds_left=_estimate_end(replicas, wanted),
    )


def summarize_replica(
    deployment: ModelDeployment, record: TargetRecord
) -> ReplicaSummary:
    """Build the rollout progress of one target."""
    status = record.status
    served = status.served if status else ()
    return ReplicaSummary(
        target=record.target,
        failure_domain=record.failure_domain,
        ready=any(
            version.model == deployment.model
            and version.version == deployment.version
            for version in served
        ),
        status_age=_read_age(record),
        landing=status.landing if status else None,
    )


def _estimate_end(
    replicas: tuple[ReplicaSummary, ...], wanted: int
) -> float | None:
    """Estimate the seconds until all wanted replicas hold every byte.

    :return: none while the estimate of any missing replica is unknown.
    """
    pending = [replica for replica in replicas if not replica.ready]
    missing = wanted - len(replicas) + len(pending)
    ends = [
        replica.landing.seconds_left
        for replica in pending
        if replica.landing is not None
    ]
    known = [end for end in ends if end is not None]
    if len(known) < max(len(ends), missing):
        return None
    return max(known, default=0)


def _read_age(record: TargetRecord) -> float | None:
    if record.status is None:
        return None
    return read_clock() - record.status_at

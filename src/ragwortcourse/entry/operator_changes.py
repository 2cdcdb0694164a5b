"""Operators' routes that change the configuration or availability.

A part is a failure domain or a target.
"""

from typing import Final

import msgspec
from aiohttp import web

from ragwortcourse.configuration.acceptance import (
    AcceptanceUnknown,
    Accepted,
)
from ragwortcourse.configuration.change import (
    BaseGeneration,
    ChangeOutcome,
    Conflict,
    Draft,
    commit_change,
)
from ragwortcourse.configuration.check import check_configuration
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.rules import check_known
from ragwortcourse.configuration.version_check import check_reused
from ragwortcourse.configuration.withdrawals import (
    apply_return,
    apply_withdrawal,
    merge_withdrawals,
)
from ragwortcourse.entry.operator_answers import (
    UNAVAILABLE,
    answer_error,
    answer_findings,
    answer_message,
    check_id,
    read_message,
)
from ragwortcourse.entry.operator_state import OperatorContext
from ragwortcourse.identifiers import (
    ChangeId,
    DeploymentName,
    FailureDomainName,
    TargetName,
)
from ragwortcourse.ingress.request_guard import read_request_body
from ragwortcourse.messages.operator import (
    AvailabilityChange,
    ChangeAccepted,
    ChangeConflict,
    ConfigurationChange,
    RolloutCancellation,
)
from ragwortcourse.messages.outcome import OutcomeKind
from ragwortcourse.messages.withdrawal import Withdrawal, WithdrawalScope

CONFLICT: Final = 409


async def post_configuration(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """Replace the configuration if its base generation is still in force."""
    body = read_message(await read_request_body(request), ConfigurationChange)
    if isinstance(body, tuple):
        return answer_findings(body)
    findings = check_id('change', body.change) + check_configuration(
        body.configuration
    )
    if findings:
        return answer_findings(findings)

    reused: list[Finding] = []

    def draft(base: BaseGeneration) -> Draft | None:
        if base.generation != body.base_generation:
            return None
        reused.extend(check_reused(body.configuration, base.configuration))
        if reused:
            return None
        return Draft(
            configuration=merge_withdrawals(
                base.configuration, body.configuration
            )
        )

    outcome = await commit_change(
        operators.holder, operators.store, body.change, draft
    )
    if reused:
        return answer_findings(tuple(reused))
    return answer_change(body.change, outcome)


async def post_withdrawal(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """Take a failure domain or a target out of service."""
    part = _read_part(operators, await read_request_body(request))
    if isinstance(part, tuple):
        return answer_findings(part)
    accepted = await apply_withdrawal(operators.holder, operators.store, part)
    if accepted is not None:
        return answer_change(part.change, accepted)
    return answer_message(
        ChangeAccepted(
            generation=operators.holder.generation,
            change=part.change,
            pending=True,
        )
    )


async def post_return(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """Return a failure domain or a target to service."""
    part = _read_part(operators, await read_request_body(request))
    if isinstance(part, tuple):
        return answer_findings(part)
    outcome = await apply_return(operators.holder, operators.store, part)
    return answer_change(part.change, outcome)


async def post_cancellation(
    operators: OperatorContext, request: web.Request
) -> web.Response:
    """Cancel the rollout of a version to a deployment's targets."""
    body = read_message(await read_request_body(request), RolloutCancellation)
    if isinstance(body, tuple):
        return answer_findings(body)
    findings = check_id('change', body.change)
    findings += _check_model(operators, body.deployment)
    if findings:
        return answer_findings(findings)

    def draft(base: BaseGeneration) -> Draft:
        models = tuple(
            msgspec.structs.replace(model, cancelled=True)
            if model.name == body.deployment
            else model
            for model in base.configuration.models
        )
        return Draft(
            configuration=msgspec.structs.replace(
                base.configuration, models=models
            )
        )

    outcome = await commit_change(
        operators.holder, operators.store, body.change, draft
    )
    return answer_change(body.change, outcome)


def answer_change(change: ChangeId, outcome: ChangeOutcome) -> web.Response:
    """Build the answer for the outcome of a change."""
    if isinstance(outcome, Accepted):
        return answer_message(
            ChangeAccepted(generation=outcome.generation, change=change)
        )
    if isinstance(outcome, Conflict):
        return answer_message(
            ChangeConflict(
                generation=outcome.generation,
                document=outcome.document,
            ),
            CONFLICT,
        )
    if isinstance(outcome, AcceptanceUnknown):
        return answer_error(
            UNAVAILABLE,
            'change_unknown',
            f'{outcome.detail}; send change {change} again to settle it',
            outcome=OutcomeKind.UNKNOWN,
        )
    return answer_error(UNAVAILABLE, 'change_not_made', outcome.detail)


def _read_part(
    operators: OperatorContext, body: bytes
) -> Withdrawal | tuple[Finding, ...]:
    part = read_message(body, AvailabilityChange)
    if isinstance(part, tuple):
        return part
    findings = check_id('change', part.change) + check_id('name', part.name)
    findings += _check_part(operators, part)
    if findings:
        return findings
    return Withdrawal(
        change=part.change,
        scope=part.scope,
        name=part.name,
        generation=operators.holder.generation,
    )


def _check_model(
    operators: OperatorContext, name: DeploymentName
) -> tuple[Finding, ...]:
    document = operators.holder.document
    models = () if document is None else document.configuration.models
    names = sorted(model.name for model in models)
    if name in names:
        return ()
    finding = Finding(
        place='deployment',
        value=name,
        allowed=', '.join(names),
        message='there is no model deployment of that name',
    )
    return (finding,)


def _check_part(
    operators: OperatorContext, part: AvailabilityChange
) -> tuple[Finding, ...]:
    """Refuse a part that is not known, to catch misspelt names."""
    document = operators.holder.document
    if document is None:
        return ()
    if part.scope is WithdrawalScope.TARGET:
        return _check_target(operators, part)
    known = {domain.name for domain in document.configuration.failure_domains}
    return tuple(check_known('name', part.name, known, 'failure domain'))


def _check_target(
    operators: OperatorContext, part: AvailabilityChange
) -> tuple[Finding, ...]:
    """Refuse a target that is neither listed nor withdrawn.

    A withdrawn target may be missing from the list of hosts; operators can
    still return it to service.
    """
    agents = operators.membership.roster.agents
    listed = any(agent.target == part.name for agent in agents)
    if listed or operators.holder.is_withdrawn(
        TargetName(part.name), FailureDomainName('')
    ):
        return ()
    finding = Finding(
        place='name',
        value=part.name,
        allowed='a target that the list of hosts or the settings name',
        message='unknown target',
    )
    return (finding,)

"""Admission control: authenticates a call and finds its deployments."""

import hashlib
import posixpath
from urllib.parse import unquote

import msgspec

from ragwortcourse.clock import read_clock
from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.deployment import ServiceDeployment
from ragwortcourse.crashes.fingerprint import compute_fingerprint
from ragwortcourse.decoding import decode_json
from ragwortcourse.entry import errors
from ragwortcourse.entry.admitted_call import AdmittedCall
from ragwortcourse.entry.decision_log import DecisionLog
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.identifiers import AdapterName, Fingerprint, ModelName
from ragwortcourse.messages.call import Call
from ragwortcourse.messages.outcome import NotRun
from ragwortcourse.unreadable import UnreadableError

_PREFIX_BYTES = 1024
_DIGEST_BYTES = 8
_DRAIN_RETRY_SECONDS = 1.0


class ModelFields(msgspec.Struct, kw_only=True):
    """The field of a model request that routing reads."""

    model: str


def fingerprint_call(account: ClientAccount, call: Call) -> Fingerprint:
    """Compute the digest that identifies a repeated request of an account."""
    return compute_fingerprint(
        account=account.name,
        method=call.method,
        path=call.path,
        body=call.body,
    )


def is_idempotent(service: ServiceDeployment, call: Call) -> bool:
    """Tell whether a call to a service may run more than once.

    The path is normalized first, so that no other spelling of a path
    evades a pattern of ``non_idempotent``.
    """
    path = normalize_path(call.path)
    return not any(
        pattern.method.upper() == call.method.upper()
        and path.startswith(pattern.path_prefix)
        for pattern in service.non_idempotent
    )


def normalize_path(path: str) -> str:
    """Normalize a path so that all its spellings compare equal.

    The query is dropped, percent escapes are decoded, and dot segments and
    double slashes are removed.
    """
    plain = unquote(path.partition('?')[0])
    normal = posixpath.normpath(f'/{plain.lstrip("/")}')
    return f'{normal}/' if plain.endswith('/') and normal != '/' else normal


def admit_call(
    entry: EntryState, call: Call, decision_log: DecisionLog
) -> AdmittedCall | NotRun:
    """Return the admitted call, or the refusal of the call."""
    refusal = check_readiness(entry)
    if refusal is not None:
        return refusal
    account = entry.catalog.find_account(call.api_key or '')
    if account is None:
        return NotRun(
            code=errors.UNKNOWN_API_KEY,
            detail='No client account has this API key.',
        )
    if call.deployment is None:
        work = _admit_model_call(entry, call, decision_log, account)
    else:
        work = _admit_service_call(entry, call, decision_log, account)
    if isinstance(work, AdmittedCall) and check_crasher(entry, work):
        return NotRun(
            code=errors.CRASHING_REQUEST,
            detail=(
                'Targets died under this request; it was not run again.'
                ' An operator can release it.'
            ),
        )
    return work


def check_crasher(entry: EntryState, work: AdmittedCall) -> bool:
    """Tell whether a request is refused because it crashed targets.

    Targets whose status lists the request as a suspect are recorded first.
    """
    crashed_targets = [
        record.target
        for record in entry.directory.records
        if record.status and work.fingerprint in record.status.suspects
    ]
    if crashed_targets:
        entry.crashers.record_crashes(
            work.fingerprint, work.account.name, *crashed_targets
        )
    return entry.crashers.is_refused(work.fingerprint)


def check_readiness(entry: EntryState) -> NotRun | None:
    """Return the refusal of all calls by this daemon; none if it is ready."""
    if entry.draining:
        return NotRun(
            code=errors.DRAINING,
            detail='This entry daemon is stopping; call again.',
            retry_after=_DRAIN_RETRY_SECONDS,
        )
    if entry.holder.document is None:
        return NotRun(
            code=errors.NO_CONFIGURATION,
            detail='This entry daemon has no configuration yet.',
            retry_after=_DRAIN_RETRY_SECONDS,
        )
    entry.catalog.read(entry.holder.document)
    return None


def _admit_service_call(
    entry: EntryState,
    call: Call,
    decision_log: DecisionLog,
    account: ClientAccount,
) -> AdmittedCall | NotRun:
    assert call.deployment is not None  # noqa: S101
    service = entry.catalog.find_service(call.deployment)
    if service is None:
        return NotRun(
            code=errors.UNKNOWN_SERVICE,
            detail=f'No service is called {call.deployment!r}.',
        )
    return AdmittedCall(
        call=call,
        account=account,
        deployments=(service,),
        idempotent=call.idempotent and is_idempotent(service, call),
        fingerprint=fingerprint_call(account, call),
        expires_at=read_clock() + call.time_left,
        decision_log=decision_log,
    )


def _admit_model_call(
    entry: EntryState,
    call: Call,
    decision_log: DecisionLog,
    account: ClientAccount,
) -> AdmittedCall | NotRun:
    try:
        fields = decode_json(call.body, ModelFields)
    except UnreadableError as error:
        return NotRun(
            code=errors.BAD_REQUEST,
            detail=f'The body is no JSON object with a model: {error}.',
        )
    name, _, adapter = fields.model.partition(':')
    model = ModelName(name)
    deployments = tuple(
        deployment
        for deployment in entry.catalog.find_models(model)
        if not adapter or adapter in {one.name for one in deployment.adapters}
    )
    if not deployments:
        return NotRun(
            code=errors.UNKNOWN_MODEL,
            detail=f'No deployment offers the model {fields.model!r}.',
        )
    return AdmittedCall(
        call=call,
        account=account,
        deployments=deployments,
        idempotent=call.idempotent,
        fingerprint=fingerprint_call(account, call),
        expires_at=read_clock() + call.time_left,
        decision_log=decision_log,
        model=model,
        adapter=AdapterName(adapter) if adapter else None,
        prefix=digest_prefix(call.body),
    )


def digest_prefix(body: bytes) -> int | None:
    """Hash the start of a long body; none for a body that is too short.

    Bodies with equal starts get equal numbers.
    """
    if len(body) < _PREFIX_BYTES:
        return None
    digest = hashlib.blake2b(body[:_PREFIX_BYTES], digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest())

"""An attempt as HTTP headers and body, and back."""

import dataclasses
from collections.abc import Mapping
from typing import Final
from urllib.parse import quote, unquote

from ragwortcourse.identifiers import (
    AdapterName,
    AttemptId,
    ClientAccountName,
    DeploymentName,
    Generation,
    ModelName,
    RequestId,
    VersionName,
)
from ragwortcourse.messages import headers as names
from ragwortcourse.messages.attempt import Attempt

MODEL_HEADER: Final = 'x-rc-model'
NOT_RELAYED: Final = frozenset(
    (
        'accept-encoding',
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
MILLISECONDS_PER_SECOND: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptMalformed:
    """Headers that are no attempt, with the first thing wrong."""

    detail: str


def encode_attempt(attempt: Attempt) -> dict[str, str]:
    """Headers that carry everything of an attempt but its id and body."""
    encoded = {
        names.REQUEST: attempt.request,
        names.CLIENT_ACCOUNT: quote(attempt.account),
        names.ACCOUNT_WEIGHT: repr(attempt.weight),
        names.DEPLOYMENT: quote(attempt.deployment),
        names.GENERATION: str(attempt.generation),
        names.SENDER: attempt.sender,
        names.IDEMPOTENT: str(int(attempt.idempotent)),
        names.RUN_METHOD: attempt.method,
        names.RUN_PATH: attempt.path,
        names.DEADLINE_MS: repr(attempt.time_left * MILLISECONDS_PER_SECOND),
        names.FINGERPRINT: attempt.fingerprint,
        names.PRIORITY: str(attempt.priority),
        names.SUSPECT: str(int(attempt.suspect)),
    }
    optional = {
        MODEL_HEADER: attempt.model,
        names.MODEL_VERSION: attempt.version,
        names.ADAPTER: attempt.adapter,
    }
    encoded.update(
        {
            name: quote(text)
            for name, text in optional.items()
            if text is not None
        }
    )
    encoded.update(
        {
            names.RELAYED_PREFIX + name.lower(): text
            for name, text in select_relayed(attempt.headers).items()
        }
    )
    return encoded


def decode_attempt(
    attempt: AttemptId, encoded: Mapping[str, str], body: bytes
) -> Attempt | AttemptMalformed:
    """The attempt that was encoded.

    :param encoded: headers, looked up without regard to case.
    """
    try:
        return read_attempt(attempt, encoded, body)
    except KeyError as missing:
        return AttemptMalformed(detail=f'header {missing.args[0]} is missing')
    except ValueError as error:
        return AttemptMalformed(detail=f'a number in a header: {error}')


def read_attempt(
    attempt: AttemptId, encoded: Mapping[str, str], body: bytes
) -> Attempt:
    """The attempt that was encoded.

    :raises KeyError: where a header is missing.
    :raises ValueError: where a number is none.
    """
    model = encoded.get(MODEL_HEADER)
    version = encoded.get(names.MODEL_VERSION)
    adapter = encoded.get(names.ADAPTER)
    return Attempt(
        attempt=attempt,
        request=RequestId(encoded[names.REQUEST]),
        account=ClientAccountName(unquote(encoded[names.CLIENT_ACCOUNT])),
        weight=float(encoded[names.ACCOUNT_WEIGHT]),
        deployment=DeploymentName(unquote(encoded[names.DEPLOYMENT])),
        generation=Generation(int(encoded[names.GENERATION])),
        sender=encoded[names.SENDER],
        idempotent=encoded[names.IDEMPOTENT] == '1',
        method=encoded[names.RUN_METHOD],
        path=encoded[names.RUN_PATH],
        headers=collect_relayed(encoded),
        body=body,
        time_left=float(encoded[names.DEADLINE_MS]) / MILLISECONDS_PER_SECOND,
        fingerprint=encoded[names.FINGERPRINT],
        model=None if model is None else ModelName(unquote(model)),
        version=None if version is None else VersionName(unquote(version)),
        adapter=None if adapter is None else AdapterName(unquote(adapter)),
        priority=int(encoded.get(names.PRIORITY, '0')),
        suspect=encoded.get(names.SUSPECT) == '1',
    )


def select_relayed(headers: Mapping[str, str]) -> dict[str, str]:
    """The headers that belong to the message, not to the connection."""
    return {
        name: text
        for name, text in headers.items()
        if name.lower() not in NOT_RELAYED
    }


def collect_relayed(encoded: Mapping[str, str]) -> dict[str, str]:
    """The caller's headers, without the prefix they travelled under."""
    return {
        name.lower().removeprefix(names.RELAYED_PREFIX): text
        for name, text in encoded.items()
        if name.lower().startswith(names.RELAYED_PREFIX)
    }

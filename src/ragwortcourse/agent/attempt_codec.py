"""Encodes attempts as HTTP headers and body, and decodes them."""

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
    """Headers that cannot be decoded as an attempt.

    :param detail: the first error found.
    """

    detail: str


def encode_attempt(attempt: Attempt) -> dict[str, str]:
    """Encode all fields of an attempt except its id and body as headers."""
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
    """Decode an attempt.

    :param encoded: headers; the mapping must ignore case.
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
    """Decode an attempt, without handling of malformed headers.

    :raises KeyError: if a header is missing.
    :raises ValueError: if a numeric header is not a number.
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
    """Select the headers that a proxy may forward.

    Headers of the connection, such as ``connection`` and ``host``, and the
    caller's credentials are left out.
    """
    return {
        name: text
        for name, text in headers.items()
        if name.lower() not in NOT_RELAYED
    }


def collect_relayed(encoded: Mapping[str, str]) -> dict[str, str]:
    """Collect the caller's headers and strip the relay prefix."""
    return {
        name.lower().removeprefix(names.RELAYED_PREFIX): text
        for name, text in encoded.items()
        if name.lower().startswith(names.RELAYED_PREFIX)
    }

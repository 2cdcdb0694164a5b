"""Crash evidence that entry daemons share with each other."""

import msgspec

from ragwortcourse.identifiers import ClientAccountName, TargetName


class SharedCrasher(msgspec.Struct, frozen=True, kw_only=True):
    """Targets that crashed while they ran one request.

    :param fingerprint: digest of client account, method, path and body.
    :param targets: all targets that crashed.
    :param released: targets whose crash an operator's release excluded.
    """

    fingerprint: str
    account: ClientAccountName
    targets: tuple[TargetName, ...]
    released: tuple[TargetName, ...] = ()

"""Evidence against a request, as entry daemons tell it to each other."""

import msgspec

from ragwortcourse.identifiers import ClientAccountName, TargetName


class SharedCrasher(msgspec.Struct, frozen=True, kw_only=True):
    """Targets that died under one request.

    :param released: those that an operator has let pass.
    """

    fingerprint: str
    account: ClientAccountName
    targets: tuple[TargetName, ...]
    released: tuple[TargetName, ...] = ()

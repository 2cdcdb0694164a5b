"""A client account and its share."""

import msgspec

from ragwortcourse.identifiers import ClientAccountName, Sha256Hex


class ClientAccount(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Callers that share one weight.

    :param weight: share relative to other accounts when a target is full.
    :param key_sha256: digests of the API keys that belong to the account.
    """

    name: ClientAccountName
    weight: float = 1.0
    key_sha256: tuple[Sha256Hex, ...] = ()

"""Client accounts and their shares of a full target."""

import msgspec

from ragwortcourse.identifiers import ClientAccountName, Sha256Hex


class ClientAccount(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Group of callers that share one weight.

    :param weight: share of a full target, relative to other accounts.
    :param key_sha256: digests of the API keys that belong to the account.
    """

    name: ClientAccountName
    weight: float = 1.0
    key_sha256: tuple[Sha256Hex, ...] = ()

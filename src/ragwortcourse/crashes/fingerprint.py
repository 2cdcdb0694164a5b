"""Identity of a request that callers send again."""

import hashlib

from ragwortcourse.identifiers import ClientAccountName, Fingerprint


def compute_fingerprint(
    *, account: ClientAccountName, method: str, path: str, body: bytes
) -> Fingerprint:
    """Compute the digest that identifies a repeated request.

    :param account: empty for requests without a client account.
    :param path: path and query.
    """
    digest = hashlib.sha256()
    for part in (account, method, path):
        digest.update(f'{part}\n'.encode())
    digest.update(body)
    return Fingerprint(digest.hexdigest())

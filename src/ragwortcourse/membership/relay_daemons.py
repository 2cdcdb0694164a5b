"""Entry daemons that pass chunks on to the loaders of their fleet."""

import msgspec

from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
)


class RelayRecord(msgspec.Struct, frozen=True, kw_only=True):
    """How an entry daemon is reached by other daemons.

    :param address: ``ip:port`` of its port for other daemons.
    """

    daemon: DaemonId
    address: str
    failure_domain: FailureDomainName
    region: RegionName

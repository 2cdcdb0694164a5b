"""Records of entry daemons that relay chunks to loaders."""

import msgspec

from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
)


class RelayRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Address and location of an entry daemon, for other daemons.

    :param address: ``ip:port`` of the port for other daemons.
    """

    daemon: DaemonId
    address: str
    failure_domain: FailureDomainName
    region: RegionName

"""Error for listen addresses that cannot be opened."""

from ragwortcourse.configuration.finding import Finding


class UnusableAddressesError(Exception):
    """A daemon could not listen on addresses in its settings.

    :param findings: one finding for each such address.
    """

    def __init__(self, *, findings: tuple[Finding, ...]) -> None:
        super().__init__(f'{len(findings)} addresses cannot be used')
        self.findings = findings

"""Settings that are sound, with addresses that can't be listened on."""

from ragwortcourse.configuration.finding import Finding


class UnusableAddressesError(Exception):
    """A daemon could not start on the addresses of its settings.

    :param findings: one for each address.
    """

    def __init__(self, *, findings: tuple[Finding, ...]) -> None:
        super().__init__(f'{len(findings)} addresses cannot be used')
        self.findings = findings

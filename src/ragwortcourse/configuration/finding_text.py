"""Rendering of findings as text."""

from ragwortcourse.configuration.finding import Finding


def format_finding(finding: Finding, file: str = '') -> str:
    """Format a finding as one line.

    The line has the file, place, value, message and allowed values.
    """
    place = ': '.join(part for part in (file, finding.place) if part)
    line = f'{place} = {finding.value}' if finding.value else place
    text = f'{line}: {finding.message}'
    if finding.allowed:
        return f'{text}; allowed: {finding.allowed}'
    return text

"""A finding as a line of text."""

from ragwortcourse.configuration.finding import Finding


def format_finding(finding: Finding, file: str = '') -> str:
    """File, key, value, what is wrong and what is allowed, in one line."""
    place = ': '.join(part for part in (file, finding.place) if part)
    line = f'{place} = {finding.value}' if finding.value else place
    text = f'{line}: {finding.message}'
    if finding.allowed:
        return f'{text}; allowed: {finding.allowed}'
    return text

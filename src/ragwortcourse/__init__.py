"""Weight distribution and request routing for bursts of model traffic."""

from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.messages.outcome import Completed, NotRun, Outcome, Unknown

__all__ = ('Completed', 'Configuration', 'NotRun', 'Outcome', 'Unknown')

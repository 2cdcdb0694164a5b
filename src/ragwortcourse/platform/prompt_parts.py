"""Reading of the parts of a prompt from a request's header."""

import logging
import string
from typing import Final

from ragwortcourse.identifiers import PromptPartId

# Parts of one prompt that are looked at. Prompts have a few.
PARTS_LIMIT: Final = 16
# Longest id that is read, in characters: a SHA-256 digest.
ID_LENGTH: Final = 64
SEPARATOR: Final = ','

LOGGER: Final = logging.getLogger(__name__)


def read_shared_parts(text: str) -> tuple[PromptPartId, ...]:
    """Read the parts of a prompt that other requests may share.

    The last part belongs to the request itself. Unreadable parts, and those
    after the first ``PARTS_LIMIT``, are left out with a log line.

    :param text: comma-separated ``ID:TOKENS`` entries.
    :return: the ids in order, each once, in lower case.
    """
    # A long header is not split as a whole.
    entries = text.rstrip(SEPARATOR).split(SEPARATOR, PARTS_LIMIT)
    rest = entries.pop()
    ids = [_read_id(entry) for entry in entries]
    if SEPARATOR in rest or None in ids:
        LOGGER.warning(
            'prompt parts not all read; the request is passed on unchanged',
            extra={'read': len(ids) - ids.count(None), 'bytes': len(text)},
        )
    return tuple(dict.fromkeys(each for each in ids if each is not None))


def _read_id(entry: str) -> PromptPartId | None:
    text = entry.partition(':')[0].strip()
    if 0 < len(text) <= ID_LENGTH and set(text) <= set(string.hexdigits):
        return PromptPartId(text.lower())
    return None

"""Decoder of everything that another process wrote.

Rows, datagrams and bodies come from processes that may be faulty or of
another release. Whatever they hold, a reader gets a message of the type that
it asked for or one kind of error.
"""

import functools
from typing import Any, TypeVar, overload

import msgspec

from ragwortcourse.unreadable import UnreadableError

MessageType = TypeVar('MessageType')


@overload
def decode_json(content: bytes, kind: type[MessageType]) -> MessageType: ...


# A union of types is not a type itself.
@overload
def decode_json(content: bytes, kind: Any) -> Any: ...


def decode_json(content: bytes, kind: Any) -> Any:
    """Decode JSON to a message.

    Parts that the type does not have are skipped, but count for the nesting.

    :param kind: type of the message.
    :raises UnreadableError: the content is not JSON of this type, or its
        parts are nested more deeply than the interpreter can follow.
    """
    try:
        return _build_decoder(kind).decode(content)
    except RecursionError as error:
        raise UnreadableError('nested too deeply') from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise UnreadableError(str(error)) from error


@functools.cache
def _build_decoder(kind: Any) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(kind)

"""Reads the desired state in force from the platform's store."""

import asyncio
from typing import Any

from ragwortcourse.cli.exit_code import ExitCode
from ragwortcourse.cli.output import Failure, report_failure
from ragwortcourse.messages.outcome import OutcomeKind
from ragwortcourse.platform import names
from ragwortcourse.platform.state_check import parse_state
from ragwortcourse.platform.store import Store
from ragwortcourse.platform.store_row import StoreRows, StoreSilent
from ragwortcourse.platform.store_session import open_store_session
from ragwortcourse.unreadable import UnreadableError


def read_state_in_force(
    address: str, seconds: float, *, as_json: bool
) -> dict[str, Any] | None:
    """Read the desired state that the store holds, by one read of its table.

    :param address: address of the store, ``ip:port``.
    :param seconds: longest time of the read.
    :return: none where operators have written none yet.
    :raises Exit: the state was not obtained; the failure has been shown.
    """
    try:
        rows = asyncio.run(_read(address, seconds))
        content = next(
            (row.content for row in rows.rows if row.key == names.DESIRED_KEY),
            None,
        )
        return None if content is None else parse_state(content)
    except (OSError, UnreadableError, TimeoutError) as error:
        raise report_failure(
            Failure(
                code='store_unreachable',
                message=f'{address}: {error or "no answer in time"}',
                outcome=OutcomeKind.NOT_RUN,
            ),
            ExitCode.UNREACHABLE,
            as_json=as_json,
        ) from error


async def _read(address: str, seconds: float) -> StoreRows:
    """Read the operators' table.

    :raises OSError: the store did not answer.
    """
    async with open_store_session() as session, asyncio.timeout(seconds):
        store = Store(session=session, address=address)
        answer = await store.read_table(names.OPERATORS_TABLE)
    if isinstance(answer, StoreSilent):
        raise OSError(answer.detail)
    return answer

"""Command-line options that locate and authenticate to entry daemons."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final, ParamSpec, TypeVar

import click

DEFAULT_ENTRY: Final = 'http://127.0.0.1:7004'
DEFAULT_TIMEOUT_SECONDS: Final = 10.0

_Params = ParamSpec('_Params')
_Returned = TypeVar('_Returned')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Connection:
    """How to reach the operators' port of an entry daemon.

    :param entries: base URLs of entry daemons, tried in this order.
    :param token: bearer token of the operator.
    :param timeout: seconds to wait for each answer.
    """

    entries: tuple[str, ...]
    token: str
    timeout: float = DEFAULT_TIMEOUT_SECONDS


def normalize_entry(text: str) -> str:
    """Return the base URL for a URL or a bare ``ip:port``."""
    url = text if '://' in text else f'http://{text}'
    return url.rstrip('/')


def check_token(
    context: click.Context, parameter: click.Parameter, token: str
) -> str:
    """Return the token if an HTTP header can carry it.

    :raises BadParameter: the token contains unprintable characters.
    """
    if token.isprintable():
        return token
    raise click.BadParameter(
        'a token must not contain line ends or other control characters',
        ctx=context,
        param=parameter,
    )


def accept_connection(
    command: Callable[_Params, _Returned],
) -> Callable[..., _Returned]:
    """Add the options of a connection and pass it as ``connection``."""

    @click.option(
        '--entry',
        'entries',
        multiple=True,
        envvar='RAGWORTCOURSE_ENTRY',
        default=(DEFAULT_ENTRY,),
        show_default=True,
        help='Address of an entry daemon for operators; may be given again, '
        'the next one is asked when one is silent.',
    )
    @click.option(
        '--token',
        envvar='RAGWORTCOURSE_TOKEN',
        default='',
        callback=check_token,
        help='Token of the operator; better given by RAGWORTCOURSE_TOKEN.',
    )
    @click.option(
        '--timeout',
        type=click.FloatRange(min=0, min_open=True),
        default=DEFAULT_TIMEOUT_SECONDS,
        show_default=True,
        help='Seconds to wait for each answer.',
    )
    @functools.wraps(command)
    def connect(
        *,
        entries: tuple[str, ...],
        token: str,
        timeout: float,
        **options: object,
    ) -> _Returned:
        connection = Connection(
            entries=tuple(normalize_entry(entry) for entry in entries),
            token=token,
            timeout=timeout,
        )
        return command(connection=connection, **options)  # type: ignore[call-arg, arg-type]

    return connect

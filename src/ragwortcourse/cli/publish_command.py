"""The command that puts weights at the origin."""

import asyncio
import pathlib

import click
import msgspec
from aiohttp import ClientSession

from ragwortcourse.cli.exit_code import ExitCode
from ragwortcourse.cli.output import (
    Failure,
    accept_json,
    print_json,
    report_failure,
)
from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName
from ragwortcourse.messages.outcome import OutcomeKind
from ragwortcourse.platform.http_origin import build_http_writer
from ragwortcourse.platform.origin import OriginFailed
from ragwortcourse.weights.publication import Published, publish_weights


class PublishReport(msgspec.Struct, frozen=True, kw_only=True):
    """What ``publish`` shows.

    :param manifest_sha256: what a deployment names.
    :param size: bytes of the weights.
    """

    model: ModelName
    version: VersionName
    manifest_sha256: Sha256Hex
    size: int
    chunks: int


@click.command()
@click.argument(
    'path', type=click.Path(exists=True, path_type=pathlib.Path), metavar='FILE'
)
@click.option('--model', required=True, help='Name of the model.')
@click.option('--version', required=True, help='Name of the new version.')
@click.option(
    '--origin',
    envvar='RAGWORTCOURSE_ORIGIN',
    required=True,
    help='Base URL of the origin of weights.',
)
@accept_json
def publish(
    *, path: pathlib.Path, model: str, version: str, origin: str, as_json: bool
) -> None:
    """Put the weights in FILE at the origin, with their manifest.

    Nothing is served from them until a deployment names the manifest.

    Exit code 0: stored. 1: the origin did not store all; try again.

    Example: ragwortcourse publish drafts.bin --model drafts --version v2
    --origin http://10.0.0.5:8080/origin
    """
    outcome = asyncio.run(
        store_weights(path, ModelName(model), VersionName(version), origin)
    )
    if isinstance(outcome, OriginFailed):
        failure = Failure(
            code='origin_failed',
            message=outcome.detail,
            outcome=OutcomeKind.UNKNOWN,
        )
        raise report_failure(failure, ExitCode.REFUSED, as_json=as_json)
    report = PublishReport(
        model=outcome.manifest.model,
        version=outcome.manifest.version,
        manifest_sha256=outcome.digest,
        size=outcome.manifest.size,
        chunks=len(outcome.manifest.chunks),
    )
    if as_json:
        print_json(report)
    else:
        click.echo(f'manifest_sha256 = "{report.manifest_sha256}"')


async def store_weights(
    path: pathlib.Path, model: ModelName, version: VersionName, origin: str
) -> Published | OriginFailed:
    """Store weights through the origin's HTTP."""
    async with ClientSession() as session:
        writer = build_http_writer(session=session, base_url=origin.rstrip('/'))
        return await publish_weights(
            writer=writer, path=path, model=model, version=version
        )

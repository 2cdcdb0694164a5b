"""The command that publishes weights to the origin."""

import asyncio
import pathlib

import click
import msgspec
from click.exceptions import Exit

from ragwortcourse.cli.exit_code import ExitCode
from ragwortcourse.cli.output import (
    Failure,
    accept_json,
    print_json,
    report_failure,
    report_local_refusal,
)
from ragwortcourse.client_session import open_session
from ragwortcourse.configuration.rules import build_finding, check_name
from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName
from ragwortcourse.messages.outcome import OutcomeKind
from ragwortcourse.weights.http_origin import build_http_writer
from ragwortcourse.weights.origin import OriginFailed
from ragwortcourse.weights.origin_writer import OriginUnreached, VersionTaken
from ragwortcourse.weights.publication import (
    Published,
    PublishOutcome,
    publish_weights,
)


class PublishReport(msgspec.Struct, frozen=True, kw_only=True):
    """Output of ``publish --json``.

    :param manifest_sha256: digest by which a deployment names the weights.
    :param size: bytes of the weights.
    :param chunks: number of chunks.
    """

    model: ModelName
    version: VersionName
    manifest_sha256: Sha256Hex
    size: int
    chunks: int


@click.command()
@click.argument('path', type=click.Path(path_type=pathlib.Path, exists=True))
@click.option('--model', required=True, help='Name of the model.')
@click.option('--version', required=True, help='Name of the version.')
@click.option(
    '--origin',
    required=True,
    envvar='RAGWORTCOURSE_ORIGIN',
    help='Base URL of the origin of weights.',
)
@accept_json
def publish(
    *,
    path: pathlib.Path,
    model: str,
    version: str,
    origin: str,
    as_json: bool,
) -> None:
    """Put the weights in a file or directory at the origin.

    Prints the digest that a deployment names as manifest_sha256.

    Exit code 0: published in full. 1: refused, as a name is malformed or the
    version is there with other weights. 3: the origin was not reached, and
    holds nothing new. 5: the origin failed; publishing again is harmless.

    Example: ragwortcourse publish weights.bin --model drafts --version 7
    --origin http://10.0.0.2:9000/origin
    """
    require_names(model, version, as_json=as_json)
    outcome = asyncio.run(
        publish_path(
            path,
            ModelName(model),
            VersionName(version),
            origin.rstrip('/'),
        )
    )
    if not isinstance(outcome, Published):
        raise report_unpublished(version, outcome, as_json=as_json)
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


def require_names(model: str, version: str, *, as_json: bool) -> None:
    """Check that a configuration can name the model and version.

    :raises Exit: a name is malformed; the findings have been shown.
    """
    findings = (
        *check_name('--model', model),
        *check_name('--version', version),
    )
    if findings:
        raise report_local_refusal(
            'invalid',
            f'{len(findings)} findings',
            as_json=as_json,
            findings=findings,
        )


def report_unpublished(
    version: str,
    outcome: OriginFailed | OriginUnreached | VersionTaken,
    *,
    as_json: bool,
) -> Exit:
    """Show why the weights were not published.

    :return: exception to raise.
    """
    if isinstance(outcome, VersionTaken):
        finding = build_finding(
            '--version',
            version,
            'a version that is not published yet',
            f'there with other weights, manifest_sha256 {outcome.digest}',
        )
        return report_local_refusal(
            'version_taken',
            'the version has other weights; nothing was changed',
            as_json=as_json,
            findings=(finding,),
        )
    reached = isinstance(outcome, OriginFailed)
    failure = Failure(
        code='origin_failed' if reached else 'unreachable',
        message=outcome.detail,
        outcome=OutcomeKind.UNKNOWN if reached else OutcomeKind.NOT_RUN,
    )
    exit_code = ExitCode.UNKNOWN if reached else ExitCode.UNREACHABLE
    return report_failure(failure, exit_code, as_json=as_json)


async def publish_path(
    path: pathlib.Path, model: ModelName, version: VersionName, origin: str
) -> PublishOutcome:
    """Publish a file or directory to an origin.

    :param origin: base URL of the origin.
    """
    async with open_session() as session:
        writer = build_http_writer(session=session, base_url=origin)
        return await publish_weights(
            writer=writer, path=path, model=model, version=version
        )

"""Stand-in for the operator routes of an entry daemon, with faults."""

import dataclasses

import msgspec
from aiohttp import web

from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.identifiers import ChangeId, DaemonId, Generation
from ragwortcourse.messages.error_body import ErrorDetail
from ragwortcourse.messages.operator import (
    AvailabilityChange,
    ChangeAccepted,
    ChangeConflict,
    ConfigurationChange,
    OperatorErrorBody,
    OperatorStatus,
    TargetSummary,
)
from ragwortcourse.messages.outcome import OutcomeKind

EMPTY = ConfigurationDocument(
    generation=Generation(0),
    configuration=Configuration(),
    change=ChangeId('none'),
)


@dataclasses.dataclass(kw_only=True)
class FakeOperators:
    """State of the stand-in.

    :param document: configuration document in force.
    :param faults: faults of the next changes, in order: ``lose`` (takes
        effect, connection closed), ``drop`` (no effect, connection
        closed), ``refuse`` (no effect, error answer).
    :param statuses: targets of the next status answers, in order; the last
        entry is used for all later answers.
    :param parts: withdrawals and returns received, with their paths.
    """

    document: ConfigurationDocument = EMPTY
    faults: list[str] = dataclasses.field(default_factory=list)
    statuses: list[tuple[TargetSummary, ...]] = dataclasses.field(
        default_factory=lambda: [()]
    )
    parts: list[tuple[str, AvailabilityChange]] = dataclasses.field(
        default_factory=list
    )

    def build_app(self) -> web.Application:
        """Build the HTTP application of the stand-in."""
        app = web.Application()
        app.router.add_get('/operator/configuration', self.show)
        app.router.add_post('/operator/configuration', self.accept)
        app.router.add_post('/operator/withdrawals', self.change_part)
        app.router.add_post('/operator/returns', self.change_part)
        app.router.add_get('/operator/status', self.report)
        return app

    async def show(self, request: web.Request) -> web.Response:
        """Answer with the document in force."""
        return answer(self.document)

    async def accept(self, request: web.Request) -> web.Response:
        """Compare-and-set the document, subject to the next fault."""
        fault = self.faults.pop(0) if self.faults else ''
        body = await request.read()
        change = msgspec.json.decode(body, type=ConfigurationChange)
        if fault == 'refuse':
            return answer(make_refusal(), 503)
        if fault == 'drop':
            raise cut(request)
        if change.base_generation != self.document.generation:
            conflict = ChangeConflict(
                generation=self.document.generation, document=self.document
            )
            return answer(conflict, 409)
        self.document = ConfigurationDocument(
            generation=Generation(change.base_generation + 1),
            configuration=change.configuration,
            change=change.change,
        )
        if fault == 'lose':
            raise cut(request)
        return answer(self.make_acceptance(change.change))

    async def change_part(self, request: web.Request) -> web.Response:
        """Record a withdrawal or a return, subject to the next fault."""
        fault = self.faults.pop(0) if self.faults else ''
        body = await request.read()
        part = msgspec.json.decode(body, type=AvailabilityChange)
        self.parts.append((request.path, part))
        if fault:
            raise cut(request)
        return answer(self.make_acceptance(part.change))

    async def report(self, request: web.Request) -> web.Response:
        """Answer with the next status."""
        targets = self.statuses[0]
        if len(self.statuses) > 1:
            self.statuses.pop(0)
        status = OperatorStatus(
            daemon=DaemonId('entry-1'),
            generation=self.document.generation,
            withdrawals=(),
            targets=targets,
        )
        return answer(status)

    def make_acceptance(self, change: ChangeId) -> ChangeAccepted:
        """Make the answer that a change is in force."""
        return ChangeAccepted(
            generation=self.document.generation, change=change
        )


def answer(message: msgspec.Struct, status: int = 200) -> web.Response:
    """Encode a message as an HTTP answer."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(message),
        content_type='application/json',
    )


def cut(request: web.Request) -> ConnectionResetError:
    """Abort the connection of a request; return the error to raise."""
    if request.transport is not None:
        request.transport.abort()
    return ConnectionResetError('connection aborted by a simulated fault')


def make_refusal() -> OperatorErrorBody:
    """Make the error of an unreachable table service."""
    return OperatorErrorBody(
        error=ErrorDetail(
            code='table_unreachable',
            message='the table service does not answer',
            outcome=OutcomeKind.NOT_RUN,
        )
    )

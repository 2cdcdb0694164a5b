"""Tests of :mod:`ragwortcourse.telemetry`."""

import asyncio
import logging

import msgspec
import pytest
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider

from fakes.collector import build_collector_app
from ragwortcourse.settings import Settings
from ragwortcourse.settings_file import parse_settings
from ragwortcourse.telemetry import export
from ragwortcourse.telemetry.context import extract_context, inject_context
from ragwortcourse.telemetry.logs import set_up_logging
from tests.test_settings_file import ENTRY

TRACE = '0af7651916cd43dd8448eb211c80319c'
CALLER = f'00-{TRACE}-b7ad6b7169203331-01'


class TestContext:
    """W3C trace context in headers."""

    @pytest.mark.parametrize('provider', [None, TracerProvider()])
    def test_caller_context_goes_on(self, provider):
        """A caller's trace continues, with and without a tracer provider."""
        tracer = trace.get_tracer('test', tracer_provider=provider)
        context = extract_context({'TraceParent': CALLER})
        headers: dict[str, str] = {}
        with tracer.start_as_current_span('hop', context=context):
            inject_context(headers)
        assert headers['traceparent'].split('-')[1] == TRACE

    @pytest.mark.parametrize('header', ['', 'x', '00-0-0-01', CALLER[:-4]])
    def test_malformed_context_starts_a_new_trace(self, header):
        """A malformed trace context is ignored."""
        context = extract_context({'traceparent': header})
        assert not trace.get_current_span(context).get_span_context().is_valid


class TestExport:
    """Export over OTLP/HTTP."""

    async def test_spans_reach_the_collector_before_the_end(self):
        """Shutting down the provider exports pending spans."""
        async with TestServer(build_collector_app()) as server:
            resource = Resource.create(
                {'service.name': 'entry', 'service.instance.id': 'entry-1'}
            )
            provider = export.build_tracer_provider(
                str(server.make_url('')), resource
            )
            context = extract_context({'traceparent': CALLER})
            provider.get_tracer('test').start_span('hop', context).end()
            await asyncio.to_thread(provider.shutdown)
            async with (
                ClientSession() as session,
                session.get(server.make_url('/traces')) as answer,
            ):
                (span,) = (await answer.json())[TRACE]
        assert span['name'] == 'hop'
        assert span['instance'] == 'entry-1'


class TestLogs:
    """Format of log lines."""

    def test_line_is_json_with_the_names_of_the_daemon(self, capfd):
        """Each line is JSON and carries the fields of the daemon."""
        settings = parse_settings(ENTRY)
        assert isinstance(settings, Settings)
        root = logging.getLogger()
        handlers, level = list(root.handlers), root.level
        flush = set_up_logging(settings)
        logging.getLogger('part').info('withdrawn', extra={'name_of': 'a'})
        root.handlers[:], root.level = handlers, level
        flush()
        line = msgspec.json.decode(capfd.readouterr().out)
        assert line['message'] == 'withdrawn'
        assert line['name_of'] == 'a'
        assert line['failure_domain'] == 'milano-a'

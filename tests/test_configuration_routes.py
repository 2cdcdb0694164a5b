"""Tests of :mod:`ragwortcourse.configuration.routes`."""

import msgspec
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from measure.control_site import make_configuration
from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.configuration.feed import fetch_from_peer
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.routes import build_configuration_routes
from ragwortcourse.identifiers import ChangeId, Generation
from ragwortcourse.membership.http_daemons import build_http_daemons


class TestDocumentRoute:
    """Transfer of a document between daemons."""

    async def test_document_travels_compressed(self):
        """The index and parts are sent compressed and decoded by the peer."""
        holder = ConfigurationHolder()
        document = ConfigurationDocument(
            generation=Generation(1),
            configuration=make_configuration(accounts=100),
            change=ChangeId('change'),
        )
        holder.update_if_newer(document)
        app = web.Application()
        app.add_routes(build_configuration_routes(holder=holder))
        async with TestServer(app) as server, ClientSession() as session:
            port = build_http_daemons(session=session)
            address = f'127.0.0.1:{server.port}'
            taken = ConfigurationHolder()
            assert await fetch_from_peer(
                holder=taken, port=port, sender=address, generation=1
            )
            assert taken.document == document
            urls = [
                f'/configuration/part/{digest}'
                for digest in holder.snapshot.contents
            ]
            size = 0
            for url in ('/configuration/1', *urls):
                async with session.get(server.make_url(url)) as answer:
                    size += int(answer.headers['content-length'])
        assert size < len(msgspec.json.encode(document)) / 2

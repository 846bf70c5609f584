"""The links to every listed server on the platform."""

from __future__ import annotations

from valverouter.edge.context import ProxyContext
from valverouter.edge.discovery import EndpointSource
from valverouter.edge.events import EndpointUpdate
from valverouter.edge.link import ServerLink
from valverouter.edge.server_links import ServerLinks
from valverouter.interface import EndpointUpdateKind
from valverouter.platform_edge.link import PlatformLink
from valverouter.platform_edge.unknown_releases import UnknownReleases

# Incarnations are start times in Unix milliseconds.
NS_PER_MS = 10**6


class PlatformLinks(ServerLinks):
    """Links on the platform; a server that is gone or restarted has interrupted its established dialogs."""

    def __init__(
        self, context: ProxyContext, source: EndpointSource, unknown_releases: UnknownReleases
    ) -> None:
        """Releases of unknown dialogs are added to `unknown_releases`."""
        super().__init__(context, source)
        self._unknown_releases = unknown_releases
        # The addresses of the listed servers that drain, by name.
        self._draining: dict[str, str] = {}

    def make_link(self, server: str, address: str) -> ServerLink:
        """Creates a link that is not yet connected."""
        context = self._context
        return PlatformLink(
            server,
            address,
            context.config.links,
            context.runtime,
            context.events,
            context.reconnect_delay,
            context.send_batch,
            self._unknown_releases,
            context.started_at,
        )

    def on_endpoint_update(self, update: EndpointUpdate) -> None:
        """Applies a complete endpoint list or an incremental update."""
        super().on_endpoint_update(update)
        if update.kind is not EndpointUpdateKind.INCREMENTAL:
            self._draining.clear()
        for row in update.rows:
            self._draining.pop(row.server, None)
            if row.phase == "draining":
                self._draining[row.server] = row.address
            link = self.by_server.get(row.server)
            if isinstance(link, PlatformLink):
                # A process that has started since does not know the dialogs established at the previous one,
                # nor those that callers report only later.
                link.on_server_started(row.incarnation * NS_PER_MS)

    def link_for_reported(self, server: str) -> PlatformLink | None:
        """Returns the link to a server at which a dialog is reported; None if the server is not listed.

        A server that drained already when this process started has no link. Its dialogs stay established, so
        a link is made for them, out of service.
        """
        link = self.by_server.get(server)
        if (link is None or link.has_ended) and server in self._draining:
            self.put_in_service(server, self._draining[server])
            link = self.by_server[server]
            link.in_service = False
        return link if isinstance(link, PlatformLink) and not link.has_ended else None

    def take_out_of_service(self, server: str, is_gone: bool) -> None:
        """Stops sending attempts to a draining server; closes the link to one that is gone."""
        super().take_out_of_service(server, is_gone)
        if is_gone and (link := self.by_server.get(server)) is not None:
            link.close("gone")

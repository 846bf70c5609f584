"""The links to all listed servers: made, taken out of service and closed according to the endpoint list."""

from __future__ import annotations

from collections.abc import Callable

from valverouter.edge.context import ProxyContext
from valverouter.edge.discovery import EndpointSource
from valverouter.edge.events import AttemptEnded, EndpointUpdate, LinkDown, LinkUp
from valverouter.edge.incarnations import IncarnationTracker
from valverouter.edge.link import ServerLink
from valverouter.interface import Endpoint, EndpointUpdateKind, Outcome
from valverouter.signalling.serverlist import EndpointRow

MS = 1_000_000


class ServerLinks:
    """The links by server name in `by_server`; a link stays until the endpoint list removes its server."""

    def __init__(self, context: ProxyContext, source: EndpointSource) -> None:
        """`source` holds the last received endpoint list."""
        self.by_server: dict[str, ServerLink] = {}
        # Links to servers removed from the endpoint list; each is closed once no attempt is open on it.
        self.removed: set[ServerLink] = set()
        self.incarnations = IncarnationTracker(context.config.deployment.slow_start_duration)
        # Starts a link's task; set when the proxy starts running.
        self.start_task: Callable[[ServerLink], None] | None = None
        self._context = context
        self._source = source

    @property
    def any_is_up(self) -> bool:
        """Whether at least one server in service can be sent attempts."""
        return any(link.in_service and link.is_up for link in self.by_server.values())

    def make_link(self, server: str, address: str) -> ServerLink:
        """Creates a link that is not yet connected."""
        context = self._context
        return ServerLink(
            server,
            address,
            context.config.name,
            context.config.links,
            context.runtime,
            context.events,
            context.reconnect_delay,
            context.send_batch,
            context.epoch,
        )

    def on_endpoint_update(self, update: EndpointUpdate) -> None:
        """Applies a complete endpoint list or an incremental update."""
        context = self._context
        is_complete = update.kind in (EndpointUpdateKind.COMPLETE, EndpointUpdateKind.CACHED)
        listed = {row.server for row in update.rows}
        if is_complete:
            self.incarnations.retain(listed)
        is_cached = update.kind is EndpointUpdateKind.CACHED
        endpoints = [self.incarnations.endpoint(row, context.now, is_cached) for row in update.rows]
        context.run_isolated("", context.driver.update_endpoints, update.kind, endpoints)
        for row in update.rows:
            self._apply_row(row, update.kind)
        if is_complete:
            for server in [server for server in self.by_server if server not in listed]:
                self.take_out_of_service(server, True)

    def _apply_row(self, row: EndpointRow, kind: EndpointUpdateKind) -> None:
        self._context.log.info(
            "endpoint-updated", server=row.server, phase=row.phase, scope=kind.name.lower()
        )
        if row.phase == "in-service":
            self.put_in_service(row.server, row.address)
        else:
            self.take_out_of_service(row.server, row.phase == "gone")
        if row.phase == "gone":
            self.incarnations.forget(row.server)

    def put_in_service(self, server: str, address: str) -> None:
        """Keeps or makes the link to a server in service at this address."""
        link = self.by_server.get(server)
        if link is not None and link.address == address and link.can_return_to_service:
            link.in_service = True
            self.removed.discard(link)
            return
        if link is not None:
            link.in_service = False
            link.close("the server's address has changed")
        self.by_server[server] = link = self.make_link(server, address)
        assert self.start_task is not None
        self.start_task(link)

    def take_out_of_service(self, server: str, is_gone: bool) -> None:
        """Stops sending attempts to a draining or removed server, including those already queued."""
        link = self.by_server.get(server)
        if link is not None and is_gone:
            self.removed.add(link)
        if link is not None and link.in_service:
            link.in_service = False
            self._withdraw_all(link)

    def on_link_up(self, event: LinkUp) -> None:
        """Checks a server's welcome; a restart that the endpoint list does not show yet takes effect now.

        Attempts queued on this link were routed to the server's previous incarnation. After a restart they
        are withdrawn and routed again, so that the new incarnation does not receive them.
        """
        context, link, welcome = self._context, event.link, event.welcome
        if welcome.name != link.server:
            self._reject_misdirected(link, welcome.name)
            return
        before = self.incarnations.started_at(link.server, 0, None, context.now)
        started_at = self.incarnations.started_at(link.server, welcome.incarnation, welcome.age, context.now)
        context.log.info("link-up", server=link.server, address=link.address, incarnation=welcome.incarnation)
        row = self._source.replica.rows.get(link.server)
        if started_at != before and row is not None:
            context.log.info("server-restarted", server=link.server, age_ms=welcome.age // MS)
            endpoint = Endpoint(link.server, row.number, row.phase == "in-service", started_at, row.region)
            update = [endpoint]
            context.run_isolated("", context.driver.update_endpoints, EndpointUpdateKind.INCREMENTAL, update)
            self._withdraw_all(link)
        link.send_early_attempts()

    def _reject_misdirected(self, link: ServerLink, name: str) -> None:
        """Closes a link whose address is now used by another server.

        Attempts sent to that server might disturb its drain or overload it while it is warming up.
        """
        self._context.log.error("link-misdirected", server=link.server, address=link.address, answers_as=name)
        link.close(f"server {name!r} answers at this address")

    def _withdraw_all(self, link: ServerLink) -> None:
        for dialog_id, attempt in list(link.attempts):
            if link.withdraw((dialog_id, attempt)):
                ended = AttemptEnded(dialog_id, attempt, link.server, Outcome.UNREACHABLE)
                self._context.events.put(ended)
            elif link.is_partly_sent((dialog_id, attempt)):
                link.close("a set-up was partly written when the server went out of service or restarted")

    def on_link_down(self, event: LinkDown) -> None:
        """Removes a link that does not reconnect; its attempts have already been ended."""
        link = event.link
        if link.is_final:
            self.removed.discard(link)
            if self.by_server.get(link.server) is link:
                del self.by_server[link.server]

    def close_idle_removed(self) -> None:
        """Closes the links to removed servers on which no attempt is open."""
        for link in [link for link in self.removed if not link.attempts]:
            self.removed.discard(link)
            link.close("removed from the endpoint list")

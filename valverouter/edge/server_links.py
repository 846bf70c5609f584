"""The links to every listed server: made, taken out of service and closed as the endpoint list tells."""

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
    """A link for each server in service, by name in `by_server`, until the endpoint list removes it."""

    def __init__(self, context: ProxyContext, source: EndpointSource) -> None:
        """`source` holds the endpoint list as last received."""
        self.by_server: dict[str, ServerLink] = {}
        # Links to servers that are gone from the list; each is closed once nothing is open on it.
        self.leaving: set[ServerLink] = set()
        self.incarnations = IncarnationTracker(context.config.deployment.slow_start_duration)
        # Runs a link's task; set once the proxy runs.
        self.start_task: Callable[[ServerLink], None] | None = None
        self._context = context
        self._source = source

    @property
    def any_is_up(self) -> bool:
        """Whether a server can be sent to."""
        return any(link.in_service and link.is_up for link in self.by_server.values())

    def make_link(self, server: str, address: str) -> ServerLink:
        """A link that is not yet connected."""
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
        """The endpoint list, or a change of it, was received."""
        context = self._context
        is_complete = update.kind in (EndpointUpdateKind.COMPLETE, EndpointUpdateKind.CACHED)
        listed = {row.server for row in update.rows}
        if is_complete:
            self.incarnations.retain(listed)
        is_cached = update.kind is EndpointUpdateKind.CACHED
        endpoints = [self.incarnations.endpoint(row, context.now, is_cached) for row in update.rows]
        context.run_decision("", context.driver.update_endpoints, update.kind, endpoints)
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
        """A server takes attempts at this address from here on."""
        link = self.by_server.get(server)
        if link is not None and link.address == address and not link.has_ended:
            link.in_service = True
            self.leaving.discard(link)
            return
        if link is not None:
            link.in_service = False
            link.close("the list tells another address")
        self.by_server[server] = link = self.make_link(server, address)
        assert self.start_task is not None
        self.start_task(link)

    def take_out_of_service(self, server: str, is_gone: bool) -> None:
        """Draining or gone: from here on nothing new, also of what waits to be written."""
        link = self.by_server.get(server)
        if link is not None and is_gone:
            self.leaving.add(link)
        if link is not None and link.in_service:
            link.in_service = False
            self._withdraw_all(link)

    def on_link_up(self, event: LinkUp) -> None:
        """A server says who it is; a start that the list does not have yet counts from here.

        Attempts that wait for this link were decided for the process before: they go back to be decided
        again, so that a fresh process does not receive what was meant for its previous incarnation.
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
            context.run_decision("", context.driver.update_endpoints, EndpointUpdateKind.INCREMENTAL, update)
            self._withdraw_all(link)
        link.send_early_attempts()

    def _reject_misdirected(self, link: ServerLink, name: str) -> None:
        """An address that another server took over.

        What we would send it for this one might break its drain, or push it over while it is warming up.
        """
        self._context.log.error("link-misdirected", server=link.server, address=link.address, answers_as=name)
        link.close(f"{name!r} answers there")

    def _withdraw_all(self, link: ServerLink) -> None:
        for dialog_id, attempt in list(link.attempts):
            if link.withdraw((dialog_id, attempt)):
                ended = AttemptEnded(dialog_id, attempt, link.server, Outcome.UNREACHABLE)
                self._context.events.put(ended)
            elif link.is_partly_sent((dialog_id, attempt)):
                link.close("a set-up is half out while the list says that it must not go")

    def on_link_down(self, event: LinkDown) -> None:
        """Forgets a link that is not made again; its attempts have been seen to."""
        link = event.link
        if link.is_final:
            self.leaving.discard(link)
            if self.by_server.get(link.server) is link:
                del self.by_server[link.server]

    def close_idle_leaving(self) -> None:
        """Closes the links to servers that are gone, where nothing is open any more."""
        for link in [link for link in self.leaving if not link.attempts]:
            self.leaving.discard(link)
            link.close("gone from the list")

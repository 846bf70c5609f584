"""The edge proxy on the operators' platform.

It differs from `EdgeProxy` in its protocols, and in that established dialogs belong to no connection.
"""

from __future__ import annotations

import msgspec

from valverouter.config.options import MalformedInputError
from valverouter.config.platform import CLOSING_PERIOD, PlatformConfig
from valverouter.edge.attempts import AttemptHandler
from valverouter.edge.events import EndpointUpdate
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.runtime import Runtime
from valverouter.platform_edge.answered_ids import AnsweredIds
from valverouter.platform_edge.bus_client import BusClient
from valverouter.platform_edge.caller_listener import PlatformListener
from valverouter.platform_edge.callers import EstablishedReported, PlatformCaller, SharedCallerState
from valverouter.platform_edge.connected_callers import ConnectedCallers
from valverouter.platform_edge.dialogs import PlatformAttempts, PlatformDialogs, PlatformRequests
from valverouter.platform_edge.rejection_log import RateLimitedLog
from valverouter.platform_edge.release_notifier import ReleaseNotifier
from valverouter.platform_edge.server_links import PlatformLinks
from valverouter.platform_edge.unknown_releases import UnknownReleases


class PlatformProxy(EdgeProxy):
    """An edge proxy instance on the platform."""

    closing_period = CLOSING_PERIOD
    source: BusClient
    links: PlatformLinks
    dialogs: PlatformDialogs
    requests: PlatformRequests
    listener: PlatformListener

    def __init__(self, platform: PlatformConfig, runtime: Runtime) -> None:
        """`platform`: the complete, validated configuration."""
        self.connected: ConnectedCallers[PlatformCaller] = ConnectedCallers()
        self._platform = platform
        self._unknown_releases = UnknownReleases(platform.config.links.open_dialogs)
        self._answered_ids = AnsweredIds()
        super().__init__(platform.config, runtime)
        self._handlers[EstablishedReported] = self.requests.on_established_reported
        limits = msgspec.structs.asdict(platform.limits)
        self._log.info("edge-started", limits=limits, seed=platform.config.seed)

    def reconfigure(self, platform: PlatformConfig) -> None:
        """Applies the event bus's address and events; other settings take effect with the next start.

        Raises MalformedInputError, and applies nothing, if the configuration is for another edge proxy.
        """
        if platform.config.name != self.config.name:
            raise MalformedInputError(
                f"name: {platform.config.name!r}, but this edge proxy is {self.config.name!r}"
            )
        self.source.apply_events(platform.known)
        self.source.set_address(platform.config.list_service)
        self._log.info("configuration-reloaded", bus=platform.config.list_service)

    # Factories for the components

    def _make_source(self) -> BusClient:
        context = self.context
        return BusClient(context.config.list_service, self._platform.known, context.runtime, context.events)

    def _make_links(self) -> PlatformLinks:
        return PlatformLinks(self.context, self.source, self._unknown_releases)

    def _make_dialogs(self) -> PlatformDialogs:
        self.release_notifier = ReleaseNotifier(self.context, self.connected.find_release_recipient)
        return PlatformDialogs(self.context, self.reloader, self.release_notifier, self._answered_ids)

    def _make_attempts(self) -> AttemptHandler:
        return PlatformAttempts(self.context, self.dialogs, self.links)

    def _make_requests(self) -> PlatformRequests:
        return PlatformRequests(
            self.context,
            self.dialogs,
            self.attempts,
            self.links,
            self._unknown_releases,
            self.release_notifier,
        )

    def _make_listener(self) -> PlatformListener:
        context = self.context
        shared = SharedCallerState(
            config=context.config.links,
            events=context.events,
            batch=context.send_batch,
            clock=context.clock,
            deployment=context.config.deployment,
            widths=self._platform.widths,
            is_accepting=lambda: not context.shutdown.is_draining,
            connected=self.connected,
            answered_ids=self._answered_ids,
            rejection_log=RateLimitedLog(),
            release_notifier=self.release_notifier,
        )
        return PlatformListener(context, self.links, self.incarnation, shared)

    # Hooks

    @property
    def _is_done(self) -> bool:
        # Until closing starts, established dialogs count too, so that their releases are passed on.
        if self.context.shutdown.is_closing(self.context.now):
            return not self.dialogs.open_count
        return not self.dialogs.entries

    @property
    def _is_quiet(self) -> bool:
        # A request that the kernel has received must be answered; it would be lost if the process ended.
        return super()._is_quiet and self.connected.all_quiet()

    def _close_idle_callers(self) -> None:
        # Callers that keep sending set-ups would keep the process busy until shortly before SIGKILL, when a
        # busy host may not schedule it any more. Callers repeat a set-up that crosses the close.
        owed = {entry.caller for entry in self.dialogs.entries.values() if not entry.is_established}
        self.connected.close_quiet(owed)

    def _on_endpoint_update(self, update: EndpointUpdate) -> None:
        super()._on_endpoint_update(update)
        # While the bus was unreachable, callers may have taken the file descriptors that servers need now.
        self.listener.free_descriptors()

"""The edge proxy: assembles its components and runs the event loop that dispatches events to them.

All calls into the Driver are made from `_run_turns`, one event at a time: endpoint list updates first, then
callers' cancellations, then other events in order of arrival, then due timers. Only `valverouter.policy`
makes routing decisions; the components here track which caller is owed which answer.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import trio

from valverouter.config.edge import EdgeConfig
from valverouter.edge.accounts import AccountWriter
from valverouter.edge.attempt_policies import AttemptPolicies
from valverouter.edge.attempts import AttemptHandler
from valverouter.edge.caller_listener import CallerListener
from valverouter.edge.caller_requests import CallerRequests
from valverouter.edge.context import ProxyContext, ProxyCounters
from valverouter.edge.dialogs import DialogTable
from valverouter.edge.discovery import DiscoveryClient, EndpointSource
from valverouter.edge.events import (
    AttemptEnded,
    CallerDisconnected,
    CallerMessage,
    EndpointUpdate,
    Event,
    LinkDown,
    LinkUp,
    ReloadRequested,
    ServerMessage,
    StopRequested,
)
from valverouter.edge.reload import ConfigReloader
from valverouter.edge.runtime import Runtime
from valverouter.edge.server_links import ServerLinks
from valverouter.interface import (
    Command,
    DialogAction,
    EndpointUpdateKind,
    Fail,
    Reject,
    StartAttempt,
    Subscribe,
    Timer,
)
from valverouter.policy.tuning import HEARTBEAT_INTERVAL
from valverouter.regions.cross_region_limiter import CrossRegionLimiter
from valverouter.signalling import setup

# A gap between two turns longer than this, in nanoseconds, shows that this process was not running: a
# heartbeat timer is due at least every HEARTBEAT_INTERVAL.
STALL_THRESHOLD = HEARTBEAT_INTERVAL + 50_000_000
# After a stall, the readers get this many seconds to read what arrived in the meantime, so that endpoint list
# updates are handled before any attempt is sent.
READ_DELAY_S = 0.005
READ_DELAY = round(READ_DELAY_S * 1e9)
# Events handled per turn before timers are checked and streams are written.
MAX_BATCH = 16
# Time-outs of ended attempts are pruned once more timers than this are queued: an attempt with a no-answer
# time of an hour may be answered at once, and its time-out would stay queued for that hour. The next limit is
# twice the number of timers that remain, but never lower than this.
MIN_TIMERS_PRUNED = 1_024

MS = 1_000_000


class EdgeProxy:
    """An edge proxy instance. Its open dialogs are in `dialogs`, its links to servers in `links`."""

    # How long before the deadline of a graceful shutdown idle callers' connections are closed, nanoseconds.
    closing_period = 0

    def __init__(self, config: EdgeConfig, runtime: Runtime, epoch: int = 0) -> None:
        """Creates a proxy that is not yet running.

        `epoch` is sent to peers in the welcome; it is positive if accepted dialogs survive a restart.
        """
        self.address = ""
        self.ended = trio.Event()
        self.context = context = ProxyContext(config, runtime, epoch)
        self.incarnation = context.started_at
        self.reloader = ConfigReloader(context)
        self.source = self._make_source()
        self.links = self._make_links()
        self.dialogs = self._make_dialogs()
        self.attempts = self._make_attempts()
        self.requests = self._make_requests()
        self.listener = self._make_listener()
        self._accounts = AccountWriter(context, self.incarnation)
        self._log = context.log
        self._max_timers = MIN_TIMERS_PRUNED
        self._last_turn_at = context.now
        context.on_dialog_failed = self._on_dialog_failed
        self._handlers: dict[type, Callable[[Any], None]] = {
            Timer: self._on_timer,
            CallerMessage: self.requests.on_caller_message,
            CallerDisconnected: self.requests.on_caller_disconnected,
            ServerMessage: self.attempts.on_server_message,
            LinkUp: self._on_link_up,
            LinkDown: self._on_link_down,
            EndpointUpdate: self._on_endpoint_update,
            AttemptEnded: self.attempts.on_attempt_ended,
            ReloadRequested: self.reloader.on_reload,
            StopRequested: self._on_stop_requested,
        }
        self.reloader.apply_retry_budgets()

    # Factories for the components; overridden for other protocols and for proxies with a dialog store

    def _make_source(self) -> EndpointSource:
        context = self.context
        return DiscoveryClient(
            context.config, context.runtime, context.events, context.clock, context.reconnect_delay
        )

    def _make_links(self) -> ServerLinks:
        return ServerLinks(self.context, self.source)

    def _make_dialogs(self) -> DialogTable:
        return DialogTable(self.context, self.reloader)

    def _make_attempts(self) -> AttemptHandler:
        return AttemptHandler(self.context, self.dialogs, self.links)

    def _make_requests(self) -> CallerRequests:
        return CallerRequests(self.context, self.dialogs, self.attempts)

    def _make_listener(self) -> CallerListener:
        return CallerListener(self.context, self.links, self.incarnation)

    # Public interface

    @property
    def config(self) -> EdgeConfig:
        """The active configuration."""
        return self.context.config

    @property
    def counters(self) -> ProxyCounters:
        """Counters since the start of this process."""
        return self.context.counters

    @property
    def generation(self) -> int:
        """The number of configurations activated so far, including the active one."""
        return self.context.generation

    @property
    def cross_region(self) -> CrossRegionLimiter | None:
        """The limiter of cross-region attempts; None if none is configured."""
        return self.context.cross_region

    @property
    def is_draining(self) -> bool:
        """Whether the proxy is shutting down and accepts no more dialogs."""
        return self.context.shutdown.is_draining

    @property
    def open_dialogs(self) -> int:
        """The number of dialogs that have not been sent their final answer."""
        return self.dialogs.open_count

    @property
    def established_dialogs(self) -> int:
        """The number of established dialogs."""
        return self.dialogs.established_count

    @property
    def is_ready(self) -> bool:
        """Whether at least one listed server can be sent attempts."""
        return self.links.any_is_up

    def stop(self) -> None:
        """Starts a graceful shutdown: rejects new dialogs and ends once every open one is answered."""
        self.context.events.put(StopRequested())

    def reload(self, config: EdgeConfig, policies: AttemptPolicies | None = None, file: str = "") -> None:
        """Reloads the configuration.

        Cross-region rules and attempt policies take effect at once, all other settings with the next start.
        `policies` is the result of `build_attempt_policies` for this configuration; building it may take
        long, so callers do that in a thread.
        """
        self.context.events.put(ReloadRequested(config, policies, file))

    def build_attempt_policies(self, config: EdgeConfig) -> AttemptPolicies | None:
        """Builds the attempt policies of a new configuration; raises InvalidConfigError."""
        return self.reloader.build_attempt_policies(config)

    def reject_reload(self, file: str, reason: str, **details: Any) -> None:
        """Logs that a configuration could not be read; the active one stays in effect."""
        self.reloader.reject(file, reason, **details)

    async def run(self, task_status: trio.TaskStatus[EdgeProxy] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until stopped or cancelled.

        Reports `started` once it is listening; raises OSError if it cannot listen.
        """
        context = self.context
        async with trio.open_nursery() as nursery:
            self.links.start_task = lambda link: nursery.start_soon(link.run)
            rows = await self.source.load_cached()
            if rows:
                context.events.put_endpoint_update(EndpointUpdate(EndpointUpdateKind.CACHED, rows))
            self._on_start()
            nursery.start_soon(self.source.run)
            nursery.start_soon(self.source.persist)
            nursery.start_soon(context.events.run_wakeup_timer)
            nursery.start_soon(self._accounts.run)
            serve = partial(context.runtime.serve, refuse=self.listener.refuse)
            self.address = await nursery.start(serve, context.config.listen, self.listener.serve)
            self._log.info("edge-listening", address=self.address, place=context.config.place)
            task_status.started(self)
            await self._run_turns()
            nursery.cancel_scope.cancel()
        await self._accounts.write_final()
        self.ended.set()
        counters = context.counters
        self._log.info("edge-stopped", answers=dict(counters.answers), failures=counters.failures)

    # Hooks

    def _on_start(self) -> None:
        """Called before the first caller and the first endpoint list update are handled."""

    def _before_send(self, now: int) -> None:
        """Called at the end of a turn, before the messages that it queued are sent."""

    @property
    def _is_done(self) -> bool:
        """Whether a draining proxy has no more open work."""
        return not self.open_dialogs

    @property
    def _is_quiet(self) -> bool:
        """Whether nothing remains to be handled, read or written."""
        return not len(self.context.events)

    def _close_idle_callers(self) -> None:
        """Closes idle callers' connections, so that they connect to other edge proxies.

        Called shortly before the shutdown deadline, or once no dialog is open.
        """

    # The event loop

    async def _run_turns(self) -> None:
        context = self.context
        driver, send_batch = context.driver, context.send_batch
        context.now = context.clock.now()
        # The driver may issue commands before the first event, such as requesting the endpoint list
        # if it is not pushed.
        self._execute_commands()
        while True:
            await self._wait_for_work()
            # One timestamp for the whole batch: all queued events arrived before it, so no duration is
            # measured too short.
            context.now = now = context.clock.now()
            send_batch.begin()
            context.run_isolated("", driver.tick, now)
            self._handle_events()
            self._fire_timers(now)
            if self.links.removed:
                self.links.close_idle_removed()
            if len(context.timers) > self._max_timers:
                self._prune_timers()
            self._before_send(now)
            send_batch.end()
            self._last_turn_at = now
            if context.shutdown.is_draining and self._has_ended(now):
                return

    async def _wait_for_work(self) -> None:
        """Waits for an event or the next timer; after a stall, also gives readers READ_DELAY_S seconds."""
        context = self.context
        next_at = context.timers.next_due_at
        deadline = float("inf") if next_at is None else context.clock.to_trio_time(next_at)
        await context.events.wait_for_event(deadline)
        await context.runtime.checkpoint()
        stall = context.clock.now() - self._last_turn_at
        if stall > STALL_THRESHOLD:
            # Endpoint list updates that arrived during the stall must be handled before anything is sent.
            context.counters.stalls += 1
            self._log.warning("event-loop-stalled", ms=stall // MS)
            context.unread_since = self._last_turn_at
            await trio.sleep(READ_DELAY_S)

    def _handle_events(self) -> None:
        events, handle = self.context.events, self._handle_safely
        for _ in range(MAX_BATCH):
            event = events.pop_next()
            if event is None:
                if not events.has_waiting_readers:
                    self.context.unread_since = 0
                return
            handle(event)

    def _fire_timers(self, now: int) -> None:
        timers, is_in_flight = self.context.timers, self.attempts.is_in_flight
        while (timer := timers.pop_due(now)) is not None:
            if type(timer) is not AttemptEnded or is_in_flight(timer):
                self._handle_safely(timer)

    def _prune_timers(self) -> None:
        timers, is_in_flight = self.context.timers, self.attempts.is_in_flight
        timers.retain(lambda timer: type(timer) is not AttemptEnded or is_in_flight(timer))
        self._max_timers = max(MIN_TIMERS_PRUNED, 2 * len(timers))

    def _handle_safely(self, event: Event | Timer) -> None:
        """Handles an event; an exception is logged, so that one faulty event doesn't end other dialogs."""
        try:
            self._handlers[type(event)](event)
            self._execute_commands()
        except Exception:
            self.context.counters.failures += 1
            self._log.critical("event-handling-failed", event_kind=type(event).__name__, exc_info=True)

    def _has_ended(self, now: int) -> bool:
        """Whether a draining proxy has answered, sent and read everything, or its deadline has passed."""
        context = self.context
        if not (self._is_done or context.shutdown.has_expired(now)):
            if context.shutdown.is_closing(now):
                self._close_idle_callers()
            return False
        context.send_batch.begin()
        for dialog_id in list(self.dialogs.entries):
            self.attempts.abort_dialog(dialog_id, "stopping")
        self._before_send(now)
        context.send_batch.end()
        self._close_idle_callers()
        if context.shutdown.may_end(now, self._is_quiet):
            return True
        context.timers.schedule(now + READ_DELAY, StopRequested())
        return False

    # Events that concern several components

    def _on_timer(self, timer: Timer) -> None:
        self.context.run_isolated("", self.context.driver.on_timer, timer.timer_id)

    def _on_endpoint_update(self, update: EndpointUpdate) -> None:
        self.links.on_endpoint_update(update)

    def _on_link_up(self, event: LinkUp) -> None:
        self.links.on_link_up(event)

    def _on_link_down(self, event: LinkDown) -> None:
        self.attempts.on_link_down(event)
        self.links.on_link_down(event)

    def _on_stop_requested(self, event: StopRequested) -> None:
        """The first request starts draining; later ones only wake the event loop."""
        context = self.context
        if not context.shutdown.is_draining:
            wakeup_times = context.shutdown.begin(
                context.now, context.config.links.stop_within, self.closing_period
            )
            for at in wakeup_times:
                context.timers.schedule(at, event)
            self._log.info("edge-draining", open=self.open_dialogs)

    def _on_dialog_failed(self, dialog_id: str) -> None:
        if dialog_id in self.dialogs.entries:
            self.attempts.abort_dialog(dialog_id, "internal")

    # Commands of the driver

    def _execute_commands(self) -> None:
        context = self.context
        driver = context.driver
        while driver.commands:
            for command in driver.take_commands():
                dialog_id = command.dialog_id if isinstance(command, DialogAction) else ""
                context.run_isolated(dialog_id, self._execute, command)

    def _execute(self, command: Command) -> None:
        if isinstance(command, Timer):
            self.context.timers.schedule(self.context.now + command.duration, command)
        elif isinstance(command, Subscribe):
            self.source.request_list()
        elif isinstance(command.action, StartAttempt):
            self.attempts.start(command.dialog_id, command.action)
        else:
            self._execute_action(command)

    def _execute_action(self, command: DialogAction) -> None:
        """Executes an action that ends the dialog or cancels its attempt."""
        dialog_id, action = command.dialog_id, command.action
        entry = self.dialogs.entries[dialog_id]
        if isinstance(action, Reject):
            self.dialogs.answer(entry, setup.Rejected(dialog_id, entry.setup.leg, action.retry_after))
        elif isinstance(action, Fail):
            self.dialogs.answer(entry, setup.Failed(dialog_id, entry.setup.leg, "failed"))
        elif not isinstance(action, StartAttempt):
            self.attempts.on_cancel_requested(entry, action.attempt)

"""One edge proxy: its parts joined, and the event loop that hands each event to the part it is for.

Everything that touches the Driver happens in `_run_turns`, one event at a time: first the endpoint list's
updates, then the rest in the order of arrival, then the timers that are due. Decisions are made by
`valverouter.policy` alone; the parts keep track of who is owed which answer.
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

# A turn that comes so much later than the next heartbeat was due shows that this process did not run.
STALL_THRESHOLD = HEARTBEAT_INTERVAL + 50_000_000
# For so long the readers then collect what came meanwhile: the list's updates are heard before any attempt
# goes.
SETTLE_S = 0.005
SETTLE = round(SETTLE_S * 1e9)
# Events handled in one go before timers are looked at and the streams get their turn.
MAX_BATCH = 16
# From so many timers on, time-outs of attempts long ended are taken out: a caller may ask for an hour of
# no-answer time and have its answer at once. Twice what stays then, at least so many, sets the next time.
MIN_TIMERS_PRUNED = 1_024

MS = 1_000_000


class EdgeProxy:
    """An instance. What is open is in `dialogs` and `links`; each part is a class of its own module."""

    # So long before the end of a graceful shutdown idle callers' connections are closed, nanoseconds.
    closing_period = 0

    def __init__(self, config: EdgeConfig, runtime: Runtime, epoch: int = 0) -> None:
        """`epoch`, over 0 where accepted dialogs outlive a restart, is part of our welcome to peers."""
        self.address = ""
        self.ended = trio.Event()
        self.context = context = ProxyContext(config, runtime, epoch)
        self.incarnation = context.now
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
        context.on_decision_failed = self._on_decision_failed
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

    # The parts; proxies of other protocols, and those that keep a store, have their own

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

    # What others ask of a running proxy

    @property
    def config(self) -> EdgeConfig:
        """The configuration that acts at present."""
        return self.context.config

    @property
    def counters(self) -> ProxyCounters:
        """What happened since the start."""
        return self.context.counters

    @property
    def generation(self) -> int:
        """How many configurations have acted, this one among them."""
        return self.context.generation

    @property
    def cross_region(self) -> CrossRegionLimiter | None:
        """The limits of attempts in other regions; None: there are none."""
        return self.context.cross_region

    @property
    def is_draining(self) -> bool:
        """Whether it takes no more dialogs."""
        return self.context.shutdown.is_draining

    @property
    def open_dialogs(self) -> int:
        """Dialogs whose final answer is still owed."""
        return self.dialogs.open_count

    @property
    def established_dialogs(self) -> int:
        """Dialogs that are established and have not ended."""
        return self.dialogs.established_count

    @property
    def is_ready(self) -> bool:
        """Whether it has the endpoint list, and a server that it may send to."""
        return self.links.any_is_up

    def stop(self) -> None:
        """Rejects what comes from here on, and ends once every dialog here has its answer."""
        self.context.events.put(StopRequested())

    def reload(self, config: EdgeConfig, policies: AttemptPolicies | None = None, file: str = "") -> None:
        """Another configuration while running.

        Its cross-region rules and attempt policies act, the rest waits for a new start. `policies`: what
        `build_attempt_policies` made of it, in a thread where the check may take long.
        """
        self.context.events.put(ReloadRequested(config, policies, file))

    def build_attempt_policies(self, config: EdgeConfig) -> AttemptPolicies | None:
        """The attempt policies of another configuration; InvalidConfigError."""
        return self.reloader.build_attempt_policies(config)

    def reject_reload(self, file: str, why: str, **details: Any) -> None:
        """Logs that a configuration could not be read; the present one goes on acting."""
        self.reloader.reject(file, why, **details)

    async def run(self, task_status: trio.TaskStatus[EdgeProxy] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until stopped or cancelled. `started` once it listens; OSError when it can't."""
        context = self.context
        async with trio.open_nursery() as nursery:
            self.links.start_task = lambda link: nursery.start_soon(link.run)
            rows = await self.source.load_cached()
            if rows:
                context.events.put_urgent(EndpointUpdate(EndpointUpdateKind.CACHED, rows))
            self._on_start()
            nursery.start_soon(self.source.run)
            nursery.start_soon(self.source.persist)
            nursery.start_soon(context.events.run_wakeups)
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
        """Before the first caller and the first update of the endpoint list are handled."""

    def _before_send(self, now: int) -> None:
        """The end of a turn; nothing that it queued has left."""

    @property
    def _is_done(self) -> bool:
        """Whether a draining proxy may end."""
        return not self.open_dialogs

    @property
    def _is_quiet(self) -> bool:
        """Whether nothing waits here to be handled, read or written."""
        return not len(self.context.events)

    def _close_idle_callers(self) -> None:
        """The end is near, or nothing is open any more: callers are to ask elsewhere."""

    # The event loop

    async def _run_turns(self) -> None:
        context = self.context
        driver, send_batch = context.driver, context.send_batch
        context.now = context.clock.now()
        # The decisions may want something before anything happens: the endpoint list, where it must be asked
        # for.
        self._execute_commands()
        while True:
            await self._wait_for_work()
            # One moment for the batch: all that is here came before it, so no duration is measured too short.
            context.now = now = context.clock.now()
            send_batch.begin()
            context.run_decision("", driver.tick, now)
            self._handle_events()
            self._fire_timers(now)
            if self.links.leaving:
                self.links.close_idle_leaving()
            if len(context.timers) > self._max_timers:
                self._prune_timers()
            self._before_send(now)
            send_batch.end()
            self._last_turn_at = now
            if context.shutdown.is_draining and self._has_ended(now):
                return

    async def _wait_for_work(self) -> None:
        """Waits for an event or the next timer; after a stall, until what came meanwhile has been read."""
        context = self.context
        next_at = context.timers.next_due_at
        deadline = float("inf") if next_at is None else context.clock.trio_time(next_at)
        await context.events.wait_for_event(deadline)
        await context.runtime.checkpoint()
        stall = context.clock.now() - self._last_turn_at
        if stall > STALL_THRESHOLD:
            # Updates of the list from while we did not run must be handled before anything is sent.
            context.counters.stalls += 1
            self._log.warning("event-loop-stalled", ms=stall // MS)
            context.unread_since = self._last_turn_at
            await trio.sleep(SETTLE_S)

    def _handle_events(self) -> None:
        events, handle = self.context.events, self._handle_safely
        for _ in range(MAX_BATCH):
            event = events.take()
            if event is None:
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
        """Last resort: a fault in what we do with an event must not end the others' dialogs."""
        try:
            self._handlers[type(event)](event)
            self._execute_commands()
        except Exception:
            self.context.counters.failures += 1
            self._log.critical("event-handling-failed", event_kind=type(event).__name__, exc_info=True)

    def _has_ended(self, now: int) -> bool:
        """Whether a draining proxy has answered, sent and read everything, or its time is up."""
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
        context.timers.schedule(now + SETTLE, StopRequested())
        return False

    # Events that concern the proxy as a whole

    def _on_timer(self, timer: Timer) -> None:
        self.context.run_decision("", self.context.driver.on_timer, timer.timer_id)

    def _on_endpoint_update(self, update: EndpointUpdate) -> None:
        self.links.on_endpoint_update(update)

    def _on_link_up(self, event: LinkUp) -> None:
        self.links.on_link_up(event)

    def _on_link_down(self, event: LinkDown) -> None:
        self.attempts.on_link_down(event)
        self.links.on_link_down(event)

    def _on_stop_requested(self, event: StopRequested) -> None:
        """The first begins to drain; the next change nothing, they only wake the loop."""
        context = self.context
        if not context.shutdown.is_draining:
            moments = context.shutdown.begin(
                context.now, context.config.links.stop_within, self.closing_period
            )
            for moment in moments:
                context.timers.schedule(moment, event)
            self._log.info("edge-draining", open=self.open_dialogs)

    def _on_decision_failed(self, dialog_id: str) -> None:
        if dialog_id in self.dialogs.entries:
            self.attempts.abort_dialog(dialog_id, "internal")

    # Commands of the decisions

    def _execute_commands(self) -> None:
        context = self.context
        driver = context.driver
        while driver.commands:
            for command in driver.take_commands():
                dialog_id = command.dialog_id if isinstance(command, DialogAction) else ""
                context.run_decision(dialog_id, self._execute, command)

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
        """An action that ends the dialog, or its attempt."""
        dialog_id, action = command.dialog_id, command.action
        entry = self.dialogs.entries[dialog_id]
        if isinstance(action, Reject):
            self.dialogs.answer(entry, setup.Rejected(dialog_id, entry.setup.leg, action.retry_after))
        elif isinstance(action, Fail):
            self.dialogs.answer(entry, setup.Failed(dialog_id, entry.setup.leg, "failed"))
        elif not isinstance(action, StartAttempt):
            self.attempts.on_cancel_requested(entry, action.attempt)

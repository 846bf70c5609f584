"""The process of an emulated edge proxy: its driver, timers, load reports, and stalls.

Each event is handled in one turn: overdue heartbeats and load reports, the event, and the driver's resulting
commands. A stalled process defers its events and handles endpoint updates first afterwards, like a real edge
proxy.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from valverouter.driver import Driver
from valverouter.emulator.edge_model import EdgePlan, ServerLink, ServerView
from valverouter.emulator.servers import EmulatedServer
from valverouter.emulator.simulation import Simulation
from valverouter.interface import DialogAction, LoadReport, Timer
from valverouter.policy.tuning import HEARTBEAT_INTERVAL

# Load reports in order of arrival: arrival time (ns), server, report.
ReportLog = list[tuple[int, str, LoadReport]]


class EdgeRuntime:
    """The state that the parts of one edge proxy share.

    `incarnation` numbers its processes. `on_action` carries out the driver's actions. `links`: the links of
    the current process by server. `delay` draws the one-way network delay to a server, ns.
    """

    driver: Driver

    def __init__(
        self,
        plan: EdgePlan,
        sim: Simulation,
        delay: Callable[[EmulatedServer], int],
        reports: ReportLog,
        on_action: Callable[[DialogAction], None],
    ) -> None:
        self.plan = plan
        self.sim = sim
        self.delay = delay
        self.is_running = False
        self.incarnation = 0
        self.links: dict[str, ServerLink] = {}
        self._reports = reports
        self._reports_read = 0
        self._on_action = on_action
        self._stalled_until = 0
        self._deferred: deque[Callable[[], None]] = deque()
        self._deferred_updates: deque[Callable[[], None]] = deque()
        self._heartbeat_at: int | None = None
        self._heartbeat_timer_id = 0

    def start(self) -> None:
        """Starts a process with a new driver and without links."""
        now = self.sim.now()
        plan = self.plan
        self.is_running = True
        self.incarnation += 1
        self.links = {}
        self._heartbeat_at = None
        self._heartbeat_timer_id = 0
        self._reports_read = len(self._reports)
        self.driver = plan.build_driver(plan.deployment, plan.seed, now, plan.cross_region(now))
        self._run_commands()

    def stop(self) -> None:
        """Ends the process; deferred events are lost."""
        self.is_running = False
        # A stall ends with its process: `_on_stall_ended` ignores its timer in the next incarnation.
        self._stalled_until = 0
        self._deferred.clear()
        self._deferred_updates.clear()

    def handle(self, action: Callable[..., None], *args: Any, is_endpoint_update: bool = False) -> None:
        """Handles an event, or defers it while the process is stalled."""
        if not self.is_running:
            return
        if self._stalled_until:
            deferred = self._deferred_updates if is_endpoint_update else self._deferred
            deferred.append(partial(action, *args))
            return
        self._advance(self.sim.now())
        action(*args)
        self._run_commands()

    def advance(self) -> None:
        """Applies heartbeats and load reports up to now, for an edge proxy that had no event for a while."""
        if self.is_running and not self._stalled_until:
            self._advance(self.sim.now())

    # Stalls

    def stall(self, duration: int) -> None:
        """Stops handling events for a duration, ns."""
        self._advance(self.sim.now())
        self._stalled_until = self.sim.now() + duration
        self.sim.call_after(duration, self._on_stall_ended, self.incarnation)

    def _on_stall_ended(self, incarnation: int) -> None:
        now = self.sim.now()
        if incarnation != self.incarnation or not self.is_running or now < self._stalled_until:
            return
        self._stalled_until = 0
        if self._heartbeat_at is not None:
            # Missed heartbeats are not repeated: the policy detects the stall by their absence.
            self._heartbeat_at = max(self._heartbeat_at, now)
        self._advance(now)
        for deferred in (self._deferred_updates, self._deferred):
            while deferred:
                deferred.popleft()()
                self._run_commands()

    # Time

    def _advance(self, now: int) -> None:
        # Heartbeats and load reports only change the policy's view of servers. To save events, they are
        # applied at the next event of this edge proxy, in order and with their own times.
        driver, reports = self.driver, self._reports
        while True:
            report_at = reports[self._reports_read][0] if self._reports_read < len(reports) else now + 1
            heartbeat_at = self._heartbeat_at if self._heartbeat_at is not None else now + 1
            if min(report_at, heartbeat_at) > now:
                break
            if report_at < heartbeat_at:
                _, server, report = reports[self._reports_read]
                self._reports_read += 1
                link = self.links.get(server)
                if link is not None and link.connection is not None:
                    driver.tick(max(report_at, driver.policy.now))
                    driver.update_load(server, report)
            else:
                self._run_heartbeat(heartbeat_at)
        driver.tick(now)

    def _run_heartbeat(self, time: int) -> None:
        self._heartbeat_at = None
        self.driver.tick(time)
        self.driver.on_timer(self._heartbeat_timer_id)
        for command in self.driver.take_commands():
            if isinstance(command, Timer):
                self._heartbeat_at = time + command.duration
                self._heartbeat_timer_id = command.timer_id

    # Commands of the driver

    def _run_commands(self) -> None:
        while commands := self.driver.take_commands():
            for command in commands:
                if isinstance(command, Timer):
                    self._set_timer(command)
                elif isinstance(command, DialogAction):
                    self._on_action(command)

    def _set_timer(self, timer: Timer) -> None:
        if timer.duration == HEARTBEAT_INTERVAL and self._heartbeat_at is None:
            self._heartbeat_at = self.sim.now() + timer.duration
            self._heartbeat_timer_id = timer.timer_id
        else:
            self.sim.call_after(timer.duration, self._on_timer, self.incarnation, timer.timer_id)

    def _on_timer(self, incarnation: int, timer_id: int) -> None:
        if incarnation == self.incarnation:
            self.handle(self.driver.on_timer, timer_id)

    # Observation

    def server_views(self) -> dict[str, ServerView]:
        """Returns the policy's estimates for each server."""
        policy = self.driver.policy
        return {
            name: ServerView(
                server.queue_delay(policy.now),
                server.window,
                server.budget.tokens / server.budget.config.max_tokens,
            )
            for name, server in policy.table.servers.items()
        }

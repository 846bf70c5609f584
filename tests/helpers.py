"""A deployment and a harness of the driver that several test files share."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from valverouter import interface
from valverouter.driver import Driver
from valverouter.policy import tuning

MS, SECOND = 1_000_000, 1_000_000_000
TYPE = interface.TrafficType(1500 * MS, 1.0, 10 * SECOND, True, None)
TYPES = {
    "plain": TYPE,
    "not-idempotent": replace(TYPE, idempotent=False),
    "important": replace(TYPE, priority_weight=2.0),
    "only-1": replace(TYPE, server_numbers=frozenset([1])),
}
DEPLOYMENT_FIELDS: dict[str, Any] = {
    "edge_proxies": 4,
    "own_server_number": -1,
    "endpoint_list_is_pushed": True,
    "max_attempts": 6,
}
DEPLOYMENT_FIELDS |= {"can_cancel": True, "max_retry_after": 2 * SECOND, "release_delay": 300 * MS}
DEPLOYMENT_FIELDS |= {"slow_start_fraction": 0.35, "overload_multiple": 2.5, "overload_window": SECOND}
DEPLOYMENT_FIELDS |= {"slow_start_duration": 15 * SECOND, "fleet_index": 0}
ACTION_NAMES: dict[type, str] = {
    interface.Reject: "reject",
    interface.Fail: "fail",
    interface.CancelAttempt: "cancel",
}


class DriverHarness:
    """A driver with a simulated clock and a cached endpoint list of `servers` servers; times in ns."""

    def __init__(
        self, servers: int = 3, now: int = 100 * SECOND, cross_region: Any = None, **fields: Any
    ) -> None:
        self.now = now
        self.driver = Driver(
            interface.Deployment(**{"traffic_types": TYPES} | DEPLOYMENT_FIELDS | fields),
            7,
            now,
            cross_region,
        )
        self.policy = self.driver.policy
        self.update_endpoints(
            [interface.Endpoint(f"s{n}", n, True) for n in range(servers)],
            interface.EndpointUpdateKind.CACHED,
        )
        self.dialogs = 0

    def update_endpoints(
        self,
        entries: list[interface.Endpoint],
        scope: interface.EndpointUpdateKind = interface.EndpointUpdateKind.INCREMENTAL,
    ) -> None:
        self.driver.update_endpoints(scope, entries)

    def advance(self, duration: int) -> None:
        """Advances the clock by `duration`, with a tick of the driver every millisecond."""
        for _ in range(duration // MS):
            self.now += MS
            self.driver.tick(self.now)
        self.now += duration % MS
        self.driver.tick(self.now)

    def dialog(
        self, preferred_server: int = 0, traffic_type: str = "plain", no_answer: int = 3 * SECOND, **more: Any
    ) -> str:
        self.dialogs += 1
        id_ = f"d{self.dialogs}"
        self.driver.start_dialog(
            interface.Dialog(id_, traffic_type, self.now + no_answer, preferred_server, **more)
        )
        return id_

    def result(
        self, id_: str, server: str, outcome: interface.Outcome, attempt: int = 0, **more: Any
    ) -> None:
        self.driver.on_attempt_result(interface.AttemptResult(id_, attempt, server, outcome, **more))

    def take_commands(self) -> list[interface.Command]:
        return self.driver.take_commands()

    def describe_commands(self) -> str:
        """Returns the commands since the last call, separated by spaces.

        An attempt is described by its server, others by reject, fail, cancel, timer and subscribe. Heartbeat
        timers are left out.
        """
        descriptions = []
        for command in self.take_commands():
            if isinstance(command, interface.DialogAction):
                descriptions.append(
                    ACTION_NAMES.get(type(command.action), getattr(command.action, "server", ""))
                )
            elif command != interface.Timer(tuning.HEARTBEAT_INTERVAL, getattr(command, "timer_id", 0)):
                descriptions.append("timer" if isinstance(command, interface.Timer) else "subscribe")
        return " ".join(descriptions)

    def fire_timer(self) -> None:
        """Advances to the most recently requested timer and fires it; heartbeat timers don't count."""
        timer = next(
            command
            for command in reversed(self.take_commands())
            if isinstance(command, interface.Timer) and command.duration != tuning.HEARTBEAT_INTERVAL
        )
        self.advance(timer.duration)
        self.driver.on_timer(timer.timer_id)

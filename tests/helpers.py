"""What the tests share: one deployment, and a driver that is fed and read in our words."""

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
    "once": replace(TYPE, idempotent=False),
    "worthy": replace(TYPE, priority_weight=2.0),
    "only-1": replace(TYPE, server_numbers=frozenset([1])),
}
TERMS: dict[str, Any] = {
    "edge_proxies": 4,
    "own_server_number": -1,
    "endpoint_list_is_pushed": True,
    "max_attempts": 6,
}
TERMS |= {"can_cancel": True, "max_retry_after": 2 * SECOND, "release_delay": 300 * MS}
TERMS |= {"slow_start_fraction": 0.35, "overload_multiple": 2.5, "overload_window": SECOND}
TERMS |= {"slow_start_duration": 15 * SECOND, "fleet_index": 0}
SAID: dict[type, str] = {
    interface.Reject: "declined",
    interface.Fail: "aborted",
    interface.CancelAttempt: "cancels",
}


class Rig:
    """A driver at a clock, with a few servers on its list."""

    def __init__(
        self, servers: int = 3, now: int = 100 * SECOND, cross_region: Any = None, **terms: Any
    ) -> None:
        self.now = now
        self.driver = Driver(
            interface.Deployment(**{"traffic_types": TYPES} | TERMS | terms), 7, now, cross_region
        )
        self.policy = self.driver.policy
        self.listed(
            [interface.Endpoint(f"s{n}", n, True) for n in range(servers)],
            interface.EndpointUpdateKind.CACHED,
        )
        self.dialogs = 0

    def listed(
        self,
        entries: list[interface.Endpoint],
        scope: interface.EndpointUpdateKind = interface.EndpointUpdateKind.INCREMENTAL,
    ) -> None:
        self.driver.update_endpoints(scope, entries)

    def ahead(self, span: int) -> None:
        for _ in range(span // MS):
            self.now += MS
            self.driver.tick(self.now)
        self.now += span % MS
        self.driver.tick(self.now)

    def dialog(self, first: int = 0, kind: str = "plain", no_answer: int = 3 * SECOND, **more: Any) -> str:
        self.dialogs += 1
        id_ = f"d{self.dialogs}"
        self.driver.start_dialog(interface.Dialog(id_, kind, self.now + no_answer, first, **more))
        return id_

    def result(self, id_: str, server: str, outcome: interface.Outcome, leg: int = 0, **more: Any) -> None:
        self.driver.on_attempt_result(interface.AttemptResult(id_, leg, server, outcome, **more))

    def take(self) -> list[interface.Command]:
        return self.driver.take_commands()

    def said(self) -> str:
        """The commands since the last look, in short: where to, declined, aborted, waiting."""
        words = []
        for command in self.take():
            if isinstance(command, interface.DialogAction):
                words.append(SAID.get(type(command.action), getattr(command.action, "server", "")))
            elif command != interface.Timer(tuning.HEARTBEAT_INTERVAL, getattr(command, "timer_id", 0)):
                words.append("waits" if isinstance(command, interface.Timer) else "asks")
        return " ".join(words)

    def wake(self) -> None:
        """Fires the one alarm last asked for, at its time."""
        alarm = next(
            c
            for c in reversed(self.take())
            if isinstance(c, interface.Timer) and c.duration != tuning.HEARTBEAT_INTERVAL
        )
        self.ahead(alarm.duration)
        self.driver.on_timer(alarm.timer_id)

"""What the tests share: one deployment, and a driver that is fed and read in our words."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from valverouter import control, interface
from valverouter.driver import Driver

MS, SECOND = 1_000_000, 1_000_000_000
TYPE = interface.TrafficType(1500 * MS, 1.0, 10 * SECOND, True, None)
TYPES = {
    "plain": TYPE,
    "once": replace(TYPE, repeatable=False),
    "worthy": replace(TYPE, importance=2.0),
    "only-1": replace(TYPE, server_numbers=frozenset([1])),
}
TERMS: dict[str, Any] = {"edge_proxies": 4, "own_number": -1, "list_is_pushed": True, "legs_allowed": 6}
TERMS |= {"may_cancel": True, "come_back_limit": 2 * SECOND, "release_wait": 300 * MS}
TERMS |= {"cold_share": 0.35, "tip_multiple": 2.5, "tip_span": SECOND, "warm_after": 15 * SECOND, "place": 0}
SAID: dict[type, str] = {
    interface.Decline: "declined",
    interface.Abort: "aborted",
    interface.CancelLeg: "cancels",
}


class Rig:
    """A driver at a clock, with a few servers on its list."""

    def __init__(self, servers: int = 3, now: int = 100 * SECOND, **terms: Any) -> None:
        self.now = now
        self.driver = Driver(interface.Deployment(**{"traffic_types": TYPES} | TERMS | terms), 7, now)
        self.control = self.driver.control
        self.listed(
            [interface.ServerEntry(f"s{n}", n, True) for n in range(servers)], interface.ListScope.CACHED
        )
        self.dialogs = 0

    def listed(
        self, entries: list[interface.ServerEntry], scope: interface.ListScope = interface.ListScope.CHANGES
    ) -> None:
        self.driver.server_list(scope, entries)

    def ahead(self, span: int) -> None:
        for _ in range(span // MS):
            self.now += MS
            self.driver.tick(self.now)
        self.now += span % MS
        self.driver.tick(self.now)

    def dialog(self, first: int = 0, kind: str = "plain", no_answer: int = 3 * SECOND, **more: Any) -> str:
        self.dialogs += 1
        id_ = f"d{self.dialogs}"
        self.driver.dialog(interface.Dialog(id_, kind, self.now + no_answer, first, **more))
        return id_

    def result(self, id_: str, server: str, outcome: interface.Outcome, leg: int = 0, **more: Any) -> None:
        self.driver.leg_result(interface.LegResult(id_, leg, server, outcome, **more))

    def take(self) -> list[interface.Command]:
        return self.driver.drain()

    def said(self) -> str:
        """The commands since the last look, in short: where to, declined, aborted, waiting."""
        words = []
        for command in self.take():
            if isinstance(command, interface.Order):
                words.append(SAID.get(type(command.wish), getattr(command.wish, "server", "")))
            elif command != interface.Alarm(control.HEARTBEAT, getattr(command, "ref", 0)):
                words.append("waits" if isinstance(command, interface.Alarm) else "asks")
        return " ".join(words)

    def wake(self) -> None:
        """Fires the one alarm last asked for, at its time."""
        alarm = next(
            c for c in reversed(self.take()) if isinstance(c, interface.Alarm) and c.span != control.HEARTBEAT
        )
        self.ahead(alarm.span)
        self.driver.alarm(alarm.ref)

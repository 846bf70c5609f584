"""What the tests share: one deployment, and a driver that is fed and read in our words."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from valverouter import control
from valverouter.driver import Driver
from valverouter.interface import (
    Abort,
    Alarm,
    CancelLeg,
    Command,
    Decline,
    Deployment,
    Dialog,
    LegResult,
    ListScope,
    Order,
    Outcome,
    ServerEntry,
    TrafficType,
)

MS = 1_000_000
SECOND = 1_000 * MS
DEPLOYMENT = Deployment(
    traffic_types={
        "plain": TrafficType(1500 * MS, 1.0, 0.25, True, None),
        "urgent": TrafficType(800 * MS, 6.0, 0.25, True, None),
        "once": TrafficType(1500 * MS, 1.0, 0.25, False, None),
        "only-1": TrafficType(1500 * MS, 1.0, 0.25, True, frozenset([1])),
    },
    edge_proxies=4,
    own_number=-1,
    list_is_pushed=True,
    legs_allowed=6,
    may_cancel=True,
    come_back_limit=2 * SECOND,
    release_wait=300 * MS,
    repeat_after=0,
    cold_share=0.35,
    tip_multiple=2.5,
    warm_after=15 * SECOND,
)


class Rig:
    """A driver at a clock; `fed` commands are kept in order."""

    def __init__(self, servers: int = 3, now: int = 100 * SECOND, **terms: Any) -> None:
        self.now = now
        self.driver = Driver(replace(DEPLOYMENT, **terms), 7, now)
        self.control = self.driver.control
        self.listed([ServerEntry(f"s{n}", n, True) for n in range(servers)], ListScope.CACHED)
        self.dialogs = 0

    def listed(self, entries: list[ServerEntry], scope: ListScope = ListScope.CHANGES) -> None:
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
        self.driver.dialog(Dialog(id_, kind, self.now + no_answer, first, **more))
        return id_

    def result(self, id_: str, server: str, outcome: Outcome, leg: int = 0, **more: Any) -> None:
        self.driver.leg_result(LegResult(id_, leg, server, outcome, **more))

    def take(self) -> list[Command]:
        return self.driver.drain()

    def said(self) -> str:
        """The commands since the last look, in short: where to, declined, aborted, waiting."""
        words = []
        for command in self.take():
            match command:
                case Alarm(span=control.HEARTBEAT):
                    continue
                case Order(wish=Decline()):
                    words.append("declined")
                case Order(wish=CancelLeg()):
                    words.append("cancels")
                case Order(wish=Abort()):
                    words.append("aborted")
                case Order(wish=wish):
                    words.append(getattr(wish, "server", "?"))
                case Alarm():
                    words.append("waits")
                case _:
                    words.append("asks")
        return " ".join(words)

    def wake(self) -> None:
        """Fires the one alarm last asked for, at its time."""
        alarm = next(c for c in reversed(self.take()) if isinstance(c, Alarm) and c.span != control.HEARTBEAT)
        self.ahead(alarm.span)
        self.driver.alarm(alarm.ref)

"""What an instance says, when, and to whom: its timers, its own words, and news that do not wait.

The part of the view's machine that knows nothing of who is right about whom.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from valverouter.membership.messages import Gossip, Message
from valverouter.membership.records import Record
from valverouter.membership.rules import Rules
from valverouter.membership.spreading import News
from valverouter.membership.view import View


@dataclass(frozen=True, slots=True)
class Told:
    """Something found: `what` joined, changed, suspect, refuted, gone, left, forgotten, restarted, accused,
    conflict, conflict-over, stalled, settled, unsettled or cut-off; `record` is whom it is about."""

    at: int
    what: str
    record: Record
    by: str = ""


class Voice:
    """One instance's words. `out` and `told` are emptied by whoever carries them; timers as they come due."""

    def __init__(self, mine: Record, rules: Rules, draw: Callable[[], float], now: int) -> None:
        self.mine = mine
        self.rules = rules
        self.view = View(rules.old_addresses)
        self.view.put(mine, now)
        self.out: list[tuple[str, Message]] = []
        self.told: list[Told] = []
        self._draw = draw
        self._now = now
        self._news = News(rules.room)
        self._timers: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._serial = 0
        self._gossips = False

    @property
    def due(self) -> int:
        return self._timers[0][0]

    def _at(self, when: int, act: Callable[..., None], *args: object) -> None:
        self._serial += 1
        heapq.heappush(self._timers, (when, self._serial, act, args))

    def _say(self, record: Record) -> None:
        self.mine = record
        self.view.put(record, self._now)
        self._spread(record)

    def _head(self) -> tuple[str, int, int]:
        return self.mine.name, self.mine.life, self.view.digest

    def _send(self, address: str, message: Message) -> None:
        self.out.append((address, message))

    def _spread(self, record: Record) -> None:
        self._news.put(record)
        if not self._gossips:
            self._gossips = True
            self._at(self._now + self._tick_span(), self._gossip)

    def _tick_span(self) -> int:
        return self.rules.period // self.rules.ticks

    def _take(self, first: Record | None = None) -> tuple[Record, ...]:
        return self._news.take(self.rules.sends(self.view.living), first)

    def _gossip(self) -> None:
        """Fresh words do not wait for a probe to carry them."""
        if not self._news.is_fresh(self.rules.eager):
            self._gossips = False
            return
        self._at(self._now + self._tick_span(), self._gossip)
        for name in self._some(self.rules.fan):
            if not len(self._news):
                break
            self._send(self.view.records[name].address, Gossip(*self._head(), self._take()))

    def _living(self) -> list[str]:
        return self.view.names(self.mine.name)

    def _some(self, count: int, but: str = "") -> list[str]:
        """Other living members, drawn."""
        names = self._living()
        if but in names:
            names.remove(but)
        for at in range(min(count, len(names))):
            other = at + int(self._draw() * (len(names) - at))
            names[at], names[other] = names[other], names[at]
        return names[:count]

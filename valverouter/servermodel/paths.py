"""The model of the paths between instances: which datagram arrives, when, and how often.

One model for loopback, virtual time and simulation. Every pair of instances has a path in each direction;
faults come and go at given moments and say whom they strike, by name. What is struck by several loses by
each.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

KINDS = ("loss", "late", "twice", "swapped", "cut", "split")


@dataclass(frozen=True, slots=True)
class PathFault:
    """From `start` until `until`, on datagrams of `senders` to `receivers`; an empty set is everybody.

    loss: each is lost with chance `share`. late: `span` ns later, and up to `jitter` of it more or less.
    twice: with chance `share` it comes again within `span`. swapped: with chance `share` it is held back by
    up to `span`, past those sent after it. cut: nothing arrives, with `both` in neither direction. split:
    nothing arrives between two of `groups`; whoever is in none of them reaches all.
    """

    kind: str
    start: int
    until: int
    senders: frozenset[str] = frozenset()
    receivers: frozenset[str] = frozenset()
    both: bool = False
    share: float = 0.0
    span: int = 0
    jitter: float = 0.0
    groups: tuple[frozenset[str], ...] = ()

    def strikes(self, sender: str, receiver: str) -> bool:
        if self.kind == "split":
            return _group(self.groups, sender) != _group(self.groups, receiver)
        if self._meets(sender, receiver):
            return True
        return self.both and self._meets(receiver, sender)

    def _meets(self, sender: str, receiver: str) -> bool:
        return (not self.senders or sender in self.senders) and (
            not self.receivers or receiver in self.receivers
        )


def _group(groups: tuple[frozenset[str], ...], name: str) -> int | None:
    return next((at for at, group in enumerate(groups) if name in group), None)


class Paths:
    """All pairs' paths. `delay` gives the plain one-way span in ns of a pair; `draw` is the chance."""

    def __init__(
        self,
        faults: Iterable[PathFault],
        draw: Callable[[], float],
        delay: Callable[[str, str], int] = lambda sender, receiver: 0,
        loss: float = 0.0,
    ) -> None:
        self._draw = draw
        self._delay = delay
        self._loss = loss
        self._active: list[PathFault] = []
        self._coming = sorted(faults, key=lambda fault: fault.start)[::-1]
        self._ends = 0

    def arrivals(self, sender: str, receiver: str, now: int) -> tuple[int, ...]:
        """How long each copy of a datagram sent now is under way; none: it is lost. `now` never goes back."""
        self._turn_to(now)
        draw = self._draw
        if self._loss and draw() < self._loss:
            return ()
        delay = self._delay(sender, receiver)
        if not self._active:
            return (delay,)
        again = None
        for fault in self._active:
            if not fault.strikes(sender, receiver):
                continue
            if fault.kind in ("cut", "split") or (fault.kind == "loss" and draw() < fault.share):
                return ()
            if fault.kind == "late":
                delay += int(fault.span * (1 + fault.jitter * (2 * draw() - 1)))
            elif fault.kind == "swapped" and draw() < fault.share:
                delay += int(fault.span * draw())
            elif fault.kind == "twice" and draw() < fault.share:
                again = int(fault.span * draw())
        return (delay,) if again is None else (delay, delay + again)

    def _turn_to(self, now: int) -> None:
        while self._coming and self._coming[-1].start <= now:
            fault = self._coming.pop()
            self._active.append(fault)
            self._ends = min(self._ends, fault.until) if len(self._active) > 1 else fault.until
        if self._active and self._ends <= now:
            self._active = [fault for fault in self._active if fault.until > now]
            self._ends = min((fault.until for fault in self._active), default=0)

"""Model of the network paths between instances: loss, delay and duplication of datagrams.

Loopback runs, runs in virtual time and the simulations share it. Every pair of instances has a path in each
direction. A fault is active between two times and names the instances that it affects; if several faults
affect a path, they are applied to a datagram one after another.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

PATH_FAULT_KINDS = ("loss", "late", "twice", "swapped", "cut", "split")
# Faults that lose every datagram on the paths that they affect.
BLOCKING_KINDS = ("cut", "split")


@dataclass(frozen=True, slots=True)
class PathFault:
    """A fault from `start` to `until`, ns, on datagrams from `senders` to `receivers`; empty sets mean all.

    loss: a datagram is lost with `probability`. late: it is delayed by `delay` ns, varied by up to the
    fraction `jitter` either way. twice: with `probability` a copy arrives within `delay` ns after it.
    swapped: with `probability` it is delayed by up to `delay` ns, so that later datagrams overtake it. cut:
    all datagrams are lost, in both directions if `bidirectional`. split: all datagrams between different
    `groups` are lost; the instances that are in no group form another group.
    """

    kind: str
    start: int
    until: int
    senders: frozenset[str] = frozenset()
    receivers: frozenset[str] = frozenset()
    bidirectional: bool = False
    probability: float = 0.0
    delay: int = 0
    jitter: float = 0.0
    groups: tuple[frozenset[str], ...] = ()

    def affects(self, sender: str, receiver: str) -> bool:
        """Returns whether the fault, while active, affects datagrams from `sender` to `receiver`."""
        if self.kind == "split":
            return _find_group(self.groups, sender) != _find_group(self.groups, receiver)
        if self._matches(sender, receiver):
            return True
        return self.bidirectional and self._matches(receiver, sender)

    def _matches(self, sender: str, receiver: str) -> bool:
        return (not self.senders or sender in self.senders) and (
            not self.receivers or receiver in self.receivers
        )


def _find_group(groups: tuple[frozenset[str], ...], name: str) -> int | None:
    return next((index for index, group in enumerate(groups) if name in group), None)


class NetworkPaths:
    """The paths between all pairs of instances.

    `draw` returns random numbers uniformly from [0, 1), `delay` the one-way delay between two instances in
    ns; `loss` is the loss probability without faults. A fault is removed when it has ended.
    """

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
        self._upcoming = sorted(faults, key=lambda fault: fault.start)[::-1]
        # The time at which the first of the active faults ends, ns.
        self._next_end = 0

    def delivery_delays(self, sender: str, receiver: str, now: int) -> tuple[int, ...]:
        """Returns the delay of each copy of a datagram sent now, ns; none if lost. `now` never decreases."""
        self._update_active(now)
        if self._loss and self._draw() < self._loss:
            return ()
        delay = self._delay(sender, receiver)
        if not self._active:
            return (delay,)
        return self._apply_faults(sender, receiver, delay)

    def _apply_faults(self, sender: str, receiver: str, delay: int) -> tuple[int, ...]:
        draw = self._draw
        copy_delay = None
        for fault in self._active:
            if not fault.affects(sender, receiver):
                continue
            if fault.kind in BLOCKING_KINDS or (fault.kind == "loss" and draw() < fault.probability):
                return ()
            if fault.kind == "late":
                delay += int(fault.delay * (1 + fault.jitter * (2 * draw() - 1)))
            elif fault.kind == "swapped" and draw() < fault.probability:
                delay += int(fault.delay * draw())
            elif fault.kind == "twice" and draw() < fault.probability:
                copy_delay = int(fault.delay * draw())
        return (delay,) if copy_delay is None else (delay, delay + copy_delay)

    def _update_active(self, now: int) -> None:
        while self._upcoming and self._upcoming[-1].start <= now:
            fault = self._upcoming.pop()
            self._active.append(fault)
            self._next_end = min(self._next_end, fault.until) if len(self._active) > 1 else fault.until
        if self._active and self._next_end <= now:
            self._active = [fault for fault in self._active if fault.until > now]
            self._next_end = min((fault.until for fault in self._active), default=0)

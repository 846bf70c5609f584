"""Probes that wait for an answer, and the order in which members are probed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# A nonce: random bits above a serial number, so that no two open probes share one.
NONCE_RANDOM_BITS = 52
NONCE_SERIAL_BITS = 12


@dataclass(slots=True)
class Probe:
    """One process that was asked whether it runs.

    `incarnation`, `sequence`: of its record when the probe began. If its record has a later sequence by the
    end, its silence proves nothing. `deadline`: ns. `helper_answered`: a helper answered, though not the
    target. `is_final`: the last probe before the target is declared gone. `requester`: address and nonce of
    the member on whose behalf this one probes.
    """

    target: str
    incarnation: int
    sequence: int
    address: str
    deadline: int
    helper_answered: bool = False
    is_final: bool = False
    requester: tuple[str, int] | None = None


class ProbeTable:
    """Open probes by nonce. Answers and deadlines remove them."""

    def __init__(self, draw: Callable[[], float]) -> None:
        self.pending: dict[int, Probe] = {}
        self._draw = draw
        self._serial = 0

    def add(self, probe: Probe) -> int:
        """Opens a probe and returns its nonce: only who received the nonce can answer."""
        serial = self._serial & ((1 << NONCE_SERIAL_BITS) - 1)
        nonce = int(self._draw() * 2**NONCE_RANDOM_BITS) << NONCE_SERIAL_BITS | serial
        self._serial += 1
        self.pending[nonce] = probe
        return nonce

    def get(self, nonce: int) -> Probe | None:
        """The open probe of the nonce."""
        return self.pending.get(nonce)

    def pop(self, nonce: int) -> Probe | None:
        """Closes the probe of the nonce and returns it."""
        return self.pending.pop(nonce, None)

    def discard(self, nonce: int) -> None:
        """Closes the probe of the nonce, if it is still open."""
        self.pending.pop(nonce, None)

    def clear(self) -> None:
        """Closes all probes without a result."""
        self.pending.clear()


class ProbeRotation:
    """The order in which members are probed: everyone once, then everyone again in a newly shuffled order.

    So no member waits longer than two rounds.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """The first call of `next_target` begins the first round."""
        self._draw = draw
        self._round: list[str] = []

    def next_target(self, live_peers: Callable[[], list[str]], is_live: Callable[[str], bool]) -> str | None:
        """Whom to probe next; None where there is no other member."""
        while self._round:
            name = self._round.pop()
            if is_live(name):
                return name
        self._round = live_peers()
        self._shuffle()
        return self._round.pop() if self._round else None

    def _shuffle(self) -> None:
        names, draw = self._round, self._draw
        for index in range(len(names) - 1, 0, -1):
            other = int(draw() * (index + 1))
            names[index], names[other] = names[other], names[index]

    def add(self, name: str) -> None:
        """Puts a new member at a random place of the present round."""
        self._round.insert(int(self._draw() * (len(self._round) + 1)), name)

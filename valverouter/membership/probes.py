"""Open probes, and the order in which members are probed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# A nonce has random bits above a serial number, so that open probes have distinct nonces.
NONCE_RANDOM_BITS = 52
NONCE_SERIAL_BITS = 12


@dataclass(slots=True)
class Probe:
    """A probe of one process.

    `incarnation`, `sequence`: of the target's record when the probe began. If the record has a later sequence
    at the deadline, a missing answer isn't evidence against the target. `deadline`: ns. `helper_answered`: a
    helper has sent a nack. `is_final`: the last probe before the target is declared gone. `requester`: the
    address and nonce of the member that requested an indirect probe; None for an own probe.
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
    """The open probes by nonce. Answers and deadlines remove them."""

    def __init__(self, draw: Callable[[], float]) -> None:
        self.pending: dict[int, Probe] = {}
        self._draw = draw
        self._serial = 0

    def add(self, probe: Probe) -> int:
        """Adds a probe and returns its nonce; only a process that received the nonce can answer the probe."""
        serial = self._serial & ((1 << NONCE_SERIAL_BITS) - 1)
        nonce = int(self._draw() * 2**NONCE_RANDOM_BITS) << NONCE_SERIAL_BITS | serial
        self._serial += 1
        self.pending[nonce] = probe
        return nonce

    def get(self, nonce: int) -> Probe | None:
        """Returns the open probe with the nonce, if there is one."""
        return self.pending.get(nonce)

    def pop(self, nonce: int) -> Probe | None:
        """Removes the probe with the nonce and returns it, if it is still open."""
        return self.pending.pop(nonce, None)

    def discard(self, nonce: int) -> None:
        """Removes the probe with the nonce, if it is still open."""
        self.pending.pop(nonce, None)

    def clear(self) -> None:
        """Removes all probes without a result."""
        self.pending.clear()


class ProbeRotation:
    """SWIM's round-robin order of probes: each round contains every live member once, newly shuffled.

    This bounds the time between two probes of a member by two rounds.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """Creates the rotation; the first call of `next_target` begins its first round."""
        self._draw = draw
        self._round: list[str] = []

    def next_target(self, live_peers: Callable[[], list[str]], is_live: Callable[[str], bool]) -> str | None:
        """Returns the member to probe next; None if there is no other live member."""
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
        """Inserts a new member at a random position of the current round."""
        self._round.insert(int(self._draw() * (len(self._round) + 1)), name)

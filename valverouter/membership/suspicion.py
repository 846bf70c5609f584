"""Suspicions: the accusers of a member and the deadline for its refutation.

A single accuser may itself have a broken network path, so the timeout of an unconfirmed suspicion is longer.
It also grows with the local health score of the member that keeps the suspicion. At the deadline, that member
sends a final probe before it declares the suspect gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from valverouter.membership.config import MembershipConfig

# How long a suspicion is extended for its final probe, in probe periods times the timeout multiplier. The
# probe ends within one period times the multiplier, so no second final probe begins before it has ended.
FINAL_PROBE_PERIODS = 4


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member. Times are in ns on this member's clock."""

    started_at: int
    deadline: int = 0
    accusers: set[str] = field(default_factory=set)


class SuspicionTable:
    """The open suspicions by member name, each until its member refutes it, is gone or has left."""

    def __init__(self, config: MembershipConfig) -> None:
        self._config = config
        self._open: dict[str, Suspicion] = {}

    def clear(self, name: str) -> None:
        """Removes the suspicion: the suspect has refuted it, is gone or has left."""
        self._open.pop(name, None)

    def accuse(
        self, name: str, accuser: str, now: int, live_count: int, timeout_multiplier: int
    ) -> int | None:
        """Adds an accuser and returns the new deadline; None if the accusation changes nothing.

        `live_count`: the live members of the view, including this one and the suspect.
        """
        config = self._config
        suspicion = self._open.get(name)
        if suspicion is None:
            suspicion = self._open[name] = Suspicion(now)
        if accuser in suspicion.accusers or len(suspicion.accusers) > config.confirmations:
            return None
        suspicion.accusers.add(accuser)
        # In a fleet of three, only one member besides this one and the suspect can accuse.
        needed = min(config.confirmations, max(1, live_count - 2))
        timeout = int(config.suspicion_periods * config.probe_period * timeout_multiplier)
        if len(suspicion.accusers) < needed:
            timeout = int(timeout * config.unconfirmed_multiplier)
        suspicion.deadline = suspicion.started_at + timeout
        return max(suspicion.deadline, now)

    def is_expired(self, name: str, now: int) -> bool:
        """Returns whether the deadline has passed."""
        suspicion = self._open.get(name)
        return suspicion is None or suspicion.deadline <= now

    def deadline(self, name: str) -> int:
        """Returns the deadline for the refutation; raises KeyError if there is no suspicion."""
        return self._open[name].deadline

    def begin_final_probe(self, name: str, now: int, timeout_multiplier: int) -> None:
        """Extends the suspicion for its final probe, so that no other timer begins a second one."""
        suspicion = self._open.setdefault(name, Suspicion(now))
        timeout = FINAL_PROBE_PERIODS * self._config.probe_period * timeout_multiplier
        suspicion.started_at = now
        suspicion.deadline = now + timeout

    def on_ack(self, name: str, now: int) -> None:
        """Extends the suspicion: the suspect has answered, and its refutation needs time to arrive."""
        suspicion = self._open.get(name)
        if suspicion is not None:
            timeout = int(self._config.suspicion_periods * self._config.probe_period)
            suspicion.deadline = max(suspicion.deadline, now + timeout)

    def postpone_all(self, duration: int) -> None:
        """Extends all suspicions by a stall of `duration` ns, in which this process received nothing."""
        for suspicion in self._open.values():
            suspicion.deadline += duration

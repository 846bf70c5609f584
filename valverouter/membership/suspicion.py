"""Suspicions: who accuses a member, and until when it may refute.

A single accuser may be the one whose own path is broken, so an unconfirmed suspicion lasts longer. An accuser
in bad local health gives more time. When the time is up, the accuser sends one final probe before it declares
the member gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from valverouter.membership.config import MembershipConfig

# For so many periods (times the local health) no second final probe begins: the first one ends within one.
FINAL_PROBE_PERIODS = 4


@dataclass(slots=True)
class Suspicion:
    """The suspicion against one member. Times in ns on this member's clock."""

    started_at: int
    deadline: int = 0
    accusers: set[str] = field(default_factory=set)


class SuspicionTable:
    """Open suspicions by member name. An entry leaves when its member refutes, is gone or has left."""

    def __init__(self, config: MembershipConfig) -> None:
        self._config = config
        self._open: dict[str, Suspicion] = {}

    def clear(self, name: str) -> None:
        """Ends the suspicion: the suspect has refuted, or its end is known."""
        self._open.pop(name, None)

    def accuse(
        self, name: str, accuser: str, now: int, live_count: int, timeout_multiplier: int
    ) -> int | None:
        """Counts an accuser and returns the new deadline; None where the accusation adds nothing.

        `live_count`: live members of the view, this one and the suspect included.
        """
        config = self._config
        suspicion = self._open.get(name)
        if suspicion is None:
            suspicion = self._open[name] = Suspicion(now)
        if accuser in suspicion.accusers or len(suspicion.accusers) > config.required_accusers:
            return None
        suspicion.accusers.add(accuser)
        # In a fleet of three only one other member is left that could confirm.
        needed = min(config.required_accusers, max(1, live_count - 2))
        timeout = int(config.suspicion_periods * config.probe_period * timeout_multiplier)
        if len(suspicion.accusers) < needed:
            timeout = int(timeout * config.unconfirmed_multiplier)
        suspicion.deadline = suspicion.started_at + timeout
        return max(suspicion.deadline, now)

    def is_expired(self, name: str, now: int) -> bool:
        """Whether the suspect's time is up."""
        suspicion = self._open.get(name)
        return suspicion is None or suspicion.deadline <= now

    def deadline(self, name: str) -> int:
        """Until when the suspect may refute; KeyError where there is no suspicion."""
        return self._open[name].deadline

    def begin_final_probe(self, name: str, now: int, timeout_multiplier: int) -> None:
        """Extends the suspicion over its final probe: another timer must not begin a second one."""
        suspicion = self._open.setdefault(name, Suspicion(now))
        timeout = FINAL_PROBE_PERIODS * self._config.probe_period * timeout_multiplier
        suspicion.started_at = now
        suspicion.deadline = now + timeout

    def on_ack(self, name: str, now: int) -> None:
        """The suspect answered this member: its refutation is on its way and gets the time to arrive."""
        suspicion = self._open.get(name)
        if suspicion is not None:
            timeout = int(self._config.suspicion_periods * self._config.probe_period)
            suspicion.deadline = max(suspicion.deadline, now + timeout)

    def postpone_all(self, duration: int) -> None:
        """All suspects get `duration` ns back, in which this process did not run and received nothing."""
        for suspicion in self._open.values():
            suspicion.deadline += duration

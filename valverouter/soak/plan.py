"""What one course of the soak does, drawn from its seed. Times are in seconds."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from enum import Enum

# The platform's times (its page): what SIGKILL waits for, and until when callers open connections.
KILL_DELAY_S = 0.7
MAX_DEADLINE_BEFORE_KILL_S = 3.0
LAST_CONNECT_RANGE_S = (0.2, 0.4)
# SIGHUP comes no sooner than this after the start; what the event bus tells counts as told so long after it.
FIRST_SIGHUP_S = 1.0
RELOAD_LIMIT_S = 4.0
# Every third course has a crowd of callers' connections, most of them idle.
IDLE_CONNECTIONS_EVERY = 3
IDLE_CONNECTION_RANGE = (200, 300)
# Of the crowd's connections, how many leave a message incomplete.
INCOMPLETE_MESSAGE_FRACTION = 0.2


class EdgeKind(Enum):
    """Which program a course runs: the platform's edge proxy, or the one with our own protocol."""

    PLATFORM = "platform"
    EDGE = "edge"


class ServerBehavior(Enum):
    """How a core server treats set-ups."""

    PROMPT = "prompt"
    LATE = "late"
    NEVER = "never"
    HANGS_AT_SHUTDOWN = "hangs at shutdown"
    RESETS = "resets"
    CLOSES_IDLE = "closes idle"


class FileChange(Enum):
    """What happens to the configuration file beside a signal."""

    NONE = "none"
    REPLACED = "replaced"
    TRUNCATED = "half written"


@dataclass(frozen=True, slots=True)
class ScheduledSignal:
    """A signal, so many seconds after the callers' start, and what happens to the file just before it."""

    at_s: float
    number: signal.Signals
    file: FileChange = FileChange.NONE


@dataclass(frozen=True, slots=True)
class RunPlan:
    """One course. `stop_s`: when the first SIGTERM or SIGINT comes after the callers' start.

    `drain_s`: when the first server is announced to drain. `crowd`: connections beside the callers'.
    `restarts`: whether another process follows at the same address, with the callers' second attempts.
    """

    seed: int
    edge_kind: EdgeKind
    longest_deadline_s: float
    servers: tuple[ServerBehavior, ...]
    callers: int
    setups_per_s: float
    idle_connections: int
    stop_s: float
    drain_s: float
    signals: tuple[ScheduledSignal, ...]
    restarts: bool

    @property
    def kill_after_s(self) -> float:
        """The earliest SIGKILL, after the first signal to stop."""
        return min(self.longest_deadline_s, MAX_DEADLINE_BEFORE_KILL_S) + KILL_DELAY_S

    @property
    def sighups(self) -> list[ScheduledSignal]:
        """The hangups, in their order."""
        return [item for item in self.signals if item.number == signal.SIGHUP]


def draw_plan(seed: int) -> RunPlan:
    """The course of a seed: odd seeds run the platform's edge proxy, even ones the own protocol's."""
    rng = random.Random(f"soak/{seed}")
    edge_kind = EdgeKind.PLATFORM if seed % 2 else EdgeKind.EDGE
    stop_s = rng.uniform(1.5, 3.0)
    # Two of five courses are long enough to see that a hangup before the stop has acted.
    with_early_sighups = rng.random() < 0.4
    if with_early_sighups:
        stop_s += RELOAD_LIMIT_S + FIRST_SIGHUP_S
    signals = _draw_sighups(rng, stop_s) if with_early_sighups else []
    signals += _draw_stop_signals(rng, stop_s)
    behaviors = [ServerBehavior.PROMPT, *rng.choices(list(ServerBehavior), k=rng.randint(2, 4))]
    return RunPlan(
        seed=seed,
        edge_kind=edge_kind,
        longest_deadline_s=rng.choice((1.0, 2.0, 2.0, 4.0)),
        servers=tuple(behaviors),
        callers=rng.randint(4, 10),
        setups_per_s=rng.choice((100, 200, 300)),
        idle_connections=rng.randint(*IDLE_CONNECTION_RANGE)
        if seed // 2 % IDLE_CONNECTIONS_EVERY == 0
        else 0,
        stop_s=stop_s,
        drain_s=rng.uniform(0.3, 0.8) * stop_s,
        signals=tuple(sorted(signals, key=lambda item: item.at_s)),
        restarts=rng.random() < 0.5,
    )


def _draw_sighups(rng: random.Random, stop_s: float) -> list[ScheduledSignal]:
    """A few, some close together; the last one, with a whole file, leaves time to see it act."""
    last = stop_s - RELOAD_LIMIT_S - 0.2
    sighups = [ScheduledSignal(last, signal.SIGHUP, FileChange.REPLACED)]
    at = last
    for _ in range(rng.randint(0, 3)):
        at = max(FIRST_SIGHUP_S, at - rng.choice((0.002, 0.02, 0.2)))
        file = rng.choice((FileChange.REPLACED, FileChange.TRUNCATED, FileChange.NONE))
        sighups.append(ScheduledSignal(at, signal.SIGHUP, file))
    return sighups


def _draw_stop_signals(rng: random.Random, stop_s: float) -> list[ScheduledSignal]:
    """The signal to stop, more of its kind behind it, and hangups beside it."""
    kinds = (signal.SIGTERM, signal.SIGTERM, signal.SIGINT)
    signals = [ScheduledSignal(stop_s, rng.choice(kinds))]
    for _ in range(rng.randint(0, 3)):
        signals.append(ScheduledSignal(stop_s + rng.choice((0.001, 0.05, 0.4, 1.0)), rng.choice(kinds)))
    if stop_s > FIRST_SIGHUP_S and rng.random() < 0.5:
        file = rng.choice((FileChange.REPLACED, FileChange.TRUNCATED))
        offset = rng.choice((-0.001, 0.001, 0.1))
        signals.append(ScheduledSignal(stop_s + offset, signal.SIGHUP, file))
    return signals

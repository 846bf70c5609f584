"""The plan of a soak run, drawn from its seed. Times are in seconds."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from enum import Enum

# The platform's specification: SIGKILL follows the first stop signal after the longest deadline, capped at
# MAX_DEADLINE_BEFORE_KILL_S, plus KILL_DELAY_S.
KILL_DELAY_S = 0.7
MAX_DEADLINE_BEFORE_KILL_S = 3.0
# Callers stop opening connections this long after the first stop signal (range of the draw).
LAST_CONNECT_RANGE_S = (0.2, 0.4)
# The earliest SIGHUP after the callers' start.
FIRST_SIGHUP_S = 1.0
# A new configuration must take effect, shown by a poll of its event bus, within this time after SIGHUP.
RELOAD_LIMIT_S = 4.0
# Every third plan of a kind of edge proxy has many additional caller connections, most of them idle.
IDLE_CONNECTIONS_EVERY = 3
IDLE_CONNECTION_RANGE = (200, 300)
# The fraction of the idle connections that send an incomplete message.
INCOMPLETE_MESSAGE_FRACTION = 0.2


class EdgeKind(Enum):
    """Which edge proxy a run starts: the platform's, or the one with this project's own protocol."""

    PLATFORM = "platform"
    EDGE = "edge"


class ServerBehavior(Enum):
    """How a core server responds to set-ups."""

    PROMPT = "prompt"
    LATE = "late"
    NEVER = "never"
    HANGS_AT_SHUTDOWN = "hangs at shutdown"
    RESETS = "resets"
    CLOSES_IDLE = "closes idle"


class FileChange(Enum):
    """How the configuration file is changed before a signal."""

    NONE = "none"
    REPLACED = "replaced"
    TRUNCATED = "half written"


@dataclass(frozen=True, slots=True)
class ScheduledSignal:
    """A signal at `at_s` seconds after the callers' start, and the file change just before it."""

    at_s: float
    number: signal.Signals
    file: FileChange = FileChange.NONE


@dataclass(frozen=True, slots=True)
class RunPlan:
    """The plan of one run.

    `stop_s`: time of the first SIGTERM or SIGINT after the callers' start. `drain_s`: when a server is
    announced as draining. `idle_connections`: number of connections besides the callers'. `restarts`: whether
    another process is started at the same address and serves the callers that reconnect.
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
        """The time from the first stop signal to the earliest SIGKILL."""
        return min(self.longest_deadline_s, MAX_DEADLINE_BEFORE_KILL_S) + KILL_DELAY_S

    @property
    def sighups(self) -> list[ScheduledSignal]:
        """The scheduled SIGHUPs, in order."""
        return [item for item in self.signals if item.number == signal.SIGHUP]


def draw_plan(seed: int) -> RunPlan:
    """Draws the plan of a seed: odd seeds run the platform's edge proxy, even seeds the project's own."""
    rng = random.Random(f"soak/{seed}")
    edge_kind = EdgeKind.PLATFORM if seed % 2 else EdgeKind.EDGE
    stop_s = rng.uniform(1.5, 3.0)
    # Two of five runs are long enough to observe the effect of a SIGHUP before the stop signal.
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
    """Draws SIGHUPs, some close together.

    The last one, with a complete file, leaves enough time to observe its effect.
    """
    last = stop_s - RELOAD_LIMIT_S - 0.2
    sighups = [ScheduledSignal(last, signal.SIGHUP, FileChange.REPLACED)]
    at = last
    for _ in range(rng.randint(0, 3)):
        at = max(FIRST_SIGHUP_S, at - rng.choice((0.002, 0.02, 0.2)))
        file = rng.choice((FileChange.REPLACED, FileChange.TRUNCATED, FileChange.NONE))
        sighups.append(ScheduledSignal(at, signal.SIGHUP, file))
    return sighups


def _draw_stop_signals(rng: random.Random, stop_s: float) -> list[ScheduledSignal]:
    """Draws the first stop signal, further ones after it, and a SIGHUP close to it."""
    kinds = (signal.SIGTERM, signal.SIGTERM, signal.SIGINT)
    signals = [ScheduledSignal(stop_s, rng.choice(kinds))]
    for _ in range(rng.randint(0, 3)):
        signals.append(ScheduledSignal(stop_s + rng.choice((0.001, 0.05, 0.4, 1.0)), rng.choice(kinds)))
    if stop_s > FIRST_SIGHUP_S and rng.random() < 0.5:
        file = rng.choice((FileChange.REPLACED, FileChange.TRUNCATED))
        offset = rng.choice((-0.001, 0.001, 0.1))
        signals.append(ScheduledSignal(stop_s + offset, signal.SIGHUP, file))
    return signals

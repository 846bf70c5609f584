"""The state shared by an edge proxy's components: configuration, clock, queues and the Driver."""

from __future__ import annotations

import traceback
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog

from valverouter.config.edge import EdgeConfig
from valverouter.driver import Driver
from valverouter.edge.attempt_policies import AttemptPolicies
from valverouter.edge.clock import Clock, TimerQueue
from valverouter.edge.event_queue import EventQueue
from valverouter.edge.lifecycle import GracefulShutdown
from valverouter.edge.runtime import Runtime
from valverouter.edge.send_queue import SendBatch
from valverouter.policy.retry import retry_delay
from valverouter.regions.cross_region_limiter import CrossRegionLimiter

log = structlog.get_logger()


@dataclass(slots=True)
class ProxyCounters:
    """Counters since the start of the process.

    `answers` and `attempts` count by kind; the set of kinds is fixed, so their memory is bounded. `failures`
    counts exceptions in event handling and the driver, `withheld` answers not sent because the caller's
    deadline had passed, `stalls` periods in which this process did not run.
    """

    answers: Counter[str] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)
    # Dialogs established after the latency objective of their traffic type.
    late: int = 0
    failures: int = 0
    withheld: int = 0
    stalls: int = 0


class ProxyContext:
    """The state that all components of an edge proxy read; each component keeps its own tables.

    `now` is the time of the current turn and `started_at` that of this proxy's start, both in nanoseconds;
    `config` is the active configuration. `epoch` is sent to peers; it is positive if accepted dialogs survive
    a restart. After a stall, `unread_since` is the time of the last turn before it, until everything that
    arrived during the stall has been handled; else it is 0.
    """

    def __init__(self, config: EdgeConfig, runtime: Runtime, epoch: int = 0) -> None:
        """Builds the Driver for `config`; raises InvalidConfigError if its attempt policies are invalid."""
        self.config = config
        self.runtime = runtime
        self.epoch = epoch
        self.log = log.bind(edge=config.name)
        self.clock = Clock(runtime.wall_time())
        self.attempt_policies = AttemptPolicies(config) if config.attempts else None
        self.generation = 1
        self.now = self.started_at = self.clock.now()
        self.cross_region = CrossRegionLimiter(config.crossing, self.now) if config.crossing else None
        self.driver = Driver(config.deployment, config.seed, self.now, self.cross_region)
        self.events = EventQueue()
        self.send_batch = SendBatch()
        self.timers = TimerQueue()
        self.counters = ProxyCounters()
        self.shutdown = GracefulShutdown()
        self.unread_since = 0
        # Ends an open dialog for which the driver has raised an exception. Set by the EdgeProxy.
        self.on_dialog_failed: Callable[[str], None] = lambda dialog_id: None
        self._jitter_draws = 0
        self._last_failure = ""
        self._repeated_failures = 0

    def run_isolated(self, dialog_id: str, action: Callable[..., None], *args: Any) -> bool:
        """Calls the Driver or executes one of its commands; returns False if that raised an exception.

        The exception ends the dialog `dialog_id` with an answer; other dialogs are not affected.
        """
        try:
            action(*args)
        except Exception as error:  # no exception of the driver may affect other dialogs
            self._log_failure(dialog_id, error)
            self.on_dialog_failed(dialog_id)
            return False
        return True

    def reconnect_delay(self, tries: int) -> int:
        """The delay before reconnecting, in nanoseconds: the driver's full-jitter backoff.

        It uses random draws of its own, so reconnections do not change the driver's draws.
        """
        self._jitter_draws += 1
        draw = zlib.crc32(b"link/%d/%d" % (self.config.seed, self._jitter_draws)) / 2**32
        return retry_delay(tries, draw, 0)

    def _log_failure(self, dialog_id: str, error: Exception) -> None:
        """Logs an exception with its dialog; `again` counts consecutive failures of the same kind.

        This distinguishes a single faulty dialog from a driver that fails for every dialog.
        """
        frame = traceback.extract_tb(error.__traceback__)[-1]
        kind = f"{type(error).__name__} at {frame.name}:{frame.lineno}"
        self.counters.failures += 1
        self._repeated_failures = self._repeated_failures + 1 if kind == self._last_failure else 0
        self._last_failure = kind
        self.log.error(
            "decision-failed", dialog=dialog_id, kind=kind, why=str(error), again=self._repeated_failures
        )

"""What the parts of one edge proxy share: configuration, clock, queues and the decisions it hosts."""

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
from valverouter.edge.lifecycle import GracefulShutdown
from valverouter.edge.queues import EventQueue, SendBatch
from valverouter.edge.runtime import Runtime
from valverouter.policy.retry import retry_delay
from valverouter.regions.cross_region_limiter import CrossRegionLimiter

log = structlog.get_logger()


@dataclass(slots=True)
class ProxyCounters:
    """What happened since the start; `answers` and `attempts` by kind, in fixed memory."""

    answers: Counter[str] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)
    # Established, but after the latency objective of their traffic type.
    late: int = 0
    failures: int = 0
    withheld: int = 0
    stalls: int = 0


class ProxyContext:
    """The state that every part of an edge proxy reads; each part keeps its own tables.

    `now` is the moment of the current turn in nanoseconds, `config` what acts at present. `epoch`, told to
    peers, is over 0 where accepted dialogs outlive a restart. `unread_since` is set after this process did
    not run, until all that arrived meanwhile has been read: when it last ran; 0: nothing unread.
    """

    def __init__(self, config: EdgeConfig, runtime: Runtime, epoch: int = 0) -> None:
        """Builds the decisions of `config`; InvalidConfigError where its attempt policies can't be used."""
        self.config = config
        self.runtime = runtime
        self.epoch = epoch
        self.log = log.bind(edge=config.name)
        self.clock = Clock(runtime.wall_time())
        self.attempt_policies = AttemptPolicies(config) if config.attempts else None
        self.generation = 1
        self.now = self.clock.now()
        self.cross_region = CrossRegionLimiter(config.crossing, self.now) if config.crossing else None
        self.driver = Driver(config.deployment, config.seed, self.now, self.cross_region)
        self.events = EventQueue()
        self.send_batch = SendBatch()
        self.timers = TimerQueue()
        self.counters = ProxyCounters()
        self.shutdown = GracefulShutdown()
        self.unread_since = 0
        # Ends a dialog whose decisions have failed, where it is open here. Set by the proxy that joins the
        # parts.
        self.on_decision_failed: Callable[[str], None] = lambda dialog_id: None
        self._draws = 0
        self._last_failure = ""
        self._repeated_failures = 0

    def run_decision(self, dialog_id: str, action: Callable[..., None], *args: Any) -> bool:
        """Calls into the decisions; whether they returned.

        An exception of theirs ends the dialog that it is about, with an answer, and nothing else.
        """
        try:
            action(*args)
        except Exception as error:  # whatever the decisions raise, the other dialogs must go on
            self._log_failure(dialog_id, error)
            self.on_decision_failed(dialog_id)
            return False
        return True

    def reconnect_delay(self, tries: int) -> int:
        """The wait before connecting again, in nanoseconds: the decisions' full-jitter backoff.

        It has a stream of draws of its own.
        """
        self._draws += 1
        draw = zlib.crc32(b"link/%d/%d" % (self.config.seed, self._draws)) / 2**32
        return retry_delay(tries, draw, 0)

    def _log_failure(self, dialog_id: str, error: Exception) -> None:
        """Logs a failure with its dialog; `again` counts those of one kind in a row.

        So one odd dialog looks different from decisions that fail at each.
        """
        frame = traceback.extract_tb(error.__traceback__)[-1]
        kind = f"{type(error).__name__} at {frame.name}:{frame.lineno}"
        self.counters.failures += 1
        self._repeated_failures = self._repeated_failures + 1 if kind == self._last_failure else 0
        self._last_failure = kind
        self.log.error(
            "decision-failed", dialog=dialog_id, kind=kind, why=str(error), again=self._repeated_failures
        )

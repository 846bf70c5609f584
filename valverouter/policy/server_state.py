"""The state of one server: latency, window of attempts in flight, ejection and slow-start slots."""

from valverouter.interface import Endpoint, RetryBudgetConfig
from valverouter.policy import tuning
from valverouter.policy.retry import RetryBudget, exponential_backoff


class ServerState:
    """The state of one server since its latest start.

    `quota_interval` parameters are in nanoseconds; `tuning` explains the term.
    """

    def __init__(self, endpoint: Endpoint, now: int, budget: RetryBudgetConfig) -> None:
        self.endpoint = endpoint
        self.budget = RetryBudget(budget)
        self.no_agent_until = 0
        self.reported_queue_delay: int | None = None
        self.lines = 0.0
        self.busy_lines = 0.0
        self.newest_established_sent_at = 0
        self.mean_latency = 0
        self.min_latency = 0
        self.latency_sampled_at = now
        self.latency_sample_lifetime: float = tuning.LATENCY_SAMPLE_LIFETIME
        # When each unanswered attempt was sent, by (dialog, attempt); an entry is removed by its result.
        self.in_flight: dict[tuple[str, int], int] = {}
        self.window = tuning.WINDOW_INITIAL
        self.window_reduced_at = now
        self.consecutive_failures = 0
        self.failed_at = now
        self.ejected_until = 0
        # Slots accrued since the server's start, including fractions of a slot.
        self.slow_start_slots = 0.0
        self.slots_accrued_at = endpoint.started_at
        # The number of the latest used slot.
        self.slot_used = 0

    def queue_delay(self, now: int) -> int:
        """Returns the expected queue delay (ns) of a new set-up at the server."""
        # The age of an unanswered attempt shows a silent server or a growing queue before any answer can. It
        # does not count for an attempt that was overtaken by the answer to a later one: that attempt is lost,
        # not queued.
        decay = max(0.0, 1 - (now - self.latency_sampled_at) / self.latency_sample_lifetime)
        known = self.reported_queue_delay if self.reported_queue_delay is not None else self.mean_latency
        queued_since = self.newest_established_sent_at - tuning.OVERTAKEN_MARGIN
        oldest = next((sent_at for sent_at in self.in_flight.values() if sent_at > queued_since), now)
        return max(int(known * decay), now - oldest)

    def record_latency(self, latency: int, now: int, quota_interval: float) -> None:
        """Adds a set-up latency to the moving average."""
        lifetime = tuning.LATENCY_SAMPLE_INTERVALS * quota_interval
        self.latency_sample_lifetime = max(tuning.LATENCY_SAMPLE_LIFETIME, lifetime)
        change = tuning.LATENCY_SAMPLE_WEIGHT * (latency - self.mean_latency)
        self.mean_latency = int(self.mean_latency + change) if self.mean_latency else latency
        self.latency_sampled_at = now

    def adjust_window(self, is_prompt: bool, sent_at: int, now: int) -> None:
        """Widens the window after a prompt answer, narrows it after a late answer or a failure (AIMD)."""
        if is_prompt:
            increase = tuning.WINDOW_INCREASE * min(self.window, 1 / self.window)
            self.window = min(tuning.WINDOW_MAX, self.window + increase)
        elif sent_at >= self.window_reduced_at:
            # At most once per round trip: attempts sent before the last reduction show the same congestion.
            self.window = max(tuning.WINDOW_MIN, self.window * tuning.WINDOW_DECREASE_FACTOR)
            self.window_reduced_at = now

    def eject(self, now: int, quota_interval: float) -> None:
        """Ejects the server after a failure, for a time that doubles with each consecutive failure."""
        self.consecutive_failures += 1
        self.failed_at = now
        self.ejected_until = now + self._ejection_backoff(quota_interval)

    def is_ejected(self, now: int, quota_interval: float) -> bool:
        """Whether a server whose latest attempt failed admits no attempt now.

        After the ejection it admits one attempt at a time.
        """
        # The present quota interval applies: an ejection that began in a quiet hour, when quota intervals are
        # long, ends early if traffic returns.
        until = min(self.ejected_until, self.failed_at + self._ejection_backoff(quota_interval))
        return now < until or bool(self.in_flight)

    def _ejection_backoff(self, quota_interval: float) -> int:
        base = max(tuning.EJECTION_BASE, tuning.EJECTION_BASE_INTERVALS * quota_interval)
        cap = max(tuning.EJECTION_CAP, tuning.EJECTION_CAP_INTERVALS * quota_interval)
        return exponential_backoff(int(base), self.consecutive_failures - 1, int(cap))

"""The retry budget, the retry decision and the backoff.

They follow "A retry package owned by bedrock"; the names that it uses are given in parentheses.
"""

from enum import Enum, auto

from valverouter.interface import RetryBudgetConfig
from valverouter.policy import tuning

DEFAULT_RETRY_BUDGET = RetryBudgetConfig(tuning.MAX_TOKENS, tuning.TOKEN_RATIO)
MAX_DOUBLINGS = 16


class RetryDecision(Enum):
    """The decision after a failed attempt (Decision)."""

    RETRY = auto()
    EXHAUSTED = auto()
    THROTTLED = auto()
    EXPIRED = auto()


class RetryBudget:
    """The retry tokens of one server (Budget). It starts full and never limits first attempts."""

    def __init__(self, config: RetryBudgetConfig = DEFAULT_RETRY_BUDGET) -> None:
        self.config = config
        self.tokens = config.max_tokens

    def reconfigure(self, config: RetryBudgetConfig) -> None:
        """Applies a configuration, which keeps the fraction of tokens left: it neither refills nor drains."""
        if config != self.config:
            self.tokens = self.tokens * config.max_tokens // self.config.max_tokens
            self.config = config

    def on_failure(self) -> None:
        """Removes one token after a retryable failure."""
        self.tokens = max(0, self.tokens - tuning.TOKEN)

    def on_success(self) -> None:
        """Adds the token ratio after an established dialog."""
        self.tokens = min(self.config.max_tokens, self.tokens + self.config.token_ratio)

    @property
    def allows_retry(self) -> bool:
        """Whether more than half of the tokens are left."""
        return self.tokens * 2 > self.config.max_tokens


def decide_retry(
    budget: RetryBudget, attempts: int, max_attempts: int, retry_at: int, deadline: int
) -> RetryDecision:
    """Decides what follows a retryable failure (Done).

    Removes the token first, then checks the reasons against a retry in the paper's order.
    """
    budget.on_failure()
    if attempts >= max_attempts:
        return RetryDecision.EXHAUSTED
    if not budget.allows_retry:
        return RetryDecision.THROTTLED
    if retry_at >= deadline:
        return RetryDecision.EXPIRED
    return RetryDecision.RETRY


def exponential_backoff(base: int, doublings: int, cap: int) -> int:
    """Returns `base` doubled `doublings` times, at most `cap`."""
    return min(cap, base << min(doublings, MAX_DOUBLINGS))


def retry_delay(
    retry: int, draw: float, minimum: int, base: int = tuning.BACKOFF_BASE, cap: int = tuning.BACKOFF_CAP
) -> int:
    """Returns the delay before the retry with this number, from 1 (Exponential).

    The backoff has full jitter: `draw` is a random number from 0 (included) to 1 (excluded).
    """
    return max(minimum, int(draw * exponential_backoff(base, retry - 1, cap)))

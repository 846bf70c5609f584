"""Retry budget, decision, backoff, by "A retry package owned by bedrock", whose names are in parentheses."""

from enum import Enum, auto

from valverouter.interface import RetryBudgetConfig
from valverouter.policy import tuning

DEFAULT_RETRY_BUDGET = RetryBudgetConfig(tuning.MAX_TOKENS, tuning.TOKEN_RATIO)
MAX_DOUBLINGS = 16


class RetryDecision(Enum):
    """What follows a failed attempt (Decision)."""

    RETRY = auto()
    EXHAUSTED = auto()
    THROTTLED = auto()
    EXPIRED = auto()


class RetryBudget:
    """The retry tokens of one server (Budget): starts full; first attempts are never limited by it."""

    def __init__(self, config: RetryBudgetConfig = DEFAULT_RETRY_BUDGET) -> None:
        self.config = config
        self.tokens = config.max_tokens

    def reconfigure(self, config: RetryBudgetConfig) -> None:
        """Keeps the fraction of tokens left, so that a new configuration neither forgives nor punishes."""
        if config != self.config:
            self.tokens = self.tokens * config.max_tokens // self.config.max_tokens
            self.config = config

    def on_failure(self) -> None:
        """Takes one token for a retryable failure."""
        self.tokens = max(0, self.tokens - tuning.TOKEN)

    def on_success(self) -> None:
        """Adds the token ratio for an established dialog."""
        self.tokens = min(self.config.max_tokens, self.tokens + self.config.token_ratio)

    @property
    def allows_retry(self) -> bool:
        """Whether more than half of the tokens are left."""
        return self.tokens * 2 > self.config.max_tokens


def decide_retry(
    budget: RetryBudget, attempts: int, max_attempts: int, retry_at: int, deadline: int
) -> RetryDecision:
    """What follows a retryable failure (Done): takes the token, then checks in the paper's order."""
    budget.on_failure()
    if attempts >= max_attempts:
        return RetryDecision.EXHAUSTED
    if not budget.allows_retry:
        return RetryDecision.THROTTLED
    if retry_at >= deadline:
        return RetryDecision.EXPIRED
    return RetryDecision.RETRY


def exponential_backoff(base: int, doublings: int, cap: int) -> int:
    """`base` doubled so many times, at most `cap`."""
    return min(cap, base << min(doublings, MAX_DOUBLINGS))


def retry_delay(
    retry: int, draw: float, minimum: int, base: int = tuning.BACKOFF_BASE, cap: int = tuning.BACKOFF_CAP
) -> int:
    """The delay before retry number `retry`, from 1 (Exponential, full jitter by `draw`, from 0 up to 1)."""
    return max(minimum, int(draw * exponential_backoff(base, retry - 1, cap)))

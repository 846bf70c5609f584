"""The limiter of cross-region attempts: which may leave the home region, and which quota each is charged to.

Servers in the home region are preferred. A routine dialog may spill over only while the spillover gate is
open, within its budget, and to a server with capacity beyond the needs of its own region's callers. An urgent
dialog spills over as soon as no home server is available: it is charged to its own budget, then to the
reserve, which routine types never use, and beyond both as an overdraft.
"""

from __future__ import annotations

from dataclasses import dataclass

from valverouter.interface import AttemptResult, CrossRegionBudget, CrossRegionConfig, Outcome
from valverouter.regions.spillover_gate import SpilloverGate
from valverouter.regions.time_sliced_quota import TimeSlicedQuota
from valverouter.regions.usage import CrossRegionUsage, UsageCounters, UsageKey

# The longest queue delay of a remote server that a routine dialog may use, as a fraction of the longest that
# the dialog accepts: the callers of the remote region have priority on the remaining capacity.
ROUTINE_DELAY_FRACTION = 0.5

UNKNOWN_REGION = "?"
# The remote region of a quota for all regions but home.
ANY_REGION = "*"
# The remote region of a type's quota for the whole fleet.
WHOLE_FLEET = ""

_UNSENT_OUTCOMES = (Outcome.UNREACHABLE, Outcome.NOT_SENT)

AttemptKey = tuple[str, int]
_Quotas = dict[tuple[str, str], TimeSlicedQuota]


@dataclass(slots=True)
class _ChargedAttempt:
    """A cross-region attempt that is in flight or established, and the quota that it was charged to.

    `quota` is None for an overdraft and for a type without a limit. `established_at` 0: still in flight.
    """

    usage_key: UsageKey
    quota: TimeSlicedQuota | None
    slot: int
    from_reserve: bool
    established_at: int = 0


class CrossRegionLimiter:
    """The cross-region rule of one edge proxy.

    Implements `CrossRegionRule`. A charged attempt is removed from the table by its result, an established
    one at the end of its dialog.
    """

    def __init__(self, config: CrossRegionConfig, now: int) -> None:
        """Starts the quotas at `now`. Raises ValueError for a budget that never permits an attempt."""
        self.usage = CrossRegionUsage()
        self.gate = SpilloverGate()
        self._charged: dict[AttemptKey, _ChargedAttempt] = {}
        self._apply(config, now, now)

    def reconfigure(self, config: CrossRegionConfig, now: int) -> None:
        """Applies another configuration; open attempts keep their slots, and usage and gate are unchanged.

        The new quotas start one window later: otherwise the attempts that were charged to the old quotas in
        the last window could be made twice. Raises ValueError, and changes nothing, for a budget that never
        permits an attempt.
        """
        CrossRegionLimiter(config, now)
        self._apply(config, now, None)

    def _apply(self, config: CrossRegionConfig, now: int, starts_at: int | None) -> None:
        """Replaces the quotas; they start at `starts_at`, or one window of each budget from `now` on."""

        def quota(budget: CrossRegionBudget) -> TimeSlicedQuota:
            start = now + budget.window if starts_at is None else starts_at
            return TimeSlicedQuota(budget, config.clock_skew, start)

        reserve = quota(config.reserve) if config.reserve else None
        quotas: _Quotas = {}
        for traffic_type, policy in config.policies.items():
            if policy.budget is not None:
                quotas[traffic_type, WHOLE_FLEET] = quota(policy.budget)
            for (home, remote), budget in (policy.pairs or {}).items():
                if home == config.home_region:
                    quotas[traffic_type, remote] = quota(budget)
        # Assigned together, so that running out of memory before cannot leave a mix of old and new quotas.
        self.config, self._reserve, self._quotas = config, reserve, quotas

    def is_remote(self, region: str) -> bool:
        """Whether a region is not home. A server without a stated region counts as remote."""
        return region != self.config.home_region

    def on_selection(self, now: int, home_available: bool) -> None:
        """Records a dialog's server selection: whether any server in the home region was available to it."""
        self.gate.on_selection(now, home_available)

    def allows(
        self, now: int, traffic_type: str, region: str, delay_fraction: float, free_fraction: float | None
    ) -> bool:
        """Whether an attempt of the type may go to `region` now. Nothing is charged.

        `delay_fraction`: the server's queue delay as a fraction of the longest that the dialog accepts;
        `free_fraction`: the fraction of the server's lines that are free, None if it reports no lines.
        """
        policy = self.config.policies.get(traffic_type)
        if policy is None:
            return False
        if policy.urgent:
            return True
        if not self._has_spare_capacity(delay_fraction, free_fraction) or not self.gate.allows(now):
            return False
        quota = self._quota_for(traffic_type, region)
        return quota is None or quota.available_slot(now) is not None

    def on_attempt_started(self, now: int, traffic_type: str, region: str, key: AttemptKey) -> None:
        """Charges a cross-region attempt to its budget, else to the reserve, else as an overdraft."""
        if not self.is_remote(region):
            return
        attempt = self._charge(now, traffic_type, region)
        counts = UsageCounters(attempts=1)
        if attempt.quota is not None:
            counts.reserve = int(attempt.from_reserve)
        elif self._quota_for(traffic_type, region) is not None:
            counts.overdraft = 1
        self.usage.record(now, attempt.usage_key, counts)
        self._charged[key] = attempt

    def on_rejected(self, now: int, traffic_type: str) -> None:
        """Counts a dialog that was rejected although a remote server would have admitted it."""
        self.usage.record(now, self._usage_key(traffic_type, UNKNOWN_REGION), UsageCounters(rejected=1))

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        """Handles the result of any attempt, or the end of an established one.

        An attempt that was never sent is refunded; one that failed at the remote server is not.
        """
        key = (result.dialog_id, result.attempt)
        attempt = self._charged.get(key)
        if attempt is None:
            return
        if result.outcome is Outcome.ESTABLISHED:
            attempt.established_at = now
            self.usage.record(now, attempt.usage_key, UsageCounters(established=1))
            return
        del self._charged[key]
        if attempt.established_at:
            counts = UsageCounters(circuit_ns=now - attempt.established_at)
            self.usage.record(now, attempt.usage_key, counts)
        elif result.outcome in _UNSENT_OUTCOMES:
            self._refund(now, attempt)
        elif result.outcome is Outcome.RESET:
            self.usage.record(now, attempt.usage_key, UsageCounters(reset=1))

    @property
    def established_count(self) -> int:
        """The number of established cross-region dialogs."""
        return sum(bool(attempt.established_at) for attempt in self._charged.values())

    def _has_spare_capacity(self, delay_fraction: float, free_fraction: float | None) -> bool:
        # A server that does not report its lines is judged by its queue delay alone.
        is_reserved = free_fraction is not None and free_fraction <= self.config.reserved_fraction
        return not is_reserved and delay_fraction <= ROUTINE_DELAY_FRACTION

    def _usage_key(self, traffic_type: str, region: str) -> UsageKey:
        return UsageKey(traffic_type, self.config.home_region, region or UNKNOWN_REGION)

    def _quota_for(self, traffic_type: str, region: str) -> TimeSlicedQuota | None:
        """The most specific quota: of the pair of regions, else of all remote regions, else of the fleet."""
        quotas = self._quotas
        of_pair = quotas.get((traffic_type, region)) or quotas.get((traffic_type, ANY_REGION))
        return of_pair or quotas.get((traffic_type, WHOLE_FLEET))

    def _charge(self, now: int, traffic_type: str, region: str) -> _ChargedAttempt:
        usage_key = self._usage_key(traffic_type, region)
        quota = self._quota_for(traffic_type, region)
        if quota is not None:
            if (slot := quota.acquire(now)) is not None:
                return _ChargedAttempt(usage_key, quota, slot, from_reserve=False)
            if self._reserve is not None and (slot := self._reserve.acquire(now)) is not None:
                return _ChargedAttempt(usage_key, self._reserve, slot, from_reserve=True)
        return _ChargedAttempt(usage_key, None, 0, from_reserve=False)

    def _refund(self, now: int, attempt: _ChargedAttempt) -> None:
        counts = UsageCounters(attempts=-1, not_sent=1)
        if attempt.quota is not None:
            attempt.quota.release(attempt.slot)
            counts.reserve = -int(attempt.from_reserve)
        elif self._quota_for(attempt.usage_key.traffic_type, attempt.usage_key.remote_region) is not None:
            counts.overdraft = -1
        self.usage.record(now, attempt.usage_key, counts)

"""The routing decisions of one edge proxy: the flow of each dialog from its arrival to its final answer.

A flow is a generator that yields actions and is resumed with their results; `tick` sets the clock.
"""

from valverouter import interface
from valverouter.interface import AttemptPolicy, Dialog, DialogFlow, Outcome, TrafficType
from valverouter.policy import tuning
from valverouter.policy.retry import RetryDecision, decide_retry, retry_delay
from valverouter.policy.selection import OptionalCrossRegionRule, ServerSelector
from valverouter.policy.server_table import ServerTable
from valverouter.randomness import CounterRandom

# Outcomes which prove that the server has not begun to set up the dialog.
SETUP_NOT_BEGUN = (Outcome.FULL, Outcome.NO_AGENT, Outcome.UNREACHABLE)


class RoutingPolicy:
    """Makes all routing decisions of one edge proxy.

    Its tables are bounded: they contain attempts in flight, listed servers and recently busy numbers.
    """

    def __init__(
        self,
        deployment: interface.Deployment,
        seed: int,
        now: int,
        cross_region: OptionalCrossRegionRule = None,
    ) -> None:
        self.deployment = deployment
        self.now = now
        self.cross_region = cross_region
        self.table = ServerTable(deployment)
        self.random = CounterRandom(seed)
        self.selector = ServerSelector(deployment, self.table, self.random, cross_region)
        # Called numbers whose lines were all busy, with the time (ns) when the entry expires.
        self._busy_numbers: dict[int, int] = {}

    def tick(self, now: int) -> None:
        """Sets the clock. Missed heartbeats show a stall of this process, which is excluded from all ages."""
        stall = now - self.now - tuning.HEARTBEAT_INTERVAL
        if stall > tuning.HEARTBEAT_INTERVAL:
            self.table.exclude_stall(stall)
        self.now = now

    def on_attempt_result(self, result: interface.AttemptResult) -> list[interface.AttemptKey]:
        """Updates the server of a result, also after its dialog's end; returns lost attempts to cancel."""
        if self.cross_region is not None:
            self.cross_region.on_attempt_result(self.now, result)
        return self.table.on_attempt_result(self.now, result)

    def dialog_flow(self, dialog: Dialog) -> DialogFlow:  # noqa: C901 - the whole flow is one generator
        """Runs one dialog from arrival to final answer; kept in one function to be read in order."""
        traffic_type = self.deployment.traffic_types.get(dialog.traffic_type)
        if traffic_type is None or self._is_number_busy(dialog.called_number):
            yield self._reject(dialog.attempt_policy)
            return
        policy = dialog.attempt_policy or self._default_attempt_policy(traffic_type)
        attempts = 0
        tried: set[str] = set()
        while True:
            server = self.selector.select(self.now, dialog, traffic_type, tried)
            if server is None:
                if self.cross_region is not None and self.selector.region_blocked:
                    self.cross_region.on_rejected(self.now, dialog.traffic_type)
                yield self._reject(policy)
                return
            if self.cross_region is not None:
                key, region = (dialog.id, attempts), server.endpoint.region
                self.cross_region.on_attempt_started(self.now, dialog.traffic_type, region, key)
            tried.add(server.endpoint.id)
            server.in_flight[dialog.id, attempts] = self.now
            attempts += 1
            result = yield interface.StartAttempt(server.endpoint.id, self._attempt_deadline(dialog, policy))
            assert isinstance(result, interface.AttemptResult)
            outcome = result.outcome
            if outcome is Outcome.ESTABLISHED:
                server.budget.on_success()
                return
            if outcome is Outcome.LINE_BUSY:
                self._busy_numbers[dialog.called_number] = self.now + tuning.BUSY_NUMBER_DURATION
                yield interface.Fail()
                return
            may_try_another = attempts < self._max_total_attempts(policy) and self.now < dialog.deadline
            if outcome is Outcome.NO_AGENT and may_try_another:
                # The load report was out of date. Nothing has failed: try another server without delay.
                continue
            if outcome is Outcome.NOT_SENT or self.now >= dialog.deadline:
                # The deadline has passed or nothing was sent: neither says anything about the server.
                yield interface.Fail()
                return
            minimum = result.retry_after if outcome in SETUP_NOT_BEGUN else policy.release_delay
            base, cap = policy.backoff_base, policy.backoff_cap
            delay = retry_delay(attempts, self.random.draw(), minimum, base, cap)
            max_attempts = min(policy.max_attempts, self.deployment.max_attempts)
            decision = decide_retry(server.budget, attempts, max_attempts, self.now + delay, dialog.deadline)
            if not traffic_type.idempotent and outcome not in SETUP_NOT_BEGUN:
                yield interface.Fail()
                return
            if decision is not RetryDecision.RETRY:
                yield self._reject(policy)
                return
            yield interface.Delay(delay)

    def maintenance_flow(self) -> DialogFlow:
        """Subscribes to the endpoint list unless it is pushed, then issues heartbeats that show stalls."""
        failed = interface.EndpointUpdateKind.FAILED
        tries = 0
        while not self.deployment.endpoint_list_is_pushed and (yield interface.Subscribe()) is failed:
            tries += 1
            yield interface.Delay(retry_delay(tries, self.random.draw(), tuning.BACKOFF_BASE))
        while True:
            yield interface.Delay(tuning.HEARTBEAT_INTERVAL)

    def _default_attempt_policy(self, traffic_type: TrafficType) -> AttemptPolicy:
        times = traffic_type.latency_objective, 0, self.deployment.release_delay
        return AttemptPolicy(tuning.MAX_ATTEMPTS, *times, tuning.BACKOFF_BASE, tuning.BACKOFF_CAP)

    def _attempt_deadline(self, dialog: Dialog, policy: AttemptPolicy) -> int:
        # An attempt timeout, if configured, leaves time for an attempt at another server.
        until = self.now + policy.attempt_timeout
        return min(dialog.deadline, until) if policy.attempt_timeout else dialog.deadline

    def _max_total_attempts(self, policy: AttemptPolicy) -> int:
        return min(policy.max_total_attempts or self.deployment.max_attempts, self.deployment.max_attempts)

    def _is_number_busy(self, number: int) -> bool:
        for expired in [busy for busy, until in self._busy_numbers.items() if until <= self.now]:
            del self._busy_numbers[expired]
        return number in self._busy_numbers

    def _reject(self, policy: AttemptPolicy | None) -> interface.Reject:
        mean = (policy.retry_after if policy else 0) or tuning.RETRY_AFTER
        with_jitter = int(mean * (0.5 + self.random.draw()))
        return interface.Reject(min(self.deployment.max_retry_after, with_jitter))

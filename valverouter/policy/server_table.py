"""The table of servers, updated by endpoint updates, load reports and results of attempts."""

from collections.abc import Mapping, Sequence

from valverouter.interface import AttemptKey, AttemptResult, Deployment, Endpoint, LoadReport, Outcome
from valverouter.interface import EndpointUpdateKind as UpdateKind
from valverouter.interface import RetryBudgetConfig as BudgetConfig
from valverouter.policy import tuning
from valverouter.policy.capacity import CapacityTracker, SlowStart
from valverouter.policy.retry import DEFAULT_RETRY_BUDGET
from valverouter.policy.server_state import ServerState

ANSWERED_OUTCOMES = (Outcome.ESTABLISHED, Outcome.ENDED, Outcome.LINE_BUSY, Outcome.FAULT)
UNINFORMATIVE_OUTCOMES = (Outcome.NOT_SENT, Outcome.CANCELLED)
DEFAULT_DURATION = 10 * tuning.SECOND


class ServerTable:
    """The state of all listed servers by id; an entry is removed when the endpoint list drops its server."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.servers: dict[str, ServerState] = {}
        self.capacity = CapacityTracker(deployment, self.servers)
        self.slow_start = SlowStart(deployment, self.capacity)
        # Retry budgets that differ from the default, by server number. The mapping is replaced as a whole.
        self._budgets: Mapping[int, BudgetConfig] = {}
        self._default_budget = DEFAULT_RETRY_BUDGET
        self._no_agent_duration = tuning.NO_AGENT_DURATION * (self.capacity.mean_duration or DEFAULT_DURATION)
        shortest = min(item.latency_objective for item in deployment.traffic_types.values())
        self._prompt_latency = int(tuning.PROMPT_FRACTION * shortest)
        self._max_prompt_latency = int(tuning.PROMPT_MAX_FRACTION * shortest)

    def exclude_stall(self, stall: int) -> None:
        """Excludes a stall of this process (ns) from every age, since it says nothing about the servers."""
        for server in self.servers.values():
            server.in_flight = {key: sent_at + stall for key, sent_at in server.in_flight.items()}
            server.latency_sampled_at += stall
            server.newest_established_sent_at += stall

    def update_endpoints(self, now: int, kind: UpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """Applies an endpoint update; one that is not incremental removes the servers that it omits."""
        if kind is UpdateKind.FAILED:
            return
        if kind is not UpdateKind.INCREMENTAL:
            listed = {endpoint.id for endpoint in endpoints}
            for id_ in [id_ for id_ in self.servers if id_ not in listed]:
                del self.servers[id_]
        for endpoint in endpoints:
            self._update_endpoint(now, endpoint)
        for server in [
            state for state in self.servers.values() if not state.endpoint.in_service and not state.in_flight
        ]:
            del self.servers[server.endpoint.id]
        if kind is not UpdateKind.INCREMENTAL:
            self.capacity.keep_only({server.endpoint.number for server in self.servers.values()})

    def _update_endpoint(self, now: int, endpoint: Endpoint) -> None:
        known = self.servers.get(endpoint.id)
        if known and not (endpoint.in_service and endpoint.started_at != known.endpoint.started_at):
            known.endpoint = endpoint
            return
        # Nothing known of the previous process, attempts in flight included, applies to a restarted server.
        self.servers[endpoint.id] = server = ServerState(endpoint, now, self._budget_of(endpoint))
        server.slow_start_slots = self._deployment.fleet_index / self._deployment.edge_proxies

    def set_retry_budgets(self, by_number: Mapping[int, BudgetConfig], default: BudgetConfig) -> None:
        """Sets the retry budgets by server number, and the default for all other servers."""
        self._budgets, self._default_budget = by_number, default
        for server in self.servers.values():
            server.budget.reconfigure(self._budget_of(server.endpoint))

    def _budget_of(self, endpoint: Endpoint) -> BudgetConfig:
        return self._budgets.get(endpoint.number, self._default_budget)

    def update_load(self, now: int, server_id: str, report: LoadReport) -> None:
        """Applies a server's load report."""
        server = self.servers.get(server_id)
        if server is None:
            return
        if report.free_lines is not None:
            self._update_free_agents(now, server, report.free_lines)
        if report.lines and report.free_lines is not None:
            server.lines = report.lines
            server.busy_lines = report.lines - report.free_lines
            if self.capacity.decayed_peak(server, now) < 1:
                # No peak is known, or only one from when hardly any line was busy.
                self._record_peak(now, server)
        if report.queue_delay is not None:
            server.reported_queue_delay = report.queue_delay

    def _update_free_agents(self, now: int, server: ServerState, free_lines: float) -> None:
        if free_lines < 1:
            server.no_agent_until = max(server.no_agent_until, now + int(self._no_agent_duration))
            return
        # One free line, reported to hundreds of edge proxies, would bring the server hundreds of attempts, of
        # which all but one fail.
        interval = self.capacity.quota_interval(server)
        recovery = (
            self.capacity.line_sharers * tuning.NO_AGENT_RECOVERY_FRACTION * self.capacity.mean_duration
        )
        if not interval or free_lines >= recovery / interval:
            server.no_agent_until = 0

    def _record_peak(self, now: int, server: ServerState) -> None:
        if self.slow_start.fraction(server, now) >= 1:
            self.capacity.record_peak(server, now)

    def on_attempt_result(self, now: int, result: AttemptResult) -> list[AttemptKey]:
        """Updates the server of a result, also after its dialog's end; returns lost attempts to cancel."""
        server = self.servers.get(result.server)
        if server is None:
            return []
        if result.load_report is not None:
            self.update_load(now, result.server, result.load_report)
        sent_at = server.in_flight.pop((result.dialog_id, result.attempt), None)
        if sent_at is None or result.outcome in UNINFORMATIVE_OUTCOMES:
            return []
        if result.outcome is Outcome.NO_AGENT:
            # This concerns the lines, not the processor: the server is neither slow nor failing.
            interval = tuning.NO_AGENT_INTERVALS * self.capacity.quota_interval(server)
            server.no_agent_until = now + int(max(self._no_agent_duration, interval))
        elif result.outcome in ANSWERED_OUTCOMES:
            self._on_answer(now, server, result.outcome, sent_at)
            return self._remove_overtaken(server, sent_at) if result.outcome is Outcome.ESTABLISHED else []
        elif result.outcome is not Outcome.TIMED_OUT or sent_at > server.newest_established_sent_at:
            self._on_failure(now, server, sent_at)
        return []

    def _on_answer(self, now: int, server: ServerState, outcome: Outcome, sent_at: int) -> None:
        latency = now - sent_at
        server.consecutive_failures = 0
        server.record_latency(latency, now, self.capacity.quota_interval(server))
        if outcome is Outcome.ESTABLISHED:
            server.min_latency = min(server.min_latency or latency, latency)
            server.newest_established_sent_at = max(server.newest_established_sent_at, sent_at)
        # Answers from a distant region are never prompt by a short objective, however idle the server, so a
        # multiple of the server's least latency counts as prompt too. The multiple is limited, because a
        # server that was congested from the start has a high least latency.
        multiple = tuning.PROMPT_MIN_LATENCY_MULTIPLE * server.min_latency
        limit = max(self._prompt_latency, min(multiple, self._max_prompt_latency))
        server.adjust_window(latency <= limit, sent_at, now)
        if latency <= self._prompt_latency:
            self._record_peak(now, server)

    def _on_failure(self, now: int, server: ServerState, sent_at: int) -> None:
        # The retry-after of a full server applies to the dialog that received it only. For other dialogs, the
        # latencies measured by this edge proxy decide.
        interval = self.capacity.quota_interval(server)
        server.adjust_window(False, sent_at, now)
        server.record_latency(max(now - sent_at, server.mean_latency), now, interval)
        server.eject(now, interval)

    def _remove_overtaken(self, server: ServerState, sent_at: int) -> list[AttemptKey]:
        # A server processes set-ups in order: an attempt sent well before one established now is lost.
        if not self._deployment.can_cancel:
            return []
        lost = [key for key, at in server.in_flight.items() if at < sent_at - tuning.OVERTAKEN_MARGIN]
        for key in lost:
            del server.in_flight[key]
        return lost

"""Selects the server of an attempt.

The preferred server comes first. Otherwise two servers are drawn at random, weighted by spare capacity, and
the one with the shorter queue delay is selected.
"""

from dataclasses import dataclass

from valverouter.interface import CrossRegionRule, Deployment, Dialog, TrafficType
from valverouter.policy import tuning
from valverouter.policy.server_state import ServerState
from valverouter.policy.server_table import ServerTable
from valverouter.randomness import CounterRandom

MIN_WEIGHT = 1e-9
OptionalCrossRegionRule = CrossRegionRule | None
Servers = list[ServerState]


@dataclass(slots=True)
class SelectionRequest:
    """A request for a server: the dialog, the time, and the longest queue delay accepted (both in ns)."""

    dialog: Dialog
    traffic_type: TrafficType
    now: int
    is_priority: bool
    max_queue_delay: int


class ServerSelector:
    """Selects servers for one edge proxy.

    `region_blocked`: in the latest selection, the cross-region rule excluded a server that admits the dialog.
    """

    def __init__(
        self, deployment: Deployment, table: ServerTable, random: CounterRandom, rule: OptionalCrossRegionRule
    ) -> None:
        self.region_blocked = False
        self.table = table
        self._own_server_number = deployment.own_server_number
        self._capacity = table.capacity
        self._random = random
        self._cross_region = rule
        types = deployment.traffic_types
        lowest = min(traffic_type.priority_weight for traffic_type in types.values())
        self._priority_types = {
            name for name, traffic_type in types.items() if traffic_type.priority_weight > lowest
        }

    def select(
        self, now: int, dialog: Dialog, traffic_type: TrafficType, tried: set[str]
    ) -> ServerState | None:
        """Returns a server that admits an attempt of the dialog, or None.

        A server in `tried` is returned only if no other server admits the attempt.
        """
        eligible = [
            server
            for server in self.table.servers.values()
            if server.endpoint.in_service
            and server.endpoint.number != self._own_server_number
            and (traffic_type.server_numbers is None or server.endpoint.number in traffic_type.server_numbers)
            and (not dialog.in_transit or server.endpoint.number == dialog.preferred_server_number)
        ]
        self.region_blocked = False
        request = self._request(now, dialog, traffic_type)
        number = dialog.preferred_server_number
        preferred = next((server for server in eligible if server.endpoint.number == number), None)
        if preferred and preferred.endpoint.id not in tried and self._admits_in_region(preferred, request):
            return self._use_slot(preferred)
        admitting = [server for server in eligible if self._admits(server, request)]
        others = self._prefer_home([server for server in admitting if server is not preferred], request)
        untried = [server for server in others if server.endpoint.id not in tried] or others
        if preferred in admitting and not untried and preferred and self._region_allows(preferred, request):
            # The dialog has tried it before, but no other server is left.
            untried = [preferred]
        if not untried or not self._admits_spillover(admitting, others, request):
            return None
        return self._use_slot(self._shorter_queue(untried, now))

    def _request(self, now: int, dialog: Dialog, traffic_type: TrafficType) -> SelectionRequest:
        policy = dialog.attempt_policy
        objective = policy.latency_objective if policy else traffic_type.latency_objective
        is_priority = dialog.traffic_type in self._priority_types or dialog.was_interrupted
        fraction = tuning.PRIORITY_DELAY_FRACTION
        if not is_priority:
            # Drawn for each dialog, so that a growing queue rejects a growing fraction of the dialogs
            # instead of all at once.
            fraction = tuning.MIN_DELAY_FRACTION + tuning.DELAY_FRACTION_RANGE * self._random.draw()
        return SelectionRequest(dialog, traffic_type, now, is_priority, int(objective * fraction))

    def _admits(self, server: ServerState, request: SelectionRequest) -> bool:
        now = request.now
        if now < server.no_agent_until or len(server.in_flight) >= server.window:
            return False
        if server.consecutive_failures and server.is_ejected(now, self._capacity.quota_interval(server)):
            return False
        return server.queue_delay(now) <= request.max_queue_delay and self.table.slow_start.has_slot(
            server, now
        )

    def _admits_in_region(self, server: ServerState, request: SelectionRequest) -> bool:
        return self._admits(server, request) and self._region_allows(server, request)

    def _use_slot(self, server: ServerState) -> ServerState:
        server.slot_used = int(server.slow_start_slots)
        return server

    def _prefer_home(self, admitting: Servers, request: SelectionRequest) -> Servers:
        rule, with_capacity = self._cross_region, [one for one in admitting if self._capacity.spare(one) > 0]
        if rule is None:
            return with_capacity
        # A remote server adds latency and takes lines from its own region. Too little is known of it here to
        # judge its spare capacity.
        home = [server for server in with_capacity if not rule.is_remote(server.endpoint.region)]
        rule.on_selection(request.now, bool(home))
        if home:
            return home
        remote = [server for server in admitting if rule.is_remote(server.endpoint.region)]
        return [server for server in remote if self._region_allows(server, request)]

    def _region_allows(self, server: ServerState, request: SelectionRequest) -> bool:
        rule, region, now = self._cross_region, server.endpoint.region, request.now
        if rule is None:
            return True
        if not rule.is_remote(region):
            rule.on_selection(now, True)
            return True
        free_fraction = 1 - server.busy_lines / server.lines if server.lines else None
        delay_fraction = server.queue_delay(now) / max(1, request.max_queue_delay)
        allowed = rule.allows(now, request.dialog.traffic_type, region, delay_fraction, free_fraction)
        self.region_blocked |= not allowed
        return allowed

    def _admits_spillover(self, admitting: Servers, others: Servers, request: SelectionRequest) -> bool:
        # The load that many servers cannot take would overload the few that can: only as much of it as fits
        # into their spare capacity is admitted.
        if request.is_priority:
            return True
        rule = self._cross_region
        if rule is not None and others and rule.is_remote(others[0].endpoint.region):
            return True
        numbers = {server.endpoint.number for server in admitting}
        passed_over_load = self._capacity.sum_of_other_peaks(numbers, request.traffic_type.server_numbers)
        spare = sum(self._capacity.spare(server) for server in others)
        return self._random.draw() * passed_over_load * tuning.SPILLOVER_FRACTION < spare

    def _shorter_queue(self, servers: Servers, now: int) -> ServerState:
        first = self._weighted_choice(servers)
        second = self._weighted_choice([server for server in servers if server is not first] or servers)
        return first if first.queue_delay(now) <= second.queue_delay(now) else second

    def _weighted_choice(self, servers: Servers) -> ServerState:
        # Weighted by spare capacity: with an even draw, the load that large servers cannot take would
        # overload the small ones.
        weights = [max(MIN_WEIGHT, self._capacity.spare(server)) for server in servers]
        remaining = self._random.draw() * sum(weights)
        for server, weight in zip(servers, weights, strict=True):
            remaining -= weight
            if remaining < 0:
                return server
        return servers[-1]

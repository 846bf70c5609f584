"""What servers bear: baseline and spare capacity from their peaks, and the slots at those in slow start."""

from collections.abc import Mapping

from valverouter.interface import Deployment
from valverouter.policy import tuning
from valverouter.policy.server_state import ServerState


class CapacityTracker:
    """Peaks of busy lines by server number; a peak outlives a restart, or a successor under that number."""

    def __init__(self, deployment: Deployment, servers: Mapping[str, ServerState]) -> None:
        self._servers = servers
        # The most lines seen busy while warm and prompt, and when; emptied by the endpoint list.
        self._peaks: dict[int, tuple[float, int]] = {}
        # Lines are shared by all edge proxies unless each has a group of its own.
        self.line_sharers = deployment.edge_proxies if deployment.own_server_number < 0 else 1
        durations = [traffic_type.mean_duration for traffic_type in deployment.traffic_types.values()]
        self.mean_duration = sum(durations) / len(durations)

    def record_peak(self, server: ServerState, now: int) -> None:
        """Raises the decayed peak of a warm server to its busy lines."""
        self._peaks[server.endpoint.number] = max(self.decayed_peak(server, now), server.busy_lines), now

    def decayed_peak(self, server: ServerState, now: int) -> float:
        """What is left of the server's peak by now."""
        peak, recorded_at = self._peaks.get(server.endpoint.number, (0.0, now))
        left: float = tuning.CAPACITY_DECAY_PER_SECOND ** ((now - recorded_at) / tuning.SECOND)
        return peak * left

    def keep_only(self, numbers: set[int]) -> None:
        """Drops the peaks of all other server numbers."""
        self._peaks = {number: peak for number, peak in self._peaks.items() if number in numbers}

    def load_elsewhere(self, numbers: set[int], allowed: frozenset[int] | None) -> float:
        """The sum of the peaks of the servers not in `numbers`, of those allowed (None: of all)."""
        others = (number for number in self._peaks if number not in numbers)
        return sum(self._peaks[number][0] for number in others if allowed is None or number in allowed)

    def baseline(self, server: ServerState) -> float:
        """The most lines that a server was seen to hold while prompt; 0 if nothing is known of any."""
        known = self._peaks.get(server.endpoint.number)
        if known is not None:
            return known[0]
        ratios = [
            self._peaks[other.endpoint.number][0] / other.lines
            for other in self._servers.values()
            if other.lines and other.endpoint.number in self._peaks
        ]
        return server.lines * min(ratios, default=0.0)

    def spare(self, server: ServerState) -> float:
        """Lines left until the busy ones show a queue; 1 if nothing is known."""
        # What waits at the processor holds lines too: those beyond baseline and chance are a queue.
        baseline = self.baseline(server)
        chance = tuning.SPARE_CAPACITY_SIGMAS * baseline**0.5
        return baseline + chance - server.busy_lines if baseline else 1.0

    def quota_interval(self, server: ServerState) -> float:
        """The time in which our even quota of a server's baseline is one attempt; 0 if not known."""
        # Busy lines over a dialog's duration are the rate of set-ups; at least one, for quiet hours.
        baseline = self.baseline(server)
        return self.mean_duration * self.line_sharers / max(1.0, baseline) if baseline else 0.0


class SlowStart:
    """Slots that keep the sum of edge proxies that share nothing below what overloads a warming server."""

    def __init__(self, deployment: Deployment, capacity: CapacityTracker) -> None:
        self._deployment = deployment
        self._capacity = capacity

    def fraction(self, server: ServerState, now: int) -> float:
        """The fraction of its warm capacity that a server bears now."""
        started_at, duration = server.endpoint.started_at, self._deployment.slow_start_duration
        if not started_at or now - started_at >= duration:
            return 1.0
        initial = self._deployment.slow_start_fraction
        return initial + (1 - initial) * max(0, now - started_at) / duration

    def has_slot(self, server: ServerState, now: int) -> bool:
        """Whether slow start lets one attempt of ours through now; accrues the server's slots."""
        fraction = self.fraction(server, now)
        if fraction >= 1:
            return True
        # Quota saved up by many edge proxies would be spent in the same second. So each has slots, spread
        # by its fleet index, that lapse: those open in any one window stay below what overloads the server.
        window, interval = self._deployment.overload_window, self._capacity.quota_interval(server)
        lapse = min(window, interval) if interval else window
        bearable = self._deployment.overload_multiple * fraction * tuning.SLOW_START_MARGIN
        safe_rate = bearable / interval if interval else 0.0
        min_rate = 1 / (tuning.MIN_PROBE_INTERVAL * self._deployment.edge_proxies)
        rate = max(safe_rate * window / (window + lapse), min_rate)
        server.slow_start_slots += rate * (now - server.slots_accrued_at)
        server.slots_accrued_at = now
        return int(server.slow_start_slots) > server.slot_used and server.slow_start_slots % 1 <= rate * lapse

"""The capacity of servers: their baseline and spare lines, and the limit on attempts during slow start."""

from collections.abc import Mapping

from valverouter.interface import Deployment
from valverouter.policy import tuning
from valverouter.policy.server_state import ServerState


class CapacityTracker:
    """Tracks the peak of busy lines of each server number.

    A peak is kept when the server restarts or another one takes over its number.
    """

    def __init__(self, deployment: Deployment, servers: Mapping[str, ServerState]) -> None:
        self._servers = servers
        # By server number: the most lines that were busy while the server was warm and prompt, and the time
        # of that peak. An entry is removed when the endpoint list drops its number.
        self._peaks: dict[int, tuple[float, int]] = {}
        # The number of edge proxies that share a server's lines: all, unless each has a group of its own.
        self.line_sharers = deployment.edge_proxies if deployment.own_server_number < 0 else 1
        durations = [traffic_type.mean_duration for traffic_type in deployment.traffic_types.values()]
        self.mean_duration = sum(durations) / len(durations)

    def record_peak(self, server: ServerState, now: int) -> None:
        """Sets the peak of a warm server to the greater of its decayed peak and its busy lines."""
        self._peaks[server.endpoint.number] = max(self.decayed_peak(server, now), server.busy_lines), now

    def decayed_peak(self, server: ServerState, now: int) -> float:
        """Returns the server's peak, decayed since it was recorded; 0 if none is known."""
        peak, recorded_at = self._peaks.get(server.endpoint.number, (0.0, now))
        remaining: float = tuning.CAPACITY_DECAY_PER_SECOND ** ((now - recorded_at) / tuning.SECOND)
        return peak * remaining

    def keep_only(self, numbers: set[int]) -> None:
        """Removes the peaks of all other server numbers."""
        self._peaks = {number: peak for number, peak in self._peaks.items() if number in numbers}

    def sum_of_other_peaks(self, numbers: set[int], allowed: frozenset[int] | None) -> float:
        """Returns the sum of the peaks of the servers not in `numbers`; `allowed` (if any) limits them."""
        others = (number for number in self._peaks if number not in numbers)
        return sum(self._peaks[number][0] for number in others if allowed is None or number in allowed)

    def baseline(self, server: ServerState) -> float:
        """Returns the most lines that the server had busy while prompt; 0 if no server's peak is known.

        Without a peak of its own it is the server's lines times the least ratio of peak to lines elsewhere.
        """
        recorded = self._peaks.get(server.endpoint.number)
        if recorded is not None:
            return recorded[0]
        ratios = [
            self._peaks[other.endpoint.number][0] / other.lines
            for other in self._servers.values()
            if other.lines and other.endpoint.number in self._peaks
        ]
        return server.lines * min(ratios, default=0.0)

    def spare(self, server: ServerState) -> float:
        """Returns how many more lines may be busy before they indicate a queue; 1 if nothing is known."""
        # A set-up that waits for the processor occupies a line too, so busy lines beyond the baseline and its
        # random variation are a queue.
        baseline = self.baseline(server)
        variation = tuning.SPARE_CAPACITY_SIGMAS * baseline**0.5
        return baseline + variation - server.busy_lines if baseline else 1.0

    def quota_interval(self, server: ServerState) -> float:
        """Returns the time (ns) in which this edge proxy's even share of the baseline is one attempt.

        0 if the baseline is unknown.
        """
        # The rate of set-ups is the busy lines divided by the dialog duration (Little's law). At least one
        # line is assumed, for quiet hours.
        baseline = self.baseline(server)
        return self.mean_duration * self.line_sharers / max(1.0, baseline) if baseline else 0.0


class SlowStart:
    """Limits the attempts at servers in slow start by slots.

    The edge proxies do not communicate; their slots keep the sum of their attempts below the load that
    overloads the server.
    """

    def __init__(self, deployment: Deployment, capacity: CapacityTracker) -> None:
        self._deployment = deployment
        self._capacity = capacity

    def fraction(self, server: ServerState, now: int) -> float:
        """Returns the fraction of its warm capacity that the server has now."""
        started_at, duration = server.endpoint.started_at, self._deployment.slow_start_duration
        if not started_at or now - started_at >= duration:
            return 1.0
        initial = self._deployment.slow_start_fraction
        return initial + (1 - initial) * max(0, now - started_at) / duration

    def has_slot(self, server: ServerState, now: int) -> bool:
        """Whether this edge proxy has an open, unused slot at the server; accrues the server's slots."""
        fraction = self.fraction(server, now)
        if fraction >= 1:
            return True
        # Quota saved up by many edge proxies could be spent in the same second. Each edge proxy therefore has
        # slots that lapse, offset by its fleet index: the slots open in any one window stay below the load
        # that overloads the server.
        window, interval = self._deployment.overload_window, self._capacity.quota_interval(server)
        slot_lifetime = min(window, interval) if interval else window
        max_load = self._deployment.overload_multiple * fraction * tuning.SLOW_START_MARGIN
        safe_rate = max_load / interval if interval else 0.0
        min_rate = 1 / (tuning.MIN_PROBE_INTERVAL * self._deployment.edge_proxies)
        rate = max(safe_rate * window / (window + slot_lifetime), min_rate)
        server.slow_start_slots += rate * (now - server.slots_accrued_at)
        server.slots_accrued_at = now
        return (
            int(server.slow_start_slots) > server.slot_used
            and server.slow_start_slots % 1 <= rate * slot_lifetime
        )

"""The parameters of the membership protocol."""

from __future__ import annotations

import math
from dataclasses import dataclass

SECOND = 10**9


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """The parameters of one member. Durations are in ns unless a field says that it is in probe periods.

    docs/fleet.md says how each value was chosen and which ones the benchmarks' baselines switch off.
    """

    # The probe period, ns: the unit of most other durations.
    probe_period: int = SECOND
    # The number of members that this member probes in each probe period.
    probes_per_period: int = 2
    # An unanswered probe is repeated, directly and through helpers, after this fraction of its timeout. The
    # probe fails only at the end of the timeout, so that a late answer still counts. A helper sends its nack
    # after the same fraction of a probe period.
    indirect_probe_delay_factor: float = 0.3
    # The number of helpers that send an indirect probe (`k` in the SWIM paper).
    indirect_probe_count: int = 3
    # The suspicion timeout once enough members have accused the suspect, in probe periods.
    suspicion_periods: float = 4.0
    # The number of accusers, including the first, that confirms a suspicion.
    confirmations: int = 2
    # The factor by which the timeout of an unconfirmed suspicion is longer.
    unconfirmed_multiplier: float = 2.0
    # The expected number of members that probe a suspect at once when they receive the suspicion, either to
    # confirm or to clear it.
    expected_confirmers: float = 3.0
    # The maximum of Lifeguard's local health score; 0 is healthy.
    max_local_health: int = 8
    # Each of n members transmits an update `retransmit_multiplier * log10(n + 1)` times, and at least
    # `eager_transmits` times. The first `eager_transmits` don't wait for a probe to be piggybacked on.
    retransmit_multiplier: float = 3.0
    eager_transmits: int = 4
    # The number of members that a gossip round sends to, and of gossip rounds in a probe period.
    gossip_fanout: int = 3
    gossip_rounds_per_period: int = 5
    # The interval between two anti-entropy exchanges before jitter, in probe periods.
    anti_entropy_periods: float = 10.0
    # How long a member that is gone or has left stays in the view, ns. Until then a gone member's address is
    # still tried.
    gone_retention: int = 300 * SECOND
    # The number of addresses of forgotten members that are still tried.
    forgotten_address_limit: int = 32
    # The maximum size of the records in one message, bytes.
    max_update_bytes: int = 1_000
    # False: a failed probe declares its target gone at once (a baseline of the benchmarks).
    suspicion_enabled: bool = True
    # False: timeouts ignore the local health score (a baseline of the benchmarks).
    local_health_enabled: bool = True

    def retransmit_limit(self, member_count: int) -> int:
        """Returns how often each member transmits an update: enough to reach all members, and bounded."""
        return max(self.eager_transmits, math.ceil(self.retransmit_multiplier * math.log10(member_count + 1)))

"""The parameters of the membership protocol."""

from __future__ import annotations

import math
from dataclasses import dataclass

SECOND = 10**9


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Parameters of one member. Durations in ns, unless they are given in probe periods.

    docs/fleet.md tells which of them a baseline of the benchmarks switches off, and how each was chosen.
    """

    # The probe period, ns: the unit of most other durations.
    probe_period: int = SECOND
    # How many members this one probes in each period.
    probes_per_period: int = 2
    # After this part of the period an unanswered probe is repeated, directly and through helpers. The probe
    # fails at the end of the period only, so that a late answer still counts.
    indirect_probe_delay_factor: float = 0.3
    # How many helpers are asked to probe on our behalf.
    indirect_probe_count: int = 3
    # For how many periods a suspect may refute, once enough members have accused it.
    suspicion_periods: float = 4.0
    # How many accusers are enough.
    required_accusers: int = 2
    # How much longer a suspicion lasts that nobody has confirmed.
    unconfirmed_multiplier: float = 2.0
    # About how many of those who hear of a suspect probe it at once, to confirm or to clear it.
    expected_confirmers: float = 3.0
    # The upper bound of the local health score (Lifeguard); 0 is healthy.
    max_local_health: int = 8
    # An update is transmitted by each member `retransmit_multiplier * log10(n + 1)` times, and at least
    # `eager_transmits` times; the first `eager_transmits` do not wait for a probe to carry them.
    retransmit_multiplier: float = 3.0
    eager_transmits: int = 4
    # How many members a gossip round sends to, and how many rounds a period has.
    gossip_fanout: int = 3
    gossip_rounds_per_period: int = 5
    # Periods between two anti-entropy exchanges, before jitter.
    anti_entropy_periods: float = 10.0
    # For how long a member that is gone stays in the view and is tried again, ns.
    gone_retention: int = 300 * SECOND
    # How many addresses of forgotten members are still tried.
    forgotten_address_limit: int = 32
    # The upper bound of the records in one message, bytes.
    max_update_bytes: int = 1_000
    # False: a failed probe is a death (a baseline of the benchmarks).
    suspicion_enabled: bool = True
    # False: without Lifeguard's local health (a baseline of the benchmarks).
    local_health_enabled: bool = True

    def retransmit_limit(self, member_count: int) -> int:
        """How often each member transmits an update: enough to reach all members, and bounded."""
        return max(self.eager_transmits, math.ceil(self.retransmit_multiplier * math.log10(member_count + 1)))

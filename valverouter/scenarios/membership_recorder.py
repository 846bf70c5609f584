"""Polls a scenario's edge proxies for their membership views, and records the replies as rows.

The queries bypass the faulty paths between the edge proxies: the rows show an edge proxy's view even while
the other members cannot reach it.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from valverouter.config.gossip import derive_key
from valverouter.config.scenario_sections import ScenarioGossipConfig
from valverouter.edge.runtime import Runtime
from valverouter.fleet.client import FleetClient
from valverouter.fleet.view_comparison import ViewAnswer
from valverouter.membership.records import LIVE_STATES
from valverouter.scenarios.network_paths import path_faults
from valverouter.scenarios.scenario_fakes import NS_PER_S, ScenarioFakes
from valverouter.signalling.traffic_record import (
    ConvergenceDeadlineRow,
    EdgeProcessRow,
    MembershipEventRow,
    MembershipViewRow,
)

# The fleet's key is derived from this. It need not be secret: it authenticates only the datagrams of a run.
GOSSIP_KEY_MATERIAL = b"the key of a day's fleet, which protects nothing but a day"
# Additional polls to wait for after the maximum convergence time.
EXTRA_POLLS = 3


class MembershipRecorder:
    """Records the running incarnations, their membership events, and their views once a poll interval.

    The poll interval is the gossip's own period, no shorter: queries load the machine, and on a saturated
    machine the paths between processes become slower than any injected fault makes them.
    """

    def __init__(self, fakes: ScenarioFakes, gossip: ScenarioGossipConfig) -> None:
        self.scenario = fakes.scenario
        self.gossip = gossip
        self.poll_interval = gossip.period
        self._fakes = fakes
        self._keys = (derive_key(GOSSIP_KEY_MATERIAL),)
        self._incarnations: dict[str, str] = {}
        self._addresses: dict[str, str] = {}
        self._closed = False

    @property
    def max_convergence_time(self) -> int:
        """The time after the last fault within which the views must agree, ns."""
        return self.gossip.settles * self.gossip.period

    def record_start(self, name: str, incarnation: str, address: str) -> None:
        """Records the start of an edge proxy, which is polled at the address from now on."""
        self._incarnations[name], self._addresses[name] = incarnation, address
        self._fakes.recorder.record(EdgeProcessRow, edge=name, incarnation=incarnation, is_start=True)

    def record_end(self, name: str) -> None:
        """Records the end of an edge proxy's process."""
        if name in self._incarnations and not self._closed:
            self._addresses.pop(name, None)
            incarnation = self._incarnations.pop(name)
            self._fakes.recorder.record(EdgeProcessRow, edge=name, incarnation=incarnation, is_start=False)

    def record_event(self, name: str, kind: str, member: str, member_incarnation: str) -> None:
        """Records a membership event that an edge proxy reports of a member."""
        if name in self._incarnations and not self._closed:
            self._fakes.recorder.record(
                MembershipEventRow,
                edge=name,
                incarnation=self._incarnations[name],
                kind=kind,
                member=member,
                member_incarnation=member_incarnation,
            )

    def start_faults(self) -> None:
        """Records the origin of the scenario's times and the convergence deadline."""
        self._fakes.recorder.record(
            ConvergenceDeadlineRow, max_duration=self.max_convergence_time, poll_interval=self.poll_interval
        )

    async def settle(self) -> None:
        """Waits for the maximum convergence time, so that the rows show whether the views agreed."""
        ends = [fault.until for fault in path_faults(self.scenario)]
        ends += [fault.start + fault.length for fault in self.scenario.faults.values()]
        remaining = max([0, *ends]) - self.scenario.run.length
        wait = max(0, remaining) + self.max_convergence_time + EXTRA_POLLS * self.poll_interval
        await trio.sleep(wait / NS_PER_S)
        # Membership changes from here on are due to the shutdown of the fleet, so they are not recorded.
        self._closed = True

    async def _poll(self, client: FleetClient) -> None:
        while True:
            started_at = trio.current_time()
            for answer in await client.query_views(dict(self._addresses).values()):
                self._record_view(answer)
            next_poll = started_at + self.poll_interval / NS_PER_S
            await trio.sleep(max(0.0, next_poll - trio.current_time()))

    def _record_view(self, answer: ViewAnswer) -> None:
        if answer.missing_page is not None or self._closed:
            return
        self._fakes.recorder.record(
            MembershipViewRow,
            edge=answer.name,
            incarnation=f"{answer.incarnation:016x}",
            digest=f"{answer.digest:016x}",
            view_health=answer.view_health,
            members={row.name: f"{row.incarnation:016x}" for row in answer.rows if row.state in LIVE_STATES},
        )

    def _draw(self, source: str) -> Callable[[], float]:
        return random.Random(f"{self.scenario.run.seed}/{source}").random

    def _fleet_client(self, runtime: Runtime, address: str) -> FleetClient:
        rng = random.Random(f"{self.scenario.run.seed}/asker")
        return FleetClient(self._keys, runtime.bind_datagrams(address), rng)

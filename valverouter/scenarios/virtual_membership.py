"""Membership of edge proxies that run as tasks in virtual time."""

from __future__ import annotations

import random

import msgspec
import trio

from valverouter.config.edge import EdgeConfig
from valverouter.config.gossip import GossipConfig
from valverouter.config.scenario_sections import ScenarioGossipConfig
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.runtime import Runtime
from valverouter.fleet.instance_status import membership_facts
from valverouter.fleet.membership_service import MembershipService
from valverouter.membership.events import MembershipEvent
from valverouter.scenarios.membership_recorder import MembershipRecorder
from valverouter.scenarios.memory_network import MemoryNetwork
from valverouter.scenarios.network_paths import network_paths
from valverouter.scenarios.scenario_fakes import NS_PER_S, ScenarioFakes

# Source address of the recorder's queries. It belongs to no group and no fault names it.
CLIENT_ADDRESS = "asker:1"
VERSION_LABEL = "virtual"


def _gossip_address(fleet_index: int | str) -> str:
    return f"between{fleet_index}:1"


class VirtualMembership(MembershipRecorder):
    """Creates the edge proxies' membership services, and records their events through a callback."""

    def __init__(
        self,
        fakes: ScenarioFakes,
        gossip: ScenarioGossipConfig,
        network: MemoryNetwork,
        client_runtime: Runtime,
    ) -> None:
        super().__init__(fakes, gossip)
        self._network = network
        self._client_runtime = client_runtime
        self._draw_paths = self._draw("paths")
        self._start_count = 0
        self._services: dict[str, MembershipService] = {}
        for fleet_index in range(self.scenario.fleet.edge_proxies):
            network.node_names[_gossip_address(fleet_index)] = f"e{fleet_index}"

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Delivers delayed datagrams and polls the views, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._network.nursery = nursery
            nursery.start_soon(self._poll, self._fleet_client(self._client_runtime, CLIENT_ADDRESS))
            task_status.started()

    def start_faults(self) -> None:
        """Applies the scenario's delays and faults to all paths but those of the recorder's own queries."""
        super().start_faults()
        now = round(trio.current_time() * NS_PER_S)
        self._network.paths = network_paths(self.scenario, self._draw_paths, now)
        self._network.fault_free_addresses = frozenset({CLIENT_ADDRESS})

    def make_service(
        self, name: str, config: EdgeConfig, runtime: Runtime, proxy: EdgeProxy
    ) -> MembershipService:
        """Creates the membership service of an edge proxy's next incarnation."""
        self._start_count += 1
        source = f"{self.scenario.run.seed}/life/{name}/{self._start_count}"
        incarnation = random.Random(source).getrandbits(64)
        gossip = GossipConfig(
            _gossip_address(name[1:]),
            self._keys,
            tuple(_gossip_address(fleet_index) for fleet_index in range(self.gossip.seeds)),
            period=self.gossip.period,
            remembers=self.gossip.remembers,
        )
        service = MembershipService(
            msgspec.structs.replace(config, between=gossip),
            gossip,
            runtime,
            incarnation,
            lambda: membership_facts(proxy),
            VERSION_LABEL,
            lambda event: self._record_membership_event(name, event),
        )
        self._services[name] = service
        return service

    def record_service_start(self, name: str) -> None:
        """Records the incarnation and address of a service after its start."""
        membership = self._services[name].membership
        assert membership is not None
        own_record = membership.own_record
        self.record_start(name, f"{own_record.incarnation:016x}", own_record.address)

    def _record_membership_event(self, name: str, event: MembershipEvent) -> None:
        incarnation = f"{event.record.incarnation:016x}"
        self.record_event(name, event.kind.value, event.record.name, incarnation)

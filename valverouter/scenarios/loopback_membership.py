"""Membership of edge proxies that run as processes on loopback, with a fake network between them."""

from __future__ import annotations

import os
from pathlib import Path

import trio

from valverouter.config.scenario_sections import ScenarioGossipConfig
from valverouter.edge.sockets import SocketRuntime
from valverouter.fakes.datagrams import FakeDatagramNetwork
from valverouter.scenarios.membership_recorder import GOSSIP_KEY_MATERIAL, MembershipRecorder
from valverouter.scenarios.network_paths import network_paths
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.servermodel.paths import NetworkPaths

# Prefixes of the log events by which an edge proxy reports membership events; the event's kind follows.
MEMBERSHIP_EVENT_PREFIXES = ("member-", "view-")


class LoopbackMembership(MembershipRecorder):
    """Opens a relay socket for each process, and reads its membership events from its log."""

    def __init__(
        self, fakes: ScenarioFakes, gossip: ScenarioGossipConfig, runtime: SocketRuntime, folder: Path
    ) -> None:
        super().__init__(fakes, gossip)
        self._runtime = runtime
        self._key_file = folder.absolute() / "between.key"
        with os.fdopen(os.open(self._key_file, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
            file.write(GOSSIP_KEY_MATERIAL)
        self._draw_paths = self._draw("paths")
        no_faults = NetworkPaths([], self._draw_paths)
        self._network = FakeDatagramNetwork(runtime.bind_datagrams, fakes.now, no_faults)
        self._relay_addresses: dict[str, str] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs the fake network and polls the views, until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._network.run)
            for fleet_index in range(self.scenario.fleet.edge_proxies):
                self._relay_addresses[f"e{fleet_index}"] = self._network.open_relay(f"e{fleet_index}")
            nursery.start_soon(self._poll, self._fleet_client(self._runtime, "127.0.0.1:0"))
            task_status.started()

    def start_faults(self) -> None:
        """Applies the scenario's delays and faults to the paths from now on."""
        super().start_faults()
        self._network.paths = network_paths(self.scenario, self._draw_paths, self._fakes.now())

    def gossip_section(self, name: str) -> dict[str, str]:
        """Returns the [between] section of an edge proxy's settings."""
        names = [f"e{fleet_index}" for fleet_index in range(self.gossip.seeds)]
        seeds = [self._relay_addresses[seed] for seed in names if seed in self._relay_addresses]
        return {
            "listen": "127.0.0.1:0",
            "advertise": self._relay_addresses[name],
            "key": str(self._key_file),
            "seeds": ", ".join(seeds),
        }

    def handle_log_event(self, name: str, event: str, address: str, member: str, incarnation: str) -> None:
        """Records a log event of an edge proxy if it concerns membership."""
        if event == "membership-started":
            self._network.set_process_address(name, address)
            self.record_start(name, incarnation, address)
        elif event.startswith(MEMBERSHIP_EVENT_PREFIXES):
            self.record_event(name, event.partition("-")[2], member, incarnation)

"""Writes the settings files for operations on a fleet: raft servers, supervisors and edge proxies."""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass
from pathlib import Path

from valverouter.config.scenario import ScenarioConfig
from valverouter.scenarios.membership_recorder import GOSSIP_KEY_MATERIAL

CLI = (sys.executable, "-m", "valverouter.cli")
NODES = ("c0", "c1", "c2")
# Name of the settings file of clients, which reach the raft servers without the fake network.
CLIENT = "tool"
# Seconds after which the version dies-late is killed.
LATE_EXIT_DELAY_S = 4
# The version crowds rejects dialogs once it has been started on this fraction of the edge proxies.
REJECTION_THRESHOLD_FRACTION = 0.3
# The number of edge proxies that are gossip seeds.
SEED_COUNT = 3


@dataclass(slots=True)
class OperationFiles:
    """Writes the files into `folder`.

    Addresses are by process name. `listen`: the process's own datagram socket. `advertised`: the relay socket
    of the fake network, to which others send. `caller_addresses`: where an edge proxy accepts its callers'
    connections. `limits`: the disruption limits of edge proxies, in all and per region.
    """

    scenario: ScenarioConfig
    folder: Path
    edges: list[str]
    servers: list[str]
    list_service: str
    limits: tuple[int, int]
    min_capacity_fraction: float
    listen: dict[str, str]
    advertised: dict[str, str]
    caller_addresses: dict[str, str]

    def write(self, server_control: str, server_regions: dict[str, str]) -> None:
        """Writes all files. `server_control`: the address to which the servers' agents connect."""
        key = self.folder / "fleet.key"
        with os.fdopen(os.open(key, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
            file.write(GOSSIP_KEY_MATERIAL)
        for name in (*NODES, CLIENT):
            self._write_node(name)
        for index, name in enumerate(self.edges):
            self._write_edge(index, name)
            self._write_edge_supervisor(index, name)
        for name in self.servers:
            self._write_server_supervisor(name, server_control, server_regions[name])

    def _write_node(self, name: str) -> None:
        own_name = NODES[0] if name == CLIENT else name
        addresses = self.listen if name == CLIENT else self.advertised
        max_unavailable, max_in_region = self.limits
        text = f"[seat]\nname = {own_name}\nlisten = {self.listen[own_name]}\n"
        text += f"advertise = {self.advertised[own_name]}\nkey = fleet.key\nstore = {own_name}.store\n"
        text += f"council = {_node_addresses(addresses)}\nsilent = 3s\nunsettled = 20s\n\n"
        text += f"[limits edge proxies]\nmost = {max_unavailable}\nin_region = {max_in_region}\n"
        text += f"least_capacity = {self.min_capacity_fraction}\n"
        if self.servers:
            text += "\n[limits servers]\nmost = 1\nin_region = 1\nleast_capacity = 0.4\n"
        text += "\n[evidence]\nleast = 60\nodds = 4\nwatch = 2s\n"
        self._write_file(name, text)

    def _write_edge(self, index: int, name: str) -> None:
        gossip = {
            "listen": self.listen[name],
            "advertise": self.advertised[name],
            "key": str(self.folder / "fleet.key"),
            "seeds": ", ".join(self.advertised[seed] for seed in self.edges[:SEED_COUNT]),
        }
        cache = str(self.folder / f"{name}.list")
        text = self.scenario.edge_ini(
            index, self.caller_addresses[name], self.list_service, cache, between=gossip
        )
        self._write_file(name, text)
        # Settings under which an edge proxy rejects every dialog while one is open.
        self._write_file(
            f"{name}.declines", text.replace("[fleet]", "[links]\nopen_dialogs = 1\n\n[fleet]", 1)
        )

    def _write_edge_supervisor(self, index: int, name: str) -> None:
        text = f"[keeper]\nname = {name}\n{self._supervisor_settings(name)}version = v1\n"
        text += f"region = {self.scenario.region_of_edge(index)}\ncapacity = 100\nstop_within = 6s\n"
        text += f"output = {self.folder / name}.log\n"
        for version, command in self._edge_commands(name).items():
            text += f"\n[version {version}]\ncommand = {command}\n"
        self._write_file(supervisor_of(name), text)

    def _edge_commands(self, name: str) -> dict[str, str]:
        """Returns the command of each version."""
        edge, settings = " ".join((*CLI, "edge")), self.folder / name
        threshold = max(2, round(REJECTION_THRESHOLD_FRACTION * len(self.edges)))
        return {
            "v1": f"{edge} {settings}.ini",
            "v2": f"{edge} {settings}.ini",
            "declines": f"{edge} {settings}.declines.ini",
            "crowds": (
                f"sh -c 'touch {self.folder}/crowd.{name}; set -- {self.folder}/crowd.*; "
                f"[ $# -ge {threshold} ] && file=declines.ini || file=ini; "
                f"exec {edge} {settings}.$file'"
            ),
            "crashes": f"{sys.executable} -c 'raise SystemExit(7)'",
            "dies-late": f"timeout -s KILL {LATE_EXIT_DELAY_S} {edge} {settings}.ini",
        }

    def _write_server_supervisor(self, name: str, control: str, region: str) -> None:
        agent = f"{sys.executable} -m valverouter.scenarios.server_agent {name} {control} {self.listen[name]}"
        text = f"[keeper]\nname = {name}\nsort = server\n{self._supervisor_settings(name)}"
        text += f"version = v1\ncapacity = 0\nlist_service = {self.list_service}\n"
        text += f"drain_within = 2s\nstop_within = 6s\nregion = {region}\n"
        for version in ("v1", "v2"):
            text += f"\n[version {version}]\ncommand = {agent} {self.folder}/fleet.key\n"
        self._write_file(supervisor_of(name), text)

    def _supervisor_settings(self, name: str) -> str:
        supervisor = supervisor_of(name)
        return (
            f"listen = {self.listen[supervisor]}\nadvertise = {self.advertised[supervisor]}\n"
            f"key = fleet.key\nstore = {supervisor}.store\ncouncil = {_node_addresses(self.advertised)}\n"
            f"asks = {self.listen[name]}\n"
        )

    def _write_file(self, name: str, text: str) -> None:
        (self.folder / f"{name}.ini").write_text(text)


def supervisor_of(name: str) -> str:
    """Returns the name of an instance's supervisor: k0 for edge proxy e0, ks0 for server s0."""
    return f"k{name[1:]}" if name[0] == "e" else f"k{name}"


def supervised_by(supervisor: str) -> str:
    """Returns the name of the instance that a supervisor manages."""
    return supervisor[1:] if supervisor[1] == "s" else f"e{supervisor[1:]}"


def _node_addresses(addresses: dict[str, str]) -> str:
    return ", ".join(f"{name} {addresses[name]}" for name in NODES)

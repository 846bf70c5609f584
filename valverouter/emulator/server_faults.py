"""Faults of emulated servers: crashes, lost machines, deployments, slowness, hangs, lost answers."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from valverouter.config.scenario_sections import FaultConfig
from valverouter.emulator.endpoint_list import ServicePhase
from valverouter.emulator.fault_targets import FaultProcess, FaultStart, FaultTargets
from valverouter.emulator.fleet import Fleet
from valverouter.emulator.servers import EmulatedServer
from valverouter.emulator.simulation import RandomStream

ServerAction = Callable[[EmulatedServer], None]


class ServerFaults:
    """Injects the faults of servers that a scenario can contain."""

    def __init__(self, fleet: Fleet, targets: FaultTargets) -> None:
        self._fleet = fleet
        self._targets = targets

    def by_kind(self) -> dict[str, FaultStart]:
        """Returns the process of each kind of fault, keyed by its name in a scenario file."""
        return {
            "crash": self._crash,
            "vanish": self._vanish,
            "deploy": self._deploy,
            "slow": self._slow,
            "ageing": self._degrade,
            "hang": self._hang,
            "origin_slow": self._limit_lines,
            "reconnect": self._interrupt_established,
            "answer_lost": self._lose_answers,
            "peer_down": self._partition,
        }

    # Crashes and replacements

    def _crash(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        servers = self._targets.recorded_servers(fault, random)
        for server in servers:
            server.crash()
        self._announce_down_after(self._fleet.scenario.endpoint_list.notice, servers)
        yield self._targets.wait(fault.length)
        self._restart(servers)

    def _vanish(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        servers = self._targets.recorded_servers(fault, random)
        for server in servers:
            server.vanish()
        self._announce_down_after(self._fleet.scenario.endpoint_list.silent_notice, servers)
        if fault.length:
            yield self._targets.wait(fault.length)
            self._restart(servers)

    def _announce_down_after(self, delay: int, servers: Sequence[EmulatedServer]) -> None:
        self._fleet.sim.call_after(delay, self._fleet.endpoint_list.announce_down, servers)

    def _announce_up_later(self, servers: Sequence[EmulatedServer]) -> None:
        fleet = self._fleet
        fleet.sim.call_after(fleet.scenario.endpoint_list.add, fleet.endpoint_list.announce_up, servers)

    def _restart(self, servers: Sequence[EmulatedServer]) -> None:
        for server in servers:
            self._fleet.endpoint_list.record_start(server)
            server.start()
        self._announce_up_later(servers)

    def _deploy(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        """Replaces targets in batches: each drains and stops; a server with a new name takes its number."""
        fleet, targets = self._fleet, self._targets
        servers = targets.running_servers(fault, random)
        batch_size = max(1, round(fault.size))
        batches = [servers[start : start + batch_size] for start in range(0, len(servers), batch_size)]
        interval = fault.length // max(1, len(batches))
        for batch in batches:
            started_at = fleet.sim.now()
            fleet.endpoint_list.announce(batch, ServicePhase.DRAINING)
            for server in batch:
                targets.record(fault, server.name, fault.extra)
            yield targets.wait(fault.extra)
            replacements = [self._replace(server) for server in batch]
            fleet.endpoint_list.announce(batch, ServicePhase.GONE)
            self._announce_up_later(replacements)
            yield targets.wait(max(0, interval - (fleet.sim.now() - started_at)))

    def _replace(self, server: EmulatedServer) -> EmulatedServer:
        server.crash()
        replacement = self._fleet.add_server(f"{server.name}n", server.number)
        replacement.model.start(self._fleet.sim.now())
        self._fleet.endpoint_list.record_start(replacement)
        replacement.record_start()
        return replacement

    # Degradation of running servers

    def _slow(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        yield from self._for_duration(
            fault,
            self._targets.recorded_servers(fault, random),
            lambda server: server.model.set_slowdown(fault.size),
            lambda server: server.model.set_slowdown(1.0),
        )

    def _degrade(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        """Slows servers down gradually; the factor reaches the fault's size at its end."""
        sim = self._fleet.sim
        yield from self._for_duration(
            fault,
            self._targets.recorded_servers(fault, random),
            lambda server: server.model.start_degrading(sim.now(), fault.size, fault.length),
            lambda server: server.model.start_degrading(sim.now(), 1.0, 1),
        )

    def _hang(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        sim = self._fleet.sim

        def resume(server: EmulatedServer) -> None:
            server.model.set_hung(sim.now(), False)
            server.deliver_events()

        yield from self._for_duration(
            fault,
            self._targets.recorded_servers(fault, random),
            lambda server: server.model.set_hung(sim.now(), True),
            resume,
        )

    def _limit_lines(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        """Limits the servers of one region to a fraction of their lines."""
        fleet = self._fleet
        regions = [name for name, region in fleet.scenario.regions.items() if region.servers]
        region = fault.on[0] if fault.on else regions[random.integer_below(len(regions))]
        servers = [server for server in fleet.servers.values() if server.region == region]

        def limit(server: EmulatedServer) -> None:
            self._targets.record(fault, server.name)
            server.model.limit_lines(fleet.sim.now(), fault.size**-0.5)
            server.deliver_events()

        yield from self._for_duration(
            fault, servers, limit, lambda server: server.model.limit_lines(fleet.sim.now(), 1.0)
        )

    def _lose_answers(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        yield from self._for_duration(
            fault,
            self._targets.recorded_servers(fault, random),
            lambda server: server.model.set_answer_loss(fault.size),
            lambda server: server.model.set_answer_loss(0.0),
        )

    def _for_duration(
        self, fault: FaultConfig, servers: Sequence[EmulatedServer], begin: ServerAction, end: ServerAction
    ) -> FaultProcess:
        for server in servers:
            begin(server)
        yield self._targets.wait(fault.length)
        for server in servers:
            end(server)

    # Connections and dialogs

    def _interrupt_established(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        """Interrupts a fraction of all established dialogs at every server."""
        for server in self._fleet.servers.values():
            self._targets.record(fault, server.name)
            server.model.interrupt_established(self._fleet.sim.now(), fault.size)
            server.deliver_events()
        yield self._targets.wait(0)

    def _partition(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        """Cuts the connections between some edge proxies and some servers, and refuses new ones."""
        targets, servers = self._targets, self._fleet.servers
        edge_names = {edge.name for edge in targets.edges(fault, random)}
        partitioned = [servers[name] for name in targets.draw(fault, random, list(servers))]
        for server in partitioned:
            targets.record(fault, server.name)
            server.refused_edges |= edge_names
            for connection in list(server.connections.values()):
                if connection.owner.name in edge_names:
                    connection.close()
        yield targets.wait(fault.length)
        for server in partitioned:
            server.refused_edges -= edge_names

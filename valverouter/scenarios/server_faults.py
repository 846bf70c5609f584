"""Faults of a scenario's servers: crashes, lost machines, deployments, slowdowns, hangs, lost answers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import trio

from valverouter.config.scenario_sections import FaultConfig
from valverouter.fakes.server import FakeServer
from valverouter.scenarios.fault_targets import FaultProcess, FaultTargets
from valverouter.scenarios.scenario_fakes import NS_PER_S, ScenarioFakes

ServerAction = Callable[[FakeServer], None]


class ServerFaults:
    """The fault kinds of a scenario file that affect servers."""

    def __init__(self, fakes: ScenarioFakes, targets: FaultTargets) -> None:
        self._fakes = fakes
        self._targets = targets

    def by_kind(self) -> dict[str, FaultProcess]:
        """Returns the function that causes each kind of fault, by the kind's name in a scenario file."""
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

    # Faults that end the process

    async def _crash(self, fault: FaultConfig, rng: random.Random) -> None:
        servers = self._targets.running_servers(fault, rng)
        for server in servers:
            self._targets.record(fault, server.name)
            server.crash()
        self._announce_gone_after(self._fakes.scenario.endpoint_list.notice, servers)
        await trio.sleep(fault.length / NS_PER_S)
        await self._restart(servers)

    async def _vanish(self, fault: FaultConfig, rng: random.Random) -> None:
        servers = self._targets.running_servers(fault, rng)
        for server in servers:
            self._targets.record(fault, server.name)
            server.vanish()
        self._announce_gone_after(self._fakes.scenario.endpoint_list.silent_notice, servers)
        if fault.length:
            await trio.sleep(fault.length / NS_PER_S)
            await self._restart(servers)

    def _announce_gone_after(self, delay: int, servers: Sequence[FakeServer]) -> None:
        def announce() -> None:
            if stopped := [server.name for server in servers if not server.model.is_running]:
                self._fakes.announce(stopped, "gone")

        self._fakes.scheduler.call_at(self._fakes.now() + delay, announce)

    def _announce_in_service_later(self, servers: Sequence[FakeServer]) -> None:
        def announce() -> None:
            if started := [server.name for server in servers if server.model.is_running]:
                self._fakes.announce(started, "in-service")

        self._fakes.scheduler.call_at(self._fakes.now() + self._fakes.scenario.endpoint_list.add, announce)

    async def _restart(self, servers: Sequence[FakeServer]) -> None:
        for server in servers:
            self._fakes.endpoint_list.started_at[server.name] = self._fakes.now()
            await server.start()
        self._announce_in_service_later(servers)

    async def _deploy(self, fault: FaultConfig, rng: random.Random) -> None:
        """Drains and stops the targets in batches; a new server takes over each target's number."""
        servers = self._targets.running_servers(fault, rng)
        batch_size = max(1, round(fault.size))
        batches = [servers[first : first + batch_size] for first in range(0, len(servers), batch_size)]
        interval = fault.length / max(1, len(batches)) / NS_PER_S
        for batch in batches:
            started_at = trio.current_time()
            await self._replace_all(fault, batch)
            await trio.sleep(max(0.0, interval - (trio.current_time() - started_at)))

    async def _replace_all(self, fault: FaultConfig, servers: Sequence[FakeServer]) -> None:
        names = [server.name for server in servers]
        self._fakes.announce(names, "draining")
        for name in names:
            self._targets.record(fault, name, fault.extra)
        await trio.sleep(fault.extra / NS_PER_S)
        replacements = [await self._replace(server) for server in servers]
        self._fakes.announce(names, "gone")
        self._announce_in_service_later(replacements)

    async def _replace(self, server: FakeServer) -> FakeServer:
        fakes = self._fakes
        server.crash()
        replacement = fakes.add_server(f"{server.name}n", fakes.server_numbers[server.name])
        replacement.model.start(fakes.now())
        fakes.endpoint_list.started_at[replacement.name] = fakes.now()
        await fakes.run_server(replacement)
        replacement.record_start()
        return replacement

    # Faults of a running process

    async def _slow(self, fault: FaultConfig, rng: random.Random) -> None:
        await self._for_duration(
            fault,
            self._targets.running_servers(fault, rng),
            lambda server: server.model.set_slowdown(fault.size),
            lambda server: server.model.set_slowdown(1.0),
        )

    async def _degrade(self, fault: FaultConfig, rng: random.Random) -> None:
        """Slows the servers down progressively, up to the fault's size at its end."""
        now = self._fakes.now
        await self._for_duration(
            fault,
            self._targets.running_servers(fault, rng),
            lambda server: server.model.start_degrading(now(), fault.size, fault.length),
            lambda server: server.model.start_degrading(now(), 1.0, 1),
        )

    async def _hang(self, fault: FaultConfig, rng: random.Random) -> None:
        now = self._fakes.now

        def wake(server: FakeServer) -> None:
            server.model.set_hung(now(), False)
            server.deliver_events()

        await self._for_duration(
            fault,
            self._targets.running_servers(fault, rng),
            lambda server: server.model.set_hung(now(), True),
            wake,
        )

    async def _limit_lines(self, fault: FaultConfig, rng: random.Random) -> None:
        """Reduces the lines of one region's servers to a fraction."""
        fakes, scenario = self._fakes, self._fakes.scenario
        regions = [name for name, region in scenario.regions.items() if region.servers]
        region = fault.on[0] if fault.on else rng.choice(regions)
        names = [
            name
            for name, number in fakes.server_numbers.items()
            if scenario.region_of_server(number) == region
        ]

        def limit(server: FakeServer) -> None:
            server.model.limit_lines(fakes.now(), fault.size**-0.5)
            server.deliver_events()

        await self._for_duration(
            fault,
            [fakes.servers[name] for name in names],
            limit,
            lambda server: server.model.limit_lines(fakes.now(), 1.0),
        )

    async def _lose_answers(self, fault: FaultConfig, rng: random.Random) -> None:
        await self._for_duration(
            fault,
            self._targets.running_servers(fault, rng),
            lambda server: server.model.set_answer_loss(fault.size),
            lambda server: server.model.set_answer_loss(0.0),
        )

    async def _for_duration(
        self, fault: FaultConfig, servers: Sequence[FakeServer], begin: ServerAction, end: ServerAction
    ) -> None:
        for server in servers:
            self._targets.record(fault, server.name)
            begin(server)
        await trio.sleep(fault.length / NS_PER_S)
        for server in servers:
            end(server)

    # Connections and dialogs

    async def _interrupt_established(self, fault: FaultConfig, rng: random.Random) -> None:
        """Ends a fraction of the established dialogs at every server."""
        for server in self._fakes.servers.values():
            self._targets.record(fault, server.name)
            server.model.interrupt_established(self._fakes.now(), fault.size)
            server.deliver_events()

    async def _partition(self, fault: FaultConfig, rng: random.Random) -> None:
        """Disconnects some edge proxies from some servers; all other connections remain."""
        targets, servers = self._targets, self._fakes.servers
        edge_names = {f"e{fleet_index}" for fleet_index in targets.edge_indices(fault, rng)}
        partitioned = [servers[name] for name in targets.draw(fault, rng, list(servers))]
        for server in partitioned:
            targets.record(fault, server.name)
            server.refused_edges |= edge_names
            for connection in list(server.connections):
                if connection.edge_name in edge_names:
                    connection.close()
        await trio.sleep(fault.length / NS_PER_S)
        for server in partitioned:
            server.refused_edges -= edge_names

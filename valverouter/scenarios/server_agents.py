"""Servers of a scenario that supervisors start and stop through agents: see `server_agent.py`."""

from __future__ import annotations

from contextlib import suppress

import trio

from valverouter.scenarios.scenario_fakes import ScenarioFakes

WARM_UP_REPORT_INTERVAL_S = 0.2
# The maximum length of the name that an agent sends.
MAX_NAME_BYTES = 64


class ServerAgents:
    """The connected agents. A fake server runs for as long as its agent is connected."""

    def __init__(self, fakes: ScenarioFakes, warm_after: int) -> None:
        """`warm_after`: ns from a server's start until it has warmed up."""
        self._fakes = fakes
        self._warm_after = warm_after
        self._streams: dict[str, trio.abc.Stream] = {}

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves one agent's connection."""
        name, fakes = (await stream.receive_some(MAX_NAME_BYTES)).decode().strip(), self._fakes
        self._streams[name] = stream
        if not fakes.servers[name].model.is_running:
            fakes.endpoint_list.started_at[name] = fakes.now()
            await fakes.servers[name].start()
            fakes.announce([name], "in-service")
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while await stream.receive_some(MAX_NAME_BYTES):
                pass
        if self._streams.get(name) is stream:
            del self._streams[name]
            fakes.servers[name].crash()
            fakes.announce([name], "gone")

    async def report_warm_up(self) -> None:
        """Sends each agent periodically whether its server has warmed up."""
        while True:
            await trio.sleep(WARM_UP_REPORT_INTERVAL_S)
            for name, stream in list(self._streams.items()):
                message = b"warm\n" if self._is_warm(name) else b"cold\n"
                with suppress(trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
                    await stream.send_all(message)

    def _is_warm(self, name: str) -> bool:
        started_at = self._fakes.endpoint_list.started_at.get(name)
        return started_at is None or self._fakes.now() - started_at >= self._warm_after

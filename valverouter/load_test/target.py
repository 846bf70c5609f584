"""Starts the target of a load run: an edge proxy, and a process with fake servers and a fake list service."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from valverouter.config.scenario import ScenarioConfig
from valverouter.load_test.drive import SECOND, LoadFailedError
from valverouter.scenarios.loopback import START_TIMEOUT_S, LoopbackEdge

# The fakes print this before the address of their list service.
LIST_SERVICE_PROMPT = b"list service at "
READ_SIZE = 4_096


@asynccontextmanager
async def target(file: Path, scenario: ScenarioConfig, folder: Path, seconds: float) -> AsyncIterator[str]:
    """Runs an edge proxy of the scenario with its fakes; yields the edge proxy's address.

    The fakes exit by themselves after `seconds`, even if this process has died.
    """
    command = [sys.executable, "-m", "valverouter.cli", "standin", str(file), "--seconds", str(seconds)]
    fakes = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    try:
        list_address = await _list_service_address(fakes)
        if not list_address:
            raise LoadFailedError(f"the fake servers of {file} did not start")
        async with trio.open_nursery() as nursery:
            edge = LoopbackEdge(scenario, 0, list_address, folder, nursery)
            await edge.start()
            await trio.sleep(scenario.run.settle / SECOND)
            yield edge.address
            await edge.stop()
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            if fakes.poll() is None:
                fakes.terminate()
            await fakes.wait()


async def _list_service_address(fakes: trio.Process) -> str:
    """Reads the address that the fakes print; empty if there is none within START_TIMEOUT_S."""
    assert fakes.stdout is not None
    output = b""
    with trio.move_on_after(START_TIMEOUT_S):
        while b"\n" not in output.partition(LIST_SERVICE_PROMPT)[2]:
            data = await fakes.stdout.receive_some(READ_SIZE)
            if not data:
                break
            output += data
    return output.partition(LIST_SERVICE_PROMPT)[2].split(b"\n")[0].decode().strip()

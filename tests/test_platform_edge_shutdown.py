"""Shutdown of the platform's edge proxy while callers send set-ups until their connections are closed."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
import trio
from trio.testing import MockClock

from tests.platform_harness import Client, PlatformHarness, encode_setup, running_platform_edge
from valverouter.config import platform
from valverouter.scenarios.memory_network import MemoryRuntime

CALLERS = 8
SETUP_INTERVAL_S = 0.08
# The duration of a turn of the event loop on a host that gives this process a quarter of a core.
TURN_S = 0.06
# The platform's specification: a set-up sent this shortly before its connection is closed is sent again.
CROSSING_S = 0.05
# The longest no-answer time of SETTINGS is over 3 s and therefore counts as 3 s, MAX_KILL_BASE.
KILL_AFTER_S = (platform.MAX_KILL_BASE + platform.KILL_DELAY) / 1e9


@dataclass
class SentSetups:
    """The set-ups of all callers by id, with the time and the connection of each."""

    count: int = 0
    sent: dict[str, tuple[float, Client]] = field(default_factory=dict)

    def unanswered_after(self, since: float, until: float) -> list[str]:
        """Returns the set-ups sent after `since` that were neither answered nor crossed by a close."""
        unanswered = []
        for id_, (at, client) in self.sent.items():
            answered = any(message.id == id_ for _, message in client.received)
            ended_at = until if client.closed_at is None else client.closed_at
            if at > since and not answered and ended_at - at > CROSSING_S:
                unanswered.append(id_)
        return unanswered


async def send_setups_until_closed(setups: SentSetups, client: Client) -> None:
    while True:
        await trio.sleep(SETUP_INTERVAL_S)
        setups.count += 1
        id_ = f"{setups.count:016x}"
        try:
            await client.stream.send_all(encode_setup(id_))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        setups.sent[id_] = trio.current_time(), client


def slow_down(harness: PlatformHarness) -> None:
    """Delays each turn, as on a host with many busy processes."""
    assert isinstance(harness.runtime, MemoryRuntime)
    checkpoint = harness.runtime.checkpoint

    async def slow_checkpoint() -> None:
        await trio.sleep(TURN_S)
        await checkpoint()

    harness.runtime.checkpoint = slow_checkpoint  # type: ignore[method-assign]


@pytest.mark.parametrize("has_open_dialog", [False, True])
async def test_shutdown_on_a_busy_host_loses_no_set_up_of_persistent_callers(
    autojump_clock: MockClock, has_open_dialog: bool
) -> None:
    """Guards against SIGKILL ending a process that still has unanswered set-ups.

    That happened beside 24 busy processes. Callers that kept sending set-ups on open connections prevented
    the process from ever being quiet, so it ran until `stop_within` plus FINAL_READ_LIMIT had passed, 50 ms
    before SIGKILL, while a single turn took longer than that.
    """
    async with running_platform_edge("s0") as harness:
        clients = [await harness.client() for _ in range(CALLERS)]
        for number, client in enumerate(clients):
            await client.send_setup(f"{number + 1:x}" * 16)
        await harness.wait_until(lambda: all(client.received for client in clients))
        setups = SentSetups()
        if has_open_dialog:
            harness.servers["s0"].answers_setups = False
            await clients[0].send_setup("f" * 16, time_left_ms=9_000)
        slow_down(harness)
        signalled_at = trio.current_time()
        for client in clients:
            harness.nursery.start_soon(send_setups_until_closed, setups, client)
        await trio.sleep(platform.ACCEPT_PERIOD / 1e9)
        harness.edge.stop()
        killed_at = signalled_at + KILL_AFTER_S
        with trio.move_on_at(killed_at):
            await harness.edge.ended.wait()
        ended_at = trio.current_time()
        assert setups.unanswered_after(signalled_at + platform.KILL_DELAY / 1e9, ended_at) == []
        assert killed_at - ended_at >= platform.EXIT_MARGIN / 1e9 / 2

"""The guard reports a regression after a change, once, and the edge proxy rolls back."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from tests.attempt_files import ini
from tests.edge_harness import INI, dial, rigged, terms
from valverouter.attempts.change_guard import ChangeGuard, Regression
from valverouter.signalling import setup

MS, SECOND = 10**6, 10**9


def fed(
    guard: ChangeGuard, now: int, dialogs: int, declined: float, legs: int = 1, kind: str = "plain"
) -> list[Regression]:
    found = []
    for at in range(dialogs):
        down = int((at + 1) * declined) > int(at * declined)
        if (harm := guard.on_final_answer(now + at * 50 * MS, kind, down, legs)) is not None:
            found.append(harm)
    return found


@pytest.mark.parametrize(
    ("before", "after", "told"),
    [
        ((200, 0.02), (100, 0.5), ["declined"]),
        ((200, 0.02), (100, 0.05), []),
        ((200, 0.4), (100, 0.5), []),
        ((200, 0.4), (19, 1.0), []),
        ((0, 0.0), (100, 0.05), []),
    ],
)
def test_a_significant_rise_over_the_baseline_is_reported_once(
    before: tuple[int, float], after: tuple[int, float], told: list[str]
) -> None:
    guard = ChangeGuard()
    assert fed(guard, SECOND, *before) == []
    guard.on_change(20 * SECOND)
    assert [harm.metric for harm in fed(guard, 20 * SECOND, *after)] == told


def test_retries_are_compared_too_and_traffic_types_separately() -> None:
    guard = ChangeGuard()
    fed(guard, SECOND, 100, 0.0)
    fed(guard, SECOND, 100, 0.0, kind="other")
    guard.on_change(20 * SECOND)
    assert [harm.metric for harm in fed(guard, 20 * SECOND, 40, 0.0, legs=2)] == ["retried"]
    assert fed(guard, 20 * SECOND, 40, 0.0, kind="other") == []


async def test_a_harmful_configuration_is_reported_and_rolled_back_once(autojump_clock: MockClock) -> None:
    # One leg of a millisecond passes every check, and no server answers so fast.
    harmful = ini("[attempts a]\nlegs = 1\nleg_time_out = 1ms")
    with capture_logs() as logged:
        async with rigged(2, INI.replace("name = e0", "name = e0\nreturns = yes")) as rig:
            caller, served = await rig.caller(), 0

            async def answers(link: Any) -> None:
                while True:
                    asked = await link.next(setup.Setup, within=1_000)
                    await trio.sleep(0.01)
                    if (asked.dialog, asked.leg) in link.session.legs:
                        await link.send(setup.Established(asked.dialog, asked.leg))

            for server in rig.servers.values():
                rig.nursery.start_soon(answers, server.link)
            for at in range(200):
                if at == 60:
                    rig.edge.reload(msgspec.structs.replace(terms(harmful), returns=True))
                await caller.send(dial(f"d{at}", first=at % 2))
                await trio.sleep(0.1)
            served = len(caller.all(setup.Established))
            assert rig.edge.generation == 3
            assert not rig.edge.config.attempts
    assert served > 120
    assert [e["event"] for e in logged].count("configuration-harmful") == 1

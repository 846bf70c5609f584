"""The change guard reports a regression after a change once, and the edge proxy rolls the change back."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from tests.attempt_files import ini
from tests.edge_harness import INI, dial, parse_config, running_edge
from valverouter.attempts.change_guard import ChangeGuard, Regression
from valverouter.signalling import setup

MS, SECOND = 10**6, 10**9


def feed(
    guard: ChangeGuard,
    now: int,
    dialogs: int,
    rejected_fraction: float,
    attempts: int = 1,
    traffic_type: str = "plain",
) -> list[Regression]:
    found = []
    for at in range(dialogs):
        rejected = int((at + 1) * rejected_fraction) > int(at * rejected_fraction)
        if (
            regression := guard.on_final_answer(now + at * 50 * MS, traffic_type, rejected, attempts)
        ) is not None:
            found.append(regression)
    return found


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ((200, 0.02), (100, 0.5), ["declined"]),
        ((200, 0.02), (100, 0.05), []),
        ((200, 0.4), (100, 0.5), []),
        ((200, 0.4), (19, 1.0), []),
        ((0, 0.0), (100, 0.05), []),
    ],
)
def test_a_significant_rise_over_the_baseline_is_reported_once(
    before: tuple[int, float], after: tuple[int, float], expected: list[str]
) -> None:
    guard = ChangeGuard()
    assert feed(guard, SECOND, *before) == []
    guard.on_change(20 * SECOND)
    assert [regression.metric for regression in feed(guard, 20 * SECOND, *after)] == expected


def test_retries_are_compared_too_and_traffic_types_separately() -> None:
    guard = ChangeGuard()
    feed(guard, SECOND, 100, 0.0)
    feed(guard, SECOND, 100, 0.0, traffic_type="other")
    guard.on_change(20 * SECOND)
    assert [regression.metric for regression in feed(guard, 20 * SECOND, 40, 0.0, attempts=2)] == ["retried"]
    assert feed(guard, 20 * SECOND, 40, 0.0, traffic_type="other") == []


async def test_a_harmful_configuration_is_reported_and_rolled_back_once(autojump_clock: MockClock) -> None:
    # A single attempt with a timeout of 1 ms passes validation, but no server answers that fast.
    harmful = ini("[attempts a]\nlegs = 1\nleg_time_out = 1ms")
    with capture_logs() as logged:
        async with running_edge(2, INI.replace("name = e0", "name = e0\nreturns = yes")) as rig:
            caller, served = await rig.caller(), 0

            async def answer_setups(link: Any) -> None:
                while True:
                    request = await link.next(setup.Setup, within=1_000)
                    await trio.sleep(0.01)
                    if (request.dialog, request.leg) in link.session.legs:
                        await link.send(setup.Established(request.dialog, request.leg))

            for server in rig.servers.values():
                rig.nursery.start_soon(answer_setups, server.link)
            for at in range(200):
                if at == 60:
                    rig.edge.reload(msgspec.structs.replace(parse_config(harmful), returns=True))
                await caller.send(dial(f"d{at}", first=at % 2))
                await trio.sleep(0.1)
            served = len(caller.all(setup.Established))
            assert rig.edge.generation == 3
            assert not rig.edge.config.attempts
    assert served > 120
    assert [e["event"] for e in logged].count("configuration-harmful") == 1

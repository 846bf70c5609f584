"""A reload changes the attempt policies of new dialogs and not those of open ones."""

from __future__ import annotations

from typing import Any

import msgspec
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from tests.attempt_files import ini
from tests.edge_harness import dial, parse_config, running_edge
from valverouter.config.ini import END_MARKER
from valverouter.signalling import setup

MS, SECOND = 10**6, 10**9


async def reject_first_attempts(link: Any, retry_after: int) -> None:
    while True:
        request = await link.next(setup.Setup, within=1_000)
        key = (request.dialog, request.leg)
        if key in link.session.legs:
            await link.send(setup.Established(*key) if request.leg else setup.Full(*key, retry_after))


SERVERS = 300


async def run_surge(
    changes: dict[int, str], dialogs: int = 300
) -> tuple[list[tuple[float, str, int]], list[Any], int]:
    """Starts dialogs at 200/s whose first attempts are answered Full with a retry-after of 1 s.

    `changes`: sections to reload, by ms since the start. Returns the attempts with their times, the final
    answers, and the last configuration generation.
    """
    async with running_edge(SERVERS, ini("[attempts a]\nlegs = 3")) as rig:
        caller = await rig.caller()
        for server in rig.servers.values():
            rig.nursery.start_soon(reject_first_attempts, server.link, SECOND)

        async def reload_repeatedly() -> None:
            for at, sections in changes.items():
                await trio.sleep_until(began + at / 1000)
                rig.edge.reload(parse_config(ini(sections)))

        began = trio.current_time()
        rig.nursery.start_soon(reload_repeatedly)
        for at in range(dialogs):
            await trio.sleep_until(began + at / 200)
            await caller.send(dial(f"d{at}", first=at % SERVERS))
        await trio.sleep(10)
        attempts = [
            (when, m.dialog, m.leg)
            for server in rig.servers.values()
            for when, m in server.link.received
            if isinstance(m, setup.Setup)
        ]
        return (
            sorted(attempts),
            [m for _, m in caller.received if isinstance(m, FINAL_ANSWERS)],
            rig.edge.generation,
        )


FINAL_ANSWERS = setup.Established | setup.Rejected | setup.Failed


async def test_reloads_in_a_surge_lose_no_dialog_and_start_no_retry_early(autojump_clock: MockClock) -> None:
    # Two reloads within a second while retries wait. Dialogs that started before keep their attempts and the
    # times of their retries.
    before, answers, _ = await run_surge({})
    after, answers_after, generation = await run_surge(
        {900: "[attempts a]\nlegs = 2", 1300: "[attempts a]\nlegs = 1"}
    )
    assert generation == 3
    for received in (answers, answers_after):
        assert sorted(answer.dialog for answer in received) == sorted(f"d{at}" for at in range(300))
    retries = [at for at, _, leg in before if leg]
    assert len(retries) > 50, "there are retries to compare"
    before_reloads = {f"d{at}" for at in range(int(0.85 * 200))}
    assert {d for _, d, leg in after if leg and d in before_reloads}
    assert max(leg for _, d, leg in after if d not in before_reloads and int(d[1:]) > 1.35 * 200) == 0
    max_in_50_ms = max(sum(at <= other < at + 0.05 for other in retries) for at in retries)
    retries_after = [at for at, _, leg in after if leg]
    assert (
        max(sum(at <= other < at + 0.05 for other in retries_after) for at in retries_after) <= max_in_50_ms
    )


async def test_removed_sections_and_moved_prefixes_do_not_affect_open_dialogs(
    autojump_clock: MockClock,
) -> None:
    old = "[attempts a]\ntype = plain\nprefix = 21\nleg_time_out = 700ms\n[attempts b]\nleg_time_out = 2s"
    new = "[attempts b]\nprefix = 21\nleg_time_out = 1400ms"
    async with running_edge(2, ini(old)) as rig:
        caller = await rig.caller()
        link = rig.servers["s0"].link
        for name, number in (("moves", 211), ("gone", 3)):
            await caller.send(msgspec.structs.replace(dial(name), called_number=number))
        await trio.sleep(0.3)
        rig.edge.reload(parse_config(ini(new)))
        await trio.sleep(0.1)
        await caller.send(msgspec.structs.replace(dial("after"), called_number=211))
        await trio.sleep(4)
        sent_at = {m.dialog: at for at, m in link.received if isinstance(m, setup.Setup) and not m.leg}
        cancelled_at = {m.dialog: at for at, m in link.received if isinstance(m, setup.Cancel) and not m.leg}
        durations = {name: round(cancelled_at[name] - sent_at[name], 2) for name in cancelled_at}
        assert durations == {"moves": 0.7, "gone": 2.0, "after": 1.4}


async def test_truncated_file_is_rejected_after_one_with_an_end_marker(autojump_clock: MockClock) -> None:
    full_file = ini("[attempts a]\nlegs = 2", "[attempts b]\nprefix = 2\nlegs = 1", END_MARKER)
    with capture_logs() as logged:
        async with running_edge(1, full_file) as rig:
            rig.edge.reload(parse_config(full_file[: full_file.index("[attempts b]")]))  # valid by itself
            await trio.sleep(0.1)
            assert rig.edge.generation == 1
            assert len(rig.edge.config.attempts.sections) == 2
            rig.edge.reload(parse_config(full_file.replace("legs = 2", "legs = 3")))
            await trio.sleep(0.1)
            assert rig.edge.generation == 2
    (rejected,) = [e for e in logged if e["event"] == "configuration-rejected"]
    assert "cut off" in rejected["why"]

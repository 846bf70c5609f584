"""A reload changes the attempt policies of new dialogs, and of no open one."""

from __future__ import annotations

from typing import Any

import msgspec
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from tests.attempt_files import ini
from tests.edge_harness import dial, rigged, terms
from valverouter.config.ini import END_MARKER
from valverouter.signalling import setup

MS, SECOND = 10**6, 10**9


async def failing(link: Any, asked_wait: int) -> None:
    while True:
        asked = await link.next(setup.Setup, within=1_000)
        key = (asked.dialog, asked.leg)
        if key in link.session.legs:
            await link.send(setup.Established(*key) if asked.leg else setup.Full(*key, asked_wait))


SERVERS = 300


async def surge(
    changes: dict[int, str], dialogs: int = 300
) -> tuple[list[tuple[float, str, int]], list[Any], int]:
    """Dialogs at 200/s to servers full at first legs, that ask for a second; at so many ms other sections.

    Gives the legs with their times, the final answers, and the generation at the end.
    """
    async with rigged(SERVERS, ini("[attempts a]\nlegs = 3")) as rig:
        caller = await rig.caller()
        for server in rig.servers.values():
            rig.nursery.start_soon(failing, server.link, SECOND)

        async def reloads() -> None:
            for at, sections in changes.items():
                await trio.sleep_until(began + at / 1000)
                rig.edge.reload(terms(ini(sections)))

        began = trio.current_time()
        rig.nursery.start_soon(reloads)
        for at in range(dialogs):
            await trio.sleep_until(began + at / 200)
            await caller.send(dial(f"d{at}", first=at % SERVERS))
        await trio.sleep(10)
        legs = [
            (when, m.dialog, m.leg)
            for server in rig.servers.values()
            for when, m in server.link.heard
            if isinstance(m, setup.Setup)
        ]
        return sorted(legs), [m for _, m in caller.heard if isinstance(m, FINAL)], rig.edge.generation


FINAL = setup.Established | setup.Rejected | setup.Failed


async def test_reloads_in_a_surge_lose_no_dialog_and_start_no_retry_early(autojump_clock: MockClock) -> None:
    # Twice within a second while retries wait: those who began before keep their legs and their moments.
    before, answers, _ = await surge({})
    after, answers_after, generation = await surge(
        {900: "[attempts a]\nlegs = 2", 1300: "[attempts a]\nlegs = 1"}
    )
    assert generation == 3
    for got in (answers, answers_after):
        assert sorted(answer.dialog for answer in got) == sorted(f"d{at}" for at in range(300))
    waits = [at for at, _, leg in before if leg]
    assert len(waits) > 50, "retries were waiting"
    early = {f"d{at}" for at in range(int(0.85 * 200))}
    assert {d for _, d, leg in after if leg and d in early}
    assert max(leg for _, d, leg in after if d not in early and int(d[1:]) > 1.35 * 200) == 0
    most = max(sum(at <= other < at + 0.05 for other in waits) for at in waits)
    waits_after = [at for at, _, leg in after if leg]
    assert max(sum(at <= other < at + 0.05 for other in waits_after) for at in waits_after) <= most


async def test_removed_sections_and_moved_prefixes_do_not_affect_open_dialogs(
    autojump_clock: MockClock,
) -> None:
    old = "[attempts a]\ntype = plain\nprefix = 21\nleg_time_out = 700ms\n[attempts b]\nleg_time_out = 2s"
    new = "[attempts b]\nprefix = 21\nleg_time_out = 1400ms"
    async with rigged(2, ini(old)) as rig:
        caller = await rig.caller()
        link = rig.servers["s0"].link
        for name, number in (("moves", 211), ("gone", 3)):
            await caller.send(msgspec.structs.replace(dial(name), called_number=number))
        await trio.sleep(0.3)
        rig.edge.reload(terms(ini(new)))
        await trio.sleep(0.1)
        await caller.send(msgspec.structs.replace(dial("after"), called_number=211))
        await trio.sleep(4)
        sent = {m.dialog: at for at, m in link.heard if isinstance(m, setup.Setup) and not m.leg}
        over = {m.dialog: at for at, m in link.heard if isinstance(m, setup.Cancel) and not m.leg}
        spans = {name: round(over[name] - sent[name], 2) for name in over}
        assert spans == {"moves": 0.7, "gone": 2.0, "after": 1.4}


async def test_a_truncated_file_is_rejected_after_one_with_an_end_marker(autojump_clock: MockClock) -> None:
    whole = ini("[attempts a]\nlegs = 2", "[attempts b]\nprefix = 2\nlegs = 1", END_MARKER)
    with capture_logs() as logged:
        async with rigged(1, whole) as rig:
            rig.edge.reload(terms(whole[: whole.index("[attempts b]")]))  # passes every check by itself
            await trio.sleep(0.1)
            assert rig.edge.generation == 1
            assert len(rig.edge.config.attempts.sections) == 2
            rig.edge.reload(terms(whole.replace("legs = 2", "legs = 3")))
            await trio.sleep(0.1)
            assert rig.edge.generation == 2
    (refused,) = [e for e in logged if e["event"] == "configuration-rejected"]
    assert "cut off" in refused["why"]

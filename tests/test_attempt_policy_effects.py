"""Attempt policies of a configuration file take effect on the wire and in scenarios."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from trio.testing import MockClock

from tests.attempt_files import ini, policies_of
from tests.edge_harness import INI, dial, parse_config, running_edge
from tests.helpers import DriverHarness
from tests.test_scenarios import valverouter
from tests.test_worst_case import POLICY
from valverouter import interface
from valverouter.attempts.matching import EffectiveSetting
from valverouter.audit.attempts import attempt_statistics
from valverouter.audit.rules import audit
from valverouter.config.scenario import load_scenario
from valverouter.interface import Outcome, RetryBudgetConfig
from valverouter.scenarios.virtual import run_virtual
from valverouter.signalling import setup

MS, SECOND = 10**6, 10**9


def test_effective_settings_are_explained_by_file_and_line() -> None:
    text = ini("[attempts a]\nlegs = 2", "[attempts b]\nprefix = 2\nlegs = 4\nleg_time_out = 700ms")
    found = policies_of(text).explain("plain", 21)
    line = text.splitlines().index("leg_time_out = 700ms") + 1
    assert found["leg_time_out"] == EffectiveSetting(700 * MS, f"rig.ini:{line} [attempts b]")
    assert found["retry_cap"].source == "default"
    assert policies_of(text).policy_for("plain", 3) == replace(POLICY, max_attempts=2, no_answer_timeout=0)
    assert policies_of(ini("[attempts a]\nprefix = 9\nlegs = 2")).policy_for("plain", 3) is None


async def test_attempts_and_timeouts_on_the_wire_match_the_file(autojump_clock: MockClock) -> None:
    text = ini("[attempts a]\nprefix = 2\nlegs = 2\nleg_time_out = 700ms\nrelease_wait = 400ms")
    async with running_edge(3, text) as rig:
        caller = await rig.caller()
        await caller.send(msgspec.structs.replace(dial("d1"), called_number=21))
        first = rig.servers["s0"].link
        await first.next(setup.Setup)
        await first.next(setup.Cancel)
        assert first.at(setup.Cancel) - first.at(setup.Setup) == pytest.approx(0.7, abs=0.005)
        await trio.sleep(2)
        setups = [
            (at, m) for s in rig.servers.values() for at, m in s.link.received if isinstance(m, setup.Setup)
        ]
        assert [m.leg for _, m in sorted(setups, key=lambda one: one[0])] == [0, 1]
        assert setups[1][0] - first.at(setup.Cancel) >= 0.4 - 1e-9
        assert len(caller.all(setup.Rejected)) == 1, "answered at once after the last attempt"


async def test_open_dialogs_keep_the_attempt_policy_they_started_with(autojump_clock: MockClock) -> None:
    async with running_edge(2, ini("[attempts a]\nleg_time_out = 700ms")) as rig:
        caller = await rig.caller()
        await caller.send(dial("old"))
        await rig.servers["s0"].link.next(setup.Setup)
        rig.edge.reload(parse_config(ini("[attempts a]\nleg_time_out = 1400ms")))
        await trio.sleep(0.05)
        await caller.send(dial("new", first=1))
        one, two = rig.servers["s0"].link, rig.servers["s1"].link
        assert (await one.next(setup.Cancel)).dialog == "old"
        assert one.at(setup.Cancel) - one.at(setup.Setup) == pytest.approx(0.7, abs=0.005)
        while (await two.next(setup.Cancel)).dialog != "new":
            pass
        sent_at = next(at for at, m in two.received if isinstance(m, setup.Setup) and m.dialog == "new")
        cancelled_at = next(at for at, m in two.received if isinstance(m, setup.Cancel) and m.dialog == "new")
        assert cancelled_at - sent_at == pytest.approx(1.4, abs=0.005)
        rig.edge.reload(msgspec.structs.replace(parse_config(INI), attempts=ambiguous_sections()))
        await trio.sleep(0.05)
        assert rig.edge.context.attempt_policies is not None, (
            "the old file stays in effect after a rejected one"
        )


def ambiguous_sections() -> Any:
    return parse_config(ini("[attempts a]\nlegs = 2", "[attempts b]\nlegs = 3")).attempts


def test_terms_commands_explain_compare_and_check_files(tmp_path: Path) -> None:
    (tmp_path / "old.ini").write_text(
        ini("[attempts a]\nlegs = 2").replace("edge:1", "h:1").replace("list:1", "h:2")
    )
    text = (tmp_path / "old.ini").read_text()
    (tmp_path / "new.ini").write_text(
        text.replace("legs = 2", "legs = 4") + "\n[traffic late]\nobjective = 1s\n"
    )
    (tmp_path / "bad.ini").write_text(text.replace("legs = 2", "legs = 2\nrelease_wait = 1ms"))
    old, new, bad = (str(tmp_path / f"{name}.ini") for name in ("old", "new", "bad"))
    explained = valverouter("terms", "explain", old, "--class", "plain")
    assert "legs" in explained.stdout
    assert "[attempts a]" in explained.stdout
    shown = valverouter("terms", "courses", old)
    assert "plain: answered at 8950ms, 6 legs" in shown.stdout
    assert "attempt 2" in shown.stdout
    diff = valverouter("terms", "diff", old, new)
    assert diff.returncode == 1
    assert "plain, 0: legs 2 to 4" in diff.stdout
    assert "late: new" in diff.stdout
    assert valverouter("terms", "diff", old, old).returncode == 0
    refused = valverouter("check", bad)
    assert refused.returncode == 2
    assert "a retry 1000000 ns after" in refused.stderr


async def test_objective_no_answer_time_and_retry_after_match_the_file(autojump_clock: MockClock) -> None:
    sections = (
        "[trunk-group gw]\npeers = gw-*\n[attempts a]\ntrunk_group = gw\nno_answer = 2s\ncome_back = 1s"
    )
    async with running_edge(1, ini(sections)) as rig:
        for name in ("gw-1", "other"):
            caller = await rig.caller(name)
            await trio.sleep(6)  # until the earlier failures of the only server have lost their effect
            began = trio.current_time()
            await caller.send(dial(f"to {name}", no_answer=4 * SECOND))
            answer = await caller.next(setup.Rejected | setup.Failed)
            took = trio.current_time() - began
            assert took == pytest.approx({"gw-1": 2.0, "other": 3.95}[name], abs=0.01), answer
        for _ in range(20):  # the only server is avoided now: rejected at once
            await caller.send(dial(f"again {_}"))
        await trio.sleep(0.01)
        assert all(m.retry_after <= 0.19 * SECOND for m in caller.all(setup.Rejected))


def test_retry_budgets_change_by_server_and_keep_their_fill_level() -> None:
    harness = DriverHarness(servers=2)
    budget = harness.policy.table.servers["s0"].budget
    budget.on_failure()
    harness.driver.set_retry_budgets({0: RetryBudgetConfig(5_000, 200)}, RetryBudgetConfig(10_000, 100))
    assert (budget.tokens, budget.config.token_ratio) == (4_500, 200), "the fill level is kept"
    assert harness.policy.table.servers["s1"].budget.tokens == 10_000
    budget.on_failure()
    budget.on_failure()
    assert budget.tokens == 2_500, "exactly half is not more than half"
    assert not budget.allows_retry, "exactly half is not more than half"
    budget.on_success()
    assert budget.tokens == 2_700
    assert budget.allows_retry
    harness.driver.set_retry_budgets({0: RetryBudgetConfig(5_000, 200)}, RetryBudgetConfig(10_000, 100))
    assert budget.tokens == 2_700, "setting the same budget again changes nothing"
    harness.update_endpoints([interface.Endpoint("s0b", 0, True, started_at=harness.now)])
    assert harness.policy.table.servers["s0b"].budget.tokens == 5_000, (
        "a newly started server begins with a full budget of its own configuration"
    )


def test_no_attempt_starts_at_the_no_answer_time_after_no_free_agent() -> None:
    harness = DriverHarness(servers=2)
    dialog = harness.dialog(0, no_answer=SECOND)
    assert harness.describe_commands() == "s0"
    harness.advance(SECOND)
    harness.result(dialog, "s0", Outcome.NO_AGENT)
    assert harness.describe_commands() == "fail"


def test_scenario_attempts_timeouts_and_gaps_match_the_file_by_type() -> None:
    path = Path(__file__).parent.parent / "deploy" / "days" / "attempts.ini"
    rows = run_virtual(load_scenario(path))
    assert audit(rows).passed
    booking, reschedule = attempt_statistics(rows)["booking"], attempt_statistics(rows)["reschedule"]
    assert booking.max_attempts == 2
    assert booking.cancelled_after is not None
    assert booking.min_retry_gap is not None
    assert 600 * MS <= booking.cancelled_after[0] <= booking.cancelled_after[1] <= 701 * MS
    assert 450 * MS <= booking.min_retry_gap < 1000 * MS
    assert reschedule.cancelled_after is not None
    assert reschedule.cancelled_after[1] == pytest.approx(2 * SECOND, abs=MS)

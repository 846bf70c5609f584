"""Attempt policies of a file: which are rejected and why, and that the accepted ones keep the rules."""

from __future__ import annotations

import functools
import random
from dataclasses import replace
from pathlib import Path

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import MockClock

from tests.edge_harness import INI, MS, SECOND, parse_config
from tests.helpers import DriverHarness
from tests.test_scenarios import valverouter
from valverouter.attempts.worst_case import policy_problems, timelines
from valverouter.config.edge import load_when_stable
from valverouter.config.grammar import matches_peer
from valverouter.config.ini import END_MARKER, ConfigProblem, InvalidConfigError
from valverouter.config.reader import lazy_reader
from valverouter.edge.attempt_policies import AttemptPolicies
from valverouter.interface import (
    AttemptPolicy,
    Dialog,
    DialogAction,
    Outcome,
    Reject,
    RetryBudgetConfig,
    StartAttempt,
    Timer,
)
from valverouter.policy import tuning
from valverouter.policy.tuning import MAX_ATTEMPTS

SETS = "[server-set near]\nservers = 0, 1\n[server-set far]\nservers = 2-4\n[trunk-group gw]\npeers = gw-*\n"


def policies_of(text: str) -> AttemptPolicies:
    return AttemptPolicies(parse_config(f"{INI}\n{text}"))


def policies_or_problems(text: str) -> tuple[AttemptPolicies | None, list[ConfigProblem]]:
    """Returns the policies in a file, or None and the file's problems."""
    try:
        return policies_of(text), []
    except InvalidConfigError as error:
        return None, error.problems


# Invalid files, each with a part of its problem's message. Keys without a header form one [attempts] section.
INVALID_FILES = [
    ("legs = 7", "<= 6"),
    ("legs = 0", ">= 1"),
    ("legs = -1", ">= 1"),
    ("legs = two", "int"),
    ("legs = 2.5", "int"),
    ("legs =", "int"),
    ("legs = 3\nlegs_in_all = 2", "must be from legs, 3, to 6"),
    ("legs_in_all = 7", "<= 6"),
    ("legs = 2\nlegs = 3", "given twice"),
    ("legz = 2", "did you mean legs?"),
    ("leg_timeout = 2s", "did you mean leg_time_out?"),
    ("retrybase = 2s", "did you mean retry_base?"),
    ("colour = red", "known keys: type, prefix"),
    ("legs = 2\ntype = fancy", "no [traffic fancy]"),
    ("legs = 2\ntrunk_group = gw", "no [trunk-group gw]"),
    ("legs = 2\nserver_set = near", "no [server-set near]"),
    ("prefix = 2", "sets nothing"),
    ("jitter = full", "sets nothing"),
    ("legs = 2\nprefix = 2x", "not a list of prefixes"),
    ("legs = 2\nprefix = 2*", "not a list of prefixes"),
    ("legs = 2\nprefix =", "not a list of prefixes"),
    ("legs = 2\nprefix = 2,,3", "not a list of prefixes"),
    ("legs = 2\nprefix = 30-4", "different lengths"),
    ("legs = 2\nprefix = 34-30", "ends before it starts"),
    ("legs = 2\nprefix = 10000-99999", "90000 entries"),
    ("legs = 2\nprefix = 2, 30-34, 32", "given twice"),
    ("legs = 2\nprefix = 0888", "matches nothing"),
    ("leg_time_out = 0", ">= 1"),
    ("leg_time_out = 0ms", ">= 1"),
    ("leg_time_out = 3 parsecs", "unknown unit 'parsecs'"),
    ("leg_time_out = 3000", "not a duration"),
    ("leg_time_out = -3s", "not a duration"),
    ("leg_time_out = 1.5ns", "not a whole number"),
    ("leg_time_out = 1s 500ms", "not a duration"),
    ("leg_time_out = 3S", "unknown unit 'S'"),
    ("leg_time_out = 3s\nno_answer = 3s", "never takes effect"),
    ("leg_time_out = 4s\nno_answer = 3s\nobjective = 1s", "never takes effect"),
    ("leg_time_out = 2700ms\nno_answer = 3s", "leaves no time for a retry: at 0 ns attempt 1"),
    ("server_share = 1\nobjective = 2s\nno_answer = 2300ms", "leaves no time for a retry"),
    ("server_share = 0", "> 0"),
    ("server_share = 1.1", "<= 1"),
    ("server_share = 110%", "<= 1"),
    ("server_share = 1/0", "divides by zero"),
    ("server_share = half", "not a fraction"),
    ("release_wait = 299999999ns", "a retry 299999999 ns after a timeout; must be 300000000 ns or more"),
    ("release_wait = 0", "a retry 0 ns after"),
    ("retry_base = 3s", "above retry_cap"),
    ("retry_base = 0", ">= 1"),
    ("retry_cap = 100ms", "above retry_cap"),
    ("objective = 9s\nno_answer = 8s", "exceeds the no-answer timeout"),
    ("no_answer = 1s", "exceeds the no-answer timeout"),
    ("no_answer = 0", ">= 1"),
    ("no_answer = 50ms\nobjective = 10ms", "within answer_margin"),
    ("come_back = 0", ">= 1"),
    ("come_back = 2000000001ns", "past the fleet's come_back_limit"),
    ("tokens = 11", "<= 10"),
    ("tokens = 2", "> 2"),
    ("tokens = 0", "> 2"),
    ("fraction = 0.5", "< 0.5"),
    ("fraction = 50%", "< 0.5"),
    ("fraction = 0", "> 0"),
    ("tokens = 8\ntype = plain", "is a property of a server"),
    ("fraction = 0.2\nprefix = 2", "is a property of a server"),
    ("legs = 2\njitter = equal", "only full is accepted"),
    ("legs = 2\nthreshold = 0.4", "only half is accepted"),
    ("legs = 2\nfirst_attempts = held", "only free is accepted"),
    ("[attempts a]\nlegs = 2\n[attempts b]\nlegs = 3", "ties with [attempts a]"),
    ("[attempts a]\nlegs = 2\n[attempts a]\nlegs = 3", "given twice"),
    ("[attempts a]\ntype = plain\nlegs = 2\n[attempts b]\nprefix = 2\nlegs = 3", "ties with"),
    ("[attempts a]\nprefix = 29\nlegs = 2\n[attempts b]\nprefix = 28-30\nlegs = 3", "ties with"),
    ("[attempts a]\nserver_set = near\nlegs = 2\n[attempts b]\ntrunk_group = gw\nlegs = 3\n" + SETS, "ties"),
    ("[attempts a]\ntokens = 8\n[attempts b]\ntokens = 9", "ties with"),
    ("[attempts a]\nretry_base = 1500ms\n[attempts b]\nprefix = 2\nretry_cap = 1s", "above retry_cap"),
    (
        "[attempts a]\ntype = plain\nobjective = 4s\n[attempts b]\nprefix = 2\nserver_share = 95%\n"
        "[attempts c]\ntrunk_group = gw\nno_answer = 4s\nlegs = 2\n" + SETS,
        "leaves no time for a retry",
    ),
    ("[server-set a]\nservers = 1, 3\n[server-set b]\nservers = 2-4", "3 is in [server-set a] already"),
    ("[server-set a]\nservers = x", "not a list of server numbers"),
    ("[server-set a]\nservers = 5-3", "ends before it starts"),
    ("[trunk-group a]\npeers = a\n[trunk-group b]\npeers = a", "a is in [trunk-group a] already"),
    ("[trunk-group a]\npeers = a b", "not a list of peers"),
    ("[trunk-group a]\npeers = *x", "not a list of peers"),
    ("[trunk-group a]", "missing, and it has no default"),
    ("[attempt a]\nlegs = 2", "unknown section"),
    ("[attempts a\nlegs = 2", "neither [section]"),
]

VALID_FILES = [
    ("legs = 1", {"legs": 1}),
    ("legs = 6", {"legs": 6}),
    ("legs = 2\nlegs_in_all = 2", {"legs_in_all": 2}),
    ("leg_time_out = 1.5 s", {"leg_time_out": 1500 * MS}),
    ("leg_time_out = 2699999999ns\nno_answer = 3s", {"leg_time_out": 2_699_999_999}),
    ("leg_time_out = 2700ms\nno_answer = 3s\nlegs = 1", {"leg_time_out": 2700 * MS}),
    ("release_wait = 300ms", {"release_wait": 300 * MS}),
    ("release_wait = 300000001ns", {"release_wait": 300_000_001}),
    ("retry_base = 2s", {"retry_base": 2 * SECOND}),
    ("retry_base = 3s\nretry_cap = 3s", {"retry_cap": 3 * SECOND}),
    ("objective = 8s\nno_answer = 8s", {"objective": 8 * SECOND, "no_answer": 8 * SECOND}),
    ("server_share = 1/2\nobjective = 3s", {"leg_time_out": 1500 * MS}),
    ("server_share = 50%\nleg_time_out = 100ms", {"leg_time_out": 100 * MS}),
    ("come_back = 2s", {"come_back": 2 * SECOND}),
    ("tokens = 10", {"tokens": 10}),
    ("tokens = 2.001\nfraction = 0.499", {"tokens": 2.001, "fraction": 0.499}),
    ("fraction = 1/10\njitter = full\nthreshold = half\nfirst_attempts = free", {"fraction": 0.1}),
    ("legs = 2\nprefix = 1, 20-21", {"legs": 2}),
    ("legs = 2\nprefix = 22", {"legs": MAX_ATTEMPTS}),
    ("legs = 2\ntype = plain\nregion = ", {"legs": 2}),
    ("legs = 2\nregion = elsewhere", {"legs": MAX_ATTEMPTS}),
    ("[attempts a]\nlegs = 2\n[attempts b]\nprefix = 2\nlegs = 4", {"legs": 4}),
    (
        "[attempts a]\ntype = plain\nlegs = 2\n[attempts b]\nprefix = 2\nlegs = 3\n"
        "[attempts c]\ntype = plain\nprefix = 2\nlegs = 5",
        {"legs": 5},
    ),
    ("[attempts a]\ntrunk_group = gw\nlegs = 5\n" + SETS, {"legs": 5}),
    ("[attempts a]\nserver_set = near\nlegs = 5\n" + SETS, {"legs": 5}),
    ("[attempts a]\nserver_set = far\nlegs = 5\n" + SETS, {"legs": MAX_ATTEMPTS}),
    ("[attempts a]\ntokens = 4\n[attempts b]\nserver_set = near\ntokens = 6\n" + SETS, {"tokens": 6}),
]


def with_section_header(text: str) -> str:
    return text if text.startswith("[") else f"[attempts a]\n{text}"


@pytest.mark.parametrize(("text", "message"), INVALID_FILES)
def test_invalid_file_is_rejected_as_a_whole_with_line_and_reason(text: str, message: str) -> None:
    with pytest.raises(InvalidConfigError) as caught:
        policies_of(with_section_header(text))
    assert any(message in str(problem) for problem in caught.value.problems), str(caught.value)
    assert all(problem.line > len(INI.splitlines()) for problem in caught.value.problems)


@pytest.mark.parametrize(("text", "effective"), VALID_FILES)
def test_a_valid_file_gives_the_stated_policy(text: str, effective: dict[str, float]) -> None:
    found = policies_of(with_section_header(text)).explain("plain", 21, "gw-7", 1)
    assert {key: found[key].value for key in effective} == effective


def test_there_are_enough_invalid_and_valid_files() -> None:
    assert len(INVALID_FILES) >= 60
    assert len(VALID_FILES) >= 20


def test_retry_budgets_by_server_set_and_for_other_servers() -> None:
    found = policies_of(
        "[attempts a]\ntokens = 4\n[attempts b]\nserver_set = near\ntokens = 6\nfraction = 0.2\n" + SETS
    )
    assert found.retry_budgets() == {
        0: RetryBudgetConfig(6_000, 200),
        1: RetryBudgetConfig(6_000, 200),
        **{number: RetryBudgetConfig(4_000, 100) for number in (2, 3, 4)},
    }
    assert found.default_retry_budget() == RetryBudgetConfig(4_000, 100)
    assert policies_of("[attempts a]\nlegs = 2").retry_budgets() == {}


@pytest.mark.parametrize(
    ("kind", "text", "expected"),
    [
        ("span", "0", 0),
        ("span", "2 min", 120 * SECOND),
        ("rate", "40/s", 40.0),
        ("rate", "2400/min", 40.0),
        ("rate", "40", 40.0),
        ("share", "25%", 0.25),
        ("prefixes", "08-11, 5", ("08", "09", "10", "11", "5")),
        ("numbers", "0, 3-5", (0, 3, 4, 5)),
        ("peers", "gw-*, c.1", ("gw-*", "c.1")),
    ],
)
def test_value_grammar(kind: str, text: str, expected: object) -> None:
    assert lazy_reader(kind)(text) == expected


def test_peers_match_by_name_or_by_prefix() -> None:
    assert matches_peer("gw-*", "gw-7")
    assert matches_peer("*", "x")
    assert matches_peer("c", "c")
    assert not matches_peer("c", "c1")
    assert not matches_peer("gw-*", "g")
    groups = "[trunk-group any]\npeers = *\n[trunk-group one]\npeers = gw-1*\n[attempts a]\nlegs = 2\n"
    found = policies_of(groups + "[attempts b]\ntrunk_group = one\nlegs = 5")
    assert found.attributes_of("plain", 1, "gw-12").trunk_group == "one", "the longest matching pattern wins"
    assert found.explain("plain", 1, "gw-12")["legs"].value == 5
    assert found.explain("plain", 1, "gw-2")["legs"].value == 2


# Fuzzed files, and random dialogs of the Driver under the files that are accepted

PIECES = [
    "legs = 1", "legs = 3", "legs_in_all = 5", "legs = 6", "leg_time_out = 200ms",
    "leg_time_out = 3s", "server_share = 10%",
    "server_share = 1", "objective = 100ms", "objective = 4s", "no_answer = 500ms", "no_answer = 5s",
    "release_wait = 300ms", "release_wait = 900ms", "retry_base = 1ms", "retry_base = 2s", "retry_cap = 3s",
    "come_back = 1s", "tokens = 3", "fraction = 0.4", "prefix = 2", "prefix = 20-25", "type = plain",
    "server_set = near", "trunk_group = gw", "region = ", "legs = 9", "legs", "= 3", "[attempts",
]  # fmt: skip


@given(
    st.lists(st.sampled_from([*PIECES, "[attempts a]", "[attempts b]", "[attempts c]", SETS]), max_size=12)
)
def test_a_fuzzed_file_has_problems_with_lines_or_keeps_the_constraints(parts: list[str]) -> None:
    policies, problems = policies_or_problems("\n".join(parts))
    assert (policies is None) == bool(problems)
    found = policies.policy_for("plain", 21, "gw-1", 1) if policies is not None else None
    if found is not None:
        assert found.max_attempts <= 6
        assert found.release_delay >= 300 * MS
        assert (
            policy_problems(
                replace(found, no_answer_timeout=found.no_answer_timeout or 9 * SECOND), 300 * MS, 6
            )
            == []
        )


@given(st.text(max_size=60))
def test_any_text_is_parsed_or_rejected_with_problems(text: str) -> None:
    policies, problems = policies_or_problems(text)
    assert (policies is None) == bool(problems)


def random_policies(rng: random.Random, count: int) -> list[AttemptPolicies]:
    accepted: list[AttemptPolicies] = []
    while len(accepted) < count:
        sections = [
            "\n".join([f"[attempts {name}]", *rng.sample(PIECES[:-4], rng.randint(1, 5))])
            for name in "abc"[: rng.randint(1, 3)]
        ]
        try:
            accepted.append(policies_of("\n".join([*sections, SETS])))
        except InvalidConfigError:
            continue
    return accepted


FAILURES = [
    Outcome.RESET,
    Outcome.FULL,
    Outcome.TIMED_OUT,
    Outcome.FAULT,
    Outcome.UNREACHABLE,
    Outcome.NO_AGENT,
]


@pytest.mark.parametrize("seed", range(8))
def test_ten_thousand_random_dialogs_with_random_policies_break_no_rule(seed: int) -> None:
    rng = random.Random(seed)
    for at, found in enumerate(random_policies(rng, 25)):
        harness = DriverHarness(servers=5, edge_proxies=(4, 281)[at % 2])  # small and large fleets
        harness.driver.set_retry_budgets(found.retry_budgets(), found.default_retry_budget())
        for dialog in range(50):
            number, peer, first = rng.choice([7, 21]), rng.choice(["", "gw-1"]), rng.randint(-1, 4)
            no_answer = rng.choice([1, 3, 9]) * SECOND
            policy = found.policy_for("plain", number, peer, first)
            if policy is not None and policy.no_answer_timeout:
                no_answer = min(no_answer, policy.no_answer_timeout)
            run_random_dialog(harness, rng, found, f"d{dialog}", (number, peer, first), no_answer)


@functools.lru_cache
def worst_case_bounds(policy: AttemptPolicy) -> tuple[int, int]:
    all_timelines = list(timelines(policy))
    return max(timeline.answered_at for timeline in all_timelines), max(
        timeline.attempts for timeline in all_timelines
    )


def run_random_dialog(
    harness: DriverHarness,
    rng: random.Random,
    found: AttemptPolicies,
    name: str,
    route: tuple[int, str, int],
    no_answer: int,
) -> None:
    """Runs one dialog to its answer with random attempt outcomes, and asserts the rules on the commands."""
    worst_case = found.worst_case_policy("plain", route[0], no_answer, *route[1:])
    latest, most_attempts = worst_case_bounds(worst_case)
    began, attempts_started, released_at, no_agents = harness.now, 0, 0, False
    policy = found.policy_for("plain", *route)
    harness.driver.start_dialog(
        Dialog(name, "plain", began + no_answer, route[2], route[0], attempt_policy=policy)
    )
    while True:
        command = next(
            c
            for c in harness.take_commands()
            if (isinstance(c, DialogAction) and c.dialog_id == name) or is_retry(c)
        )
        if isinstance(command, Timer):
            advance(harness, command.duration)
            harness.driver.on_timer(command.timer_id)
            continue
        assert isinstance(command, DialogAction)
        if not isinstance(action := command.action, StartAttempt):
            break
        assert harness.now >= released_at, "a retry within the release delay"
        assert harness.now < action.deadline <= began + no_answer
        attempts_started += 1
        outcome, time_left = rng.choice(FAILURES), action.deadline - harness.now
        advance(harness, time_left if outcome is Outcome.TIMED_OUT else rng.randint(0, time_left))
        if outcome in (Outcome.RESET, Outcome.TIMED_OUT):
            released_at = harness.now + 300 * MS
        no_agents |= outcome is Outcome.NO_AGENT
        requested_delay = rng.randint(0, 2 * SECOND) if outcome is Outcome.FULL else 0
        harness.result(name, action.server, outcome, attempts_started - 1, retry_after=requested_delay)
    assert harness.now - began <= latest <= no_answer
    # An attempt that found no free agent does not count as failed, and the next follows at once: only the
    # total of attempts limits these.
    assert attempts_started <= (worst_case.max_total_attempts if no_agents else worst_case.max_attempts)
    assert attempts_started <= most_attempts
    if isinstance(action, Reject):
        assert action.retry_after <= 2 * SECOND


def is_retry(command: object) -> bool:
    return isinstance(command, Timer) and command.duration != tuning.HEARTBEAT_INTERVAL


def advance(harness: DriverHarness, duration: int) -> None:
    for _ in range(duration // (100 * MS)):
        harness.now += 100 * MS
        harness.driver.tick(harness.now)
    harness.now += duration % (100 * MS)
    harness.driver.tick(harness.now)


# Reading a file while it is written


async def test_file_being_written_is_read_once_it_is_stable(
    tmp_path: Path, autojump_clock: MockClock
) -> None:
    path = tmp_path / "edge.ini"
    text = INI.replace("edge:1", "h:1").replace("list:1", "h:2") + "\n[attempts a]\nlegs = 2\n"
    path.write_text(text[:-9])

    async def write_rest() -> None:
        await trio.sleep(0.05)
        path.write_text(text)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(write_rest)
        found = await load_when_stable(path)
    assert AttemptPolicies(found).explain("plain", 1)["legs"].value == 2
    assert not found.ends
    path.write_text(f"{text}{END_MARKER}\n")
    assert (await load_when_stable(path)).ends

    async def never() -> None:
        for at in range(100):
            path.write_text(text + "#" * at)
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(never)
        with pytest.raises(InvalidConfigError, match="still being written"):
            await load_when_stable(path)
        nursery.cancel_scope.cancel()


def test_terms_commands_on_files_with_server_sets(tmp_path: Path) -> None:
    text = INI.replace("edge:1", "h:1").replace("list:1", "h:2")
    good, bad, other = (tmp_path / f"{name}.ini" for name in ("good", "bad", "other"))
    good.write_text(
        f"{text}\n[attempts a]\nserver_set = near\nlegs = 2\n[attempts b]\nprefix = 29\nlegs = 1\n{SETS}"
    )
    good.write_text(good.read_text().replace("prefix = 29", "prefix = 29\nserver_set = near"))
    bad.write_text(f"{text}\n[attempts a]\nlegs = 9\n[attempts b]\nretry_base = 9s\n")
    other.write_text(good.read_text().replace("legs = 2", "legs = 4"))
    valid = valverouter("terms", "check", str(good))
    assert valid.returncode == 0
    assert "sound, 2 sections" in valid.stdout
    assert "plain: 6 legs" in valid.stdout
    refused = valverouter("terms", "check", str(good), str(bad))
    assert refused.returncode == 2
    assert "[attempts a] legs" in refused.stderr
    explained = valverouter("terms", "explain", str(good), "--class", "plain", "--first-choice", "1")
    assert "legs           2" in explained.stdout
    assert "tokens         10" in explained.stdout
    chart = valverouter("terms", "courses", str(good), "--chart", "--first-choice", "1")
    assert "█" in chart.stdout
    assert "8950ms, 6 legs" in chart.stdout
    diff = valverouter("terms", "diff", str(good), str(other))
    assert diff.returncode == 1
    assert "plain, [attempts a]: legs 2 to 4" in diff.stdout
    assert "[attempts b]: legs" not in diff.stdout, "the more specific section is unchanged"

"""Recorded calls: a file is read completely or rejected with its lines, and replayed at the same times."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from pathlib import Path

import pytest
import structlog
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from valverouter.audit.rules import audit
from valverouter.cli.__main__ import main
from valverouter.config.ini import IniFile, InvalidConfigError
from valverouter.config.recorded_calls import MAX_REPORTED_PROBLEMS, RecordedCall, read_calls, write_calls
from valverouter.config.scenario import ScenarioConfig, load_scenario, scenario_config
from valverouter.experiments.plan import Run
from valverouter.experiments.search_config import load_search
from valverouter.scenarios.emulated import run_emulated
from valverouter.scenarios.recorded_calls import recorded_calls
from valverouter.scenarios.virtual import run_virtual
from valverouter.signalling import traffic_record
from valverouter.signalling.traffic_record import MessageRow, Row

SECOND = 10**9
SCENARIO = (Path(__file__).parent.parent / "deploy" / "days" / "bad-day.ini").read_text()
SCENARIO = SCENARIO.replace("length = 30s", "length = 12s")
REPLAY = SCENARIO.replace("rate = 40\n", "record = calls.csv\n")


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


def replay(folder: Path, *changes: tuple[str, str]) -> ScenarioConfig:
    text = REPLAY
    for old, new in changes:
        assert old in text
        text = text.replace(old, new)
    return scenario_config(IniFile(text, "replay.ini", folder), "replay")


def problems_of(folder: Path, *changes: tuple[str, str]) -> list[str]:
    with pytest.raises(InvalidConfigError) as caught:
        replay(folder, *changes)
    return [str(problem).replace(f"{folder}/", "") for problem in caught.value.problems]


def first_calls(rows: list[Row]) -> list[tuple[int, str, str, int]]:
    started_at = next(row.at for row in rows if isinstance(row, traffic_record.CallersStartedRow))
    return [
        (row.at - started_at, row.edge, row.detail, row.duration)
        for row in rows
        if isinstance(row, MessageRow) and row.sent and row.kind == "setup" and row.peer[0] == "c"
        if "." not in row.dialog
    ]


# The CSV file

times_ns = st.integers(0, 10**17)
numbers = st.none() | st.integers(0, 10**18)


@given(
    st.lists(
        st.builds(
            RecordedCall,
            at=times_ns,
            traffic_type=st.text(st.characters(categories=("L", "N", "P", "S"), codec="utf-8"), min_size=1),
            edge=numbers,
            no_answer=st.none() | st.integers(1, 10**17),
            first_choice=numbers,
            number=numbers,
        ),
        min_size=1,
        max_size=8,
    )
)
def test_written_calls_are_read_back_unchanged(
    tmp_path_factory: pytest.TempPathFactory, calls: list[RecordedCall]
) -> None:
    folder = tmp_path_factory.mktemp("calls")
    assert write_calls(folder / "calls.csv", calls) == len(calls)
    ini = IniFile("[callers]\nrecord = calls.csv\n", "day.ini", folder)
    assert read_calls(ini, "callers", "record") == sorted(calls, key=lambda call: call.at)
    assert not ini.problems


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_read_or_reported_as_problems(
    tmp_path_factory: pytest.TempPathFactory, data: bytes
) -> None:
    folder = tmp_path_factory.mktemp("calls")
    (folder / "calls.csv").write_bytes(b"at,type\n" + data)
    ini = IniFile("[callers]\nrecord = calls.csv\n", "day.ini", folder)
    assert bool(read_calls(ini, "callers", "record")) or ini.problems


@pytest.mark.parametrize(
    ("text", "messages"),
    [
        ("", ["calls.csv:1: the column 'at' is missing", "calls.csv:1: the column 'type' is missing"]),
        ("at,type,dge\n", ["calls.csv:1: unknown column 'dge'; known columns: at, type, edge"]),
        ("at,type,at\n1,booking,2\n", ["calls.csv:1: the column 'at' appears twice"]),
        ("at,type\n", ["replay.ini:70: [callers] record: calls.csv: contains no calls"]),
        ("at,type\n1\n", ["calls.csv:2: 1 values under 2 columns"]),
        ("at,type\n1,booking\n\n-1,booking\n", ["calls.csv:4: at: '-1' is out of range"]),
        ("at,type\nsoon,booking\n", ["calls.csv:2: at: 'soon' is not a number of seconds"]),
        ("at,type\nNaN,booking\n", ["calls.csv:2: at: 'NaN' is out of range"]),
        ("at,type\n1e30,booking\n", ["calls.csv:2: at: '1e30' is out of range"]),
        ("at,type\n1,\n", ["calls.csv:2: type: missing"]),
        ("at,type,no_answer\n1,booking,0\n", ["calls.csv:2: no_answer: must be above 0"]),
        ("at,type,edge\n1,booking,-1\n", ["calls.csv:2: edge: '-1' is not a whole number"]),
        ("at,type,number\n1,booking,\u0663\n", ["calls.csv:2: number: '\u0663' is not a whole number"]),
        (
            "at,type\n1,fax\n",
            ["replay.ini:70: [callers] record: has calls of 'fax', but there is no [mix fax]"],
        ),
        ("at,type,edge\n1,booking,3\n", ["replay.ini:70: [callers] record: names edge proxy 3 of 3"]),
        (
            "at,type,first_choice\n1,booking,4\n",
            ["replay.ini:70: [callers] record: names first choice 4 of 4"],
        ),
    ],
)
def test_an_invalid_record_is_rejected_with_its_line(text: str, messages: list[str], tmp_path: Path) -> None:
    (tmp_path / "calls.csv").write_text(text)
    found = problems_of(tmp_path)
    assert len(found) == len(messages)
    assert all(problem.startswith(start) for problem, start in zip(found, messages, strict=True)), found


def test_the_number_of_reported_problems_is_limited(tmp_path: Path) -> None:
    (tmp_path / "calls.csv").write_text("at,type\n" + "x\n" * 10_000)
    assert len(problems_of(tmp_path)) == MAX_REPORTED_PROBLEMS


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("record = calls.csv\n", "", "rate: missing"),
        ("record = calls.csv\n", "rate = 1\ntimes = 2\n", "times: applies only to a `record`"),
        ("record = calls.csv\n", "record = calls.csv\nrate = 1\n", "rate: call times come from the `record`"),
        (
            "record = calls.csv\n",
            "record = calls.csv\ndrift = 2\n",
            "drift: call times come from the `record`",
        ),
        ("record = calls.csv\n", "record = gone.csv\n", "record: gone.csv: No such file"),
    ],
)
def test_a_record_and_a_rate_exclude_each_other(old: str, new: str, message: str, tmp_path: Path) -> None:
    write_calls(tmp_path / "calls.csv", [RecordedCall(1, "booking")])
    (found,) = problems_of(tmp_path, (old, new))
    assert f"[callers] {message}" in found


# Scenarios that replay a file


def test_replaying_an_emulated_scenario_with_its_seed_reproduces_it(tmp_path: Path) -> None:
    rows = run_emulated(scenario_config(IniFile(SCENARIO, "day"), "day")).rows
    assert write_calls(tmp_path / "calls.csv", recorded_calls(rows)) > 400
    replayed = run_emulated(replay(tmp_path)).rows
    assert replayed == rows
    assert audit(replayed).passed
    other = run_emulated(replay(tmp_path, ("seed = 7", "seed = 8"))).rows
    assert first_calls(other) == first_calls(rows), "the calls do not depend on the seed"
    assert other != rows, "everything else depends on the seed"


def test_real_edge_proxies_replay_a_record_at_its_times(tmp_path: Path) -> None:
    rows = run_emulated(scenario_config(IniFile(SCENARIO, "day"), "day")).rows
    write_calls(tmp_path / "calls.csv", recorded_calls(rows))
    replayed = run_virtual(replay(tmp_path))
    assert audit(replayed).passed
    # Sorted by time. Dialog ids, which number the calls in the order they are made, are not compared.
    expected, found = sorted(first_calls(rows)), sorted(first_calls(replayed))
    assert [call[1:] for call in found] == [call[1:] for call in expected]
    assert all(abs(a[0] - b[0]) < 1_000 for a, b in zip(found, expected, strict=True)), (
        "up to the rounding of the clock's float"
    )


def test_a_record_is_spread_over_another_fleet_from_an_offset(tmp_path: Path) -> None:
    calls = [RecordedCall(at * SECOND // 50, "booking", 9, 7 * SECOND, 8, at) for at in range(500)]
    write_calls(tmp_path / "calls.csv", calls)
    assert "names edge proxy 9 of 3" in problems_of(tmp_path)[0]
    spread = replay(tmp_path, ("calls.csv", "calls.csv\nspread = yes\nrecord_from = 4s"))
    assert spread.recorded is not None
    counts = [len(spread.recorded[place]) for place in range(3)]
    assert sum(counts) == 300
    assert min(counts) > 70
    assert min(calls[0].at for calls in spread.recorded.values()) == 0
    replayed = first_calls(run_emulated(spread).rows)
    assert len(replayed) == 300
    assert max(at for at, *_ in replayed) < 6 * SECOND + 1
    assert {span for *_, span in replayed} == {7 * SECOND}


@pytest.mark.parametrize("change", ["times = 2", "times = 0.5"])
def test_times_and_bursts_multiply_the_calls_of_a_record(change: str, tmp_path: Path) -> None:
    write_calls(
        tmp_path / "calls.csv", [RecordedCall(at * SECOND // 50, "booking", at % 3) for at in range(500)]
    )
    first_fault = REPLAY.index("[trouble ")
    text = REPLAY[:first_fault].replace("calls.csv", f"calls.csv\n{change}")
    text += "[trouble b]\nkind = burst\nstart = 5s\nlength = 5s\nsize = 2\n"
    replayed = first_calls(run_emulated(scenario_config(IniFile(text, "d", tmp_path), "d")).rows)
    before, burst = (sum((at >= 5 * SECOND) is late for at, *_ in replayed) for late in (False, True))
    times = float(change.split()[-1])
    assert before == pytest.approx(250 * times, rel=0.15)
    assert burst == pytest.approx(500 * times, rel=0.15)


def test_a_changed_record_changes_the_key_of_a_run(tmp_path: Path) -> None:
    write_calls(tmp_path / "calls.csv", [RecordedCall(1, "booking")])
    write_calls(tmp_path / "later.csv", [RecordedCall(2, "booking")])
    write_calls(tmp_path / "same.csv", [RecordedCall(1, "booking")])
    keys = []
    for name in ("calls.csv", "later.csv"):
        run = Run({}, 1, REPLAY.replace("calls.csv", name), str(tmp_path))
        assert run.load_scenario().recorded
        keys.append(run.key)
    other = tmp_path / "other"
    other.mkdir()
    write_calls(other / "calls.csv", [RecordedCall(2, "booking")])
    keys.append(Run({}, 1, REPLAY, str(other)).key)
    assert len(set(keys)) == 3, "the key depends on the file's contents, not only on its name"


def test_a_search_rejects_a_scenario_that_replays_a_record(tmp_path: Path) -> None:
    write_calls(tmp_path / "calls.csv", [RecordedCall(1, "booking")])
    (tmp_path / "day.ini").write_text(REPLAY)
    (tmp_path / "search.ini").write_text("[search]\nday = day.ini\n")
    with pytest.raises(InvalidConfigError, match="a search varies the call rate"):
        load_search(tmp_path / "search.ini")


def test_calls_extracted_from_stored_rows_are_replayed(tmp_path: Path) -> None:
    rows = run_emulated(scenario_config(IniFile(SCENARIO, "day"), "day")).rows
    traffic_record.write_rows(tmp_path / "rows.jsonl", rows)
    arguments = ["calls", str(tmp_path / "rows.jsonl"), "--out", str(tmp_path / "calls.csv")]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0
    assert f"{len(first_calls(rows))} calls" in result.output
    (tmp_path / "replay.ini").write_text(REPLAY)
    scenario = load_scenario(tmp_path / "replay.ini")
    assert scenario.recorded is not None
    assert sum(len(calls) for calls in scenario.recorded.values()) == len(first_calls(rows))

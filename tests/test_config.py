"""INI files: each problem is reported with line and reason; durations; the sample files are valid."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from valverouter.config.edge import edge_config, load_edge_config
from valverouter.config.ini import IniFile, InvalidConfigError, format_duration, parse_duration
from valverouter.config.scenario import load_scenario, scenario_config

DEPLOY = Path(__file__).parent.parent / "deploy"
GOOD = """[edge]
name = e0
listen = 127.0.0.1:7001
list_service = 127.0.0.1:7000

[fleet]
edge_proxies = 3

[traffic plain]
objective = 1500ms
"""

# Each: the text replaced in GOOD, its replacement, and the expected problems as (line, part of the message).
INVALID_FILES: list[tuple[str, str, list[tuple[int, str]]]] = [
    ("name = e0\n", "", [(1, "name: missing")]),
    ("name = e0", "name = e0\nname = e1", [(3, "name is given twice")]),
    ("[fleet]", "[edge]", [(6, "[edge] is given twice")]),
    ("[fleet]\nedge_proxies = 3\n", "", [(0, "the section is missing")]),
    ("[edge]", "name = x\n[edge]", [(1, "before the first [section]")]),
    ("name = e0", "name e0", [(2, "neither [section] nor key = value")]),
    ("edge_proxies = 3", "edge_proxies = three", [(7, "'three'")]),
    ("edge_proxies = 3", "edge_proxies = 0", [(7, ">= 1")]),
    (
        "edge_proxies = 3",
        "edge_proxis = 3",
        [(6, "edge_proxies: missing"), (7, "did you mean edge_proxies?")],
    ),
    ("edge_proxies = 3", "edge_proxies = 3\nlegs_allowed = 7", [(8, "<= 6")]),
    ("edge_proxies = 3", "edge_proxies = 3\nlist_is_pushed = maybe", [(8, "neither yes nor no")]),
    ("edge_proxies = 3", "edge_proxies = 3\nrelease_wait = -300ms", [(8, "not a duration")]),
    ("edge_proxies = 3", "edge_proxies = 3\nrelease_wait = 300", [(8, "not a duration")]),
    ("edge_proxies = 3", "edge_proxies = 3\nrelease_wait = 300mss", [(8, "unknown unit 'mss'")]),
    ("edge_proxies = 3", "edge_proxies = 3\nrelease_wait = 0.3ns", [(8, "whole number of nanoseconds")]),
    ("edge_proxies = 3", "edge_proxies = 3\ncold_share = 1.5", [(8, "<= 1")]),
    ("edge_proxies = 3", "edge_proxies = 3\ncold_share = 0", [(8, "> 0")]),
    ("name = e0", "name = e0\nplace = 3", [(3, "must be less than edge_proxies")]),
    ("listen = 127.0.0.1:7001", "listen = 7001", [(3, "not HOST:PORT")]),
    ("listen = 127.0.0.1:7001", "listen = host:port", [(3, "not HOST:PORT")]),
    ("objective = 1500ms", "objective = 0", [(10, ">= 1")]),
    ("[traffic plain]", "[trafic plain]", [(9, "unknown section")]),
    ("objective = 1500ms", "objective = 1500ms\nservers = 1, two", [(11, "two")]),
    ("objective = 1500ms", "objective = 1500ms\n[log]\nform = xml", [(12, "json|console")]),
    ("name = e0\nlisten", "name =\nplace = x\nlisten", [(2, "length >= 1"), (3, "'x'")]),
]


@pytest.mark.parametrize(("old", "new", "expected"), INVALID_FILES)
def test_invalid_files_are_rejected_with_line_and_reason(
    old: str, new: str, expected: list[tuple[int, str]]
) -> None:
    assert old in GOOD
    with pytest.raises(InvalidConfigError) as caught:
        edge_config(IniFile(GOOD.replace(old, new, 1), "e.ini"))
    reported = caught.value.problems
    assert [problem.line for problem in reported] == [line for line, _ in expected], caught.value
    for problem, (_, text) in zip(reported, expected, strict=True):
        assert text in str(problem)
        assert str(problem).startswith("e.ini")


def test_a_valid_file_and_its_defaults() -> None:
    config = edge_config(IniFile(GOOD, "e.ini"))
    assert (config.name, config.deployment.edge_proxies, config.deployment.release_delay) == (
        "e0",
        3,
        300_000_000,
    )
    assert config.deployment.traffic_types["plain"].latency_objective == 1_500_000_000


def test_an_unreadable_file_is_rejected(tmp_path: Path) -> None:
    for path, message in ((tmp_path / "none.ini", "No such file"), (tmp_path / "odd.ini", "not UTF-8")):
        if message.startswith("not"):
            path.write_bytes(b"\xff\xfe")
        with pytest.raises(InvalidConfigError, match=message):
            load_edge_config(path)


@pytest.mark.parametrize(
    ("text", "ns"),
    [
        ("300ms", 3 * 10**8),
        ("1.5 s", 15 * 10**8),
        ("2min", 12 * 10**10),
        ("0", 0),
        ("7ns", 7),
        ("0.5us", 500),
    ],
)
def test_durations_are_parsed(text: str, ns: int) -> None:
    assert parse_duration(text) == ns


@given(st.integers(0, 10**15))
def test_formatted_durations_are_parsed_back_exactly(ns: int) -> None:
    assert parse_duration(format_duration(ns)) == ns


@given(st.text(max_size=200))
def test_arbitrary_text_is_rejected_as_invalid(text: str) -> None:
    with pytest.raises(InvalidConfigError):
        edge_config(IniFile(text, "fuzz"))
    with pytest.raises(InvalidConfigError):
        scenario_config(IniFile(text, "fuzz"), "fuzz")


@pytest.mark.parametrize("path", sorted((DEPLOY / "samples").glob("*.ini")), ids=lambda path: path.stem)
def test_samples_are_valid(path: Path) -> None:
    config = load_edge_config(path)
    assert len(config.deployment.traffic_types) >= 1
    assert config.deployment.slow_start_duration


@pytest.mark.parametrize("path", sorted((DEPLOY / "days").glob("*.ini")), ids=lambda path: path.stem)
def test_scenarios_are_valid(path: Path) -> None:
    assert load_scenario(path).mix


def test_problems_of_a_scenario() -> None:
    text = (DEPLOY / "days" / "bad-day.ini").read_text()
    text = text.replace("kind = crash", "kind = krash").replace("[mix booking]", "[mix bookings]")
    text = text.replace("edge_proxies = 3", "edge_proxies = 4")
    with pytest.raises(InvalidConfigError) as caught:
        scenario_config(IniFile(text, "day.ini"), "day")
    message = str(caught.value)
    assert "krash" in message
    assert "no [traffic bookings]" in message
    assert "sum of `edges`" in message
    assert len(caught.value.problems) == 3

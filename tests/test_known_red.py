"""KNOWN-RED.txt excuses only the tests that it lists, and a listed test must fail."""

from __future__ import annotations

import itertools
import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_failures

HERE = Path(__file__).parent
RED, GREEN = "tests/test_some.py::test_red", "tests/test_some.py::test_green"


def entry_line(test: str, issue: str = "36") -> str:
    """Returns an entry whose command runs the test itself."""
    return f"{test} | python -m pytest {test} | why | {issue}"


TEST_SOURCE = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


def run_pytest(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "pytest", "-q", "-n", "0", "-p", "no:cacheprovider", *arguments]
    environment = os.environ | {"PYTHONPATH": str(folder)}
    environment.pop("PYTEST_ADDOPTS", None)
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=120, check=False
    )


@pytest.fixture
def project(tmp_path: Path) -> Path:
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_failures.py"):
        shutil.copy(HERE / name, tmp_path / "tests")
    (tmp_path / "tests" / "test_some.py").write_text(TEST_SOURCE)
    return tmp_path


def test_each_listed_test_exists_and_is_run() -> None:
    entries = known_failures.parse_entries(known_failures.FILE.read_text("utf-8"))
    for entry in entries:
        if entry.test != known_failures.NO_TEST:
            found = run_pytest(HERE.parent, "--collect-only", entry.test)
            assert found.returncode == 0, f"{entry.test} does not exist or is deselected:\n{found.stdout}"


def unknown_options(entry: known_failures.KnownFailure) -> list[str]:
    """Returns the options of a listed command that its program lacks; all of them if it does not run."""
    options = [word for word in entry.arguments if word.startswith("--")]
    if entry.program is None:
        return []
    subcommands = itertools.takewhile(lambda word: not word.startswith("--"), entry.arguments[2:])
    help_output = subprocess.run(
        [sys.executable, str(entry.program), *subcommands, "--help"],
        cwd=HERE.parent,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return [option for option in options if help_output.returncode or option not in help_output.stdout]


def test_each_listed_command_can_be_run() -> None:
    for entry in known_failures.parse_entries(known_failures.FILE.read_text("utf-8")):
        assert unknown_options(entry) == [], f"{entry.command}: cannot be run"


def test_an_unknown_option_or_program_is_detected() -> None:
    def entry(command: str) -> known_failures.KnownFailure:
        return known_failures.parse_entries(f"- | {command} | why | 36")[0]

    assert unknown_options(entry("python benchmarks/soak.py --seeds 7")) == []
    assert unknown_options(entry("python benchmarks/soak.py --seeds 7 --never")) == ["--never"]
    assert unknown_options(entry("python benchmarks/orders.py simulated --instances 12 --seeds 7")) == []
    assert unknown_options(entry("python benchmarks/gone.py --seeds 7")) == ["--seeds"]


def test_no_other_mark_excuses_a_test() -> None:
    marks = re.compile(r"mark\.(xfail|skip|skipif)\b|pytest\.(xfail|skip|importorskip)\(")
    excused = [
        f"{path.name}:{number}"
        for path in sorted(HERE.glob("*.py"))
        if path.name not in ("conftest.py", Path(__file__).name)
        for number, line in enumerate(path.read_text("utf-8").splitlines(), start=1)
        if marks.search(line)
    ]
    assert not excused


@pytest.mark.parametrize(
    ("lines", "code", "message"),
    [
        ([entry_line(RED)], 0, f"known red: {entry_line(RED)}"),
        ([], 1, "1 failed, 1 passed"),
        ([entry_line(RED), entry_line(GREEN)], 1, "XPASS(strict)"),
        ([f"{RED} | why | 36"], 4, "is not of the form TEST | COMMAND | SEEN | ISSUE"),
        ([f"{RED} |  | why | 36"], 4, "is not of the form TEST | COMMAND | SEEN | ISSUE"),
        ([entry_line(RED)] * 2, 4, "listed twice"),
        ([entry_line(RED, issue="soon")], 4, "the issue is not a number"),
        ([entry_line("test_red")], 4, "the test is not a pytest id"),
        ([f"{RED} | python -m pytest {GREEN} | why | 36"], 4, "the command does not run the test"),
        ([f"{RED} | make it fail | why | 36"], 4, "neither the test nor a program in benchmarks/"),
        (["- | python benchmarks/soak.py | why | 36"], 4, "the command has no seed option"),
        ([entry_line(RED), "- | python benchmarks/soak.py --seeds 7 | why | 36"], 0, "known red: - | python"),
    ],
)
def test_the_list_excuses_only_listed_failures(
    project: Path, lines: list[str], code: int, message: str
) -> None:
    (project / "KNOWN-RED.txt").write_text("\n".join(lines))
    ended = run_pytest(project)
    assert ended.returncode == code
    assert message in ended.stdout + ended.stderr

"""The list of known reds: it excuses nothing but what it names, and what it names must fail."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import knownred

HERE = Path(__file__).parent
RED, GREEN = "tests/test_some.py::test_red", "tests/test_some.py::test_green"
SOME = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


def run(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "pytest", "-q", "-n", "0", "-p", "no:cacheprovider", *arguments]
    environment = os.environ | {"PYTHONPATH": str(folder)}
    environment.pop("PYTEST_ADDOPTS", None)
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=120, check=False
    )


@pytest.fixture
def project(tmp_path: Path) -> Path:
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "knownred.py"):
        shutil.copy(HERE / name, tmp_path / "tests")
    (tmp_path / "tests" / "test_some.py").write_text(SOME)
    return tmp_path


def test_each_listed_test_exists_and_is_run() -> None:
    listed = knownred.reds(knownred.FILE.read_text("utf-8"))
    for red in listed:
        found = run(HERE.parent, "--collect-only", red.test)
        assert found.returncode == 0, f"{red.test} is unknown, or not run:\n{found.stdout}"


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
    ("lines", "code", "says"),
    [
        ([f"{RED} | why | 36"], 0, f"known red: {RED} | why | 36"),
        ([], 1, "1 failed, 1 passed"),
        ([f"{RED} | why | 36", f"{GREEN} | why | 36"], 1, "XPASS(strict)"),
        ([f"{RED} | why"], 4, "is no TEST | CAUSE | ISSUE"),
        ([f"{RED} | why | 36"] * 2, 4, "listed twice"),
        ([f"{RED}{at} | why | 36" for at in range(4)], 4, "4 lines, 3 at most"),
    ],
)
def test_a_listed_test_must_fail(project: Path, lines: list[str], code: int, says: str) -> None:
    (project / "KNOWN-RED.txt").write_text("\n".join(lines))
    ended = run(project)
    assert ended.returncode == code
    assert says in ended.stdout + ended.stderr

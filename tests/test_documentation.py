"""Checks that paths and module names in pages, deploy files and doc comments exist.

In pages the words in backticks, the links and every word that begins with one of the repository's folders are
checked; in sources every word that ends with .py. A path may be relative to the root, to valverouter/ or to
the folder of its page. A bare name of a Python file may be that of a file in any folder.
"""

from __future__ import annotations

import importlib.util
import re
import tomllib
from collections.abc import Iterator
from functools import cache
from importlib import import_module
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "valverouter"
FOLDERS = ("valverouter", "tests", "docs", "deploy", "benchmarks", "journal", ".ci")
PAGES = [
    ROOT / "README.md",
    ROOT / "pyproject.toml",
    *sorted((ROOT / "docs").rglob("*.md")),
    *(path for kind in ("*.toml", "*.ini", "*.py") for path in sorted((ROOT / "deploy").rglob(kind))),
]
SOURCES = [path for folder in ("valverouter", "benchmarks") for path in sorted((ROOT / folder).rglob("*.py"))]

IN_BACKTICKS = re.compile(r"`([^`\n]+)`")
LINK = re.compile(r"\]\(([^)#\s]+)[^)]*\)")
REPOSITORY_PATH = re.compile(rf"(?<![\w./-])(?:{'|'.join(map(re.escape, FOLDERS))})/[\w./*-]*\w[\w*/]*")
PYTHON_FILE = re.compile(r"(?<![\w./*-])[\w-]+(?:/[\w-]+)*\.py\b")
MODULE_NAME = re.compile(r"(?<![\w./-])valverouter(?:\.[A-Za-z_]\w*)+")
PATH = re.compile(r"[\w.-]+(?:/[\w.*-]+)*/?")
# Folders for files of users and of runs, which are not committed.
USER_FOLDERS = ("deploy/sites/",)


def is_path(word: str) -> bool:
    """Returns whether a word is a path: a Python file, a page, a folder, or below a folder of ours."""
    if not PATH.fullmatch(word) or word.startswith(USER_FOLDERS):
        return False
    return word.endswith((".py", ".md", "/")) or ("/" in word and is_folder(word.split("/")[0]))


def is_folder(name: str) -> bool:
    return name in FOLDERS or (PACKAGE / name).is_dir()


@cache
def python_files() -> frozenset[str]:
    return frozenset(path.name for folder in FOLDERS for path in (ROOT / folder).rglob("*.py"))


def exists(word: str, page: Path) -> bool:
    if "/" not in word and word.endswith(".py"):
        return word in python_files()
    return any(any(folder.glob(word.rstrip("/"))) for folder in (ROOT, PACKAGE, page.parent))


def is_module_or_attribute(name: str) -> bool:
    if is_module(name):
        return True
    module, _, attribute = name.rpartition(".")
    return is_module(module) and hasattr(import_module(module), attribute)


def is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:  # the part before the last dot is not a package
        return False


def paths_in_line(line: str) -> Iterator[str]:
    for quoted in IN_BACKTICKS.findall(line):
        yield from filter(is_path, re.split(r"[\s,;]+", quoted))
    yield from (link for link in LINK.findall(line) if "://" not in link)
    yield from (word for word in REPOSITORY_PATH.findall(line) if not word.startswith(USER_FOLDERS))


def dangling_references(page: Path, text: str, is_source: bool = False) -> list[str]:
    """Returns file, line and name of each path and module that does not exist."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        paths = PYTHON_FILE.findall(line) if is_source else paths_in_line(line)
        missing = {path for path in paths if not exists(path, page)}
        missing |= {name for name in MODULE_NAME.findall(line) if not is_module_or_attribute(name)}
        found += [f"{page.relative_to(ROOT)}:{number}: {name}" for name in sorted(missing)]
    return found


def relative_name(path: Path) -> str:
    return str(path.relative_to(ROOT))


@pytest.mark.parametrize("page", PAGES, ids=relative_name)
def test_a_page_names_only_existing_paths_and_modules(page: Path) -> None:
    found = dangling_references(page, page.read_text("utf-8"))
    assert not found, "\n".join(found)


@pytest.mark.parametrize("source", SOURCES, ids=relative_name)
def test_a_source_names_only_existing_files_and_modules(source: Path) -> None:
    found = dangling_references(source, source.read_text("utf-8"), is_source=True)
    assert not found, "\n".join(found)


def balancer_settings() -> dict[str, object]:
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))


@pytest.mark.parametrize("key", ["policy", "node"])
def test_the_balancer_file_lists_existing_paths(key: str) -> None:
    paths = balancer_settings()[key]
    assert isinstance(paths, list)
    assert paths
    assert [path for path in paths if not (ROOT / path).exists()] == []


@pytest.mark.parametrize("key", ["run", "sim"])
def test_the_balancer_file_starts_runnable_modules(key: str) -> None:
    started = re.findall(r"-m ([\w.]+)", str(balancer_settings()[key]))
    assert started
    assert [name for name in started if importlib.util.find_spec(f"{name}.__main__") is None] == []


@pytest.mark.parametrize(
    ("line", "is_source", "names"),
    [
        ("see `valverouter/nowhere.py`", False, ["valverouter/nowhere.py"]),
        ("see `edge/nowhere.py` and `edge/`", False, ["edge/nowhere.py"]),
        ("`nowhere.py`, `proxy.py`", False, ["nowhere.py"]),
        (
            "| `nowhere/` | `deploy/days/*.ini`, `deploy/days/*.nothing` |",
            False,
            ["deploy/days/*.nothing", "nowhere/"],
        ),
        ("[a page](docs/nowhere.md#part), [another](https://example.com/no.md)", False, ["docs/nowhere.md"]),
        ("    valverouter day deploy/days/nowhere.ini", False, ["deploy/days/nowhere.ini"]),
        ("`python -m valverouter.edge.nowhere`, valverouter.edge.proxy", False, ["valverouter.edge.nowhere"]),
        (
            "valverouter.edge.proxy.EdgeProxy, valverouter.edge.proxy.Nobody",
            False,
            ["valverouter.edge.proxy.Nobody"],
        ),
        ("your own `roll.ini`, `and/or`, `deploy/sites/mine.toml`", False, []),
        ("# fleet/nowhere.py knows; `proxy.py` too", True, ["fleet/nowhere.py"]),
    ],
)
def test_missing_paths_and_modules_are_detected(line: str, is_source: bool, names: list[str]) -> None:
    assert dangling_references(ROOT / "README.md", line, is_source) == [
        f"README.md:1: {name}" for name in names
    ]

"""Checks that the files, functions and classes named in docs/architecture.md exist where it says."""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "valverouter"
PAGE = ROOT / "docs" / "architecture.md"
IN_BACKTICKS = re.compile(r"`([^`]+)`")
NAME = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)?")
GLOSSARY_ENTRY = re.compile(r"\w+ → (\w+)")
CLASS_OR_METHOD = re.compile(r"[A-Z]\w*[a-z]\w*(?:\.[a-z_]\w*)?")


class TableRow(NamedTuple):
    """A row of a table: the files that it names, and the functions and classes that one of them defines."""

    line: int
    files: tuple[str, ...]
    names: tuple[str, ...]


def split_cells(line: str) -> list[str]:
    """Splits a row of a table into its cells."""
    return [cell.strip() for cell in line.strip().strip("|").split("|")]


def table_rows() -> list[TableRow]:
    """Returns the rows of all tables with a column of files and one of functions or owning classes."""
    rows, columns = [], None
    for number, line in enumerate(PAGE.read_text("utf-8").splitlines(), 1):
        if not line.startswith("|"):
            columns = None
            continue
        cells = split_cells(line)
        if columns is None:
            columns = find_columns(cells)
        elif columns and not set(line) <= set("|- "):
            file_column, name_column = columns
            files = tuple(IN_BACKTICKS.findall(cells[file_column]))
            names = tuple(name for name in IN_BACKTICKS.findall(cells[name_column]) if NAME.fullmatch(name))
            rows.append(TableRow(number, files, names))
    return rows


def find_columns(header: list[str]) -> tuple[int, int] | tuple[()]:
    """Returns the indexes of the file column and the name column; empty for other tables."""
    if {"owner", "file"} <= set(header):
        return header.index("file"), header.index("owner")
    if {"file", "function"} <= set(header):
        return header.index("file"), header.index("function")
    return ()


@cache
def definitions(file: str) -> frozenset[str]:
    """Returns the names of a file's functions and classes, and of their methods as Class.method."""
    tree = ast.parse((PACKAGE / file).read_text("utf-8"))
    names = set()
    for node in tree.body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            names.add(node.name)
        if isinstance(node, ast.ClassDef):
            methods = [part for part in node.body if isinstance(part, ast.FunctionDef | ast.AsyncFunctionDef)]
            names |= {f"{node.name}.{method.name}" for method in methods}
    return frozenset(names)


def test_the_page_has_tables_of_files_and_functions() -> None:
    assert len(table_rows()) > 30


@pytest.mark.parametrize("row", table_rows(), ids=lambda row: f"line-{row.line}")
def test_the_names_in_a_row_are_defined_in_its_files(row: TableRow) -> None:
    assert row.files
    assert [file for file in row.files if not (PACKAGE / file).is_file()] == []
    defined = frozenset().union(*(definitions(file) for file in row.files))
    assert [name for name in row.names if name not in defined] == []


@cache
def class_and_variable_names() -> frozenset[str]:
    """Returns the names of all classes, variables and type aliases of the package."""
    nodes = [node for path in PACKAGE.rglob("*.py") for node in ast.walk(ast.parse(path.read_text("utf-8")))]
    classes = {node.name for node in nodes if isinstance(node, ast.ClassDef)}
    stored = {node.id for node in nodes if isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store)}
    return frozenset(classes | stored)


def test_the_new_names_of_the_glossary_exist() -> None:
    renamed = GLOSSARY_ENTRY.findall(PAGE.read_text("utf-8"))
    assert len(renamed) > 100
    assert [name for name in renamed if name not in class_and_variable_names()] == []


def test_every_class_and_method_in_backticks_exists() -> None:
    quoted = IN_BACKTICKS.findall(PAGE.read_text("utf-8"))
    defined = frozenset().union(
        *(definitions(str(path.relative_to(PACKAGE))) for path in PACKAGE.rglob("*.py"))
    )
    named = [name for name in quoted if CLASS_OR_METHOD.fullmatch(name)]
    assert len(named) > 50
    assert [name for name in named if name not in defined] == []

"""Checks that the modules of the program have no import cycles besides those listed here."""

from __future__ import annotations

import grimp
import pytest

# Cycles to be broken up; an entry that is no longer a cycle fails the test. Imports inside functions and
# under TYPE_CHECKING count.
KNOWN_CYCLES: set[frozenset[str]] = set()


def import_cycles(graph: grimp.ImportGraph) -> set[frozenset[str]]:
    """Returns the strongly connected components of several modules: sets of mutually importing modules."""
    found = set()
    for module in graph.modules:
        cycle = graph.find_upstream_modules(module) & graph.find_downstream_modules(module)
        if cycle:
            found.add(frozenset(cycle | {module}))
    return found


def test_import_cycles_are_known() -> None:
    assert import_cycles(grimp.build_graph("valverouter", cache_dir=None)) == KNOWN_CYCLES


@pytest.mark.parametrize(
    ("imports", "found"),
    [
        ([("a", "b"), ("b", "c")], set()),
        ([("a", "b"), ("b", "a"), ("b", "c")], {frozenset("ab")}),
        ([("a", "b"), ("b", "c"), ("c", "a"), ("d", "e"), ("e", "d")], {frozenset("abc"), frozenset("de")}),
    ],
)
def test_import_cycles_are_detected(imports: list[tuple[str, str]], found: set[frozenset[str]]) -> None:
    graph = grimp.ImportGraph()
    for importer, imported in imports:
        graph.add_import(importer=importer, imported=imported)
    assert import_cycles(graph) == found

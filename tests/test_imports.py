"""Which modules of the program import each other in a circle: only those that are named here."""

from __future__ import annotations

import grimp
import pytest

# To be taken apart; each entry fails once it is one no more. Imports in functions and for types alone count.
KNOWN_CYCLES: set[frozenset[str]] = set()


def import_cycles(graph: grimp.ImportGraph) -> set[frozenset[str]]:
    """Modules that reach each other by imports, as the largest sets of them."""
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

"""Makes test results reproducible: Hypothesis draws the same cases in each run and has no deadline.

Tests listed in KNOWN-RED.txt must fail (strict xfail), and each run prints the list; no other test may fail.
"""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests import known_failures

settings.register_profile("same", deadline=None, derandomize=True)
settings.load_profile("same")


def pytest_configure(config: pytest.Config) -> None:
    try:
        known_failures.parse_entries(known_failures.FILE.read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = {
        entry.test: entry for entry in known_failures.parse_entries(known_failures.FILE.read_text("utf-8"))
    }
    for item in items:
        if (entry := listed.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=str(entry)))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for entry in known_failures.parse_entries(known_failures.FILE.read_text("utf-8")):
        terminalreporter.write_line(f"known red: {entry}")

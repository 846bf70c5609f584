"""Names of the fleet's commands: deprecated ones remain as aliases that the help does not list."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from valverouter.cli.__main__ import main
from valverouter.cli.fleet import fleet

ALIASES = {"council": "raft-server", "keeper": "supervisor"}


@pytest.mark.parametrize(("former", "name"), ALIASES.items())
def test_a_deprecated_name_runs_the_same_command(former: str, name: str) -> None:
    alias, command = fleet.commands[former], fleet.commands[name]
    assert alias.callback is command.callback
    assert alias.params == command.params
    result = CliRunner().invoke(main, ["fleet", former, "--help"])
    assert result.exit_code == 0
    assert result.output.startswith(f"Usage: main fleet {former} [OPTIONS] FILE")


def test_the_help_lists_only_the_current_names() -> None:
    listed = [
        line.split()[0] for line in CliRunner().invoke(main, ["fleet"]).output.splitlines() if line.strip()
    ]
    for former, name in ALIASES.items():
        assert name in listed
        assert former not in listed


def test_the_deprecated_option_also_bootstraps_a_raft_group() -> None:
    (option,) = [param for param in fleet.commands["raft-server"].params if param.name == "bootstrap"]
    assert option.opts == ["--bootstrap", "--found"]

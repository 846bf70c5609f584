"""`valverouter fleet ...`: the instances' views of the fleet, the control plane, and operations."""

from __future__ import annotations

import copy
import sys
from pathlib import Path

import click

from valverouter.cli.command_support import FILE, RULE_VIOLATED, console
from valverouter.cli.fleet_processes import raft_server, supervisor
from valverouter.cli.fleet_view import view
from valverouter.cli.operations import COMMANDS
from valverouter.config.scenario import load_scenario
from valverouter.scenarios.emulated_membership import run_emulated_membership

NS_PER_S = 1e9


@click.group()
def fleet() -> None:
    """Show the instances' views of the fleet, run its processes, and operate on instances."""


@fleet.command("emulate")
@click.argument("file", type=FILE)
@click.option("--members", default=0, help="The number of members; 0: the scenario's edge proxies.")
def emulate(file: Path, members: int) -> None:
    """Emulate the membership views of the scenario in FILE under its faults between edge proxies.

    Exits with 1 if the views did not converge in the time that FILE allows.
    """
    result = run_emulated_membership(load_scenario(file), members)
    counts = ", ".join(f"{kind} {count}" for kind, count in sorted(result.event_counts.items()))
    console.print(f"{result.members} members; {counts}", highlight=False)
    console.print(f"{result.messages_per_second:.1f} messages a second each", highlight=False)
    allowed = result.max_convergence_time / NS_PER_S
    if result.convergence_time is None:
        console.print(f"no common view {allowed:.1f} s after the last fault", highlight=False)
        sys.exit(RULE_VIOLATED)
    after = result.convergence_time / NS_PER_S
    console.print(f"one view {after:.1f} s after the last fault ({allowed:.1f} s allowed)", highlight=False)


def _hidden_alias(command: click.Command, former_name: str) -> click.Command:
    """Returns the same command under its former name, hidden from the help."""
    alias = copy.copy(command)
    alias.name = former_name
    alias.hidden = True
    return alias


for command in (view, raft_server, supervisor, *COMMANDS):
    fleet.add_command(command)
fleet.add_command(_hidden_alias(raft_server, "council"))
fleet.add_command(_hidden_alias(supervisor, "keeper"))

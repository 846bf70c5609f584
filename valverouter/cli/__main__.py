"""The command line: `valverouter ...` or `python -m valverouter.cli ...`.

Exit codes: 0 success; 1 a rule was violated; 2 the command line or a file is invalid; 3 the program could not
start or failed; 130 interrupted.
"""

from __future__ import annotations

import sys
from importlib import import_module

import click

from valverouter.cli.command_support import FAILED, INTERRUPTED, INVALID_INPUT, first_cause
from valverouter.config.ini import InvalidConfigError
from valverouter.ledger.storage import StoreError

# Each command's module and function. A module is imported when its command is invoked: importing all of them,
# with the libraries for charts and scenarios, took half of an edge proxy's start-up time.
COMMANDS = {
    "audit": "scenarios:check_records",
    "calls": "scenarios:export_calls",
    "check": "scenarios:check",
    "day": "scenarios:play",
    "edge": "edge:edge",
    "experiment": "experiments:experiment",
    "fleet": "fleet:fleet",
    "ledger": "ledger:ledger",
    "load": "scenarios:load",
    "regions": "regions:regions",
    "standin": "scenarios:standin",
    "terms": "attempts:terms",
}


class LazyCommands(click.Group):
    """The top-level commands; a command's module is imported when the command is invoked."""

    def list_commands(self, context: click.Context) -> list[str]:
        """Returns the names of all commands, sorted."""
        return sorted(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Imports and returns the named command; None if there is no such command."""
        if name not in COMMANDS:
            return None
        module, _, attribute = COMMANDS[name].partition(":")
        command = getattr(import_module(f"valverouter.cli.{module}"), attribute)
        assert isinstance(command, click.Command)
        return command


@click.command(cls=LazyCommands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="valverouter")
def main() -> None:
    """A call router: edge proxies that set up dialogs at shared set-up servers."""


def run() -> None:
    """The program's entry point. Expected errors are printed as one line each, without a traceback."""
    try:
        main(standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(INVALID_INPUT)
    except click.Abort:
        sys.exit(INTERRUPTED)
    except InvalidConfigError as error:
        click.echo(error, err=True)
        sys.exit(INVALID_INPUT)
    except (ValueError, OSError, StoreError) as error:
        click.echo(f"valverouter: {error}", err=True)
        sys.exit(INVALID_INPUT)
    except RuntimeError as error:
        from valverouter.load_test.drive import LoadFailedError

        if not isinstance(error, LoadFailedError):
            raise
        click.echo(f"valverouter: {error}", err=True)
        sys.exit(FAILED)
    except BaseExceptionGroup as group:
        from valverouter.load_test.drive import LoadFailedError
        from valverouter.scenarios.loopback import EdgeFailedError

        if group.split((EdgeFailedError, LoadFailedError, OSError))[1] is not None:
            raise
        click.echo(f"valverouter: {first_cause(group)}", err=True)
        sys.exit(FAILED)


if __name__ == "__main__":
    run()

"""The command line: `valverouter ...` or `python -m valverouter.cli ...`.

Exit codes: 0 done; 1 a rule was broken; 2 the command or a file can't be used; 3 the program could not come
up or went down by an error; 130 interrupted.
"""

from __future__ import annotations

import sys
from importlib import import_module

import click

from valverouter.cli.command_support import FAILED, INTERRUPTED, INVALID_INPUT, first_cause
from valverouter.config.ini import InvalidConfigError
from valverouter.ledger.storage import StoreError

# Each command with its module, which is imported when the command is called: importing all of them, with what
# draws charts and plays scenarios, took half of the time in which an edge proxy starts.
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
    """The commands by name; a command's module is imported when the command is asked for."""

    def list_commands(self, context: click.Context) -> list[str]:
        """All commands, by name."""
        return sorted(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """A command of that name, None where there is none."""
        if name not in COMMANDS:
            return None
        module, _, attribute = COMMANDS[name].partition(":")
        command = getattr(import_module(f"valverouter.cli.{module}"), attribute)
        assert isinstance(command, click.Command)
        return command


@click.command(cls=LazyCommands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="valverouter")
def main() -> None:
    """A call router: edge proxies that set dialogs up at shared setup servers."""


def run() -> None:
    """The program's entry point; prints problems and errors as one plain line each, without a traceback."""
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

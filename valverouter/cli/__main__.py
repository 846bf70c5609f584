"""The command line: `valverouter ...` or `python -m valverouter.cli ...`.

Exit codes: 0 done; 1 a rule was broken; 2 the command or a file can't be used; 3 the program could not come
up or went down by an error; 130 interrupted.
"""

from __future__ import annotations

import sys
from importlib import import_module

import click

from valverouter.cli.common import FAILED, UNUSABLE, leaf
from valverouter.ledger.storage import StoreError
from valverouter.terms.ini import InvalidConfigError

# Each command by its module, loaded when it is called: with all of them, half of an edge proxy's start went
# by in loading what draws charts and plays days.
COMMANDS = {
    "audit": "playing:check_records",
    "calls": "playing:kept_calls",
    "check": "playing:check",
    "day": "playing:play",
    "edge": "edging:edge",
    "experiment": "experimenting:experiment",
    "fleet": "fleet:fleet",
    "ledger": "ledgers:ledger",
    "load": "playing:load",
    "regions": "crossings:regions",
    "standin": "playing:standin",
    "terms": "attempts:terms",
}


class Commands(click.Group):
    def list_commands(self, context: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        module, _, attribute = COMMANDS[name].partition(":")
        command = getattr(import_module(f"valverouter.cli.{module}"), attribute)
        assert isinstance(command, click.Command)
        return command


@click.command(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="valverouter")
def main() -> None:
    """A call router: edge proxies that set dialogs up at shared setup servers."""


def run() -> None:
    """The program's entry; flaws and errors as one plain line each, never a traceback."""
    try:
        main(standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(UNUSABLE)
    except click.Abort:
        sys.exit(130)
    except InvalidConfigError as error:
        click.echo(error, err=True)
        sys.exit(UNUSABLE)
    except (ValueError, OSError, StoreError) as error:
        click.echo(f"valverouter: {error}", err=True)
        sys.exit(UNUSABLE)
    except RuntimeError as error:
        from valverouter.load.drive import LoadFailedError

        if not isinstance(error, LoadFailedError):
            raise
        click.echo(f"valverouter: {error}", err=True)
        sys.exit(FAILED)
    except BaseExceptionGroup as group:
        from valverouter.days.loopback import EdgeFailedError
        from valverouter.load.drive import LoadFailedError

        if group.split((EdgeFailedError, LoadFailedError, OSError))[1] is not None:
            raise
        click.echo(f"valverouter: {leaf(group)}", err=True)
        sys.exit(FAILED)


if __name__ == "__main__":
    run()

"""The command line: `valverouter ...` or `python -m valverouter.cli ...`.

Exit codes: 0 done; 1 a rule was broken; 2 the command or a file can't be used; 3 the program could not come
up or went down by an error; 130 interrupted.
"""

from __future__ import annotations

import sys

import click

from valverouter.cli.attempts import terms
from valverouter.cli.common import FAILED, UNUSABLE, leaf
from valverouter.cli.crossings import regions
from valverouter.cli.edging import edge
from valverouter.cli.experimenting import experiment
from valverouter.cli.fleeting import fleet
from valverouter.cli.ledgers import ledger
from valverouter.cli.playing import check, check_records, kept_calls, load, play, standin
from valverouter.days.loopback import EdgeFailedError
from valverouter.ledger.store import LedgerError
from valverouter.load.drive import LoadFailedError
from valverouter.terms.ini import FlawedTermsError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="valverouter")
def main() -> None:
    """A call router: edge proxies that set dialogs up at shared setup servers."""


for command in (
    edge,
    play,
    check_records,
    kept_calls,
    check,
    standin,
    load,
    terms,
    experiment,
    ledger,
    regions,
    fleet,
):
    main.add_command(command)


def run() -> None:
    """The program's entry; flaws and errors as one plain line each, never a traceback."""
    try:
        main(standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(UNUSABLE)
    except click.Abort:
        sys.exit(130)
    except FlawedTermsError as error:
        click.echo(error, err=True)
        sys.exit(UNUSABLE)
    except (ValueError, OSError, LedgerError) as error:
        click.echo(f"valverouter: {error}", err=True)
        sys.exit(UNUSABLE)
    except LoadFailedError as error:
        click.echo(f"valverouter: {error}", err=True)
        sys.exit(FAILED)
    except BaseExceptionGroup as group:
        if group.split((EdgeFailedError, LoadFailedError, OSError))[1] is not None:
            raise
        click.echo(f"valverouter: {leaf(group)}", err=True)
        sys.exit(FAILED)


if __name__ == "__main__":
    run()

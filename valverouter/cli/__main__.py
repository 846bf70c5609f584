"""The command line: `valverouter ...` or `python -m valverouter.cli ...`.

Exit codes: 0 done; 1 a rule was broken; 2 the command or a file can't be used; 3 the program could not come
up or went down by an error; 130 interrupted.
"""

from __future__ import annotations

import dataclasses
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager, suppress
from pathlib import Path

import click
import msgspec
import structlog
import trio
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from valverouter.attempts.courses import courses, longest
from valverouter.audit.account import account
from valverouter.audit.attempts import seen
from valverouter.audit.rules import audit
from valverouter.cli import tables
from valverouter.days.loopback import EdgeFailedError, run_loopback
from valverouter.days.planning import plan_of
from valverouter.days.recorded import calls_of
from valverouter.days.virtual import run_virtual
from valverouter.days.world import World
from valverouter.edge import logs
from valverouter.edge.attempting import AttemptBook
from valverouter.edge.keeping import edge_proxy
from valverouter.edge.proxy import EdgeProxy
from valverouter.edge.surroundings import Sockets, long_lived
from valverouter.ledger.store import Damaged, Ledger, LedgerBusyError, LedgerError
from valverouter.load.drive import LoadFailedError
from valverouter.recovery.course import Record
from valverouter.regions.accounts import by_minute, merged, missing
from valverouter.regions.crossing import Crossing
from valverouter.signalling import tap
from valverouter.terms.calls import write_calls
from valverouter.terms.day import Day, day, load_day
from valverouter.terms.edge import EdgeTerms, Log, edge_terms, load_edge_terms, load_settled
from valverouter.terms.ini import FlawedTermsError, IniFile, show_span, span

BROKEN, UNUSABLE, FAILED = 1, 2, 3
# The callers' no-answer time where a command is told none.
SHOWN_NO_ANSWER = 9 * 10**9

FILE = click.Path(path_type=Path)
console = Console()
log = structlog.get_logger()


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="valverouter")
def main() -> None:
    """A call router: edge proxies that set dialogs up at shared setup servers."""


@main.command()
@click.argument("file", type=FILE)
def edge(file: Path) -> None:
    """Run an edge proxy by the terms in FILE until SIGTERM or SIGINT.

    Logs go to standard error. SIGHUP reads FILE again. SIGTERM takes no more dialogs, lets those here have
    their answers, and ends.
    """
    terms = load_edge_terms(file)
    logs.set_up(terms.log)
    try:
        trio.run(_edge, terms, file)
    except* (OSError, LedgerError) as group:
        log.error("could-not-run", why=str(_leaf(group)), listen=terms.listen)
        sys.exit(FAILED)


async def _edge(terms: EdgeTerms, file: Path) -> None:
    with _store(terms) as store:
        proxy = edge_proxy(terms, Sockets(terms.links.silence), store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_signals, proxy, file)
            long_lived()
            await proxy.run()
            nursery.cancel_scope.cancel()


@contextmanager
def _store(terms: EdgeTerms) -> Iterator[Ledger | None]:
    """The ledger of the terms. One that can't be read is set aside whole: what it held is lost, and no reason
    to serve nobody."""
    told = terms.ledger
    if not told.folder:
        yield None
        return
    folder = Path(told.folder)
    try:
        store = Ledger(folder, told.most, told.sync)
        try:
            store.check()
        except LedgerError:
            store.close()
            raise
    except LedgerBusyError:
        raise
    except LedgerError as error:
        aside = folder.with_name(f"{folder.name}.aside-{time.time_ns()}")
        folder.rename(aside)
        log.error("ledger-set-aside", why=str(error), to=str(aside))
        store = Ledger(folder, told.most, told.sync)
    with store:
        yield store


async def _signals(proxy: EdgeProxy, file: Path) -> None:
    """However often it is asked, one reading goes on at a time and one more waits; a stop waits for none."""
    ask, asked = trio.open_memory_channel[None](1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_reloads, proxy, file, asked)
        await _heard(proxy, ask)


async def _heard(proxy: EdgeProxy, ask: trio.MemorySendChannel[None]) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                proxy.stop()
                continue
            with suppress(trio.WouldBlock):
                ask.send_nowait(None)


async def _reloads(proxy: EdgeProxy, file: Path, asked: trio.MemoryReceiveChannel[None]) -> None:
    """Reads FILE when asked. Whatever it holds, the terms that act stay and the instance goes on: a fault of
    ours in reading it must not be worse than the file."""
    async for _ in asked:
        try:
            terms = await load_settled(file)
            proxy.reload(terms, await trio.to_thread.run_sync(proxy.book_of, terms), str(file))
        except FlawedTermsError as error:
            proxy.refuse_reload(str(file), str(error), flaws=len(error.flaws))
        except Exception as error:
            proxy.refuse_reload(str(file), f"{type(error).__name__}: {error}", exc_info=True)


@main.command("day")
@click.argument("file", type=FILE)
@click.option("--virtual", is_flag=True, help="In virtual time, in memory: seconds, and exact.")
@click.option("--records", type=FILE, help="Keep the rows of what passed in this file.")
@click.option("--logs", "folder", type=FILE, help="Keep the edge proxies' files and logs in this folder.")
def play(file: Path, virtual: bool, records: Path | None, folder: Path | None) -> None:
    """Play the scripted day in FILE, print what callers got and the audit's verdict.

    Exits with 1 when a rule was broken.
    """
    script = load_day(file)
    logs.set_up(Log(level="error"))
    if virtual:
        with console.status(f"{script.name} in virtual time"):
            rows = run_virtual(script)
    else:
        rows = _on_loopback(script, folder)
    if records is not None:
        tap.write(records, rows)
    _show(rows)


def _on_loopback(script: Day, folder: Path | None) -> list[tap.Row]:
    bars = Progress(TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=console)
    with tempfile.TemporaryDirectory() as passing, bars:
        task = bars.add_task(f"{script.name} on loopback", total=1.0)
        where = folder or Path(passing)
        where.mkdir(parents=True, exist_ok=True)
        return run_loopback(script, where, lambda share: bars.update(task, completed=share))


def _show(rows: list[tap.Row]) -> None:
    terms = next(row for row in rows if isinstance(row, tap.Terms))
    verdict = audit(rows)
    tables.print_accounts(console, account(rows), terms.importance)
    tables.print_verdict(console, verdict)
    if not verdict.kept:
        sys.exit(BROKEN)


@main.command("audit")
@click.argument("records", type=FILE)
def check_records(records: Path) -> None:
    """Check the five rules over kept RECORDS; exits with 1 when one was broken."""
    rows = tap.read(records)
    if not any(isinstance(row, tap.Terms) for row in rows):
        raise ValueError(f"{records}: holds no terms row, so there is nothing to check it against")
    _show(rows)


@main.command("calls")
@click.argument("records", type=FILE)
@click.option("--out", type=FILE, required=True, help="The calls go here, as CSV.")
def kept_calls(records: Path, out: Path) -> None:
    """The first tries in kept RECORDS as a file that a day's `record` plays again."""
    count = write_calls(out, calls_of(tap.read(records)))
    console.print(f"{count} calls; {out}", highlight=False, soft_wrap=True)


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check an edge proxy's FILE, or a day's; prints every flaw with its line and reason."""
    ini = IniFile.load(file)
    if "edge" in ini.sections:
        terms = edge_terms(ini)
        AttemptBook(terms)
        if terms.crossing is not None:
            Crossing(terms.crossing, 0)
        console.print(
            f"{file}: an edge proxy's terms, {len(terms.deployment.traffic_types)} traffic types: sound"
        )
    else:
        script = day(ini, file.stem)
        console.print(f"{file}: a day with {len(script.troubles)} troubles: sound")


@main.command()
@click.argument("file", type=FILE)
@click.option(
    "--list", "list_at", default="127.0.0.1:0", show_default=True, help="Where the list service listens."
)
@click.option("--seconds", default=60.0, show_default=True, help="It ends by itself after so long.")
def standin(file: Path, list_at: str, seconds: float) -> None:
    """Run the stand-in setup servers and list service of a day's FILE, with its troubles but no callers."""
    script = load_day(file)
    trio.run(_standins, script, list_at, seconds)


async def _standins(script: Day, list_at: str, seconds: float) -> None:
    at = {"list": list_at}
    world = World(script, Sockets(), script.terms.slack, lambda name: at.get(name, "127.0.0.1:0"))
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            await world.open(nursery)
            console.print(f"list service at {world.list.address}")
            for server in world.servers.values():
                console.print(f"{server.name} at {server.address}")
            await world.play()


@main.group()
def terms() -> None:
    """Timers and attempts by class and route."""


def of_dialog(command: Callable[..., None]) -> Callable[..., None]:
    """The options that say which dialog is meant, beside its class."""
    for option in (
        click.option("--first-choice", default=-1, help="The number of its first choice; -1: none."),
        click.option("--peer", default="", help="The caller's name, which decides on the trunk group."),
        click.option("--number", default=0, help="The number called."),
    ):
        command = option(command)
    return command


@terms.command("check")
@click.argument("files", type=FILE, nargs=-1, required=True)
def terms_check(files: tuple[Path, ...]) -> None:
    """Check each of FILES whole; prints every flaw with file, line, key and reason. Exits with 2 for any."""
    flaws = []
    for file in files:
        try:
            book = AttemptBook(loaded := load_edge_terms(file))
        except FlawedTermsError as error:
            flaws += error.flaws
            continue
        sections = len(loaded.attempts.sections)
        console.print(f"{file}: sound, {sections} sections of attempts", highlight=False, soft_wrap=True)
        for kind in loaded.deployment.traffic_types:
            most = max(course.legs for course in courses(book.reckoned(kind, 0, SHOWN_NO_ANSWER)))
            console.print(f"  {kind}: {most} legs at most", highlight=False)
    if flaws:
        raise FlawedTermsError(flaws)


@terms.command("explain")
@click.argument("file", type=FILE)
@click.option("--class", "traffic_type", required=True, help="The dialog's traffic type.")
@of_dialog
def terms_explain(file: Path, traffic_type: str, number: int, peer: str, first_choice: int) -> None:
    """Each effective value for such a dialog at FILE's edge proxy, and the line that it comes from."""
    loaded = load_edge_terms(file)
    if traffic_type not in loaded.deployment.traffic_types:
        raise ValueError(f"{file}: there is no [traffic {traffic_type}]")
    for key, one in AttemptBook(loaded).explain(traffic_type, number, peer, first_choice).items():
        console.print(
            f"{key:14} {_shown(key, one.value):10} {one.rule}", highlight=False, markup=False, soft_wrap=True
        )


def _shown(key: str, value: float) -> str:
    if key in ("legs", "legs_in_all", "tokens", "fraction"):
        return f"{value:g}" if value else "the fleet's"
    return show_span(int(value)) if value else "none"


@terms.command("courses")
@click.argument("file", type=FILE)
@click.option("--no-answer", default="9s", show_default=True, help="The callers' no-answer time.")
@click.option("--chart", is_flag=True, help="Each type's course as a bar on one scale of time.")
@of_dialog
def terms_courses(file: Path, no_answer: str, chart: bool, number: int, peer: str, first_choice: int) -> None:
    """The longest course that FILE's terms allow each traffic type, step by step."""
    loaded = load_edge_terms(file)
    book = AttemptBook(loaded)
    within = span(no_answer) - loaded.answer_margin
    if within <= 0:
        raise ValueError(f"no-answer time {no_answer} leaves nothing past the answer margin")
    found = {
        kind: longest(book.reckoned(kind, number, within, peer, first_choice))
        for kind in loaded.deployment.traffic_types
    }
    if chart:
        tables.print_courses(console, found, within)
        return
    for kind, course in found.items():
        console.print(
            f"{kind}: answered at {show_span(course.answered_at)}, {course.legs} legs", highlight=False
        )
        for step in course.steps:
            console.print(
                f"  {show_span(step.at):>12}  {show_span(step.span):>12}  {step.what}", highlight=False
            )


@terms.command("diff")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@of_dialog
def terms_diff(old: Path, new: Path, number: int, peer: str, first_choice: int) -> None:
    """What changes for whom between two files; exits with 1 when anything does.

    By class, and for each of them by each route that a section of either file names.
    """
    before, after = load_edge_terms(old), load_edge_terms(new)
    books, changed = (AttemptBook(before), AttemptBook(after)), False
    for kind in {**before.deployment.traffic_types, **after.deployment.traffic_types}:
        gone = [terms for terms in (before, after) if kind not in terms.deployment.traffic_types]
        if gone:
            changed = True
            console.print(f"{kind}: {'new' if gone == [before] else 'gone'}", highlight=False)
            continue
        routes = {str(number): (number, peer, first_choice)} | {
            name: route for book in books for name, route in book.routes().items()
        }
        for name, route in routes.items():
            one, two = (book.explain(kind, *route) for book in books)
            for key in one:
                if one[key].value != two[key].value:
                    changed = True
                    was, now = _shown(key, one[key].value), _shown(key, two[key].value)
                    console.print(
                        f"{kind}, {name}: {key} {was} to {now}, {two[key].rule}",
                        highlight=False,
                        markup=False,
                        soft_wrap=True,
                    )
    sys.exit(BROKEN if changed else 0)


@terms.command("seen")
@click.argument("records", type=FILE)
def terms_seen(records: Path) -> None:
    """Legs, time-outs and gaps by class in kept RECORDS, as the servers saw them."""
    for kind, one in seen(tap.read(records)).items():
        over = "none" if one.cancelled_after is None else " to ".join(map(show_span, one.cancelled_after))
        gap = "none" if one.gap is None else show_span(one.gap)
        console.print(
            f"{kind}: {one.dialogs} dialogs, {one.legs} legs, at most {one.legs_most} each; "
            f"let go after {over}; shortest wait after that {gap}",
            highlight=False,
            soft_wrap=True,
        )


@main.command()
@click.argument("file", type=FILE)
@click.option("--rate", "rates", type=float, multiple=True, help="Dialogs a second; several: one run each.")
@click.option("--seconds", default=5.0, show_default=True, help="How long each run dials.")
@click.option("--find", is_flag=True, help="Find the highest rate that holds the objective.")
@click.option("--share", default=0.99, show_default=True, help="Of those offered that must stand in it.")
@click.option("--most", default=20_000.0, show_default=True, help="The highest rate that is tried.")
@click.option("--against", type=FILE, help="Another day's file: runs of the two alternate.")
@click.option("--rounds", default=3, show_default=True, help="Runs of each, where two are compared.")
@click.option("--histogram", type=FILE, help="Keep the last run's delays here, as HdrHistogram text.")
def load(
    file: Path,
    rates: tuple[float, ...],
    seconds: float,
    find: bool,
    share: float,
    most: float,
    against: Path | None,
    rounds: int,
    histogram: Path | None,
) -> None:
    """Drive a real edge proxy of the day in FILE open-loop on loopback; delays from when each was due."""
    from valverouter.cli import loads

    if against is not None:
        trio.run(loads.against, console, (file, against), rates or (100.0,), seconds, rounds)
    elif find:
        trio.run(loads.find, console, file, seconds, share, most)
    else:
        trio.run(loads.at_rates, console, file, rates or (100.0,), seconds, histogram)


@main.group()
def experiment() -> None:
    """Factors, levels and seeds on the emulator, kept and compared."""


STORE = click.option("--store", type=FILE, default=Path("runs.db"), show_default=True, help="The kept runs.")


@experiment.command("run")
@click.argument("file", type=FILE)
@STORE
@click.option("--jobs", default=4, show_default=True, help="Processes at once.")
def experiment_run(file: Path, store: Path, jobs: int) -> None:
    """Play the runs of FILE that are not kept yet; cut off, it goes on where it was."""
    # Here and below: scipy and all that comes with it cost half a second, which no edge proxy should start
    # with.
    from valverouter.experiments.plan import plan
    from valverouter.experiments.runner import run_all

    made = plan(file)
    bars = Progress(TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=console)
    with bars:
        task = bars.add_task(made.name)
        played = run_all(
            made.runs(), store, jobs, lambda done, every: bars.update(task, completed=done, total=every)
        )
    console.print(f"{played} runs played, the others were kept", highlight=False)


@experiment.command("report")
@click.argument("file", type=FILE)
@STORE
@click.option("--figure", default="service", show_default=True, help="Which figure is compared.")
@click.option("--html", type=FILE, help="A page with charts in this file too.")
def experiment_report(file: Path, store: Path, figure: str, html: Path | None) -> None:
    """Means with their intervals, and paired differences from the baseline, of the kept runs of FILE."""
    from valverouter.experiments.plan import plan
    from valverouter.experiments.report import gathered, page
    from valverouter.experiments.runner import Store

    made = plan(file)
    with closing(Store(store)) as kept:
        cells = gathered(made, kept)
    if not cells:
        raise ValueError(f"{store}: no run of {file} is kept there; experiment run comes first")
    tables.print_cells(console, cells, made.baseline, figure)
    if html is not None:
        html.write_text(page(made, cells, figure))


@experiment.command("day")
@click.argument("file", type=FILE)
@click.option("--html", type=FILE, required=True, help="The page goes here.")
def experiment_day(file: Path, html: Path) -> None:
    """Emulate the day in FILE, print accounts and verdict, and draw it second by second on a page.

    Exits with 1 when a rule was broken.
    """
    from valverouter.days.emulated import run_emulated
    from valverouter.experiments.daypage import day_page

    script = load_day(file)
    emulated = run_emulated(script, sample_every=10**9)
    html.write_text(day_page(script.name, emulated), "utf-8")
    _show(emulated.rows)


@experiment.command("search")
@click.argument("file", type=FILE)
@click.option("--out", type=FILE, required=True, help="The day that was found goes here.")
@click.option("--jobs", default=4, show_default=True, help="Processes at once.")
def experiment_search(file: Path, out: Path, jobs: int) -> None:
    """Seek the day on which the module loses most, or comes nearest to a broken rule, and cut it down."""
    from valverouter.experiments.search import Judge, cut_down, found_file, load_search
    from valverouter.experiments.search import search as seek

    terms_, base, text = load_search(file)
    judge = Judge(terms_, text, base.callers.rate)
    found, score, judged = seek(terms_, base, judge, jobs)
    console.print(f"{judged} days judged; the worst scores {score:+.3f}", highlight=False)
    least, kept = cut_down(found, judge, 0.8 * score, terms_.budget // 4)
    said = (
        f"Found by a search for {terms_.seeks}: {kept:+.3f}, seed {terms_.seed}; cut down from {score:+.3f}."
    )
    out.write_text(found_file(least, text, base.callers.rate, said), "utf-8")
    kinds = ", ".join(trouble.kind for trouble in least.troubles)
    console.print(f"cut down to {kinds}: {kept:+.3f}; {out}", highlight=False, soft_wrap=True)


@main.group()
def ledger() -> None:
    """The store of dialogs that an edge proxy owes answers to."""


def _kept(folder: Path) -> Ledger:
    # Opening makes a store where there is none: a slip in the path would read as an empty one.
    if not (folder / "data.mdb").exists():
        raise ValueError(f"{folder}: there is no store")
    return Ledger(folder)


@ledger.command("inspect")
@click.argument("folder", type=FILE)
def ledger_inspect(folder: Path) -> None:
    """What the store in FOLDER holds, by phase."""
    with _kept(folder) as store:
        records = [one for one in store.records() if isinstance(one, Record)]
        phases = Counter(one.phase.value for one in records)
        console.print(
            f"{len(records)} dialogs, {store.live()} bytes live, {store.used()} used", highlight=False
        )
    for phase, count in sorted(phases.items()):
        console.print(f"  {phase}: {count}", highlight=False)


@ledger.command("verify")
@click.argument("folder", type=FILE)
def ledger_verify(folder: Path) -> None:
    """Read every entry in FOLDER; exits with 1 when one is damaged."""
    with _kept(folder) as store:
        damaged = [one for one in (*store.records(), *store.learnt()) if isinstance(one, Damaged)]
    for one in damaged:
        console.print(f"{one.table} {one.key!r}: {one.why}", highlight=False, markup=False)
    console.print(f"{len(damaged)} damaged", highlight=False)
    sys.exit(BROKEN if damaged else 0)


@ledger.command("repair")
@click.argument("folder", type=FILE)
def ledger_repair(folder: Path) -> None:
    """Take damaged entries out of the store in FOLDER, and say what is lost by it."""
    with _kept(folder) as store:
        lost = store.repair()
    for one in lost:
        console.print(f"lost: {one.table} {one.key!r}: {one.why}", highlight=False, markup=False)
    console.print(f"{len(lost)} lost", highlight=False)


@ledger.command("export")
@click.argument("folder", type=FILE)
def ledger_export(folder: Path) -> None:
    """Every readable record in FOLDER as a JSON line on standard output."""
    with _kept(folder) as store:
        for one in store.records():
            if isinstance(one, Record):
                click.echo(msgspec.json.encode(msgspec.structs.asdict(one)))


@main.group()
def regions() -> None:
    """What crossed from region to region, and what had better."""


@regions.command("report")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--edges", default=0, help="How many there are, to tell what is missing.")
@click.option("--json", "as_json", is_flag=True, help="Rows as JSON in place of tables.")
def regions_report(files: tuple[Path, ...], edges: int, as_json: bool) -> None:
    """Merge the accounts that edge proxies left in FILES, by traffic type and pair of regions."""
    books = [[msgspec.json.decode(line) for line in file.read_bytes().splitlines()] for file in files]
    whole, gaps = merged(books), missing(books, edges)
    if as_json:
        lines = [{"line": line, **dataclasses.asdict(tally)} for line, tally in whole.items()]
        click.echo(msgspec.json.encode({"lines": lines, "missing": gaps}).decode())
        return
    tables.print_crossings(console, whole, by_minute(books))
    for gap in gaps:
        console.print(f"missing: {gap}")


@regions.command("plan")
@click.argument("file", type=FILE)
@click.argument("records", type=FILE)
def regions_plan(file: Path, records: Path) -> None:
    """The least crossing that carries what RECORDS of the day in FILE show, within its capacities and
    budgets.

    It advises; nothing is steered by it.
    """
    tables.print_plan(console, plan_of(load_day(file), tap.read(records)))


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
        click.echo(f"valverouter: {_leaf(group)}", err=True)
        sys.exit(FAILED)


def _leaf(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


if __name__ == "__main__":
    run()

"""An experiment's file: a day, factors with their levels, seeds; and the runs that it stands for."""

from __future__ import annotations

import configparser
import hashlib
import io
import itertools
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

import valverouter
from valverouter.experiments.variants import variant
from valverouter.terms.day import Day, day
from valverouter.terms.ini import FlawedTermsError, IniFile, Named, Words

DECISIONS = "decisions"
# What a run's figures hang on beside its day: kept runs of another version are not taken for this one's.
SOURCES = (
    "policy",
    "randomness.py",
    "driver.py",
    "interface.py",
    "regions",
    "attempts",
    "servermodel",
    "emulator",
    "terms",
)

Numbers = Annotated[tuple[int, ...], Meta(extra={"as": "numbers"}, min_length=1)]


class Experiment(Struct, frozen=True):
    """[experiment]: the day that is varied (beside this file), and seeds as in 1-8."""

    day: Named
    seeds: Numbers
    baseline: str = ""


class Factor(Struct, frozen=True):
    """[factor NAME]: which keys of the day it sets (SECTION.KEY, several at once) or `decisions`; levels."""

    set: Words
    levels: Words


class Run(Struct, frozen=True):
    """One run: its levels by factor, seed, the day's text, and the name under which it is kept."""

    levels: dict[str, str]
    seed: int
    text: str
    folder: str = ""

    @property
    def variant(self) -> str:
        return self.levels.get(DECISIONS, "module")

    @property
    def key(self) -> str:
        said = "\0".join([version(), self.variant, str(self.seed), self.text, *self._record()])
        return hashlib.sha256(said.encode()).hexdigest()[:24]

    def _ini(self) -> IniFile:
        return IniFile(self.text, "run", Path(self.folder))

    def _record(self) -> list[str]:
        """A digest of the calls on record that the day plays again: another record is another run."""
        ini = self._ini()
        named = ini.sections.get("callers", {}).get("record", "")
        return [_digest(ini.folder / named)] if named else []

    def played(self) -> Day:
        return day(self._ini(), "run")


class Plan(Struct, frozen=True):
    """A checked experiment."""

    name: str
    seeds: tuple[int, ...]
    factors: dict[str, Factor]
    text: str
    baseline: dict[str, str]
    folder: str

    def runs(self) -> Iterator[Run]:
        names = list(self.factors)
        for levels in itertools.product(*(self.factors[name].levels for name in names)):
            chosen = dict(zip(names, levels, strict=True))
            for seed in self.seeds:
                yield self.run(chosen, seed)

    def run(self, chosen: dict[str, str], seed: int) -> Run:
        changes = [("day", "seed", str(seed))]
        named = {}
        for name, level in chosen.items():
            if self.factors[name].set == (DECISIONS,):
                named[DECISIONS] = level
                continue
            named[name] = level
            for place in self.factors[name].set:
                section, _, key = place.rpartition(".")
                changes.append((section, key, level))
        return Run(named, seed, changed(self.text, changes), self.folder)


def plan(path: Path) -> Plan:
    """The experiment in a file; raises FlawedTermsError with every flaw, those of its days included."""
    ini = IniFile.load(path)
    ini.only(("experiment",), ("factor",))
    head = ini.read("experiment", Experiment)
    factors = {name: ini.read(f"factor {name}", Factor) for name in ini.named("factor")}
    text = day_beside(ini, path, "experiment", head.day) if head is not None else ""
    for name, factor in factors.items():
        if factor is None:
            continue
        if factor.set == (DECISIONS,):
            for level in factor.levels:
                try:
                    variant(level)
                except ValueError as error:
                    ini.flaw(f"factor {name}", "levels", str(error))
        elif not factor.set or any("." not in place for place in factor.set):
            ini.flaw(f"factor {name}", "set", "SECTION.KEY of the day, or decisions alone")
    ini.done()
    assert head is not None
    known = {name: factor for name, factor in factors.items() if factor is not None}
    baseline = {}
    for part in head.baseline.split(",") if head.baseline else ():
        name, _, level = (word.strip() for word in part.partition("="))
        if name not in known or level not in known[name].levels:
            ini.flaw("experiment", "baseline", f"{part.strip()!r}: FACTOR = LEVEL of this file")
        baseline[name] = level
    made = Plan(path.stem, head.seeds, known, text, baseline, str((path.parent / head.day).parent))
    if not ini.flaws:
        for run in made.runs():
            if run.seed == head.seeds[0]:
                try:
                    run.played()
                except FlawedTermsError as error:
                    ini.flaws += error.flaws
    ini.done()
    return made


def day_beside(ini: IniFile, path: Path, section: str, name: str) -> str:
    """The text of the day that a file names, beside it; empty, and noted as a flaw, where it can't be had."""
    try:
        return (path.parent / name).read_text("utf-8")
    except OSError as error:
        ini.flaw(section, "day", f"{name}: {error.strerror}")
        return ""


def changed(text: str, changes: list[tuple[str, str, str]]) -> str:
    """A day's text with some keys set; sections that are not there are made."""
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    parser.read_string(text)
    for section, key, value in changes:
        if not parser.has_section(section):
            parser.add_section(section)
        parser.set(section, key, value)
    out = io.StringIO()
    parser.write(out)
    return out.getvalue()


@cache
def _digest(path: Path) -> str:
    return hashlib.sha256(path.read_bytes()).hexdigest()


@cache
def version() -> str:
    """A digest of the sources that a run's figures hang on."""
    root = Path(valverouter.__file__).parent
    digest = hashlib.sha256()
    for name in SOURCES:
        place = root / name
        for file in sorted(place.rglob("*.py")) if place.is_dir() else [place]:
            digest.update(file.read_bytes())
    return digest.hexdigest()[:12]

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
from valverouter.config.ini import IniFile, InvalidConfigError, NonEmptyText, TextList
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.experiments.variants import parse_variant

DECISIONS = "decisions"
# What a run's figures depend on beside its day: stored runs of another version are not taken for this one's.
SOURCES = (
    "policy",
    "randomness.py",
    "driver.py",
    "interface.py",
    "regions",
    "attempts",
    "servermodel",
    "emulator",
    "config",
)

Numbers = Annotated[tuple[int, ...], Meta(extra={"as": "numbers"}, min_length=1)]


class Experiment(Struct, frozen=True):
    """[experiment]: the day that is varied (beside this file), and seeds as in 1-8."""

    day: NonEmptyText
    seeds: Numbers
    baseline: str = ""


class Factor(Struct, frozen=True):
    """[factor NAME]: which keys of the day it sets (SECTION.KEY, several at once) or `decisions`; levels."""

    set: TextList
    levels: TextList


class Run(Struct, frozen=True):
    """One run: its levels by factor, its seed, the day's text, and the folder that the day's files are in."""

    levels: dict[str, str]
    seed: int
    text: str
    folder: str = ""

    @property
    def variant(self) -> str:
        """The level of the `decisions` factor, or the program's own decisions."""
        return self.levels.get(DECISIONS, "module")

    @property
    def key(self) -> str:
        """The key under which the run is stored: another version, variant, seed or day is another run."""
        parts = [source_version(), self.variant, str(self.seed), self.text, *self._record_digest()]
        return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:24]

    def _ini(self) -> IniFile:
        return IniFile(self.text, "run", Path(self.folder))

    def _record_digest(self) -> list[str]:
        """A digest of the calls on record that the day plays again: another record is another run."""
        ini = self._ini()
        file_name = ini.sections.get("callers", {}).get("record", "")
        return [_digest(ini.folder / file_name)] if file_name else []

    def load_scenario(self) -> ScenarioConfig:
        """The day to simulate; raises InvalidConfigError."""
        return scenario_config(self._ini(), "run")


class Plan(Struct, frozen=True):
    """A checked experiment: its factors, the text of its day, and the baseline's levels by factor."""

    name: str
    seeds: tuple[int, ...]
    factors: dict[str, Factor]
    text: str
    baseline: dict[str, str]
    folder: str

    def runs(self) -> Iterator[Run]:
        """Each combination of levels with each seed, the seeds of one combination together."""
        names = list(self.factors)
        for combination in itertools.product(*(self.factors[name].levels for name in names)):
            levels = dict(zip(names, combination, strict=True))
            for seed in self.seeds:
                yield self.make_run(levels, seed)

    def make_run(self, chosen: dict[str, str], seed: int) -> Run:
        """The run of a level for each factor, and a seed."""
        settings = [("day", "seed", str(seed))]
        levels = {}
        for name, level in chosen.items():
            if self.factors[name].set == (DECISIONS,):
                levels[DECISIONS] = level
                continue
            levels[name] = level
            for path in self.factors[name].set:
                section, _, key = path.rpartition(".")
                settings.append((section, key, level))
        return Run(levels, seed, with_settings(self.text, settings), self.folder)


def load_plan(path: Path) -> Plan:
    """The experiment in a file; raises InvalidConfigError with every flaw, those of its days included."""
    ini = IniFile.load(path)
    ini.check_sections(("experiment",), ("factor",))
    head = ini.read_section("experiment", Experiment)
    sections = {name: ini.read_section(f"factor {name}", Factor) for name in ini.names_of("factor")}
    factors = {name: factor for name, factor in sections.items() if factor is not None}
    text = read_scenario_text(ini, path, "experiment", head.day) if head is not None else ""
    for name, factor in factors.items():
        _check_factor(ini, name, factor)
    ini.raise_problems()
    assert head is not None
    baseline = _read_baseline(ini, head, factors)
    folder = str((path.parent / head.day).parent)
    plan = Plan(path.stem, head.seeds, factors, text, baseline, folder)
    if not ini.problems:
        _check_scenarios(ini, plan)
    ini.raise_problems()
    return plan


def _check_factor(ini: IniFile, name: str, factor: Factor) -> None:
    section = f"factor {name}"
    if factor.set == (DECISIONS,):
        for level in factor.levels:
            try:
                parse_variant(level)
            except ValueError as error:
                ini.add_problem(section, "levels", str(error))
    elif not factor.set or any("." not in path for path in factor.set):
        ini.add_problem(section, "set", "SECTION.KEY of the day, or decisions alone")


def _read_baseline(ini: IniFile, head: Experiment, factors: dict[str, Factor]) -> dict[str, str]:
    """The baseline's levels by factor; a flaw for each that this file does not have."""
    baseline = {}
    for part in head.baseline.split(",") if head.baseline else ():
        name, _, level = (word.strip() for word in part.partition("="))
        if name not in factors or level not in factors[name].levels:
            ini.add_problem("experiment", "baseline", f"{part.strip()!r}: FACTOR = LEVEL of this file")
        baseline[name] = level
    return baseline


def _check_scenarios(ini: IniFile, plan: Plan) -> None:
    """Reads the day of each combination of levels, and adds its flaws."""
    for run in plan.runs():
        if run.seed == plan.seeds[0]:
            try:
                run.load_scenario()
            except InvalidConfigError as error:
                ini.problems += error.problems


def read_scenario_text(ini: IniFile, path: Path, section: str, name: str) -> str:
    """The text of the day that a file names, beside it; empty, and noted as a flaw, where it can't be had."""
    try:
        return (path.parent / name).read_text("utf-8")
    except OSError as error:
        ini.add_problem(section, "day", f"{name}: {error.strerror}")
        return ""


def with_settings(text: str, settings: list[tuple[str, str, str]]) -> str:
    """A day's text with some keys set; sections that are not there are made."""
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    parser.read_string(text)
    for section, key, value in settings:
        if not parser.has_section(section):
            parser.add_section(section)
        parser.set(section, key, value)
    output = io.StringIO()
    parser.write(output)
    return output.getvalue()


@cache
def _digest(path: Path) -> str:
    return hashlib.sha256(path.read_bytes()).hexdigest()


@cache
def source_version() -> str:
    """A digest of the sources that a run's figures depend on."""
    root = Path(valverouter.__file__).parent
    digest = hashlib.sha256()
    for name in SOURCES:
        path = root / name
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            digest.update(file.read_bytes())
    return digest.hexdigest()[:12]

"""Experiment files: a scenario, factors with their levels, and seeds; and the runs that result from them."""

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
# The sources on which a run's metrics depend. Their digest is part of a run's key, so that runs stored by
# another version are not mistaken for those of this one.
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
    """[experiment]: the varied scenario, a file in this file's folder, and the seeds, as in 1-8."""

    day: NonEmptyText
    seeds: Numbers
    baseline: str = ""


class Factor(Struct, frozen=True):
    """[factor NAME]: the keys of the scenario that it sets (SECTION.KEY), or `decisions`; and its levels."""

    set: TextList
    levels: TextList


class Run(Struct, frozen=True):
    """One run: levels by factor, seed, the scenario's text, and the folder of the files that it refers to."""

    levels: dict[str, str]
    seed: int
    text: str
    folder: str = ""

    @property
    def variant(self) -> str:
        """The level of the `decisions` factor; by default the program's own routing policy."""
        return self.levels.get(DECISIONS, "module")

    @property
    def key(self) -> str:
        """The key under which the run is stored: a digest of version, variant, seed and scenario."""
        parts = [source_version(), self.variant, str(self.seed), self.text, *self._record_digest()]
        return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:24]

    def _ini(self) -> IniFile:
        return IniFile(self.text, "run", Path(self.folder))

    def _record_digest(self) -> list[str]:
        """Returns a digest of the recorded calls that the scenario replays; it is part of the run's key."""
        ini = self._ini()
        file_name = ini.sections.get("callers", {}).get("record", "")
        return [_digest(ini.folder / file_name)] if file_name else []

    def load_scenario(self) -> ScenarioConfig:
        """Parses the scenario to simulate; raises InvalidConfigError."""
        return scenario_config(self._ini(), "run")


class Plan(Struct, frozen=True):
    """A valid experiment: its factors, the text of its scenario, and the baseline's levels by factor."""

    name: str
    seeds: tuple[int, ...]
    factors: dict[str, Factor]
    text: str
    baseline: dict[str, str]
    folder: str

    def runs(self) -> Iterator[Run]:
        """Yields the runs of each combination of levels with each seed, grouped by combination."""
        names = list(self.factors)
        for combination in itertools.product(*(self.factors[name].levels for name in names)):
            levels = dict(zip(names, combination, strict=True))
            for seed in self.seeds:
                yield self.make_run(levels, seed)

    def make_run(self, chosen: dict[str, str], seed: int) -> Run:
        """Returns the run with the given seed and the chosen level of each factor."""
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
    """Loads an experiment; raises InvalidConfigError with all problems, including those of its scenarios."""
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
        ini.add_problem(section, "set", "must be SECTION.KEY of the scenario, or decisions alone")


def _read_baseline(ini: IniFile, head: Experiment, factors: dict[str, Factor]) -> dict[str, str]:
    """Parses the baseline's levels by factor; adds a problem for each factor or level that the file lacks."""
    baseline = {}
    for part in head.baseline.split(",") if head.baseline else ():
        name, _, level = (word.strip() for word in part.partition("="))
        if name not in factors or level not in factors[name].levels:
            ini.add_problem(
                "experiment", "baseline", f"{part.strip()!r}: must be FACTOR = LEVEL of this file"
            )
        baseline[name] = level
    return baseline


def _check_scenarios(ini: IniFile, plan: Plan) -> None:
    """Parses the scenario of each combination of levels and adds its problems."""
    for run in plan.runs():
        if run.seed == plan.seeds[0]:
            try:
                run.load_scenario()
            except InvalidConfigError as error:
                ini.problems += error.problems


def read_scenario_text(ini: IniFile, path: Path, section: str, name: str) -> str:
    """Reads the scenario file `name` beside `path`; on failure, adds a problem and returns an empty text."""
    try:
        return (path.parent / name).read_text("utf-8")
    except OSError as error:
        ini.add_problem(section, "day", f"{name}: {error.strerror}")
        return ""


def with_settings(text: str, settings: list[tuple[str, str, str]]) -> str:
    """Returns a scenario's text with the given keys set; missing sections are added."""
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
    """Returns a digest of the sources on which a run's metrics depend."""
    root = Path(valverouter.__file__).parent
    digest = hashlib.sha256()
    for name in SOURCES:
        path = root / name
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            digest.update(file.read_bytes())
    return digest.hexdigest()[:12]

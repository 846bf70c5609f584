"""A search's file: the base day, what is sought, and the ranges of the faults."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from valverouter.config.ini import (
    IniFile,
    InvalidConfigError,
    NonEmptyText,
    PositiveDuration,
    PositiveInteger,
    PositiveNumber,
    TextList,
)
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.config.scenario_sections import FAULT_KINDS
from valverouter.experiments.plan import read_scenario_text
from valverouter.experiments.variants import BASELINES, VARIANTS

SECOND = 1_000_000_000
# What a search may seek: days on which rules are violated, or on which the program loses to a baseline.
RULES, LOSS = "rules", "loss"


class Search(Struct, frozen=True):
    """[search]: the base day, what is sought, and the ranges of its faults; `longest` in ns."""

    day: NonEmptyText
    seeks: Annotated[str, Meta(pattern="^(loss|rules)$")] = LOSS
    budget: PositiveInteger = 100
    seed: int = 1
    troubles: Annotated[int, Meta(ge=1, le=6)] = 3
    kinds: TextList = ("crash", "slow", "hang", "burst", "answer_lost", "balancer_stall")
    against: TextList = BASELINES
    longest: PositiveDuration = 8 * SECOND
    size_most: PositiveNumber = 6.0
    rate_least: PositiveNumber = 0.7
    rate_most: PositiveNumber = 1.5


def load_search(path: Path) -> tuple[Search, ScenarioConfig, str]:
    """The search in a file, its base day without faults, and that day's text; raises InvalidConfigError."""
    ini = IniFile.load(path)
    ini.check_sections(("search",), ())
    config = ini.read_section("search", Search)
    text = _read_base(ini, path, config) if config is not None else ""
    ini.raise_problems()
    assert config is not None
    try:
        base = scenario_config(IniFile(text, "base", (path.parent / config.day).parent), "base")
    except InvalidConfigError as error:
        raise InvalidConfigError([*ini.problems, *error.problems]) from None
    if base.recorded is not None:
        ini.add_problem("search", "day", "plays a record; a search varies the rate of its day")
        ini.raise_problems()
    return config, base, text


def _read_base(ini: IniFile, path: Path, config: Search) -> str:
    """The base day's text without faults; a flaw for each name that is not known."""
    text = read_scenario_text(ini, path, "search", config.day)
    for kind in config.kinds:
        if kind not in FAULT_KINDS:
            ini.add_problem("search", "kinds", f"{kind!r} is not known; known are {', '.join(FAULT_KINDS)}")
    for name in config.against:
        if name not in VARIANTS:
            ini.add_problem("search", "against", f"{name!r}: known are {', '.join(VARIANTS)}")
    return _without_faults(text)


def _without_faults(text: str) -> str:
    lines, is_kept = [], True
    for line in text.splitlines():
        if line.startswith("["):
            is_kept = not line.startswith("[trouble ")
        if is_kept:
            lines.append(line)
    return "\n".join(lines) + "\n"

"""Search files: the base scenario, the objective, and the ranges of the faults."""

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
# The objectives of a search: scenarios in which rules are violated, or the policy loses to a baseline.
RULES, LOSS = "rules", "loss"


class Search(Struct, frozen=True):
    """[search]: the base scenario, the objective (`seeks`), and the ranges of the faults; `longest` in ns."""

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
    """Loads a search; returns it, its base scenario without faults, and that scenario's text.

    Raises InvalidConfigError.
    """
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
        ini.add_problem("search", "day", "replays recorded calls, but a search varies the call rate")
        ini.raise_problems()
    return config, base, text


def _read_base(ini: IniFile, path: Path, config: Search) -> str:
    """Reads the base scenario's text without its faults; adds a problem for each unknown kind or variant."""
    text = read_scenario_text(ini, path, "search", config.day)
    for kind in config.kinds:
        if kind not in FAULT_KINDS:
            ini.add_problem(
                "search", "kinds", f"unknown kind {kind!r}; known kinds: {', '.join(FAULT_KINDS)}"
            )
    for name in config.against:
        if name not in VARIANTS:
            ini.add_problem(
                "search", "against", f"unknown variant {name!r}; known variants: {', '.join(VARIANTS)}"
            )
    return _without_faults(text)


def _without_faults(text: str) -> str:
    lines, is_kept = [], True
    for line in text.splitlines():
        if line.startswith("["):
            is_kept = not line.startswith("[trouble ")
        if is_kept:
            lines.append(line)
    return "\n".join(lines) + "\n"

"""A search's file: the base day, what is sought, and the ranges of the faults."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from valverouter.experiments.plan import read_day_text
from valverouter.experiments.variants import BASELINES, VARIANTS
from valverouter.terms.day import KINDS, Day, day
from valverouter.terms.ini import FlawedTermsError, IniFile, LongSpan, Named, Positive, Rate, Words

SECOND = 1_000_000_000
# What a search may seek: days on which rules are violated, or on which the program loses to a baseline.
RULES, LOSS = "rules", "loss"


class Search(Struct, frozen=True):
    """[search]: the base day, what is sought, and the ranges of its faults; `longest` in ns."""

    day: Named
    seeks: Annotated[str, Meta(pattern="^(loss|rules)$")] = LOSS
    budget: Positive = 100
    seed: int = 1
    troubles: Annotated[int, Meta(ge=1, le=6)] = 3
    kinds: Words = ("crash", "slow", "hang", "burst", "answer_lost", "balancer_stall")
    against: Words = BASELINES
    longest: LongSpan = 8 * SECOND
    size_most: Rate = 6.0
    rate_least: Rate = 0.7
    rate_most: Rate = 1.5


def load_search(path: Path) -> tuple[Search, Day, str]:
    """The search in a file, its base day without faults, and that day's text; raises FlawedTermsError."""
    ini = IniFile.load(path)
    ini.only(("search",), ())
    config = ini.read("search", Search)
    text = _read_base(ini, path, config) if config is not None else ""
    ini.done()
    assert config is not None
    try:
        base = day(IniFile(text, "base", (path.parent / config.day).parent), "base")
    except FlawedTermsError as error:
        raise FlawedTermsError([*ini.flaws, *error.flaws]) from None
    if base.recorded is not None:
        ini.flaw("search", "day", "plays a record; a search varies the rate of its day")
        ini.done()
    return config, base, text


def _read_base(ini: IniFile, path: Path, config: Search) -> str:
    """The base day's text without faults; a flaw for each name that is not known."""
    text = read_day_text(ini, path, "search", config.day)
    for kind in config.kinds:
        if kind not in KINDS:
            ini.flaw("search", "kinds", f"{kind!r} is not known; known are {', '.join(KINDS)}")
    for name in config.against:
        if name not in VARIANTS:
            ini.flaw("search", "against", f"{name!r}: known are {', '.join(VARIANTS)}")
    return _without_faults(text)


def _without_faults(text: str) -> str:
    lines, is_kept = [], True
    for line in text.splitlines():
        if line.startswith("["):
            is_kept = not line.startswith("[trouble ")
        if is_kept:
            lines.append(line)
    return "\n".join(lines) + "\n"

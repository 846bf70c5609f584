"""Looks for the day on which the module loses most, or breaks a rule, and cuts it down to what shows it.

A day is the base day with up to `troubles` troubles drawn from ranges; the search is scipy's differential
evolution with a budget of evaluations. What it finds is a day file, for the emulator and for loopback.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, Any

import numpy as np
from msgspec import Meta, Struct
from scipy.optimize import differential_evolution

from valverouter.experiments.plan import Run, changed, day_beside
from valverouter.experiments.runner import play
from valverouter.experiments.variants import BASELINES, VARIANTS
from valverouter.terms.day import KINDS, Day, day
from valverouter.terms.ini import FlawedTermsError, IniFile, LongSpan, Named, Positive, Rate, Words, show_span

SECOND = 1_000_000_000
# A rule counts as near its limit in proportion to the cold budget used; broken it counts whole.
RULES, LOSS = "rules", "loss"


class Search(Struct, frozen=True):
    """[search]: the base day, what is sought, and the ranges of its troubles."""

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


@dataclass(frozen=True, slots=True)
class Struck:
    """One trouble of a candidate; spans in ns."""

    kind: str
    start: int
    length: int
    size: float
    part: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """A day of the search: times the base day's rate, its length and its troubles."""

    rate: float
    length: int
    troubles: tuple[Struck, ...]

    def text(self, base: str, base_rate: float) -> str:
        """The day file."""
        changes = [
            ("day", "length", show_span(self.length)),
            ("callers", "rate", f"{base_rate * self.rate:.3f}"),
        ]
        for at, trouble in enumerate(self.troubles):
            section = f"trouble found{at}"
            changes += [
                (section, "kind", trouble.kind),
                (section, "start", show_span(trouble.start)),
                (section, "length", show_span(trouble.length)),
                (section, "size", f"{_size(trouble):.3f}"),
                (section, "part", f"{trouble.part:.3f}"),
                (section, "extra", "1s"),
            ]
        return changed(base, changes)


def _size(trouble: Struck) -> float:
    """Sizes that are shares of something stay under one."""
    if trouble.kind in ("reconnect", "hot_key", "answer_lost", "give_up"):
        return min(0.95, trouble.size / 6)
    return trouble.size


def load_search(path: Path) -> tuple[Search, Day, str]:
    """The search in a file and its base day, without troubles; raises FlawedTermsError."""
    ini = IniFile.load(path)
    ini.only(("search",), ())
    found = ini.read("search", Search)
    base = ""
    if found is not None:
        base = day_beside(ini, path, "search", found.day)
        for kind in found.kinds:
            if kind not in KINDS:
                ini.flaw("search", "kinds", f"{kind!r} is not known; known are {', '.join(KINDS)}")
        for name in found.against:
            if name not in VARIANTS:
                ini.flaw("search", "against", f"{name!r}: known are {', '.join(VARIANTS)}")
    ini.done()
    assert found is not None
    calm = _without_troubles(base)
    try:
        made = day(IniFile(calm, "base", (path.parent / found.day).parent), "base")
    except FlawedTermsError as error:
        raise FlawedTermsError([*ini.flaws, *error.flaws]) from None
    if made.recorded is not None:
        ini.flaw("search", "day", "plays a record; a search varies the rate of its day")
        ini.done()
    return found, made, calm


def _without_troubles(text: str) -> str:
    kept, keeps = [], True
    for line in text.splitlines():
        if line.startswith("["):
            keeps = not line.startswith("[trouble ")
        if keeps:
            kept.append(line)
    return "\n".join(kept) + "\n"


def candidate(terms: Search, base: Day, genes: Sequence[float]) -> Candidate:
    """The day that a vector from the unit cube stands for; every such vector is a day that can be played."""
    length = base.terms.length
    rate = terms.rate_least + genes[0] * (terms.rate_most - terms.rate_least)
    troubles = []
    for at in range(terms.troubles):
        there, kind, start, span_, size, part = genes[1 + 6 * at : 7 + 6 * at]
        if there < 0.25 and at:
            continue
        lasts = max(SECOND // 2, int(span_ * terms.longest))
        troubles.append(
            Struck(
                terms.kinds[min(len(terms.kinds) - 1, int(kind * len(terms.kinds)))],
                int(start * max(0, length - lasts)) // 10**6 * 10**6,
                lasts // 10**6 * 10**6,
                1 + size * (terms.size_most - 1),
                0.05 + 0.45 * part,
            )
        )
    return Candidate(rate, length, tuple(troubles))


@dataclass(frozen=True, slots=True)
class Judge:
    """Plays a day under the module and what it is measured against; the worse for the module, the higher."""

    terms: Search
    base: str
    rate: float

    def __call__(self, one: Candidate) -> float:
        text = one.text(self.base, self.rate)
        module = play(Run({}, self.terms.seed, text))
        if self.terms.seeks == RULES:
            return module["rules-broken"] + min(0.99, module["cold-margin"] / 2)
        best = max(
            play(Run({"decisions": name}, self.terms.seed, text))["service"] for name in self.terms.against
        )
        return best - module["service"]


class _Scored:
    """A vector's score for scipy, which seeks the least; module level, so that processes can take it."""

    def __init__(self, judge: Callable[[Candidate], float], terms: Search, base: Day) -> None:
        self.judge, self.terms, self.base = judge, terms, base

    def __call__(self, genes: np.ndarray[tuple[int], np.dtype[np.float64]]) -> float:
        return -self.judge(candidate(self.terms, self.base, genes.tolist()))


def search(
    terms: Search, base: Day, judge: Callable[[Candidate], float], jobs: int = 1
) -> tuple[Candidate, float, int]:
    """The worst day found within the budget, its score, and how many days were judged."""
    size = 1 + 6 * terms.troubles
    population = max(5, min(4 * size, terms.budget // 4))
    generations = max(1, terms.budget // population - 1)
    start = np.random.Generator(np.random.PCG64(terms.seed)).random((population, size))
    scored = _Scored(judge, terms, base)
    options: dict[str, Any] = {
        "bounds": [(0.0, 1.0)] * size,
        "maxiter": generations,
        "init": start,
        "seed": terms.seed,
    }
    if jobs > 1:
        with multiprocessing.get_context("spawn").Pool(jobs) as pool:
            found = differential_evolution(
                scored, polish=False, tol=0, updating="deferred", workers=pool.map, **options
            )
    else:
        found = differential_evolution(scored, polish=False, tol=0, updating="deferred", **options)
    return candidate(terms, base, found.x.tolist()), -float(found.fun), int(found.nfev)


def smaller(one: Candidate) -> Iterator[Candidate]:
    """Simpler days next to this one: a trouble less, a shorter or milder one, a shorter day, usual rate."""
    for at in range(len(one.troubles)):
        if len(one.troubles) > 1:
            yield replace(one, troubles=one.troubles[:at] + one.troubles[at + 1 :])
    latest = max((trouble.start + trouble.length for trouble in one.troubles), default=0)
    for length in (latest + 2 * SECOND, one.length * 3 // 4 // 10**6 * 10**6):
        if latest <= length < one.length:
            yield replace(one, length=length)
    if one.rate != 1.0:
        yield replace(one, rate=1.0)
    for at, trouble in enumerate(one.troubles):
        for change in _milder(trouble):
            yield replace(one, troubles=(*one.troubles[:at], change, *one.troubles[at + 1 :]))


def _milder(trouble: Struck) -> Iterator[Struck]:
    if trouble.length > SECOND:
        yield replace(trouble, length=trouble.length // 2 // 10**6 * 10**6)
    if trouble.size > 1.5:
        yield replace(trouble, size=round(1 + (trouble.size - 1) / 2, 2))
    if trouble.start > SECOND:
        yield replace(trouble, start=SECOND)


def cut_down(
    one: Candidate, judge: Callable[[Candidate], float], keeps: float, budget: int
) -> tuple[Candidate, float]:
    """The least day reached by such steps whose score stays at `keeps` or above, within the budget."""
    score, tried = keeps, 0
    goes_on = True
    while goes_on:
        goes_on = False
        for simpler in smaller(one):
            if tried >= budget:
                return one, score
            tried += 1
            if (got := judge(simpler)) >= keeps:
                one, score, goes_on = simpler, got, True
                break
    return one, score


def found_file(one: Candidate, base: str, rate: float, said: str) -> str:
    """The day file, with what was found in its first line."""
    return f"# {said}\n{one.text(base, rate)}"

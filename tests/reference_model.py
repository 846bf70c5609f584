"""A reference model of the five rules: the history in one list, read again from its beginning at each step.

It shares no code with the router or its audit, and is meant to be read and believed, not to be fast. A step
is something that is about to happen; `step` says which rules it breaks, and keeps it in either case.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class Step:
    """What happens, and when. Kinds:

    taken (`until`: its no-answer time), answered (`word`), ended (after it stood), caller-gone;
    sent, stood, closed, timed-out, reset, let-go (a leg; `unsent`: it never left);
    told (`word`: the phase that `edge` hears of `server`), began (`server` starts cold), restarted (`edge`);
    held (`edge` does not run until `until`); passing (nothing but time).
    """

    at: int
    kind: str
    dialog: str = ""
    server: str = ""
    edge: str = ""
    leg: int = 0
    until: int = 0
    word: str = ""
    # Of a server that began: what it sets up in a second when warm, and its terms of being cold.
    per_second: float = 0.0
    cold_share: float = 1.0
    warm_after: int = 0
    multiple: float = 1.0
    window: int = 1


LEG_ENDS = ("closed", "timed-out", "reset", "let-go", "unsent")
FREES_AT_ONCE = ("closed", "unsent")


class Rules:
    """The judge of one run. `grace`: the clock's looseness; 0 in virtual time."""

    def __init__(self, release_wait: int, grace: int = 0) -> None:
        self.release_wait = release_wait
        self.grace = grace
        self.history: list[Step] = []
        self.broken: list[tuple[int, int, str]] = []

    def step(self, step: Step) -> list[int]:
        """The rules that this breaks, all of them; `broken` keeps rule, step number and why."""
        found = [(1, why) for why in self._late(step)]
        match step.kind:
            case "answered" | "ended":
                found += [(1, why) for why in self._answer(step)]
            case "sent":
                found += [(2, why) for why in self._second(step)]
                found += [(3, why) for why in self._left(step)]
                found += [(4, why) for why in self._cold(step)]
                found += [(5, why) for why in self._soon(step)]
        self.history.append(step)
        self.broken += [(rule, len(self.history) - 1, why) for rule, why in found]
        return [rule for rule, _ in found]

    def counts(self) -> Counter[str]:
        return Counter(
            f"{step.kind} {step.word}" if step.kind in ("told", "answered") else step.kind
            for step in self.history
        )

    def last(self, many: int = 12) -> str:
        return "\n".join(map(str, self.history[-many:]))

    # Rule 1

    def _of(self, dialog: str) -> list[Step]:
        """What happened to a dialog since it was last taken."""
        mine = [step for step in self.history if step.dialog == dialog]
        taken = [at for at, step in enumerate(mine) if step.kind == "taken"]
        return mine[taken[-1] :] if taken else mine

    def _late(self, now: Step) -> list[str]:
        """Dialogs whose time passes with this step, and that have no answer."""
        last = self.history[-1].at if self.history else now.at
        found = []
        for at, taken in enumerate(self.history):
            if taken.kind != "taken" or not last <= taken.until + self.grace < now.at:
                continue
            since = [step for step in self.history[at:] if step.dialog == taken.dialog]
            if any(step.kind in ("answered", "caller-gone") for step in since):
                continue
            held = [step for step in self.history if step.kind == "held" and step.edge == taken.edge]
            if not any(step.at <= taken.until <= step.until for step in held):
                found.append(f"{taken.dialog} had no answer by {taken.until}")
        return found

    def _answer(self, step: Step) -> list[str]:
        mine = self._of(step.dialog)
        words = [one.word for one in mine if one.kind == "answered"]
        if not mine or mine[0].kind != "taken":
            return [f"{step.dialog} was never taken"]
        if step.kind == "ended":
            over = any(one.kind == "ended" for one in mine)
            return [] if words == ["stands"] and not over else [f"{step.dialog} ended after {words}"]
        why = [f"{step.dialog} was answered before: {words[0]}"] if words else []
        if any(one.kind == "caller-gone" for one in mine):
            why.append(f"{step.dialog} has nobody left to hear it")
        if step.at > mine[0].until + self.grace:
            why.append(f"{step.dialog} is answered {step.at - mine[0].until} ns late")
        return why

    # Rules 2 and 5

    def _second(self, step: Step) -> list[str]:
        mine = [one for one in self.history if one.dialog == step.dialog]
        out = [
            one
            for at, one in enumerate(mine)
            if one.kind == "sent"
            and not any(end.kind in LEG_ENDS and end.leg == one.leg for end in mine[at + 1 :])
        ]
        return [f"{step.dialog}: leg {one.leg} at {one.server} is out still" for one in out]

    def _soon(self, step: Step) -> list[str]:
        mine = [one for one in self.history if one.dialog == step.dialog]
        for at, one in enumerate(mine):
            if one.kind not in LEG_ENDS or one.kind in FREES_AT_ONCE:
                continue
            stood = any(of.kind == "stood" and of.leg == one.leg for of in mine[:at])
            if not stood and step.at - one.at < self.release_wait - self.grace:
                return [f"{step.dialog} is sent {step.at - one.at} ns after leg {one.leg}: {one.kind}"]
        return []

    # Rule 3

    def _left(self, step: Step) -> list[str]:
        word = ""
        told_at = 0
        for one in self.history:
            if one.kind == "restarted" and one.edge == step.edge:
                word = ""
            elif one.kind == "told" and (one.edge, one.server) == (step.edge, step.server):
                # From the first word on that it leaves, however often it is told again.
                told_at = told_at if one.word != "in-service" and word in ("draining", "gone") else one.at
                word = one.word
        if word in ("draining", "gone") and step.at > told_at + self.grace:
            return [f"{step.edge} was told at {told_at} that {step.server} is {word}"]
        return []

    # Rule 4

    def _cold(self, step: Step) -> list[str]:
        starts = [one for one in self.history if one.kind == "began" and one.server == step.server]
        if not starts or step.at - starts[-1].at >= starts[-1].warm_after:
            return []
        start = starts[-1]
        came = [one.at for one in self.history if one.kind == "sent" and one.server == step.server]
        came = [at for at in came if at >= start.at] + [step.at]
        for first in came:  # every window that ends now, from each earlier arrival on
            if step.at - first >= start.window:
                continue
            many = sum(first <= at for at in came)
            age = max(0, step.at - start.window - start.at)
            share = start.cold_share + (1 - start.cold_share) * age / start.warm_after
            most = start.multiple * share * start.per_second * start.window / 10**9
            if many >= most:
                return [f"{many} reached {step.server} within a window that takes {most:.1f}"]
        return []

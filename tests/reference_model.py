"""A reference model of the five rules, which evaluates the complete history again at each step.

It shares no code with the router or its audit, and is written for readability instead of speed. A step is an
event that is about to occur; `RuleModel.step` returns the rules that it violates, and adds it to the history.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class Step:
    """An event at time `at`, ns. Kinds:

    Of a dialog: accepted (`until`: its no-answer deadline), answered (`detail`: the answer), ended (after it
    was established), caller-gone.

    Of an attempt: sent, established, closed, timed-out, reset, cancelled, unsent (it was never sent).

    Of the fleet: endpoint-update (`edge` receives the phase `detail` of `server`), server-started (`server`,
    in slow start), edge-restarted (`edge`), edge-stalled (`edge` is stalled until `until`), time-passed.
    """

    at: int
    kind: str
    dialog: str = ""
    server: str = ""
    edge: str = ""
    attempt: int = 0
    until: int = 0
    detail: str = ""
    # For server-started: the rate at full speed, and the slow-start parameters.
    setups_per_second: float = 0.0
    slow_start_fraction: float = 1.0
    slow_start_duration: int = 0
    overload_multiple: float = 1.0
    overload_window: int = 1


ATTEMPT_ENDS = ("closed", "timed-out", "reset", "cancelled", "unsent")
ENDS_WITHOUT_RELEASE = ("closed", "unsent")
OUT_OF_SERVICE = ("draining", "gone")


class RuleModel:
    """Checks the rules over one run. `slack`: tolerance for clock differences, ns; 0 in virtual time."""

    def __init__(self, release_delay: int, slack: int = 0) -> None:
        self.release_delay = release_delay
        self.slack = slack
        self.history: list[Step] = []
        self.violations: list[tuple[int, int, str]] = []

    def step(self, step: Step) -> list[int]:
        """Returns all rules that a step violates; `violations` collects rule, step number and reason."""
        found = [(1, reason) for reason in self._find_overdue(step)]
        match step.kind:
            case "answered" | "ended":
                found += [(1, reason) for reason in self._find_wrong_answer(step)]
            case "sent":
                found += [(2, reason) for reason in self._find_parallel_attempts(step)]
                found += [(3, reason) for reason in self._find_out_of_service(step)]
                found += [(4, reason) for reason in self._find_overload(step)]
                found += [(5, reason) for reason in self._find_early_retry(step)]
        self.history.append(step)
        self.violations += [(rule, len(self.history) - 1, reason) for rule, reason in found]
        return [rule for rule, _ in found]

    def counts(self) -> Counter[str]:
        """Returns the number of steps by kind; answers and endpoint updates are counted by detail."""
        return Counter(
            f"{step.kind} {step.detail}" if step.kind in ("endpoint-update", "answered") else step.kind
            for step in self.history
        )

    def format_last(self, count: int = 12) -> str:
        """Formats the last steps, one per line."""
        return "\n".join(map(str, self.history[-count:]))

    # Rule 1

    def _steps_since_accepted(self, dialog: str) -> list[Step]:
        """Returns the steps of a dialog since it was last accepted."""
        steps = [step for step in self.history if step.dialog == dialog]
        accepted = [index for index, step in enumerate(steps) if step.kind == "accepted"]
        return steps[accepted[-1] :] if accepted else steps

    def _find_overdue(self, now: Step) -> list[str]:
        """Finds unanswered dialogs whose deadline passes with this step."""
        last = self.history[-1].at if self.history else now.at
        found = []
        for index, accepted in enumerate(self.history):
            if accepted.kind != "accepted" or not last <= accepted.until + self.slack < now.at:
                continue
            later_steps = [step for step in self.history[index:] if step.dialog == accepted.dialog]
            if any(step.kind in ("answered", "caller-gone") for step in later_steps):
                continue
            stalls = [
                step for step in self.history if step.kind == "edge-stalled" and step.edge == accepted.edge
            ]
            if not any(step.at <= accepted.until <= step.until for step in stalls):
                found.append(f"{accepted.dialog} had no answer by {accepted.until}")
        return found

    def _find_wrong_answer(self, answer: Step) -> list[str]:
        steps = self._steps_since_accepted(answer.dialog)
        answers = [step.detail for step in steps if step.kind == "answered"]
        if not steps or steps[0].kind != "accepted":
            return [f"{answer.dialog} was never accepted"]
        if answer.kind == "ended":
            has_ended = any(step.kind == "ended" for step in steps)
            return (
                [] if answers == ["stands"] and not has_ended else [f"{answer.dialog} ended after {answers}"]
            )
        reasons = [f"{answer.dialog} was answered before: {answers[0]}"] if answers else []
        if any(step.kind == "caller-gone" for step in steps):
            reasons.append(f"{answer.dialog} is answered after its caller has gone")
        if answer.at > steps[0].until + self.slack:
            reasons.append(f"{answer.dialog} is answered {answer.at - steps[0].until} ns late")
        return reasons

    # Rules 2 and 5

    def _find_parallel_attempts(self, sent: Step) -> list[str]:
        steps = [step for step in self.history if step.dialog == sent.dialog]
        in_flight = [
            step
            for index, step in enumerate(steps)
            if step.kind == "sent"
            and not any(
                end.kind in ATTEMPT_ENDS and end.attempt == step.attempt for end in steps[index + 1 :]
            )
        ]
        return [
            f"{sent.dialog}: attempt {step.attempt} at {step.server} is still in flight" for step in in_flight
        ]

    def _find_early_retry(self, sent: Step) -> list[str]:
        steps = [step for step in self.history if step.dialog == sent.dialog]
        for index, end in enumerate(steps):
            if end.kind not in ATTEMPT_ENDS or end.kind in ENDS_WITHOUT_RELEASE:
                continue
            was_established = any(
                step.kind == "established" and step.attempt == end.attempt for step in steps[:index]
            )
            if not was_established and sent.at - end.at < self.release_delay - self.slack:
                return [
                    f"{sent.dialog} is sent {sent.at - end.at} ns after attempt {end.attempt}: {end.kind}"
                ]
        return []

    # Rule 3

    def _find_out_of_service(self, sent: Step) -> list[str]:
        phase = ""
        out_of_service_since = 0
        for step in self.history:
            if step.kind == "edge-restarted" and step.edge == sent.edge:
                phase = ""
            elif step.kind == "endpoint-update" and (step.edge, step.server) == (sent.edge, sent.server):
                # Repeated updates do not change the time since which the server is out of service.
                is_repeated = step.detail != "in-service" and phase in OUT_OF_SERVICE
                out_of_service_since = out_of_service_since if is_repeated else step.at
                phase = step.detail
        if phase in OUT_OF_SERVICE and sent.at > out_of_service_since + self.slack:
            return [f"{sent.edge} received at {out_of_service_since} that {sent.server} is {phase}"]
        return []

    # Rule 4

    def _find_overload(self, sent: Step) -> list[str]:
        starts = [
            step for step in self.history if step.kind == "server-started" and step.server == sent.server
        ]
        if not starts or sent.at - starts[-1].at >= starts[-1].slow_start_duration:
            return []
        start = starts[-1]
        times = [step.at for step in self.history if step.kind == "sent" and step.server == sent.server]
        times = [at for at in times if at >= start.at] + [sent.at]
        for first in times:  # all windows that begin at an earlier set-up and contain this one
            if sent.at - first >= start.overload_window:
                continue
            count = sum(first <= at for at in times)
            age = max(0, sent.at - start.overload_window - start.at)
            initial = start.slow_start_fraction
            speed = initial + (1 - initial) * age / start.slow_start_duration
            overload_rate = start.overload_multiple * speed * start.setups_per_second
            limit = overload_rate * start.overload_window / 10**9
            if count >= limit:
                return [f"{count} set-ups for {sent.server} in an overload window, limit {limit:.1f}"]
        return []

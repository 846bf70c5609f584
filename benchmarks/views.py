"""Simulated membership of large fleets: detection time of failures, false positives, and cost.

    python benchmarks/views.py deaths --members 220 --hours 1 --loss 0.05 --stalls
    python benchmarks/views.py false --members 220 --hours 24 --loss 0.05 --jobs 8
    python benchmarks/views.py cost --members 1000
    python benchmarks/views.py cut --members 220 --rounds 20

`--as` replaces the program's protocol by a baseline: `heartbeats` (every member sends to all others each
period; one silent for five periods is gone), `unsuspecting` (a failed probe declares a member gone),
`trusting` (no local health). With `--stalls` one in twenty members stalls for 2 s at a time, every 20 s on
average. Seeds count up from `--seed`; the same command prints the same figures.
"""

from __future__ import annotations

import argparse
import dataclasses
import random
import statistics
from collections import Counter
from collections.abc import Callable
from multiprocessing import Pool

from valverouter.emulator.membership_simulation import SECOND, MembershipSimulation, SimulatedNode
from valverouter.fleet.authentication import datagram_size
from valverouter.membership.config import MembershipConfig
from valverouter.membership.events import EventKind, MembershipEvent
from valverouter.membership.membership import Membership
from valverouter.membership.messages import Gossip, Message
from valverouter.membership.records import MemberRecord, MemberState, as_reported, next_own_record
from valverouter.membership.view import MembershipView
from valverouter.servermodel.paths import NetworkPaths, PathFault

BASELINES = ("program", "heartbeats", "unsuspecting", "trusting")
SEEDS = ("e0:1", "e1:1", "e2:1")
# In the baseline `heartbeats`, a member silent for this many periods is gone: about the program's own
# detection time.
MAX_SILENT_PERIODS = 5


class Heartbeats:
    """A baseline: every member sends to all others each period. Has the interface of `Membership`."""

    def __init__(
        self,
        own_record: MemberRecord,
        config: MembershipConfig,
        draw: Callable[[], float],
        now: int,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.own_record, self.config = own_record, config
        self.view = MembershipView(0)
        self.view.set_record(own_record, now)
        self.outbox: list[tuple[str, Message]] = []
        self.events: list[MembershipEvent] = []
        self.next_timer = now + int(draw() * config.probe_period)
        self._last_received_at: dict[str, int] = {}

    def take_outbox(self) -> list[tuple[str, Message]]:
        """Empties the outbox and returns what was in it."""
        outbox, self.outbox = self.outbox, []
        return outbox

    def take_events(self) -> list[MembershipEvent]:
        """Empties the events and returns what was in them."""
        events, self.events = self.events, []
        return events

    def receive(self, now: int, address: str, message: Message) -> None:
        """Handles a heartbeat, which shows that its sender is live."""
        self._last_received_at[message.name] = now
        record = self.view.records.get(message.name)
        if record is not None and not record.is_live:
            self.view.set_record(next_own_record(record), now)

    def tick(self, now: int) -> None:
        """Sends heartbeats, and declares silent members gone unless this process itself was delayed."""
        period = self.config.probe_period
        late = now - self.next_timer > period // 2
        self.next_timer = now + period
        own_name = self.own_record.name
        heartbeat = Gossip(own_name, self.own_record.incarnation, 0)
        for name, record in list(self.view.records.items()):
            if name == own_name or not record.is_live:
                continue
            self.outbox.append((record.address, heartbeat))
            if late:
                self._last_received_at[name] = now
            elif now - self._last_received_at.setdefault(name, now) > MAX_SILENT_PERIODS * period:
                gone = as_reported(record, MemberState.GONE, own_name)
                self.view.set_record(gone, now)
                self.events.append(MembershipEvent(now, EventKind.GONE, gone, own_name))


@dataclasses.dataclass(frozen=True)
class Case:
    """One simulated round. `measurement`: a key of MEASUREMENTS; `seconds`: its simulated length."""

    measurement: str
    members: int
    loss: float
    stalls: bool
    baseline: str
    seed: int
    seconds: float


def build_config(baseline: str) -> MembershipConfig:
    """Returns the configuration of a baseline."""
    return MembershipConfig(
        suspicion_enabled=baseline != "unsuspecting", local_health_enabled=baseline != "trusting"
    )


def start_fleet(
    case: Case,
    on_event: Callable[[SimulatedNode, MembershipEvent], None],
    faults: list[PathFault] | None = None,
    count_bytes: bool = False,
) -> MembershipSimulation:
    """Starts a fleet whose views have converged; `count_bytes`: sent bytes are counted."""
    rng = random.Random(f"paths/{case.seed}")
    make = Heartbeats if case.baseline == "heartbeats" else Membership
    simulation = MembershipSimulation(
        build_config(case.baseline),
        NetworkPaths(
            faults or [], rng.random, lambda a, b: 500_000 + int(rng.random() * 1_500_000), case.loss
        ),
        case.seed,
        on_event,
        datagram_size if count_bytes else None,
        make,  # type: ignore[arg-type]
    )
    simulation.start_converged(case.members, SEEDS)
    if case.stalls:
        stalling = random.Random(f"stalls/{case.seed}")
        for name in stalling.sample(sorted(simulation.nodes), case.members // 20):
            _schedule_stalls(simulation, name, stalling)
    return simulation


def _schedule_stalls(simulation: MembershipSimulation, name: str, rng: random.Random) -> None:
    """Schedules stalls of a member: 2 s at a time, every 20 s on average."""

    def stall() -> None:
        simulation.stall(name, 2 * SECOND)
        simulation.call_at(simulation.now + 2 * SECOND + int(rng.expovariate(1 / 18) * SECOND), stall)

    simulation.call_at(int(rng.random() * 20 * SECOND), stall)


def measure_detection(case: Case) -> dict[str, list[float]]:
    """Kills members one by one; returns detection times by all others, and failures that some missed."""
    uninformed: set[str] = set()
    killed: dict[str, int] = {}
    detection_times_s: list[float] = []

    def on_event(node: SimulatedNode, event: MembershipEvent) -> None:
        if event.kind is EventKind.GONE and event.record.name in killed:
            uninformed.discard(node.name)
            if not uninformed:
                detection_times_s.append((simulation.now - killed.pop(event.record.name)) / SECOND)

    simulation = start_fleet(case, on_event)
    rng = random.Random(f"deaths/{case.seed}")
    simulation.run_until(3 * SECOND)
    missed = 0
    while simulation.now < case.seconds * SECOND:
        name = rng.choice(sorted(simulation.nodes))
        simulation.run_until(simulation.now + int(rng.random() * SECOND))
        simulation.kill(name)
        uninformed = {node.name for node in simulation.running_nodes()}
        killed[name] = simulation.now
        simulation.run_until(simulation.now + 30 * SECOND)
        missed += len(killed)
        killed.clear()
        simulation.start(
            name, SEEDS, known_records=[node.membership.own_record for node in simulation.running_nodes()]
        )
        simulation.run_until(simulation.now + 5 * SECOND)
    return {"spans": detection_times_s, "missed": [float(missed)]}


def measure_false_positives(case: Case) -> dict[str, list[float]]:
    """Counts false positives without failures, once per member and record, and accusations received."""
    false_positives: set[tuple[str, int, int]] = set()
    counts: Counter[EventKind] = Counter()

    def on_event(node: SimulatedNode, event: MembershipEvent) -> None:
        counts[event.kind] += 1
        if event.kind is EventKind.GONE:
            false_positives.add((event.record.name, event.record.incarnation, event.record.sequence))

    simulation = start_fleet(case, on_event)
    simulation.run_until(int(case.seconds * SECOND))
    return {"wrong": [float(len(false_positives))], "suspects": [float(counts[EventKind.ACCUSED])]}


def measure_cost(case: Case) -> dict[str, list[float]]:
    """Returns the messages and bytes per second of each member."""
    simulation = start_fleet(case, lambda node, event: None, count_bytes=True)
    simulation.run_until(int(case.seconds * SECOND))
    nodes = list(simulation.nodes.values())
    return {
        "messages": [sum(node.sent_counts.values()) / case.seconds for node in nodes],
        "bytes": [node.sent_bytes / case.seconds for node in nodes],
    }


def measure_partition(case: Case) -> dict[str, list[float]]:
    """Partitions the fleet into halves from 5 s to 65 s; returns the time until all digests are equal."""
    half = frozenset(f"e{at}" for at in range(case.members // 2))
    # Only one group is listed; all other members form the second one.
    fault = PathFault("split", 5 * SECOND, 65 * SECOND, groups=(half,))
    simulation = start_fleet(case, lambda node, event: None, [fault])
    simulation.run_until(65 * SECOND)
    converged_at = simulation.run_until_converged(185 * SECOND, SECOND // 10)
    return {"settled": [float("inf") if converged_at is None else (converged_at - 65 * SECOND) / SECOND]}


MEASUREMENTS = {
    "deaths": measure_detection,
    "false": measure_false_positives,
    "cost": measure_cost,
    "cut": measure_partition,
}


def run_case(case: Case) -> dict[str, list[float]]:
    """Returns the values of one round, by name."""
    return MEASUREMENTS[case.measurement](case)


def parse_arguments() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("measurement", choices=sorted(MEASUREMENTS))
    parser.add_argument("--members", type=int, default=220)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--stalls", action="store_true")
    parser.add_argument("--as", dest="baseline", choices=BASELINES, default="program")
    parser.add_argument("--hours", type=float, default=0.0, help="simulated, over all jobs")
    parser.add_argument("--seconds", type=float, default=60.0, help="simulated, of each round")
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def make_cases(options: argparse.Namespace) -> list[Case]:
    """Returns the rounds to simulate, with consecutive seeds."""
    rounds, seconds = options.rounds, options.seconds
    if options.hours:
        # Rounds of a quarter of an hour, so that all jobs stay busy until the end.
        rounds = max(1, round(options.hours * 4))
        seconds = options.hours * 3_600 / rounds
    return [
        Case(
            measurement=options.measurement,
            members=options.members,
            loss=options.loss,
            stalls=options.stalls,
            baseline=options.baseline,
            seed=options.seed + number,
            seconds=seconds,
        )
        for number in range(rounds)
    ]


def report(cases: list[Case], results: list[dict[str, list[float]]]) -> None:
    """Prints the merged values of all rounds."""
    first, last = cases[0], cases[-1]
    heading = f"{first.measurement} {first.baseline} members={first.members} loss={first.loss}"
    print(
        f"{heading} stalls={first.stalls} seeds={first.seed}..{last.seed} of {first.seconds:g} s", flush=True
    )
    merged: dict[str, list[float]] = {}
    for result in results:
        for name, values in result.items():
            merged.setdefault(name, []).extend(values)
    for name, values in merged.items():
        values.sort()
        percentile_99 = values[min(len(values) - 1, int(0.99 * len(values)))]
        print(
            f"  {name}: n={len(values)} sum={sum(values):g} median={statistics.median(values):.2f} "
            f"99%={percentile_99:.2f} most={values[-1]:.2f}",
            flush=True,
        )


def main() -> None:
    """Simulates the rounds in parallel and prints the results."""
    options = parse_arguments()
    cases = make_cases(options)
    with Pool(options.jobs) as pool:
        results = pool.map(run_case, cases, chunksize=1)
    report(cases, results)


if __name__ == "__main__":
    main()

"""Tests of the membership protocol in simulated time: faults are injected, then the views must converge."""

from __future__ import annotations

import dataclasses
import itertools
import random

import pytest

from tests.membership_harness import SEEDS, SimulatedFleet, member_names, partition, with_later_sequence
from valverouter.config import scenario_sections
from valverouter.emulator.membership_simulation import SECOND, WALL_CLOCK_START_MS, SimulatedNode
from valverouter.membership.config import MembershipConfig
from valverouter.membership.convergence import ViewHealth
from valverouter.membership.events import EventKind
from valverouter.membership.messages import Gossip, Ping, SyncDigests, updates_of
from valverouter.membership.records import MemberState, as_reported, next_own_record
from valverouter.servermodel.paths import PATH_FAULT_KINDS, NetworkPaths, PathFault


def test_a_fleet_that_knows_only_three_seeds_converges() -> None:
    fleet = SimulatedFleet(1)
    for index in range(1, 24):
        fleet.simulation.start(f"e{index}", SEEDS)
    assert fleet.wait_for_convergence(10) < 5


def test_all_detect_a_death_and_learn_of_a_leave_at_once() -> None:
    fleet = SimulatedFleet(24)
    fleet.simulation.run_until(5 * SECOND)
    fleet.simulation.kill("e7")
    assert fleet.wait_for_convergence(12) < 11
    assert fleet.event_count(EventKind.GONE, "e7") == 23
    assert fleet.event_count(EventKind.GONE) == 23
    fleet.simulation.leave("e9")
    assert fleet.wait_for_convergence(4) < 2
    assert fleet.event_count(EventKind.LEFT, "e9") == 22


def test_all_members_restarted_at_once() -> None:
    fleet = SimulatedFleet(24)
    fleet.simulation.run_until(5 * SECOND)
    for name in sorted(member_names(24)):
        fleet.simulation.kill(name)
    fleet.simulation.run_until(6 * SECOND)
    for name in sorted(member_names(24)):
        fleet.simulation.start(name, SEEDS)
    assert fleet.wait_for_convergence(15) < 10
    assert fleet.event_count(EventKind.GONE) == 0, "no member declares a restarted one gone"


def test_a_third_of_the_members_killed_at_once() -> None:
    fleet = SimulatedFleet(24)
    fleet.simulation.run_until(5 * SECOND)
    for index in range(0, 24, 3):
        fleet.simulation.kill(f"e{index}")
    fleet.wait_for_convergence(20)
    assert {node.membership.view_health for node in fleet.simulation.running_nodes()} == {ViewHealth.SETTLED}


def test_a_partition_longer_than_the_retention_with_restarts_on_both_sides() -> None:
    config = dataclasses.replace(MembershipConfig(), gone_retention=20 * SECOND)
    south = {f"e{index}" for index in range(12, 24)}
    fleet = SimulatedFleet(24, [partition(5, 60, member_names(24) - south, south)], config=config)
    fleet.simulation.run_until(50 * SECOND)
    assert fleet.event_count(EventKind.FORGOTTEN), "both sides have forgotten each other"
    for name in ("e4", "e15"):
        fleet.simulation.kill(name)
        fleet.simulation.start(name, SEEDS, address=f"{name}:2")
    fleet.simulation.run_until(65 * SECOND)
    assert fleet.wait_for_convergence(30) < 25


def test_sides_without_seeds_find_each_other_by_forgotten_addresses() -> None:
    config = dataclasses.replace(MembershipConfig(), gone_retention=15 * SECOND)
    fleet = SimulatedFleet(
        0,
        [partition(2, 50, {f"e{index}" for index in range(4)}, {f"e{index}" for index in range(4, 8)})],
        config=config,
    )
    fleet.simulation.start_converged(8)
    fleet.simulation.run_until(52 * SECOND)
    assert fleet.event_count(EventKind.FORGOTTEN) >= 16
    fleet.wait_for_convergence(40)


def test_a_member_that_receives_but_is_not_received_is_gone_and_comes_back() -> None:
    one_way = PathFault("cut", 5 * SECOND, 25 * SECOND, frozenset({"e5"}), frozenset())
    fleet = SimulatedFleet(12, [one_way])
    fleet.simulation.run_until(25 * SECOND)
    assert fleet.event_count(EventKind.GONE, "e5") == 11
    assert not any(
        observer != "e5" and member != "e5"
        for observer, kind, member in fleet.event_counts
        if kind is EventKind.GONE
    )
    fleet.wait_for_convergence(20)


def test_a_one_way_cut_between_two_members_is_bypassed_by_indirect_probes() -> None:
    fleet = SimulatedFleet(
        12, [PathFault("cut", 5 * SECOND, 60 * SECOND, frozenset({"e5"}), frozenset({"e8"}))]
    )
    fleet.simulation.run_until(60 * SECOND)
    assert fleet.event_count(EventKind.GONE) == 0, "helpers reach it and forward its acks"


def test_a_member_stopped_for_8_s_ten_times_in_a_row_declares_nobody_gone() -> None:
    fleet = SimulatedFleet(24)
    for index in range(10):
        fleet.simulation.run_until((5 + 9 * index) * SECOND)
        fleet.simulation.stall("e5", 8 * SECOND)
    fleet.simulation.run_until(95 * SECOND)
    fleet.wait_for_convergence(15)
    deaths = {(observer, member) for observer, kind, member in fleet.event_counts if kind is EventKind.GONE}
    assert not [member for observer, member in deaths if observer == "e5"], (
        "the stalled member declares no member gone"
    )
    assert all(member == "e5" for _, member in deaths)


def test_a_member_whose_every_answer_comes_300_ms_late_is_not_suspected() -> None:
    late = PathFault("late", 0, 120 * SECOND, frozenset({"e5"}), frozenset(), delay=300_000_000)
    fleet = SimulatedFleet(24, [late])
    fleet.simulation.run_until(120 * SECOND)
    assert fleet.event_count(EventKind.GONE) == 0
    assert fleet.event_count(EventKind.SUSPECT) == 0


def test_30_percent_loss_everywhere_causes_suspicions_and_no_death() -> None:
    fleet = SimulatedFleet(24, [PathFault("loss", 0, 60 * SECOND, probability=0.3)])
    fleet.simulation.run_until(60 * SECOND)
    assert fleet.event_count(EventKind.GONE) == 0
    assert fleet.event_count(EventKind.SUSPECT) > 0
    fleet.wait_for_convergence(10)


def test_duplicated_and_reordered_messages_change_nothing() -> None:
    mixed = [
        PathFault("twice", 0, 60 * SECOND, probability=0.5, delay=3 * SECOND),
        PathFault("swapped", 0, 60 * SECOND, probability=0.5, delay=200_000_000),
    ]
    fleet = SimulatedFleet(24, mixed)
    fleet.simulation.run_until(40 * SECOND)
    assert fleet.event_count(EventKind.GONE) == 0
    fleet.simulation.kill("e3")
    fleet.simulation.run_until(60 * SECOND)
    assert fleet.simulation.is_converged()


def test_all_seeds_dead() -> None:
    fleet = SimulatedFleet(12)
    for index in range(3):
        fleet.simulation.kill(f"e{index}")
    fleet.wait_for_convergence(20)
    fleet.simulation.start("e12", SEEDS)
    fleet.simulation.run_until(fleet.simulation.now + 5 * SECOND)
    assert fleet.simulation.nodes["e12"].membership.view_health is ViewHealth.UNSETTLED, (
        "no live peer although seeds are configured: not a fleet of one"
    )
    fleet.simulation.start("e1", ("e5:1",))
    fleet.wait_for_convergence(20)


def test_a_restart_with_the_clock_set_back_an_hour() -> None:
    fleet = SimulatedFleet(12)
    fleet.simulation.run_until(5 * SECOND)
    for name in ("e4", "e0"):
        previous = fleet.simulation.nodes[name].membership.own_record
        fleet.simulation.kill(name)
        restarted = fleet.simulation.start(name, SEEDS, wall_ms=WALL_CLOCK_START_MS - 3_600_000)
        fleet.simulation.run_until(fleet.simulation.now + 3 * SECOND)
        assert restarted.membership.own_record.generation > previous.generation
        assert previous.incarnation in restarted.membership.own_record.previous_incarnations
        # A delayed record of the previous incarnation.
        for node in fleet.simulation.running_nodes():
            gossip = Gossip(
                "e9",
                fleet.simulation.nodes["e9"].membership.own_record.incarnation,
                0,
                (with_later_sequence(previous, 9),),
            )
            node.membership.receive(fleet.simulation.now, "e9:1", gossip)
    fleet.wait_for_convergence(10)
    for node in fleet.simulation.running_nodes():
        assert (
            node.membership.view.records["e4"].incarnation
            == fleet.simulation.nodes["e4"].membership.own_record.incarnation
        )


def test_a_probe_of_a_previous_incarnation_tells_the_new_one_of_it() -> None:
    """The new incarnation has no seeds and the lower generation, as its clock was set back.

    It can learn of the previous incarnation only from members that probe its address.
    """
    fleet = SimulatedFleet(4)
    fleet.simulation.run_until(5 * SECOND)
    fleet.simulation.kill("e3")
    previous = fleet.simulation.nodes["e3"].membership.own_record
    restarted = fleet.simulation.start("e3", (), wall_ms=WALL_CLOCK_START_MS - 3_600_000)
    fleet.wait_for_convergence(10)
    assert previous.incarnation in restarted.membership.own_record.previous_incarnations, (
        "a member that probed the previous incarnation sent its record"
    )


def start_second_process(fleet: SimulatedFleet) -> tuple[SimulatedNode, SimulatedNode]:
    """Starts another process under the name of e3; returns the first and the second process."""
    first = fleet.simulation.nodes["e3"]
    second = fleet.simulation.start("e3", SEEDS, address="e3:2")
    fleet.simulation.nodes["e3-first"] = first
    return first, second


def test_two_processes_with_one_name_both_report_the_conflict_and_do_not_flap() -> None:
    fleet = SimulatedFleet(8)
    fleet.simulation.run_until(5 * SECOND)
    first, second = start_second_process(fleet)
    fleet.simulation.run_until(20 * SECOND)
    assert fleet.event_counts["e3", EventKind.CONFLICT, "e3"] == 2, "each of the two reports it once"
    assert first.membership.name_conflict.incarnation == second.membership.own_record.incarnation
    assert second.membership.name_conflict.incarnation == first.membership.own_record.incarnation
    held = {
        node.membership.view.records["e3"].incarnation
        for node in fleet.simulation.running_nodes()
        if node.name != "e3"
    }
    assert len(held) == 1
    assert all(
        node.membership.view.records["e3"].name_conflict
        for node in fleet.simulation.running_nodes()
        if node.name != "e3"
    )
    before = fleet.event_count(EventKind.RESTARTED)
    fleet.simulation.run_until(120 * SECOND)
    assert fleet.event_count(EventKind.RESTARTED) == before
    assert fleet.event_count(EventKind.GONE) == 0
    # The process in the views ends: the other one replaces it, and the conflict ends.
    ending = first if first.membership.own_record.incarnation in held else second
    remaining = second if ending is first else first
    ending.alive = False
    del fleet.simulation._nodes_by_address[ending.address]
    fleet.simulation.run_until(200 * SECOND)
    others = [node for node in fleet.simulation.running_nodes() if node.name != "e3"]
    assert {node.membership.view.records["e3"].incarnation for node in others} == {
        remaining.membership.own_record.incarnation
    }
    assert remaining.membership.view_health is ViewHealth.SETTLED
    assert not remaining.membership.own_record.name_conflict


def test_a_late_message_of_a_previous_incarnation_is_no_conflict() -> None:
    fleet = SimulatedFleet(8)
    fleet.simulation.run_until(5 * SECOND)
    previous = fleet.simulation.nodes["e3"].membership.own_record
    fleet.simulation.kill("e3")
    restarted = fleet.simulation.start("e3", SEEDS)
    fleet.simulation.run_until(7 * SECOND)
    restarted.membership.receive(
        fleet.simulation.now,
        "e3:1",
        Ping("e3", previous.incarnation, 0, 5, restarted.membership.own_record.incarnation),
    )
    fleet.simulation.run_until(20 * SECOND)
    assert fleet.event_count(EventKind.CONFLICT) == 0
    assert not restarted.membership.own_record.name_conflict


def test_a_fleet_of_40_keeps_a_view_of_40() -> None:
    fleet = SimulatedFleet(40)
    fleet.simulation.run_until(10 * SECOND)
    assert {node.membership.view.live_count for node in fleet.simulation.running_nodes()} == {40}
    assert {node.membership.view_health for node in fleet.simulation.running_nodes()} == {ViewHealth.SETTLED}


def test_a_minority_is_cut_off_and_a_majority_is_not() -> None:
    minority = {"e0", "e1", "e2"}
    fleet = SimulatedFleet(12, [partition(5, 60, minority, member_names(12) - minority)])
    fleet.simulation.run_until(30 * SECOND)
    for node in fleet.simulation.running_nodes():
        assert node.membership.view_health is (
            ViewHealth.CUT_OFF if node.name in minority else ViewHealth.SETTLED
        )
    fleet.simulation.run_until(65 * SECOND)
    fleet.wait_for_convergence(20)
    fleet.simulation.run_until(fleet.simulation.now + 10 * SECOND)
    assert {node.membership.view_health for node in fleet.simulation.running_nodes()} == {ViewHealth.SETTLED}


def test_a_single_partitioned_member_is_cut_off_before_it_declares_anybody_gone() -> None:
    fleet = SimulatedFleet(12, [partition(5, 30, {"e0"}, member_names(12) - {"e0"})])
    fleet.simulation.run_until(13 * SECOND)
    assert fleet.simulation.nodes["e0"].membership.view_health is ViewHealth.CUT_OFF
    assert not any(observer == "e0" and kind is EventKind.GONE for observer, kind, _ in fleet.event_counts)


def test_a_failed_probe_proves_nothing_once_its_target_has_refuted() -> None:
    """Guards against a failure that simulated scenarios with stalls had: a final probe that began before a
    refutation declared the member gone on its next stall.
    """
    fleet = SimulatedFleet(6)
    fleet.simulation.run_until(3 * SECOND)
    member = fleet.simulation.nodes["e0"].membership
    held = member.view.records["e1"]
    member.failure_detector.probe(as_reported(held, MemberState.SUSPECT, "e2"), is_final=True)
    (nonce,) = [nonce for nonce, probe in member.failure_detector.probes.pending.items() if probe.is_final]
    member.member_updates.apply(next_own_record(held))
    member.member_updates.apply(as_reported(next_own_record(held), MemberState.SUSPECT, "e2"))
    member.failure_detector._on_probe_deadline(nonce)
    assert member.view.records["e1"].state is MemberState.SUSPECT, (
        "not gone: the suspicion is newer than the probe"
    )


def test_a_member_that_missed_a_refutation_learns_of_it_by_indirect_probes() -> None:
    fleet = SimulatedFleet(6)
    fleet.simulation.run_until(3 * SECOND)
    requester, helper = fleet.simulation.nodes["e0"].membership, fleet.simulation.nodes["e2"].membership
    old = requester.view.records["e1"]
    helper.member_updates.apply(next_own_record(old))
    requester.member_updates.apply(as_reported(old, MemberState.SUSPECT, "e3"))
    requester.failure_detector.probe(requester.view.records["e1"], is_final=True)
    (nonce,) = [nonce for nonce, probe in requester.failure_detector.probes.pending.items() if probe.is_final]
    fleet.simulation.nodes["e1"].stalled_until = fleet.simulation.now + 2 * SECOND
    requester.failure_detector._probe_indirectly(nonce)
    fleet.simulation._flush(fleet.simulation.nodes["e0"])
    fleet.simulation.run_until(fleet.simulation.now + 100_000_000)
    assert requester.view.records["e1"].sequence > old.sequence


def test_anti_entropy_sends_pages_within_the_byte_limit() -> None:
    fleet = SimulatedFleet(200)
    complete, empty = fleet.simulation.nodes["e3"], fleet.simulation.nodes["e4"]
    for name in list(empty.membership.view.records):
        if name not in ("e3", "e4"):
            empty.membership.view.forget(name)
    empty.membership.receive(
        0,
        "e3:1",
        SyncDigests(
            "e3",
            complete.membership.own_record.incarnation,
            0,
            tuple(complete.membership.view.bucket_digests),
            (complete.membership.own_record,),
        ),
    )
    pages = [message for _, message in empty.membership.outbox]
    assert pages
    assert all(
        sum(record.size for record in updates_of(page)) <= empty.membership.config.max_update_bytes
        for page in pages
    )
    fleet.simulation._flush(empty)
    fleet.simulation.run_until(SECOND // 2)
    assert empty.membership.view.digest == complete.membership.view.digest
    assert empty.membership.view.live_count == 200


@pytest.mark.parametrize("seed", range(6))
def test_mixed_faults_converge_and_nobody_goes_back_to_a_previous_incarnation(seed: int) -> None:
    rng = random.Random(seed)
    faults = []
    for _ in range(5):
        kind = rng.choice(PATH_FAULT_KINDS)
        start = int(rng.uniform(2, 30) * SECOND)
        members = frozenset(rng.sample(sorted(member_names(16)), rng.randint(1, 8)))
        until = start + int(rng.uniform(1, 15) * SECOND)
        faults.append(
            PathFault(
                kind,
                start,
                until,
                members,
                bidirectional=True,
                probability=0.4,
                delay=SECOND // 4,
                groups=(members,),
            )
        )
    fleet = SimulatedFleet(16, faults)
    seen: dict[tuple[int, str], list[int]] = {}

    def check_incarnations() -> None:
        for node in fleet.simulation.running_nodes():
            for name, held in node.membership.view.records.items():
                incarnations = seen.setdefault((node.membership.own_record.incarnation, name), [])
                if held.is_live and (not incarnations or incarnations[-1] != held.incarnation):
                    assert held.incarnation not in incarnations, (
                        f"{node.name} reverted to a previous incarnation of {name}"
                    )
                    incarnations.append(held.incarnation)

    for second in range(2, 46):
        fleet.simulation.run_until(second * SECOND)
        check_incarnations()
        name = f"e{rng.randrange(16)}"
        if rng.random() < 0.3 and fleet.simulation.nodes[name].alive:
            if rng.random() < 0.5:
                fleet.simulation.stall(name, 3 * SECOND)
            else:
                fleet.simulation.kill(name)
        elif not fleet.simulation.nodes[name].alive:
            clock_offset_ms = rng.choice((0, 3_600_000))
            fleet.simulation.start(name, SEEDS, wall_ms=WALL_CLOCK_START_MS + second * 1000 - clock_offset_ms)
    fleet.simulation.run_until(50 * SECOND)
    fleet.wait_for_convergence(40)
    check_incarnations()


def test_path_faults_affect_only_the_named_pairs() -> None:
    assert scenario_sections.PATH_FAULT_KINDS == PATH_FAULT_KINDS
    cut = PathFault("cut", 10, 20, frozenset({"a"}), frozenset({"b"}))
    both = PathFault("cut", 30, 40, frozenset({"a"}), frozenset({"b"}), bidirectional=True)
    halves = PathFault("split", 50, 60, groups=(frozenset({"a", "b"}), frozenset({"c"})))
    paths = NetworkPaths([halves, cut, both], random.Random(1).random)

    def connected(time: int) -> set[str]:
        pairs = itertools.permutations("abc", 2)
        return {
            sender + receiver for sender, receiver in pairs if paths.delivery_delays(sender, receiver, time)
        }

    all_pairs = {"ab", "ac", "ba", "bc", "ca", "cb"}
    assert connected(5) == all_pairs
    assert connected(15) == all_pairs - {"ab"}
    assert connected(25) == all_pairs
    assert connected(35) == all_pairs - {"ab", "ba"}
    assert connected(55) == {"ab", "ba"}
    assert connected(65) == all_pairs

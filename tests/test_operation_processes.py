"""Operations on real processes on loopback, with faults; the checks read the supervisors' logs.

One test runs by default. The other tests take minutes, and are run with

    python -m pytest -n 1 -m processes tests/test_operation_processes.py
"""

from __future__ import annotations

import shutil
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import pytest
import trio

from valverouter.audit.operations import OperationsReport, check_operations
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.rollout.status import FleetStatus
from valverouter.scenarios.operation_files import NODES
from valverouter.scenarios.operation_harness import OperationHarness, run_operations
from valverouter.servermodel.paths import PathFault

FILE = Path(__file__).parent.parent / "deploy" / "days" / "fleet-course.ini"
Script = Callable[[OperationHarness], Awaitable[None]]

processes = pytest.mark.processes


def operations_scenario(length: int = 15, edges: int = 6, troubles: str = "") -> ScenarioConfig:
    text = FILE.read_text().replace("edge_proxies = 24", f"edge_proxies = {edges}")
    text = text.replace("edges = 8", f"edges = {edges // 3}").replace("length = 18s", f"length = {length}s")
    return scenario_config(IniFile(text + troubles, "orders"), "orders")


def run_script(tmp_path: Path, script: Script, length: int = 15, **options: object) -> OperationsReport:
    """Runs the script in a scenario; the general rules and those of operations must not be violated."""
    troubles = str(options.pop("troubles", ""))
    rows = run_operations(operations_scenario(length, troubles=troubles), tmp_path, script, **options)  # type: ignore[arg-type]
    verdict, rules = check_operations(rows), audit(rows)
    assert verdict is not None, verdict
    assert verdict.violations == (), verdict
    assert rules.passed, rules
    return verdict


def result_of(status: FleetStatus, operation: str) -> str:
    return next(each.result for each in status.operations if each.id == operation)


async def wait_until_unavailable(rig: OperationHarness, operation: str) -> FleetStatus:
    """Returns the status once an instance is unavailable under a permit of the operation."""
    with trio.fail_after(20):
        while True:
            status = await rig.status()
            if status is not None and any(instance.operation == operation for instance in status.instances):
                return status
            await trio.sleep(0.05)


async def leader(rig: OperationHarness) -> str:
    with trio.fail_after(20):
        while (status := await rig.status()) is None:
            await trio.sleep(0.2)
        return status.node


def test_operations_with_faults_between_real_processes(tmp_path: Path) -> None:
    """Restarts all instances while the leader and a supervisor are killed; then releases a faulty version."""

    async def script(rig: OperationHarness) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.run_client, "restart", "--all", "--id", "all")
            await wait_until_unavailable(rig, "all")
            node = await leader(rig)
            rig.kill(node)
            rig.kill("k2")
            await trio.sleep(1.5)
            rig.start(node)
            rig.start("k2")
        assert result_of(await rig.wait_until_settled(60), "all") == "done"
        code, output = await rig.run_client("release", "--all", "--to", "dies-late", "--id", "r")
        assert code == 1
        assert "halted" in output
        status = await rig.wait_until_settled(60)
        assert {instance.running_version for instance in status.instances} == {"v1"}

    verdict = run_script(tmp_path, script, 30)
    assert verdict.steps_started >= 8
    assert verdict.max_unavailable <= 2


@processes
def test_a_restart_of_all_while_three_are_restarting(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        for name in ("e0", "e2", "e4"):
            rig.kill(name)
        code, _ = await rig.run_client("restart", "--all", "--id", "all")
        assert code == 0
        assert result_of(await rig.wait_until_settled(30), "all") == "done"

    assert run_script(tmp_path, script, 30).steps_started == 6


@processes
def test_a_supervisor_that_dies_between_a_step_and_its_report(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.run_client, "restart", "e1", "--id", "one")
            log = rig.folder / "k1.log"
            with trio.fail_after(20):
                while b'"step-started"' not in log.read_bytes():
                    await trio.sleep(0.01)
            rig.kill("k1")
            await trio.sleep(2)
            rig.start("k1")
        assert result_of(await rig.wait_until_settled(30), "one") == "done"

    assert run_script(tmp_path, script).steps_started == 1


@processes
def test_the_client_killed_at_each_step(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        for client_timeout_s in (0.2, 0.4, 0.6, 0.8, 1.2, 2.0):
            await rig.run_client("restart", "e0", "e1", "--id", "one", timeout_s=client_timeout_s)
        code, _ = await rig.run_client("restart", "e0", "e1", "--id", "one")
        assert code == 0
        assert result_of(await rig.wait_until_settled(30), "one") == "done"

    assert run_script(tmp_path, script, 25).steps_started == 2


@processes
def test_two_operators_with_overlapping_sets_on_two_sides_of_a_partition(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        now = rig.fakes.now()
        left, right = frozenset({"c0", "k0", "k1"}), frozenset({"c1", "c2", "k2", "k3", "k4", "k5"})
        rig.add_path_fault(PathFault("split", now, now + 8 * 10**9, groups=(left, right)))
        codes = {}

        async def operator(operation: str, *names: str) -> None:
            codes[operation] = (await rig.run_client("drain", *names, "--id", operation))[0]

        async with trio.open_nursery() as nursery:
            nursery.start_soon(operator, "a", "e3", "e0")
            nursery.start_soon(operator, "b", "e3", "e2")
        status = await rig.wait_until_settled(40)
        assert sorted(codes.values()) == [0, 2], codes
        assert sum(instance.state == "drained" for instance in status.instances) == 2
        assert (await rig.run_client("undrain", "--all"))[0] == 0

    run_script(tmp_path, script, 40)


@processes
def test_one_leader_killed_and_one_paused_for_ten_seconds(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.run_client, "restart", "--all", "--id", "all")
            await wait_until_unavailable(rig, "all")
            nursery.start_soon(rig.pause, await leader(rig), 10.0)
            await trio.sleep(5)
            node = await leader(rig)
            rig.kill(node)
            await trio.sleep(1)
            rig.start(node)
        assert result_of(await rig.wait_until_settled(60), "all") == "done"

    assert run_script(tmp_path, script, 40).steps_started == 6


@processes
def test_a_drain_of_a_whole_region_is_rejected_for_capacity(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        code, output = await rig.run_client("drain", "--region", "north", "--id", "d")
        assert code == 2
        assert "least capacity of north" in output
        code, output = await rig.run_client("drain", "--region", "north", "--dry-run")
        assert code == 2
        assert (await rig.status() or pytest.fail("no node reports the status")).operations == ()

    assert (
        run_script(
            tmp_path, script, 10, max_unavailable=4, max_per_region=2, min_capacity_fraction=0.5
        ).steps_started
        == 0
    )


@processes
def test_three_crashes_during_a_drain_up_to_the_limit(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        assert (await rig.run_client("drain", "e0", "e2", "--id", "d"))[0] == 0
        for name in ("k1", "k3", "k5"):
            rig.kill(name)
            rig.kill(f"e{name[1:]}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.run_client, "restart", "e4", "--id", "one")
            await trio.sleep(5)
            status = await rig.status()
            assert status is not None
            assert not any(instance.operation == "one" for instance in status.instances)
            assert sum(instance.state == "away" for instance in status.instances) == 3
            for name in ("k1", "k3", "k5"):
                rig.start(name)
            await trio.sleep(4)
            assert (await rig.run_client("undrain", "--all"))[0] == 0
        # The operation may be halted by an exhausted limit or by the remaining instance, which reports that
        # it is cut off.
        assert result_of(await rig.wait_until_settled(40), "one") == "halted"

    run_script(tmp_path, script, 40)


@processes
@pytest.mark.parametrize("version", ["crashes", "dies-late", "declines", "crowds"])
def test_a_harmful_release_is_halted_and_rolled_back(tmp_path: Path, version: str) -> None:
    async def script(rig: OperationHarness) -> None:
        code, output = await rig.run_client("release", "--all", "--to", version, "--id", "r", timeout_s=90)
        assert code == 1
        assert "halted" in output
        status = await rig.wait_until_settled(60)
        assert {instance.running_version for instance in status.instances} == {"v1"}

    run_script(tmp_path, script, 50)


@processes
def test_a_harmless_release_on_a_day_with_a_slow_server_is_not_halted(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        code, output = await rig.run_client("release", "--all", "--to", "v2", "--id", "r", timeout_s=120)
        assert code == 0, output

    slow = "\n[trouble slow]\nkind = slow\nstart = 1s\nlength = 60s\nsize = 6\non = s0\n"
    assert run_script(tmp_path, script, 60, troubles=slow).outcomes == {"release: done": 1}


@processes
def test_a_partition_during_a_wave_that_heals_after_the_halt(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.run_client, "release", "--all", "--to", "v2", "--id", "r")
            await wait_until_unavailable(rig, "r")
            now = rig.fakes.now()
            cut = frozenset({"c1", "k0", "k2", "k4"})
            rest = frozenset({"c0", "c2", "k1", "k3", "k5"})
            rig.add_path_fault(PathFault("split", now, now + 8 * 10**9, groups=(cut, rest)))
            await trio.sleep(1)
            assert (await rig.run_client("halt", "r"))[0] == 0
        status = await rig.wait_until_settled(60)
        assert result_of(status, "r") == "halted"
        assert {instance.running_version for instance in status.instances} == {"v1"}

    run_script(tmp_path, script, 40)


@processes
def test_the_client_the_leader_and_an_instance_die_during_a_rollback(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        await rig.run_client("release", "--all", "--to", "v2", "--id", "r", timeout_s=14)
        await rig.run_client("back", "r", timeout_s=0.7)
        await rig.run_client("back", "r", "--no-wait")
        node = await leader(rig)
        rig.kill(node)
        rig.kill("k0")
        rig.kill("e0")
        await trio.sleep(3)
        rig.start(node)
        rig.start("k0")
        status = await rig.wait_until_settled(60)
        assert {instance.running_version for instance in status.instances} == {"v1"}

    run_script(tmp_path, script, 45)


@processes
def test_raft_servers_that_lost_their_disks_are_admitted_again(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        for node in NODES[:2]:
            rig.kill(node)
            shutil.rmtree(rig.folder / f"{node}.store")
            await trio.sleep(1)
            rig.start(node)
            with trio.fail_after(20):
                while (status := await rig.status()) is None or set(status.members) != set(NODES):
                    await trio.sleep(0.2)
            # Both membership changes must be committed before another disk is removed.
            await trio.sleep(2)
        assert (await rig.run_client("restart", "e0", "--id", "one"))[0] == 0

    assert run_script(tmp_path, script, 20).steps_started == 1


@processes
def test_a_supervisor_that_lost_its_disk_finds_what_it_had_started(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        assert (await rig.run_client("restart", "e1", "--id", "one"))[0] == 0
        before = rig.find_pid("e1")
        rig.kill("k1")
        shutil.rmtree(rig.folder / "k1.store")
        rig.start("k1")
        await rig.wait_until_settled(20)
        assert rig.find_pid("e1") == before is not None, (
            "the process kept running, and no second one was started"
        )
        assert (await rig.run_client("restart", "e1", "--id", "two"))[0] == 0
        assert rig.find_pid("e1") != before

    assert run_script(tmp_path, script, 20).steps_started == 2


@processes
def test_a_rejected_operation_may_be_submitted_again_under_its_id(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        assert (await rig.run_client("drain", "e0", "--id", "a"))[0] == 0
        assert (await rig.run_client("drain", "e1", "--id", "b"))[0] == 2
        assert (await rig.run_client("undrain", "e0"))[0] == 0
        assert (await rig.run_client("drain", "e1", "--id", "b"))[0] == 0
        assert (await rig.run_client("undrain", "--all"))[0] == 0

    assert run_script(tmp_path, script, 20).steps_started == 4


@processes
def test_an_operation_submitted_again_later_does_nothing(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        for _ in range(3):
            assert (await rig.run_client("restart", "e0", "--id", "one"))[0] == 0
            await trio.sleep(1)
        code, output = await rig.run_client("history", "one")
        assert code == 0
        assert "done" in output

    assert run_script(tmp_path, script).steps_started == 1


@processes
def test_servers_become_unavailable_one_at_a_time_under_permits(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        code, output = await rig.run_client("restart", "s0", "s1", "--servers", "--id", "s", timeout_s=90)
        assert code == 0, output

    rows = run_operations(msgspec.structs.replace(operations_scenario(60)), tmp_path, script, servers=True)
    verdict, rules = check_operations(rows), audit(rows)
    assert verdict is not None, verdict
    assert verdict.passed, verdict
    assert verdict.max_unavailable == 1, verdict
    assert rules.passed
    assert rules.check_counts[3] > 0
    assert rules.check_counts[4] > 0


@processes
def test_a_sigterm_is_obeyed_and_the_instance_counted_as_lost_without_a_permit(tmp_path: Path) -> None:
    async def script(rig: OperationHarness) -> None:
        rig.record_fault("leave-k1", "k1", 10)
        for _ in range(3):
            rig.processes["k1"].terminate()
            await trio.sleep(0.05)
        with trio.fail_after(10):
            while (status := await rig.status()) is None or status.instances[1].state != "away":
                await trio.sleep(0.1)
        # The last signal may arrive when the process has completed its shutdown and is about to exit.
        assert rig.processes["k1"].wait() in (0, -signal.SIGTERM)
        assert rig.find_pid("e1") is None
        assert b'"process-exited"' in (rig.folder / "k1.log").read_bytes()
        rig.start("k1")
        assert {instance.state for instance in (await rig.wait_until_settled(20)).instances} == {"in"}

    assert run_script(tmp_path, script).steps_started == 0

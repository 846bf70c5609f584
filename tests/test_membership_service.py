"""Tests of the membership service on sockets and in virtual time, and of `valverouter fleet view`."""

from __future__ import annotations

import random
import socket
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
import trio
from click.testing import CliRunner
from trio.testing import MockClock

from tests.membership_service_harness import (
    EDGE_SECTIONS,
    GOSSIP_SECTION,
    KEY,
    OTHER_KEY,
    SECOND,
    address_of,
    edge_config,
    live_members,
    new_service,
    ping,
    running,
    view_health,
    wait_until,
    write_key_file,
)
from valverouter.cli.__main__ import main
from valverouter.config.gossip import GossipConfig
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.authentication import Authenticator
from valverouter.fleet.client import FleetClient
from valverouter.fleet.membership_service import MembershipService
from valverouter.fleet.queries import MemberRow, ViewPage
from valverouter.fleet.view_comparison import ViewAnswer, find_differences, is_converged
from valverouter.membership.records import MemberRecord, MemberState, Phase
from valverouter.scenarios.memory_network import MemoryNetwork, MemoryRuntime


async def test_two_instances_find_each_other_and_one_leaves() -> None:
    first = new_service("e0")
    async with running(first) as nursery:
        second = new_service("e1", (address_of(first),))
        await nursery.start(second.run)
        await wait_until(lambda: live_members(first) == live_members(second) == {"e0", "e1"})
        await wait_until(lambda: view_health(first) == "settled")
        await wait_until(
            lambda: first.counts["size-differs"] == 1
        )  # the test's settings give a fleet size of 1
        second.leave()
        await second.ended.wait()
        await wait_until(lambda: live_members(first) == {"e0"})
        assert first.counts["left"] == 1
        assert first.counts["gone"] == 0


async def test_two_processes_of_one_name_both_report_the_conflict() -> None:
    first = new_service("e0")
    async with running(first) as nursery:
        earlier, later = new_service("e1", (address_of(first),)), new_service("e1", (address_of(first),))
        later._incarnation += 1
        await nursery.start(earlier.run)
        await wait_until(lambda: live_members(first) == {"e0", "e1"})
        await nursery.start(later.run)
        await wait_until(lambda: earlier.counts["conflict"] == later.counts["conflict"] == 1)
        membership = first.membership
        assert membership is not None
        await wait_until(lambda: membership.view.records["e1"].name_conflict)
        restarts = first.counts["restarted"]
        await trio.sleep(1.5)
        assert first.counts["restarted"] == restarts <= 1
        assert first.counts["gone"] == 0


async def test_a_member_with_an_old_key_is_dropped_and_one_with_both_keys_joins() -> None:
    first = new_service("e0")
    async with running(first) as nursery:
        old = new_service("e1", (address_of(first),), (OTHER_KEY,))
        await nursery.start(old.run)
        await wait_until(lambda: first._reader.dropped["stranger"] > 2)
        assert live_members(first) == {"e0"}
        assert live_members(old) == {"e1"}
        both = new_service("e2", (address_of(first),), (KEY, OTHER_KEY))
        await nursery.start(both.run)
        await wait_until(lambda: live_members(first) == {"e0", "e2"})


async def test_a_flood_of_forged_datagrams_is_never_answered_and_disconnects_nobody() -> None:
    """10,000 datagrams per second for 1.5 s; the two members continue to receive each other's messages."""
    first = new_service("e0")
    async with running(first) as nursery:
        second = new_service("e1", (address_of(first),))
        await nursery.start(second.run)
        await wait_until(lambda: live_members(first) == {"e0", "e1"})
        flood = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        flood.bind(("127.0.0.1", 0))
        flood.setblocking(False)
        host, _, port = address_of(first).rpartition(":")
        forged = Authenticator((OTHER_KEY,)).sign(ping())
        longest_delay, sent, began = 0.0, 0, trio.current_time()
        while (now := trio.current_time()) - began < 1.5:
            for _ in range(max(0, int((now - began) * 10_000) - sent)):
                flood.sendto(forged, (host, int(port)))
                sent += 1
            before = trio.current_time()
            await trio.sleep(0)
            longest_delay = max(longest_delay, trio.current_time() - before)
        await trio.sleep(0.3)
        with pytest.raises(BlockingIOError):
            flood.recvfrom(100)
        flood.close()
        assert first._reader.dropped["stranger"] > 1_000
        assert set(first._reader.dropped) == {"stranger"}
        assert live_members(first) == live_members(second) == {"e0", "e1"}
        assert first.counts["gone"] == 0


async def test_a_view_is_sent_page_by_page_and_the_client_does_not_become_a_member() -> None:
    first = new_service("e0", ("127.0.0.1:9",))
    async with running(first):
        assert first.membership is not None
        for number in range(1, 60):
            record = MemberRecord(f"e{number}", "north", number, f"127.0.0.1:{20_000 + number}", 1, number)
            first.membership.view.set_record(record, 0)
        client = FleetClient((KEY,), SocketRuntime().bind_datagrams("127.0.0.1:0"), random.Random(1))
        first.membership.tick = lambda now: None  # type: ignore[method-assign]  # no probes: the 59 added members don't run
        answer, silent = await client.query_views([address_of(first), "127.0.0.1:9"])
        assert answer.missing_page is None
        assert answer.page_count > 3
        assert silent.missing_page == 0
        assert [row.name for row in answer.rows if row.state != MemberState.UNKNOWN] == sorted(
            f"e{number}" for number in range(60)
        )
        assert [row.address for row in answer.rows if row.state == MemberState.UNKNOWN] == ["127.0.0.1:9"]
        assert first.membership.view.live_count == 60
        assert answer.digest == first.membership.view.digest


def complete_answer(name: str, digest: int, rows: list[MemberRow], state: str = "settled") -> ViewAnswer:
    answer = ViewAnswer(f"{name}:1")
    answer.add_page(ViewPage(name, hash(name), digest, 1, 0, 1, state, {}, tuple(rows)))
    return answer


def test_differing_views_are_reported_and_are_not_converged() -> None:
    def row(name: str, state: MemberState = MemberState.ALIVE) -> MemberRow:
        return MemberRow(name, "", 0, f"{name}:1", 1, 1, state, 0, "", "", 0, False)

    first = complete_answer("e0", 5, [row("e0"), row("e1")])
    second = complete_answer("e1", 6, [row("e0", MemberState.GONE), row("e1")])
    assert find_differences([first, second]) == {
        "e0": {"alive at e0:1, life 0000000000000001": ["e0"], "gone at e0:1, life 0000000000000001": ["e1"]}
    }
    assert not is_converged([first, second])
    same = complete_answer("e1", 5, [row("e0"), row("e1")])
    assert is_converged([first, same])
    assert not is_converged([first, same, ViewAnswer("e2:1")])
    assert not is_converged([])
    cut_off = complete_answer("e1", 5, [row("e0"), row("e1")], state="cut off")
    assert not is_converged([first, cut_off])


def test_fleet_view_fails_without_the_section_and_where_nobody_answers(tmp_path: Path) -> None:
    file = tmp_path / "e.ini"
    file.write_text(EDGE_SECTIONS)
    result = CliRunner().invoke(main, ["fleet", "view", str(file)])
    assert isinstance(result.exception, ValueError)
    assert "keeps no view of the fleet" in str(result.exception)
    write_key_file(tmp_path)
    file.write_text(EDGE_SECTIONS + GOSSIP_SECTION.replace("KEY", "key"))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent_socket:
        silent_socket.bind(("127.0.0.1", 0))
        result = CliRunner().invoke(
            main, ["fleet", "view", str(file), "--at", f"127.0.0.1:{silent_socket.getsockname()[1]}"]
        )
    assert result.exit_code == 2
    assert "no instance answered" in result.output


async def test_fleet_view_queries_the_members_that_the_answers_name(tmp_path: Path) -> None:
    write_key_file(tmp_path)
    first = new_service("e0")
    async with running(first) as nursery:
        second = new_service("e1", (address_of(first),))
        await nursery.start(second.run)
        await wait_until(lambda: view_health(first) == view_health(second) == "settled")
        file = tmp_path / "e.ini"
        file.write_text(
            EDGE_SECTIONS
            + GOSSIP_SECTION.replace("KEY", "key").replace("127.0.0.1:7001, [::1]:7002", address_of(first))
        )

        async def fleet_view(*options: str) -> tuple[int | None, str]:
            """Runs the command in a process of its own, whose output can't contain the services' log lines.

            Returns its exit code and its output, including standard error.
            """
            command = [sys.executable, "-m", "valverouter.cli", "fleet", "view", str(file), *options]
            result = await trio.run_process(
                command, capture_stdout=True, stderr=subprocess.STDOUT, check=False
            )
            return result.returncode, result.stdout.decode()

        exit_code, output = await fleet_view()
        assert exit_code == 0
        assert "settled: 2 asked, one view" in output
        assert max(map(len, output.splitlines())) <= 80
        _, output = await fleet_view("--json")
        page = msgspec.json.decode(output)
        assert page["settled"]
        assert {answer["name"] for answer in page["answers"]} == {"e0", "e1"}
        _, output = await fleet_view("--metrics")
        assert 'valverouter_fleet_members{instance="e0",state="alive"} 2' in output
        silent = f"{address_of(first).rpartition(':')[0]}:1"
        _, output = await fleet_view("--at", address_of(first), "--at", silent)
        assert f"no answer from {silent}" in output


async def test_after_a_pause_it_reads_first_and_accuses_nobody(autojump_clock: MockClock) -> None:
    network = MemoryNetwork()
    stalled_runtime = MemoryRuntime(network)
    runtimes = [stalled_runtime, *(MemoryRuntime(network) for _ in range(3))]
    services = []
    async with trio.open_nursery() as nursery:
        network.nursery = nursery
        for number, runtime in enumerate(runtimes):
            config = edge_config(f"e{number}")
            gossip_config = GossipConfig(f"b{number}:1", (KEY,), ("b0:1",), period=SECOND)
            service = MembershipService(
                config, gossip_config, runtime, 100 + number, lambda: (Phase.SERVING, "")
            )
            services.append(service)
            await nursery.start(service.run)
        await trio.sleep(5)
        for _ in range(4):
            await stalled_runtime.stall(8 * SECOND)
            await trio.sleep(2)
        await trio.sleep(10)
        assert services[0].counts["gone"] == 0
        assert services[0].counts["stalled"] >= 4
        assert all(live_members(service) == {"e0", "e1", "e2", "e3"} for service in services)
        nursery.cancel_scope.cancel()

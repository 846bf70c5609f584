"""The routing policy: retry budget, retry decision and delay, server selection, and faults found earlier."""
# fmt: off


from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest

from tests.helpers import MS, SECOND, TYPES, DriverHarness
from valverouter.interface import Endpoint, EndpointUpdateKind, LoadReport, Outcome, TrafficType
from valverouter.policy import tuning
from valverouter.policy.retry import RetryBudget, RetryDecision, decide_retry, retry_delay


@pytest.mark.parametrize(("failures", "established", "tokens", "allows"), [
        (0, 0, 10_000, True), (0, 3, 10_000, True), (4, 0, 6_000, True), (5, 0, 5_000, False),
        (5, 1, 5_100, True), (10, 0, 0, False), (12, 50, 5_000, False), (12, 51, 5_100, True),
])
def test_retry_budget_counts_tokens(failures: int, established: int, tokens: int, allows: bool) -> None:
    budget = RetryBudget()
    for _ in range(failures):
        budget.on_failure()
    for _ in range(established):
        budget.on_success()
    assert (budget.tokens, budget.allows_retry) == (tokens, allows)


@pytest.mark.parametrize(("tokens", "attempts", "retry_at", "expected"), [
        (10_000, 1, 99, RetryDecision.RETRY), (6_000, 1, 99, RetryDecision.THROTTLED),
        (6_001, 1, 99, RetryDecision.RETRY),
        (6_000, 3, 100, RetryDecision.EXHAUSTED), (6_000, 1, 100, RetryDecision.THROTTLED),
        (10_000, 1, 100, RetryDecision.EXPIRED),
])
def test_retry_decision_checks_attempts_then_budget_then_deadline(
    tokens: int, attempts: int, retry_at: int, expected: RetryDecision
) -> None:
    budget = RetryBudget()
    budget.tokens = tokens
    assert decide_retry(budget, attempts, 3, retry_at, 100) is expected
    assert budget.tokens == tokens - 1_000


@pytest.mark.parametrize(("retry", "draw", "minimum", "delay"), [
        (1, 0.0, 0, 0), (1, 0.5, 0, 100 * MS), (2, 0.5, 0, 200 * MS), (5, 0.5, 0, SECOND),
        (99, 0.999, 0, 1998 * MS), (1, 0.5, 300 * MS, 300 * MS),
])
def test_retry_delay(retry: int, draw: float, minimum: int, delay: int) -> None:
    assert retry_delay(retry, draw, minimum) == delay


@pytest.mark.parametrize(("deployment", "traffic_type", "preferred", "expected"), [
        ({}, "plain", 2, "s2"), ({"servers": 0}, "plain", 0, "reject"),
        ({"servers": 1}, "plain", 5, "s0"), ({"servers": 1}, "only-1", 0, "reject"),
        ({"servers": 2}, "only-1", 0, "s1"), ({"servers": 2, "own_server_number": 0}, "plain", 0, "s1"),
        ({}, "unknown", 0, "reject"), ({"servers": 2}, "transit", 9, "reject"),
])
def test_preferred_server(
    deployment: dict[str, int], traffic_type: str, preferred: int, expected: str
) -> None:
    harness = DriverHarness(**deployment)
    harness.dialog(preferred, traffic_type.replace("transit", "plain"), in_transit=traffic_type == "transit")
    assert harness.describe_commands() == expected


@pytest.mark.parametrize(("outcome", "options", "expected"), [
        (Outcome.LINE_BUSY, {}, "fail"), (Outcome.NOT_SENT, {}, "fail"), (Outcome.FULL, {}, "timer"),
        (Outcome.FULL, {"retry_after": 3 * SECOND}, "reject"), (Outcome.TIMED_OUT, {}, "timer"),
        (Outcome.RESET, {}, "timer"), (Outcome.UNREACHABLE, {}, "timer"), (Outcome.NO_AGENT, {}, "s1"),
        (Outcome.ESTABLISHED, {}, ""), (Outcome.TIMED_OUT, {"traffic_type": "not-idempotent"}, "fail"),
        (Outcome.FULL, {"traffic_type": "not-idempotent"}, "timer"),
        (Outcome.FULL, {"deployment": {"max_attempts": 1}}, "reject"),
])
def test_action_after_an_attempt(outcome: Outcome, options: dict[str, Any], expected: str) -> None:
    harness = DriverHarness(servers=2, **options.pop("deployment", {}))
    id_ = harness.dialog(0, options.pop("traffic_type", "plain"))
    harness.take_commands()
    harness.result(id_, "s0", outcome, **options)
    assert harness.describe_commands() == expected


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED])
@pytest.mark.parametrize("release", [0, 300 * MS, 900 * MS])
def test_a_retry_waits_for_the_release_delay_and_is_the_only_attempt_in_flight(
    outcome: Outcome, release: int
) -> None:
    harness = DriverHarness(servers=2, release_delay=release)
    id_ = harness.dialog(0)
    harness.result(id_, "s0", outcome)
    failed_at = harness.now
    harness.result(id_, "s0", outcome)
    harness.fire_timer()
    assert harness.now - failed_at >= release
    assert harness.describe_commands() == "s1"


@pytest.mark.parametrize(("elapsed", "expected"), [(2900 * MS, "reject"), (3 * SECOND, "fail")])
def test_final_answer_after_a_late_timeout(elapsed: int, expected: str) -> None:
    harness = DriverHarness()
    id_ = harness.dialog(0)
    harness.take_commands()
    harness.advance(elapsed)
    harness.result(id_, "s0", Outcome.TIMED_OUT)
    harness.result(id_, "s0", Outcome.TIMED_OUT)
    assert harness.describe_commands() == expected
    assert harness.driver.open_dialogs == 0
    tokens = next(iter(harness.policy.table.servers.values())).budget.tokens
    assert tokens == (9_000 if expected == "reject" else 10_000)


def test_a_result_after_the_caller_is_gone_only_updates_the_server() -> None:
    harness = DriverHarness()
    id_ = harness.dialog(0)
    harness.driver.on_caller_gone(id_)
    harness.take_commands()
    harness.advance(700 * MS)
    harness.result(id_, "s0", Outcome.ESTABLISHED, dialog_closed=True)
    assert harness.describe_commands() == ""
    assert harness.policy.table.servers["s0"].mean_latency == 700 * MS


@pytest.mark.parametrize("update_kind", [EndpointUpdateKind.INCREMENTAL, EndpointUpdateKind.COMPLETE])
def test_no_new_attempt_at_a_removed_server(update_kind: EndpointUpdateKind) -> None:
    harness = DriverHarness(servers=2)
    id_ = harness.dialog(0)
    harness.update_endpoints([Endpoint("s0", 0, False), Endpoint("s1", 1, True)], update_kind)
    harness.result(id_, "s0", Outcome.FULL)
    harness.fire_timer()
    harness.dialog(0)
    assert harness.describe_commands() == "s1 s1"


@pytest.mark.parametrize(("age", "maximum"), [(0, 2), (20 * SECOND, 1000)])
def test_slow_start_limits_attempts_without_history(age: int, maximum: int) -> None:
    harness = DriverHarness(servers=1)
    harness.update_endpoints([Endpoint("s0", 0, True, harness.now - age)])
    sent = 0
    for _ in range(40):
        harness.advance(100 * MS)
        id_ = harness.dialog(0)
        if harness.describe_commands() == "s0":
            sent += 1
            harness.result(id_, "s0", Outcome.ESTABLISHED)
    assert sent <= maximum
    assert sent or age == 0


@pytest.mark.parametrize(("proxies", "interval", "minimum"), [(2, 100, 0.8), (40, 900, 0.5), (40, 50, 0.9)])
def test_slow_start_slots_keep_every_window_below_the_overload(
    proxies: int, interval: int, minimum: float
) -> None:
    fleet = [DriverHarness(servers=1, edge_proxies=proxies, fleet_index=n) for n in range(proxies)]
    for harness in fleet:
        harness.driver.update_load("s0", LoadReport(free_lines=100, lines=400))
        harness.update_endpoints([Endpoint("s0", 0, True, harness.now)])
        harness.advance(4 * SECOND)  # no dialogs at first: unused slots must lapse, not accumulate
    sent: list[int] = []
    for at in range(0, 6_000, 50):
        for n, harness in enumerate(fleet):
            harness.advance(50 * MS)
            if (at + 50 * n) % interval == 0:
                id_ = harness.dialog(0)
                if harness.describe_commands() == "s0":
                    sent.append(at)
                    harness.result(id_, "s0", Outcome.ESTABLISHED)
    # 300 busy lines and dialogs of 10 s are 30 set-ups per second at the warm server.
    for start in sent:
        now = 0.35 + 0.65 * (4 + start / 1000) / 15
        assert sum(start <= at < start + 1000 for at in sent) <= 2.5 * now * 30
    assert len(sent) >= minimum * 30 * 6 * 0.65


def test_a_restarted_server_has_a_full_retry_budget() -> None:
    harness = DriverHarness(servers=1)
    for _ in range(2):
        harness.result(harness.dialog(0), "s0", Outcome.TIMED_OUT)
        harness.advance(5 * SECOND)
    assert harness.policy.table.servers["s0"].budget.tokens < 10_000
    harness.update_endpoints([Endpoint("s0", 0, True, harness.now)])
    assert harness.policy.table.servers["s0"].budget.tokens == 10_000


@pytest.mark.parametrize(("silence", "expected"), [(100 * MS, "s0"), (1400 * MS, "s1")])
def test_a_silent_server_is_avoided_by_the_age_of_an_unanswered_attempt(silence: int, expected: str) -> None:
    harness = DriverHarness(servers=2)
    harness.dialog(0)
    harness.take_commands()
    harness.advance(silence)
    harness.dialog(0)
    assert harness.describe_commands() == expected


def test_a_failing_server_is_probed_at_growing_intervals_up_to_a_limit() -> None:
    harness = DriverHarness(servers=1)
    sent_at: list[int] = []
    for _ in range(400):
        harness.advance(100 * MS)
        id_ = harness.dialog(0, no_answer=50 * MS)
        if harness.describe_commands().startswith("s0"):
            sent_at.append(harness.now)
            harness.result(id_, "s0", Outcome.RESET)
    gaps = [b - a for a, b in pairwise(sent_at)]
    assert gaps[0] < gaps[-1] <= tuning.EJECTION_CAP + 3 * SECOND


@pytest.mark.parametrize(("gap", "outcome", "can_cancel", "expected"), [
        (300 * MS, Outcome.ESTABLISHED, True, "cancel"), (300 * MS, Outcome.ESTABLISHED, False, ""),
        (50 * MS, Outcome.ESTABLISHED, True, ""), (300 * MS, Outcome.LINE_BUSY, True, "fail"),
])
def test_an_attempt_overtaken_by_an_established_one_is_cancelled(
    gap: int, outcome: Outcome, can_cancel: bool, expected: str
) -> None:
    harness = DriverHarness(servers=1, can_cancel=can_cancel)
    lost = harness.dialog(0)
    harness.advance(gap)
    later = harness.dialog(0, called_number=9)
    harness.take_commands()
    harness.result(later, "s0", outcome)
    assert harness.describe_commands() == expected
    if expected == "cancel":
        harness.result(lost, "s0", Outcome.CANCELLED)
        assert harness.policy.table.servers["s0"].consecutive_failures == 0
        assert harness.describe_commands() == "timer"


@pytest.mark.parametrize("stall", [900 * MS, 5 * SECOND])
def test_a_stall_of_this_process_does_not_count_against_servers(stall: int) -> None:
    harness = DriverHarness()
    id_ = harness.dialog(0, no_answer=9 * SECOND)
    harness.take_commands()
    harness.driver.tick(harness.now + stall)
    harness.dialog(0, no_answer=9 * SECOND)
    harness.result(id_, "s0", Outcome.ESTABLISHED)
    assert harness.describe_commands() == "s0"
    assert harness.policy.table.servers["s0"].mean_latency <= tuning.HEARTBEAT_INTERVAL


@pytest.mark.parametrize(("latency", "grows"), [(50 * MS, True), (1400 * MS, False)])
def test_the_window_follows_the_measured_latency(latency: int, grows: bool) -> None:
    harness = DriverHarness(servers=1)
    id_ = harness.dialog(0)
    harness.advance(latency)
    harness.result(id_, "s0", Outcome.ESTABLISHED)
    assert (harness.policy.table.servers["s0"].window > tuning.WINDOW_INITIAL) is grows


@pytest.mark.parametrize(("latencies", "grows"), [
    ([300, 550], True),  # the least latency of this server is 300 ms, even without a queue
    ([100, 550], False),
    ([300, -20, 550], True),  # a fault is answered without a set-up and does not lower the least latency
    ([900, 900], False),  # a server that was congested from the start
])
def test_answers_from_a_distant_region_can_be_prompt(latencies: list[int], grows: bool) -> None:
    harness = DriverHarness(servers=1)
    for latency in latencies:
        before = harness.policy.table.servers["s0"].window
        id_ = harness.dialog(0)
        harness.advance(abs(latency) * MS)
        harness.result(id_, "s0", Outcome.ESTABLISHED if latency > 0 else Outcome.FAULT)
        harness.advance(SECOND)
    assert (harness.policy.table.servers["s0"].window > before) is grows


@pytest.mark.parametrize(("busy", "prompt", "expected"), [
        ([100, 100], False, "s1"), ([100, 119], False, "s1"), ([100, 121], False, "reject"),
        ([100, 121], True, "s1"), ([], False, "s1"),
])
def test_spillover_goes_only_to_servers_with_spare_capacity(
    busy: list[int], prompt: bool, expected: str
) -> None:
    harness = DriverHarness(servers=2)
    for lines in busy:
        harness.driver.update_load("s1", LoadReport(free_lines=400 - lines, lines=400))
    if prompt:
        harness.result(harness.dialog(1), "s1", Outcome.ESTABLISHED)
    harness.driver.update_load("s0", LoadReport(free_lines=0, lines=9))
    harness.take_commands()
    harness.dialog(0)
    assert harness.describe_commands() == expected


def test_spillover_is_weighted_by_spare_capacity() -> None:
    harness = DriverHarness(servers=4)
    for name, lines in (("s0", 1), ("s1", 10), ("s2", 1000), ("s3", 10)):
        harness.driver.update_load(name, LoadReport(free_lines=0 if name == "s0" else 999, lines=999 + lines))
    sent = []
    for _ in range(99):
        id_ = harness.dialog(0)
        sent.append(harness.describe_commands().split()[-1])
        harness.result(id_, sent[-1], Outcome.NOT_SENT)
    assert 70 < sent.count("s2") < 99


@pytest.mark.parametrize(("full_servers", "options", "minimum", "maximum"), [
        (1, {}, 99, 99), (4, {}, 30, 70), (16, {}, 3, 25), (16, {"was_interrupted": True}, 99, 99),
        (16, {"traffic_type": "important"}, 99, 99),
])
def test_spillover_is_limited_to_the_spare_capacity(
    full_servers: int, options: dict[str, Any], minimum: int, maximum: int
) -> None:
    harness = DriverHarness(servers=full_servers + 1)
    for n in range(full_servers + 1):
        harness.driver.update_load(f"s{n}", LoadReport(free_lines=600, lines=1000))
    for n in range(full_servers):
        harness.driver.update_load(f"s{n}", LoadReport(free_lines=0, lines=400))
    sent = 0
    for _ in range(99):
        id_ = harness.dialog(0, **options)
        if harness.describe_commands().endswith(f"s{full_servers}"):
            sent += 1
            harness.result(id_, f"s{full_servers}", Outcome.NOT_SENT)
    assert minimum <= sent <= maximum


@pytest.mark.parametrize(("proxies", "after", "expected"), [
        (4, 1400 * MS, "s1"), (4, 2100 * MS, "s0"), (400, 30 * SECOND, "s1"), (400, 200 * SECOND, "s0"),
])
@pytest.mark.parametrize("outcome", [Outcome.ESTABLISHED, Outcome.FULL])
def test_latency_and_ejection_last_for_quota_intervals(
    proxies: int, after: int, expected: str, outcome: Outcome
) -> None:
    harness = DriverHarness(servers=2, edge_proxies=proxies)
    for name in ("s0", "s1"):
        harness.driver.update_load(name, LoadReport(free_lines=300, lines=400))
    id_ = harness.dialog(0, no_answer=9 * SECOND)
    harness.advance(4 * SECOND)
    harness.result(id_, "s0", outcome, retry_after=9 * SECOND)
    harness.take_commands()
    harness.advance(after)
    harness.dialog(0)
    assert harness.describe_commands() == expected


def test_retry_after_applies_to_its_dialog_but_not_to_the_server() -> None:
    harness = DriverHarness(servers=1)
    harness.result(harness.dialog(0), "s0", Outcome.FULL, retry_after=5 * SECOND)
    harness.advance(tuning.EJECTION_BASE)
    harness.dialog(0)
    assert harness.describe_commands() == "s0 reject s0"


def test_no_agent_is_not_a_failure_of_the_server() -> None:
    harness = DriverHarness(servers=1)
    harness.result(harness.dialog(0), "s0", Outcome.NO_AGENT)
    server = harness.policy.table.servers["s0"]
    assert (server.consecutive_failures, server.window, server.budget.tokens) == (
        0, tuning.WINDOW_INITIAL, 10_000
    )
    assert harness.describe_commands() == "s0 reject"
    harness.driver.update_load("s0", LoadReport(free_lines=4, lines=9))
    harness.dialog(0)
    assert harness.describe_commands() == "s0"


@pytest.mark.parametrize(("proxies", "free", "expected"), [
        (4, 1, "s0"), (400, 1, "reject"), (400, 7, "reject"), (400, 9, "s0"),
])
def test_free_agents_must_suffice_for_the_fleet(proxies: int, free: int, expected: str) -> None:
    harness = DriverHarness(servers=1, edge_proxies=proxies)
    harness.driver.update_load("s0", LoadReport(free_lines=0, lines=400 if proxies > 4 else 40))
    harness.driver.update_load("s0", LoadReport(free_lines=100, lines=500))
    harness.result(harness.dialog(0), "s0", Outcome.NO_AGENT)
    harness.take_commands()
    harness.advance(1100 * MS)
    harness.driver.update_load("s0", LoadReport(free_lines=free, lines=400))
    harness.dialog(0)
    assert harness.describe_commands() == expected


def test_a_busy_number_is_rejected_for_a_while() -> None:
    harness = DriverHarness(servers=2)
    harness.result(harness.dialog(0, called_number=5), "s0", Outcome.LINE_BUSY)
    harness.dialog(0, called_number=5)
    harness.dialog(0, called_number=6)
    harness.advance(tuning.BUSY_NUMBER_DURATION)
    harness.dialog(0, called_number=5)
    assert harness.describe_commands() == "s0 fail reject s0 s1"
    assert not harness.policy._busy_numbers


def test_the_subscription_is_retried_until_the_list_arrives() -> None:
    harness = DriverHarness(endpoint_list_is_pushed=False)
    assert harness.describe_commands() == "subscribe"
    harness.update_endpoints([], EndpointUpdateKind.FAILED)
    harness.fire_timer()
    assert harness.describe_commands() == "subscribe"
    harness.update_endpoints([], EndpointUpdateKind.INCREMENTAL)
    assert harness.describe_commands() == ""


@pytest.mark.parametrize("limit", [0, 400 * MS])
def test_retry_after_does_not_exceed_the_maximum(limit: int) -> None:
    assert DriverHarness(max_retry_after=limit).policy._reject(None).retry_after <= limit


SHORT_TYPES = {name: replace(traffic_type, mean_duration=SECOND) for name, traffic_type in TYPES.items()}


@pytest.mark.parametrize(("traffic_types", "after", "expected"), [
    (TYPES, 150, "reject"), (TYPES, 850, "reject"), (TYPES, 1_050, "s0"),
    (SHORT_TYPES, 50, "reject"), (SHORT_TYPES, 150, "s0"),
])
def test_no_agent_lasts_for_a_fraction_of_a_dialog_duration(
    traffic_types: dict[str, TrafficType], after: int, expected: str
) -> None:
    # A single load report without a free line once blocked the server for a whole second, which left it idle
    # when dialogs last one second.
    harness = DriverHarness(servers=1, traffic_types=traffic_types)
    harness.driver.update_load("s0", LoadReport(free_lines=0, lines=100))
    harness.take_commands()
    harness.advance(after * MS)
    harness.dialog(0)
    assert harness.describe_commands() == expected


@pytest.mark.parametrize("traffic_types", [TYPES, SHORT_TYPES])
def test_spillover_does_not_depend_on_the_dialog_duration(
    traffic_types: dict[str, TrafficType],
) -> None:
    harness = DriverHarness(servers=2, traffic_types=traffic_types)
    for server, busy in (("s0", 200), ("s1", 100)):
        harness.driver.update_load(server, LoadReport(free_lines=400 - busy, lines=400))
    harness.driver.update_load("s0", LoadReport(free_lines=0, lines=400))
    harness.take_commands()
    established = 0
    for _ in range(200):
        id_ = harness.dialog(0)
        established += (command := harness.describe_commands()) == "s1"
        if command == "s1":
            harness.result(id_, "s1", Outcome.ESTABLISHED)
    # The load of a tenth of a dialog must fit: 20 of 200 lines, and the spare capacity of two sigmas is 20.
    assert established == 200

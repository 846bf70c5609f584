"""Cross-region usage: bounded memory, and merging of the records of many instances."""

from __future__ import annotations

from valverouter.regions import usage
from valverouter.regions.usage import CrossRegionUsage, UsageCounters, UsageKey, merge_totals, missing_records

START = 10**18


KEY = UsageKey("t", "a", "b")


def test_usage_needs_bounded_memory() -> None:
    counted = CrossRegionUsage()
    for minute in range(500):
        for number in range(50):
            counted.record(START + minute * usage.MINUTE_NS, KEY, UsageCounters(attempts=1))
            assert number >= 0
    assert len(counted.minutes) <= usage.RETAINED_MINUTES
    assert counted.totals[KEY].attempts == 25_000
    assert sum(rows[KEY].attempts for rows in counted.minutes.values()) == 50 * usage.RETAINED_MINUTES


def test_records_of_many_instances_are_merged_and_missing_ones_reported() -> None:
    one, two = CrossRegionUsage(), CrossRegionUsage()
    one.record(START, KEY, UsageCounters(attempts=2, established=1))
    two.record(START, KEY, UsageCounters(attempts=3))
    two.record(START, UsageKey("u", "a", "c"), UsageCounters(overdraft=1))
    records = [one.to_rows("e0", START, START), two.to_rows("e1", START, START)]
    assert merge_totals(records) == {
        ("t", "a", "b"): UsageCounters(attempts=5, established=1),
        ("u", "a", "c"): UsageCounters(overdraft=1),
    }
    assert missing_records(records, 2) == []
    assert missing_records(records, 4) == ["2 of 4 edge proxies left no record"]

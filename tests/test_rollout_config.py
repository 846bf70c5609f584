"""Settings of control plane nodes, supervisors and clients: read, or rejected with the line."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.rollout_settings import KEEPER, SEAT, written
from valverouter.terms.ini import FlawedTermsError
from valverouter.terms.rollout import load_keeper, load_seat, load_tool


def test_valid_settings_of_a_node_a_supervisor_and_a_client_are_read(tmp_path: Path) -> None:
    seat = load_seat(written(tmp_path, SEAT))
    assert seat.limits["edge proxies"].most == 4
    assert list(seat.council) == ["c0", "c1", "c2"]
    assert load_tool(tmp_path / "file.ini").council == seat.council
    keeper = load_keeper(written(tmp_path, KEEPER))
    assert keeper.commands == {"v1": ("true", "--yes")}
    assert not keeper.is_server
    assert load_tool(tmp_path / "file.ini").keys == keeper.keys


@pytest.mark.parametrize(
    ("text", "old", "new", "said"),
    [
        (SEAT, "in_region = 2", "in_region = 5", "5 in a region are more than the 4 in all"),
        (SEAT, "most = 4", "most = 0", "most"),
        (SEAT, "most = 4", "most = 4\nregions = north 9", "9 of north are more than the 4 in all"),
        (SEAT, "most = 4", "most = 4\nregions = north", "is not a region and how many"),
        (SEAT, "most = 4", "most = 4\nleast_capacity = 1", "a least of 1 or more could never be met"),
        (SEAT, ", c2 127.0.0.1:7002", "", "2 seats; wanted are 3 or 5"),
        (SEAT, "c1 127.0.0.1:7001", "c1", "is not a seat and its address"),
        (SEAT, "c1 127.0.0.1:7001", "c0 127.0.0.1:7001", "c0 is named twice"),
        (SEAT, "name = c0", "name = c9", "c9 itself is not in it"),
        (SEAT, "limits edge proxies", "limits edges", "known are [limits edge proxies]"),
        (SEAT, "key = key", "key = nokey", "nokey: No such file"),
        (KEEPER, "command = true", "command = no-such-program", "there is no program 'no-such-program'"),
        (KEEPER, "command = true", "command = 'open", "No closing quotation"),
        (KEEPER, "version = v1", "version = v2", "there is no [version v2]"),
        (KEEPER, "asks = 127.0.0.1:7200\n", "", "where the edge proxy is asked"),
        (KEEPER, "asks = 127.0.0.1:7200", "sort = server", "is no HOST:PORT"),
        (KEEPER, "listen = 127.0.0.1:7100", "listen = somewhere", "is no IP:PORT"),
    ],
)
def test_invalid_settings_are_rejected_with_their_line(
    tmp_path: Path, text: str, old: str, new: str, said: str
) -> None:
    assert old in text
    file = written(tmp_path, text.replace(old, new))
    with pytest.raises(FlawedTermsError) as caught:
        (load_seat if text is SEAT else load_keeper)(file)
    (line,) = [line for line in str(caught.value).splitlines() if said in line]
    assert line.startswith(f"{file}:")

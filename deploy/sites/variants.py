"""Writes two variants of the operators' deployment to the folder of this file, to run the bench against.

    python deploy/sites/variants.py [FOLDER]

FOLDER contains the original site with `real.json`, `wire.json` and `unlock.txt`; the default is the one
beside the project. The output is derived from the operators' files, so git ignores it. Exits with code 2 and
a one-line message if there is no site to change.

The program contains no name or number from this file: the variants show that it needs none. The format of a
site has no settings for tenants or for memory and descriptor limits; `lbreal` draws those or takes them from
`--memory-mb` and `--sockets`.
"""

from __future__ import annotations

import json
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
DEFAULT_SITE_FOLDER = HERE.parent.parent.parent / "given" / "kit" / "more" / "node" / "sites"
SITE = "booking-line-bg.toml"
COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")


def traffic(
    name: str, share: list[float], objective_ms: int, deadline_ms: int, value: float, late_value: float
) -> dict[str, Any]:
    limits = {"name": name, "share": share, "aim_ms": objective_ms, "deadline_ms": deadline_ms}
    value_fields = {"worth": value, "late_worth": late_value, "effect": "safe", "stream": True}
    return limits | {"work_ms": 2, "dist": "fixed"} | value_fields


def circuits(*hold_factors: float) -> list[dict[str, Any]]:
    return [{"width": 1, "hold": factor, "skilled": 1} for factor in hold_factors]


# The given keys of a table are replaced and its others kept; a list of tables is replaced as a whole.
VARIANTS: dict[str, dict[str, Any]] = {
    # One class fewer, very uneven shares, short deadlines, many small places, high costs of late answers.
    "short-deadlines": {
        "net": {"zones": ["quay", "mole"], "cross_ms": [5, 14]},
        "clients": {"backoff_ms": [150, 500], "max_retry_after_ms": 700, "honour": [0.2, 0.5]},
        "allow": {"max_attempts": 3},
        "rules": {"drain_grace_ms": 400, "fall_multiple": 2.0},
        "prices": {"waste": 0.08, "late_fail": 0.12},
        "fam": {"release_ms": 150, "hold_s": [5, 7], "queue_ms": [900, 1600]},
        "class": [
            traffic("berth", [8.5, 11], 700, 3_000, 1, 0.1),
            traffic("pilot-now", [0.3, 0.5], 400, 1_800, 5, 0.1),
        ],
        "fam.class": circuits(1, 0.5),
    },
    # Two more classes, long deadlines, other prices, more attempts, slower and colder starts.
    "long-deadlines": {
        "net": {"zones": ["hill", "dale", "ford", "weir", "moor"], "same_ms": [2, 5]},
        "clients": {"retries": [1, 2.99], "max_retry_after_ms": 5_000, "marks_retry": False},
        "allow": {"max_attempts": 8},
        "rules": {"drain_grace_ms": 3_000, "fall_multiple": 3.0, "fall_ms": 1_500},
        "prices": {"waste": 0.3, "late_fail": 0.02},
        "fam": {"release_ms": 500, "hold_s": [9, 14], "queue_ms": [3_000, 5_000]},
        "class": [
            traffic("loan", [3, 4], 2_500, 15_000, 1, 0.5),
            traffic("renewal", [2, 3], 3_000, 15_000, 0.5, 0.5),
            traffic("reading-room", [1, 2], 2_000, 12_000, 2, 0.25),
            traffic("transfer", [0.5, 1], 1_500, 12_000, 4, 0.25),
            traffic("recall", [0.3, 0.5], 1_000, 9_000, 8, 0.1),
        ],
        "fam.class": circuits(1, 0.5, 1.5, 0.8, 0.6),
        "tier.kind": [
            {"name": "slow-start", "share": 1, "cores": 1, "cold_from": [0.2, 0.3], "cold_s": [14, 20],
             "pause_every_s": 0, "error_rate": [0, 0.001]},
        ],
    },
}  # fmt: skip


def apply_variant(site: dict[str, Any], name: str) -> dict[str, Any]:
    """Returns a copy of the site with the changes of a variant."""
    result: dict[str, Any] = json.loads(json.dumps(site)) | {"name": name}
    for path, change in VARIANTS[name].items():
        *parents, key = path.split(".")
        table = result
        for parent in parents:
            table = table[parent][0] if isinstance(table[parent], list) else table[parent]
        table[key] = table[key] | change if isinstance(change, dict) else change
    return result


def to_toml(table: dict[str, Any], path: str = "") -> str:
    """Formats a parsed TOML table: first its plain keys, then its tables and lists of tables in order."""
    plain = {key: value for key, value in table.items() if not _is_table(value)}
    lines = [f"{key} = {json.dumps(value)}" for key, value in plain.items()]
    for key, value in table.items():
        name = f"{path}{key}"
        if isinstance(value, dict):
            lines += [f"\n[{name}]", to_toml(value, f"{name}.")]
        elif _is_table(value):
            for item in value:
                lines += [f"\n[[{name}]]", to_toml(item, f"{name}.")]
    return "\n".join(lines)


def _is_table(value: Any) -> bool:
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))


def main(folder: Path, target: Path) -> int:
    try:
        site = tomllib.loads((folder / SITE).read_text("utf-8"))
        target.mkdir(exist_ok=True)
        for name in COMPANION_FILES:
            # Its owner may have made an earlier copy read-only, so it is replaced instead of overwritten.
            (target / name).unlink(missing_ok=True)
            shutil.copyfile(folder / name, target / name)
    except (OSError, ValueError) as error:
        print(f"variants: no site to change in {folder}: {error}", file=sys.stderr)
        return 2
    for name in VARIANTS:
        (target / f"{name}.toml").write_text(to_toml(apply_variant(site, name)) + "\n", "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SITE_FOLDER, HERE))

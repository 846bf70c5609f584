"""Tests of the script that writes variants of the operators' deployment, on a small site file."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / "deploy" / "sites" / "variants.py"
SITE = """
name = "site"
[day]
length_s = [42, 52]
in_step = [false, true]
[net]
zones = ["a", "b"]
same_ms = [3.5, 7.9]
[clients]
retries = [0, 2.99]
[allow]
max_attempts = 6
[rules]
fall_ms = 1000
[prices]
probe = 0.0
[[tier]]
name = "one"
[tier.report]
fields = ["x0", "queue"]
[[tier.kind]]
name = "kind"
[[class]]
name = "only"
[fam]
release_ms = 300
[[fam.class]]
width = 1
[[trouble]]
name = "burst"
"""


def test_variants_change_only_the_listed_settings(tmp_path: Path) -> None:
    spec = importlib.util.spec_from_file_location("variants", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    variants: Any = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(variants)
    folder, target = tmp_path / "kit", tmp_path / "to"
    folder.mkdir()
    (folder / variants.SITE).write_text(SITE)
    for name in variants.COMPANION_FILES:
        (folder / name).write_text(name)
        (folder / name).chmod(0o444)
    assert variants.main(folder, target) == variants.main(folder, target) == 0
    site = tomllib.loads(SITE)
    for name, changes in variants.VARIANTS.items():
        found = tomllib.loads((target / f"{name}.toml").read_text())
        assert found == variants.apply_variant(site, name)
        assert found["name"] == name
        kept = [key for key in site if key not in ("name", *(path.split(".")[0] for path in changes))]
        assert {"day", "trouble"} <= set(kept)
        assert all(found[key] == site[key] for key in kept)
        names = [entry["name"] for entry in found["class"]]
        assert "only" not in names
        assert len(names) == len(found["fam"]["class"])
        assert found["fam"]["release_ms"] != 300
        assert found["tier"][0]["report"] == site["tier"][0]["report"]
        assert all((target / file_name).read_text() == file_name for file_name in variants.COMPANION_FILES)


def test_a_missing_site_file_is_reported_in_one_line(tmp_path: Path) -> None:
    result = subprocess.run(
        [sys.executable, SCRIPT, tmp_path], capture_output=True, text=True, timeout=60, check=False
    )
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 1
    assert str(tmp_path) in result.stderr


def test_the_program_contains_no_names_of_the_variants() -> None:
    text = SCRIPT.read_text()
    names = [line.split('"')[1] for line in text.splitlines() if line.strip().startswith('traffic("')]
    assert len(names) == 7
    program = "\n".join(path.read_text("utf-8") for path in (ROOT / "valverouter").rglob("*.py"))
    assert not [name for name in names if f'"{name}"' in program]

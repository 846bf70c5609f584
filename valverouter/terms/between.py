"""[between]: what an instance says to the others of its fleet, from where, and under which key."""

from __future__ import annotations

import ipaddress
from hashlib import blake2b
from typing import Annotated

from msgspec import Meta, Struct

from valverouter.terms.ini import IniFile, Named, Words, is_address

MS, SECOND = 10**6, 10**9
# Of a key file: fewer bytes can be guessed; more are not a key but a slip.
KEY_LEAST, KEY_MOST = 32, 4_096
REGION_MOST = 64

Period = Annotated[int, Meta(ge=50 * MS, le=60 * SECOND, extra={"as": "span"})]
Remembers = Annotated[int, Meta(ge=10 * SECOND, le=24 * 3_600 * SECOND, extra={"as": "span"})]


class _Section(Struct, frozen=True):
    listen: Named
    key: Named
    seeds: Words = ()
    advertise: str = ""
    also: str = ""
    period: Period = SECOND
    remembers: Remembers = 300 * SECOND


class Between(Struct, frozen=True):
    """`advertise`: where others reach this instance, if not at `listen`. `keys`: the first is sent under, all
    are accepted. `seeds`: addresses that a new instance asks, and that are tried for as long as nobody is
    known there. Spans in ns."""

    listen: str
    keys: tuple[bytes, ...]
    seeds: tuple[str, ...] = ()
    advertise: str = ""
    period: int = SECOND
    remembers: int = 300 * SECOND


def between_terms(ini: IniFile, region: str) -> Between | None:
    """The section, if it is there; its flaws are noted, those of the key files by the line that names
    them."""
    if "between" not in ini.sections:
        return None
    told = ini.read("between", _Section)
    if told is None:
        return None
    for key in ("listen", "advertise"):
        if text := getattr(told, key):
            told_address(ini, "between", key, text, told_port=key == "advertise")
    for seed in told.seeds:
        told_address(ini, "between", "seeds", seed, told_port=True)
    if len(region.encode()) > REGION_MOST:
        ini.flaw("edge", "region", f"longer than {REGION_MOST} bytes, which [between] can't tell of")
    keys = [
        key_at(ini, "between", name, path) for name, path in (("key", told.key), ("also", told.also)) if path
    ]
    return Between(
        told.listen,
        tuple(key for key in keys if key),
        told.seeds,
        told.advertise,
        told.period,
        told.remembers,
    )


def told_address(ini: IniFile, section: str, key: str, text: str, told_port: bool) -> None:
    """A name would have to be looked up while datagrams wait, so addresses are numbers."""
    host, _, port = text.rpartition(":")
    try:
        there = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        there = None
    if there is None or not is_address(text):
        ini.flaw(section, key, f"{text!r} is no IP:PORT")
    elif told_port and (int(port) == 0 or there.is_unspecified):
        ini.flaw(section, key, f"{text!r} is nothing that others can send to")


def key_at(ini: IniFile, section: str, name: str, path: str) -> bytes:
    """32 bytes made of a key file; empty where it is flawed. Its bytes stand in no message."""
    file = ini.folder / path
    try:
        with file.open("rb") as open_file:
            data = open_file.read(KEY_MOST + 1).strip()
            mode = file.stat().st_mode
    except OSError as error:
        ini.flaw(section, name, f"{path}: {error.strerror or 'can not be read'}")
        return b""
    if mode & 0o007:
        ini.flaw(section, name, f"{path}: may be used by all (mode {mode & 0o777:o}); 600 or 640 is wanted")
    elif len(data) < KEY_LEAST:
        ini.flaw(section, name, f"{path}: {len(data)} bytes are too short for a key; {KEY_LEAST} or more")
    elif len(data) > KEY_MOST:
        ini.flaw(section, name, f"{path}: longer than {KEY_MOST} bytes, so it is no key")
    else:
        return key_of(data)
    return b""


def key_of(secret: bytes) -> bytes:
    """What datagrams are keyed with."""
    return blake2b(secret, digest_size=32, person=b"valverouter-betw").digest()

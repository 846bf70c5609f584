"""INI in, typed terms out: every flaw is collected with its file, line and reason before anything acts.

Sections are read into msgspec Structs. A field's annotation tells how its text is meant: `Span` takes 300ms
or 1.5 s and gives whole nanoseconds, `Words` a list with commas, bool yes or no; bounds are msgspec's Meta.
"""

from __future__ import annotations

import configparser
import difflib
import re
import typing
from decimal import Decimal
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct

from valverouter.terms.grammar import SHOWN, UNITS
from valverouter.terms.reader import reader

READERS = {start: reader(start) for start in SHOWN}
# The last line of a file that says where it ends: what is read without it was cut off.
END = "# end of terms"
# A file is read and checked while calls are routed: it must not take long, whatever lies at its path.
FILE_MOST = 256 * 1024
# Spans that reckoning with floats keeps exact enough, and that no timer refuses: three years.
SPAN_MOST = 10**17

Span = Annotated[int, Meta(ge=0, le=SPAN_MOST, extra={"as": "span"})]
LongSpan = Annotated[int, Meta(gt=0, le=SPAN_MOST, extra={"as": "span"})]
Share = Annotated[float, Meta(ge=0, le=1)]
Words = Annotated[tuple[str, ...], Meta(extra={"as": "words"})]
Numbers = Annotated[tuple[int, ...], Meta(extra={"as": "words"})]
Whole = Annotated[int, Meta(ge=0)]
Positive = Annotated[int, Meta(ge=1, le=10**12)]
Rate = Annotated[float, Meta(gt=0, le=1e12)]
PerSecond = Annotated[float, Meta(gt=0, extra={"as": "rate"})]
Named = Annotated[str, Meta(min_length=1)]

YES, NO = ("yes", "true", "on", "1"), ("no", "false", "off", "0")

Sort = TypeVar("Sort", bound=Struct)


class Flaw(Struct, frozen=True):
    """One thing wrong in a file; line 0 where the whole file is meant."""

    file: str
    line: int
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        name = f"[{self.section}] {self.key}".strip() if self.section else self.key
        return f"{place}: {name}: {self.reason}" if name else f"{place}: {self.reason}"


class FlawedTermsError(Exception):
    """A file that can't be used; `flaws` holds all that was found, not the first alone."""

    def __init__(self, flaws: list[Flaw]) -> None:
        super().__init__("\n".join(map(str, flaws)))
        self.flaws = flaws


def span(text: str) -> int:
    """A span as whole nanoseconds; ValueError says what would be accepted."""
    return int(READERS["span"](text.strip()))


def show_span(ns: int) -> str:
    """A span as one would write it; exact for what `span` reads."""
    unit = next((u for u in ("h", "min", "s", "ms", "us") if ns and ns % UNITS[u] == 0), "ns")
    if unit == "ns" and ns >= 10**6:
        return f"{(Decimal(ns) / 10**6).normalize():f}ms"
    return f"{ns // UNITS[unit]}{unit}"


class IniFile:
    """A file's sections with the line of each key, and the flaws found in it so far."""

    def __init__(self, text: str, name: str, folder: Path = Path()) -> None:
        self.name = name
        # What it names without a leading slash lies here.
        self.folder = folder
        self.flaws: list[Flaw] = []
        self.sections: dict[str, dict[str, str]] = {}
        self.text = text
        self.ends = text.rstrip().endswith(END)
        self._lines: dict[tuple[str, str], int] = {}
        parser = configparser.ConfigParser(
            interpolation=None, strict=True, default_section="\0", inline_comment_prefixes=("#", ";")
        )
        parser.optionxform = str  # type: ignore[assignment,method-assign]
        try:
            parser.read_string(text, name)
        except configparser.Error as error:
            line = getattr(error, "lineno", None) or next((at for at, _ in getattr(error, "errors", [])), 0)
            self.flaw("", "", _plain(error), line)
            return
        self.sections = {section: dict(parser[section]) for section in parser.sections()}
        section = ""
        for at, row in enumerate(text.splitlines(), 1):
            if found := re.match(r"\[(.+)\]", row):
                section = found[1]
                self._lines[section, ""] = at
            elif found := re.match(r"([^\s#;=:][^=:]*?)\s*[=:]", row):
                self._lines.setdefault((section, found[1]), at)

    @classmethod
    def load(cls, path: Path) -> IniFile:
        """The file at a path; one that can't be read is a flaw like any other."""
        try:
            with path.open("rb") as file:
                data = file.read(FILE_MOST + 1)
            if len(data) <= FILE_MOST:
                return cls(data.decode("utf-8-sig"), str(path), path.parent)
            reason = f"longer than {FILE_MOST} bytes"
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not UTF-8 text"
        empty = cls("", str(path))
        empty.flaw("", "", reason)
        return empty

    def line(self, section: str, key: str = "") -> int:
        return self._lines.get((section, key), self._lines.get((section, ""), 0))

    def flaw(self, section: str, key: str, reason: str, line: int | None = None) -> None:
        self.flaws.append(
            Flaw(self.name, self.line(section, key) if line is None else line, section, key, reason)
        )

    def named(self, kind: str) -> list[str]:
        """The names X of the sections [kind X], in the file's order."""
        return [s[len(kind) + 1 :].strip() for s in self.sections if s.startswith(f"{kind} ")]

    def only(self, single: typing.Iterable[str], named: typing.Iterable[str]) -> None:
        """Notes sections that nothing reads."""
        known = [*single, *(f"{kind} NAME" for kind in named)]
        for section in self.sections:
            kind, _, name = section.partition(" ")
            if section in single:
                continue
            if kind not in named:
                self.flaw(section, "", f"unknown section; known are {', '.join(known)}")
            elif not name or name != name.strip():
                # Read by its stripped name it would be taken for another section, or for none.
                self.flaw(section, "", f"a name must follow, as in [{kind} NAME], with one space")

    def read(self, section: str, sort: type[Sort], required: bool = True) -> Sort | None:
        """One section as a Struct; None when it is flawed, or absent and `required`."""
        if section not in self.sections:
            if required and not self.flaws:
                self.flaw(section, "", "the section is missing", 0)
            return None if required else sort()
        before, values = len(self.flaws), {}
        fields = {field.encode_name: field for field in msgspec.structs.fields(sort)}
        for key, text in self.sections[section].items():
            field = fields.get(key)
            if field is None:
                near = difflib.get_close_matches(key, fields, 1)
                hint = f"did you mean {near[0]}?" if near else f"known are {', '.join(fields)}"
                self.flaw(section, key, f"unknown key; {hint}")
                continue
            try:
                values[field.name] = _value(text, field.type)
            except (ValueError, msgspec.ValidationError) as error:
                self.flaw(section, key, str(error) if repr(text) in str(error) else f"{text!r}: {error}")
        for key, field in fields.items():
            if field.required and key not in self.sections[section]:
                self.flaw(section, key, "missing, and it has no default", self.line(section))
        return sort(**values) if len(self.flaws) == before else None

    def done(self) -> None:
        """Raises FlawedTermsError when anything was found."""
        if self.flaws:
            raise FlawedTermsError(sorted(self.flaws, key=lambda flaw: flaw.line))


def is_address(text: str) -> bool:
    host, colon, port = text.rpartition(":")
    sound = bool(host and colon) and not re.search(r"\s", host) and port.isascii() and port.isdigit()
    return sound and int(port) < 65_536


def _value(text: str, kind: Any) -> Any:
    # `X | None` holds its annotation in the first of its arguments: a key left out is None, one given is X.
    given = typing.get_args(kind)[0] if type(None) in typing.get_args(kind) else kind
    meant = next((m.extra["as"] for m in getattr(given, "__metadata__", ()) if m.extra), None)
    value: Any = text
    if meant in READERS:
        value = READERS[meant](text.strip())
    elif meant == "words":
        value = tuple(word for word in (part.strip() for part in text.split(",")) if word)
    elif kind is bool:
        if text.lower() not in YES + NO:
            raise ValueError(f"{text!r} is neither yes nor no")
        value = text.lower() in YES
    return msgspec.convert(value, kind, strict=False)


def _plain(error: configparser.Error) -> str:
    match error:
        case configparser.DuplicateOptionError():
            return f"[{error.section}] {error.option} is given twice"
        case configparser.DuplicateSectionError():
            return f"[{error.section}] is given twice"
        case configparser.MissingSectionHeaderError():
            return "a line stands before the first [section]"
        case _:
            return "a line that is neither [section] nor key = value"

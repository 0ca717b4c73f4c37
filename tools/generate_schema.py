"""Generates the schema package and the reference pages from the IDL files.

Without arguments, writes the files; with ``--check``, reports stale files.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import thriftpy2
from thriftpy2.thrift import TType

if TYPE_CHECKING:
    from types import ModuleType

ROOT: Final = Path(__file__).resolve().parent.parent
SCHEMA_DIR: Final = ROOT / "schema"
PACKAGE_DIR: Final = ROOT / "src" / "auburnswitch" / "schema"
DOCS_DIR: Final = ROOT / "docs"
MODULES: Final = (
    "results",
    "objects",
    "peers",
    "settings",
    "events",
    "installation",
    "gossip",
    "entry",
)

_PYTHON_TYPES: Final = {
    TType.BOOL: "bool",
    TType.BYTE: "int",
    TType.I16: "int",
    TType.I32: "int",
    TType.I64: "int",
    TType.DOUBLE: "float",
    TType.STRING: "str",
}
_ZERO_DEFAULTS: Final = {
    "bool": "False",
    "int": "0",
    "float": "0.0",
    "str": '""',
}
_TTYPE_NAMES: Final = {
    TType.BOOL: "BOOL",
    TType.BYTE: "BYTE",
    TType.I16: "I16",
    TType.I32: "I32",
    TType.I64: "I64",
    TType.DOUBLE: "DOUBLE",
    TType.STRING: "STRING",
    TType.STRUCT: "STRUCT",
    TType.LIST: "LIST",
}


class SchemaComment:
    """A schema comment, split into its text and its ``@`` directives."""

    __slots__ = ("options", "text")

    def __init__(self, *, lines: list[str]) -> None:
        joined = " ".join(lines)
        parts = re.split(r"\s*@([a-z-]+)", joined)
        self.text = parts[0].strip()
        names, values = parts[1::2], parts[2::2]
        self.options = {
            name: value.strip()
            for name, value in zip(names, values, strict=True)
        }


class SchemaComments:
    """All comments of one IDL file, by ``Name`` or ``Name.field``.

    Attributes:
        by_name: Comments by name.
        module: Comment at the head of the file.
    """

    __slots__ = ("by_name", "module")

    def __init__(self, *, source: str) -> None:
        self.by_name: dict[str, SchemaComment] = {}
        pending: list[str] = []
        self.module = ""
        declaration = ""
        for raw in source.splitlines():
            line = raw.strip()
            if line.startswith("//"):
                pending.append(line[2:].strip())
                continue
            if not line and not declaration and pending and not self.module:
                self.module = " ".join(pending)
            elif declaration_match := re.match(
                r"(?:struct|enum)\s+(\w+)\s*\{", line
            ):
                declaration = declaration_match[1]
                self.by_name[declaration] = SchemaComment(lines=pending)
            elif line.startswith("}"):
                declaration = ""
            elif field := re.match(
                r"(?:\d+:.*?(\w+)\s*(?:=.*)?$|(\w+)\s*=\s*\d+)", line
            ):
                name = (field[1] or field[2]).rstrip("_")
                self.by_name[f"{declaration}.{name}"] = SchemaComment(
                    lines=pending
                )
            elif line.startswith("include") and pending and not self.module:
                self.module = " ".join(pending)
            pending = []

    def find_comment(self, name: str) -> SchemaComment:
        """Returns the comment of a name, an empty comment if there is none."""
        return self.by_name.get(name) or SchemaComment(lines=[])


def _is_enum(kind: Any) -> bool:
    return isinstance(kind, type) and hasattr(kind, "_VALUES_TO_NAMES")


def _element_type(inner_type: Any) -> tuple[str, Any]:
    """Returns the annotation of a list element and its struct or enum class."""
    if isinstance(inner_type, tuple):
        return inner_type[1].__name__, inner_type[1]
    return _PYTHON_TYPES[inner_type], None


def _element_spec(inner_type: Any) -> str:
    if not isinstance(inner_type, tuple):
        return f"TType.{_TTYPE_NAMES[inner_type]}"
    if _is_enum(inner_type[1]):
        return "TType.I32"
    return f"(TType.STRUCT, {inner_type[1].__name__})"


class Field:
    """One field of a struct, rendered as Python source.

    Attributes:
        annotation: Type of the attribute.
        default: Default of the parameter.
        factory: Expression for an omitted value, empty if the default is it.
    """

    __slots__ = (
        "annotation",
        "default",
        "enum",
        "factory",
        "name",
        "number",
        "spec",
    )

    def __init__(
        self,
        *,
        number: int,
        spec: tuple[Any, ...],
        default: Any,
        optional: bool,
    ) -> None:
        type_id = spec[0]
        # The underscore avoids reserved words of the IDL, such as "service".
        self.name = spec[1].rstrip("_")
        inner_type = spec[2] if len(spec) == 4 else None
        self.number = number
        self.enum = self.factory = ""
        type_name = _TTYPE_NAMES[type_id]
        if type_id == TType.LIST:
            item, kind = _element_type(inner_type)
            self.annotation = f"list[{item}]"
            self.enum = item if _is_enum(kind) else ""
            self.default = "None"
            self.factory = repr(default or [])
            self.spec = (
                f"(TType.LIST, {self.name!r}, {_element_spec(inner_type)},"
                " False)"
            )
        elif type_id == TType.STRUCT:
            name = inner_type.__name__
            self.annotation = f"{name} | None" if optional else name
            self.default = "None"
            self.factory = "" if optional else f"{name}()"
            self.spec = f"(TType.STRUCT, {self.name!r}, {name}, False)"
        else:
            self.annotation = _PYTHON_TYPES[type_id]
            if inner_type is not None:
                self.annotation = self.enum = inner_type.__name__
            self.default = self._scalar_default(default, inner_type)
            self.spec = f"(TType.{type_name}, {self.name!r}, False)"

    def render_parameter(self) -> str:
        """Renders the field as a parameter of the constructor."""
        optional = " | None" if self.factory else ""
        return f"{self.name}: {self.annotation}{optional} = {self.default}"

    def render_assignment(self) -> str:
        """Renders the line of the constructor that sets the field."""
        if not self.factory:
            return f"self.{self.name} = {self.name}"
        value = f"{self.factory} if {self.name} is None else {self.name}"
        return f"self.{self.name} = {value}"

    def _scalar_default(self, default: Any, enum: Any) -> str:
        if enum is not None:
            member = enum._VALUES_TO_NAMES[default or 0]
            return f"{enum.__name__}.{member}"
        if default is None:
            return _ZERO_DEFAULTS[self.annotation]
        if self.annotation == "float":
            return repr(float(default))
        if self.annotation == "bool":
            return repr(bool(default))
        return repr(default)


def _struct_fields(struct: Any, source: str) -> list[Field]:
    defaults = dict(struct.default_spec)
    body = re.search(
        rf"struct {struct.__name__} \{{(.*?)^\}}", source, re.S | re.M
    )
    optional = set(re.findall(r"optional .*?(\w+)$", body[1], re.M))
    return [
        Field(
            number=number,
            spec=spec,
            default=defaults.get(spec[1]),
            optional=spec[1] in optional,
        )
        for number, spec in struct.thrift_spec.items()
    ]


def _render_description(comment: SchemaComment) -> str:
    return f"Description(text={comment.text!r}, options={comment.options!r})"


def _docstring(text: str, indent: str) -> str:
    return f'{indent}"""{text or "Generated from the schema."}"""'


def render_enum(enum: Any, comments: SchemaComments) -> str:
    """Renders one enum and its descriptions."""
    name = enum.__name__
    members = enum._VALUES_TO_NAMES.items()
    lines = [
        f"class {name}(enum.IntEnum):",
        _docstring(comments.find_comment(name).text, "    "),
        "",
        *(f"    {member} = {value}" for value, member in members),
        "",
        "",
        f"{name.upper()}_INFO: Final = {{",
    ]
    for _, member in members:
        description = _render_description(
            comments.find_comment(f"{name}.{member}")
        )
        lines.append(f"    {name}.{member}: {description},")
    return "\n".join([*lines, "}"])


def render_struct(struct: Any, source: str, comments: SchemaComments) -> str:
    """Renders one struct as a class with slots.

    The methods are written out, since the decorator for data classes compiles
    them at each import.
    """
    name = struct.__name__
    fields = _struct_fields(struct, source)
    specs = ", ".join(f"{f.number}: {f.spec}" for f in fields)
    enums = ", ".join(f"{f.name!r}: {f.enum}" for f in fields if f.enum)
    names = ", ".join(f"({f.name!r}, None)" for f in fields)
    slots = "".join(f"{n!r}, " for n in sorted(f.name for f in fields))
    lines = [
        f"class {name}(Struct):",
        _docstring(comments.find_comment(name).text, "    "),
        "",
        f"    __slots__ = ({slots})",
        "",
        *(f"    {f.name}: {f.annotation}" for f in fields),
        "",
        *_render_constructor(fields),
        "",
        f"    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]] = {{{specs}}}",
        f"    default_spec: ClassVar[list[tuple[str, Any]]] = [{names}]",
        "    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]]"
        f" = {{{enums}}}",
        "    descriptions: ClassVar[dict[str, Description]] = {",
    ]
    for f in fields:
        description = _render_description(
            comments.find_comment(f"{name}.{f.name}")
        )
        lines.append(f"        {f.name!r}: {description},")
    return "\n".join([*lines, "    }"])


def _render_constructor(fields: list[Field]) -> list[str]:
    parameters = "".join(f", {f.render_parameter()}" for f in fields)
    star = ", *" if fields else ""
    return [
        f"    def __init__(self{star}{parameters}) -> None:",
        *(f"        {f.render_assignment()}" for f in fields),
        *([] if fields else ["        pass"]),
    ]


def render_module(name: str, module: ModuleType) -> str:
    """Renders the Python module of one IDL file."""
    source = (SCHEMA_DIR / f"{name}.thrift").read_text("utf-8")
    comments = SchemaComments(source=source)
    meta = module.__thrift_meta__
    declared_kinds = [k for k in ("enums", "structs") if k in meta]
    types_by_name = {
        item.__name__: item for kind in declared_kinds for item in meta[kind]
    }
    order = re.findall(r"^(?:struct|enum)\s+(\w+)", source, re.M)
    bodies, exported = [], []
    for item_name in order:
        item = types_by_name[item_name]
        exported.append(item_name)
        if _is_enum(item):
            exported.append(f"{item_name.upper()}_INFO")
            bodies.append(render_enum(item, comments))
        else:
            bodies.append(render_struct(item, source, comments))
    imports = [
        f"from auburnswitch.schema.{included} import *"
        for included in re.findall(r'include "(\w+)\.thrift"', source)
    ]
    names = "\n".join(f'    "{n}",' for n in sorted(exported))
    header = f'''"""{comments.module}

Generated from schema/{name}.thrift by tools/generate_schema.py.
"""

from __future__ import annotations

import enum
from typing import Any, ClassVar, Final

from thriftpy2.thrift import TType

from auburnswitch.schema.base import Description, Struct
'''
    return (
        header
        + "\n".join(imports)
        + "\n\n\n"
        + "\n\n\n".join(bodies)
        + f"\n\n\n__all__ = [\n{names}\n]\n"
    )


def _title(text: str, lines: list[str]) -> str:
    note = "Generated from the schema by `make schema`."
    return "\n".join([f"# {text}", "", note, "", *lines]) + "\n"


def render_errors() -> str:
    """Renders docs/ERRORS.md."""
    comments = _comments("results")
    lines = ["| Code | Name | HTTP | Ran | Meaning |", "|---|---|---|---|---|"]
    enum = _load("results").ResultCode
    for value, name in enum._VALUES_TO_NAMES.items():
        comment = comments.find_comment(f"ResultCode.{name}")
        lines.append(
            f"| {value} | `{name}` | {comment.options['http']} |"
            f" {comment.options['ran']} | {comment.text} |"
        )
    return _title("Result codes", lines)


def render_events() -> str:
    """Renders docs/EVENTS.md."""
    comments = _comments("events")
    lines = ["| Event | Name | Level | Meaning |", "|---|---|---|---|"]
    for value, name in _load("events").EventId._VALUES_TO_NAMES.items():
        comment = comments.find_comment(f"EventId.{name}")
        lines.append(
            f"| {value} | `{name}` | {comment.options['level']} |"
            f" {comment.text} |"
        )
    return _title("Log events", lines)


def render_settings() -> str:
    """Renders docs/SETTINGS.md."""
    lines = [
        "The daemon `auburnswitchd` reads the sections of the first part, the",
        "entry daemon (`python -m auburnswitch.entry`) those of the second.",
        "",
        "# Daemon",
        "",
        *_settings_sections("settings", "Settings"),
        "# Entry daemon",
        "",
        *_settings_sections("entry", "EntrySettings"),
    ]
    return _title("Settings", lines).rstrip("\n") + "\n"


def _settings_sections(name: str, root_name: str) -> list[str]:
    comments = _comments(name)
    lines: list[str] = []
    for spec in getattr(_load(name), root_name).thrift_spec.values():
        section, struct = spec[1], spec[2]
        lines += [
            f"## [{section}]",
            "",
            comments.find_comment(struct.__name__).text,
            "",
        ]
        lines += [
            "| Key | Type | Default | Bounds | Unit | Meaning |",
            "|---|---|---|---|---|---|",
        ]
        defaults = dict(struct.default_spec)
        for field in struct.thrift_spec.values():
            comment = comments.find_comment(f"{struct.__name__}.{field[1]}")
            lines.append(_settings_row(field, defaults.get(field[1]), comment))
        lines.append("")
    return lines


def _settings_row(
    field: tuple[Any, ...], default: Any, comment: SchemaComment
) -> str:
    options = comment.options
    bounds = f"{options.get('min', '')}..{options.get('max', '')}"
    if "choices" in options:
        bounds = options["choices"].replace(",", ", ")
    if "required" in options:
        default = "required"
    bounds = "" if bounds == ".." else bounds
    return (
        f"| `{field[1]}` | {_PYTHON_TYPES[field[0]]} | {default} | {bounds} |"
        f" {options.get('unit', '')} | {comment.text} |"
    )


def _comments(name: str) -> SchemaComments:
    return SchemaComments(
        source=(SCHEMA_DIR / f"{name}.thrift").read_text("utf-8")
    )


def _load(name: str) -> ModuleType:
    path = SCHEMA_DIR / f"{name}.thrift"
    return thriftpy2.load(str(path), module_name=f"{name}_thrift")


def _format_source(text: str) -> str:
    ruff = Path(sys.executable).with_name("ruff")
    stdin = ["--stdin-filename", "src/auburnswitch/schema/generated.py", "-"]
    sorted_source = subprocess.run(
        [ruff, "check", "--fix", "--quiet", "--select", "I", *stdin],
        input=text,
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    formatted_source = subprocess.run(
        [ruff, "format", *stdin],
        input=sorted_source.stdout,
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    return formatted_source.stdout


def render_files() -> dict[Path, str]:
    """Returns the text of every generated file by its path."""
    files = {
        PACKAGE_DIR / f"{name}.py": _format_source(
            render_module(name, _load(name))
        )
        for name in MODULES
    }
    files[DOCS_DIR / "ERRORS.md"] = render_errors()
    files[DOCS_DIR / "EVENTS.md"] = render_events()
    files[DOCS_DIR / "SETTINGS.md"] = render_settings()
    return files


def main(arguments: list[str]) -> int:
    """Writes the generated files, or reports stale ones with ``--check``."""
    stale = []
    for path, text in render_files().items():
        if path.exists() and path.read_text("utf-8") == text:
            continue
        stale.append(path.relative_to(ROOT))
        if "--check" not in arguments:
            path.write_text(text, "utf-8")
    if stale and "--check" in arguments:
        print("stale, run `make schema`:", *stale)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

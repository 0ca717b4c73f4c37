"""Base class of generated structs and their JSON form."""

from __future__ import annotations

import base64
import enum
from typing import TYPE_CHECKING, Any, ClassVar, Final, Self, TypeVar

from thriftpy2.thrift import TType

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from thriftpy2.protocol import TProtocolBase

StructT = TypeVar("StructT", bound="Struct")

_INTEGER_BITS: Final = {TType.BYTE: 8, TType.I16: 16, TType.I32: 32}


class SchemaError(ValueError):
    """A value does not fit the schema.

    Attributes:
        path: Dotted path of the field.
        reason: What is wrong with it.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path or 'value'}: {reason}")
        self.path = path
        self.reason = reason


class Struct:
    """Base class of generated structs."""

    __slots__ = ()

    thrift_spec: ClassVar[dict[int, tuple[Any, ...]]]
    default_spec: ClassVar[list[tuple[str, Any]]]
    enum_fields: ClassVar[dict[str, type[enum.IntEnum]]]

    def __eq__(self, other: object) -> bool:
        if self.__class__ is not other.__class__:
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.field_names()
        )

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        values = (
            f"{name}={getattr(self, name)!r}" for name in self.field_names()
        )
        return f"{type(self).__name__}({', '.join(values)})"

    @classmethod
    def field_names(cls) -> list[str]:
        """Returns the names of the fields, in the order of the schema."""
        return [name for name, _ in cls.default_spec]

    def replace(self, **changes: Any) -> Self:
        """Returns a shallow copy with other values of some fields."""
        values = {name: getattr(self, name) for name in self.field_names()}
        return type(self)(**(values | changes))

    def read(self, protocol: TProtocolBase) -> None:
        """Reads the fields from a thrift protocol."""
        protocol.read_struct(self)

    def write(self, protocol: TProtocolBase) -> None:
        """Writes the fields to a thrift protocol."""
        protocol.write_struct(self)


def to_json(struct: Struct) -> dict[str, Any]:
    """Converts a struct to JSON types, leaving out absent optional fields."""
    result: dict[str, Any] = {}
    for name in struct.field_names():
        value = getattr(struct, name)
        if value is None:
            continue
        enum_type = struct.enum_fields.get(name)
        result[name] = _value_to_json(value, enum_type)
    return result


def _value_to_json(value: Any, enum_type: type[enum.IntEnum] | None) -> Any:
    match value:
        case Struct():
            return to_json(value)
        case list():
            return [_value_to_json(item, enum_type) for item in value]
        case dict():
            return {
                key: _value_to_json(item, None) for key, item in value.items()
            }
        case bytes():
            return base64.b64encode(value).decode("ascii")
        case int() if enum_type is not None:
            return enum_type(value).name.lower()
    return value


def from_json(cls: type[StructT], data: Any, path: str = "") -> StructT:
    """Builds a struct from JSON types.

    Args:
        cls: The struct class to build.
        data: A decoded JSON object.
        path: Dotted path put before field names in errors.

    Returns:
        The struct; absent fields have their defaults.

    Raises:
        SchemaError: A field is unknown or has a wrong type.
    """
    if not isinstance(data, dict):
        raise SchemaError(path, "must be an object")
    specs = {spec[1]: spec for spec in cls.thrift_spec.values()}
    values: dict[str, Any] = {}
    for name, raw in data.items():
        field_path = f"{path}.{name}" if path else str(name)
        if name not in specs:
            raise SchemaError(field_path, "unknown field")
        if raw is None:
            continue
        reader = _reader(specs[name], cls.enum_fields.get(name))
        values[name] = reader(raw, field_path)
    return cls(**values)


def _reader(
    spec: tuple[Any, ...], enum_type: type[enum.IntEnum] | None
) -> Callable[[Any, str], Any]:
    type_id = spec[0]
    inner = spec[2] if len(spec) == 4 else None
    if enum_type is not None and type_id == TType.I32:
        return lambda raw, path: _read_enum(enum_type, raw, path)
    if type_id == TType.STRUCT:
        return lambda raw, path: from_json(inner, raw, path)
    if type_id == TType.LIST:
        item_spec = inner if isinstance(inner, tuple) else (inner,)
        full = (item_spec[0], "", *item_spec[1:], False)
        return lambda raw, path: _read_list(full, enum_type, raw, path)
    return lambda raw, path: _read_scalar(type_id, raw, path)


def _read_list(
    item_spec: tuple[Any, ...],
    enum_type: type[enum.IntEnum] | None,
    raw: Any,
    path: str,
) -> list[Any]:
    if not isinstance(raw, list):
        raise SchemaError(path, "must be a list")
    reader = _reader(item_spec, enum_type)
    return [reader(item, f"{path}[{i}]") for i, item in enumerate(raw)]


def _read_enum(enum_type: type[enum.IntEnum], raw: Any, path: str) -> int:
    names = {member.name.lower(): member for member in enum_type}
    if isinstance(raw, str) and raw.lower() in names:
        return names[raw.lower()]
    raise SchemaError(path, f"must be one of {', '.join(sorted(names))}")


def _read_scalar(type_id: int, raw: Any, path: str) -> Any:
    match type_id:
        case TType.BOOL:
            if not isinstance(raw, bool):
                raise SchemaError(path, "must be true or false")
        case TType.STRING:
            if not isinstance(raw, str):
                raise SchemaError(path, "must be text")
        case TType.DOUBLE:
            if isinstance(raw, bool) or not isinstance(raw, int | float):
                raise SchemaError(path, "must be a number")
            return _read_float(raw, path)
        case _:
            if isinstance(raw, bool) or not isinstance(raw, int):
                raise SchemaError(path, "must be a whole number")
            bits = _INTEGER_BITS.get(type_id, 64)
            if not -(2 ** (bits - 1)) <= raw < 2 ** (bits - 1):
                raise SchemaError(path, f"must fit in {bits} bits")
    return raw


def _read_float(raw: float, path: str) -> float:
    try:
        return float(raw)
    except OverflowError as error:
        raise SchemaError(path, "is too large") from error


class Description:
    """What the schema says about a field or an enum member.

    Attributes:
        text: What it means.
        options: Directives of the schema, by name.
    """

    __slots__ = ("options", "text")

    def __init__(self, *, text: str, options: Mapping[str, str]) -> None:
        self.text = text
        self.options = options


__all__ = [
    "Description",
    "SchemaError",
    "Struct",
    "from_json",
    "to_json",
]

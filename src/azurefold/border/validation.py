"""From a text to a validated model, with all findings at once."""

from collections.abc import Callable, Iterable
from pathlib import Path as FilePath
from typing import Any, TypeVar, get_args, get_origin

from pydantic import BaseModel, ConfigDict, ValidationError

from azurefold.border.findings import Finding, FindingsError, Path, Place, Problem
from azurefold.border.text import Text, parse_text

__all__ = ["BorderModel", "CrossCheck", "read_text", "validated"]

CrossCheck = Callable[[Any], Iterable[Problem]]
"""Checks across parts of a raw value; bears values of any shape."""


class BorderModel(BaseModel):
    """Base of the validated models: nothing unknown, nothing converted."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


_Model = TypeVar("_Model", bound=BaseModel)


def read_text(path: str) -> Text:
    """Read the file at ``path``.

    Raises
    ------
    FindingsError
        If the file cannot be read or is not JSON with comments.
    """
    try:
        source = FilePath(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "the file is not UTF-8"
        finding = Finding(Place(path), reason, "a readable file in UTF-8")
        raise FindingsError("the file cannot be read", [finding]) from error
    return parse_text(path, source)


def validated(
    text: Text, model: type[_Model], cross_check: CrossCheck, message: str
) -> _Model:
    """Return ``text`` as a model.

    Parameters
    ----------
    text : Text
        What was read.
    model : type
        The pydantic model it must fit.
    cross_check : callable
        Further problems of the raw value. It runs even when the model does not
        fit, so that an operator sees everything in one go.
    message : str
        Head line of the error.

    Raises
    ------
    FindingsError
        With every finding and its place.
    """
    problems = list(cross_check(text.value))
    try:
        result = model.model_validate(text.value)
    except ValidationError as error:
        problems += [_problem(model, each) for each in error.errors()]
    if problems:
        raise FindingsError(message, text.findings(problems))
    return result


def _problem(model: type[BaseModel], error: dict[str, Any]) -> Problem:
    path = tuple(step for step in error["loc"] if step != "[key]")
    match error["type"]:
        case "missing":
            return Problem(path, "is missing", _expected(model, path, "a value"))
        case "extra_forbidden":
            known = _known_keys(model, path[:-1])
            expected = f"one of: {', '.join(known)}" if known else "no such key"
            return Problem(path, "is not known", expected, at_key=True)
        case _:
            problem = _plain_message(error)
            expected = _expected(model, path, "another value")
            at_key = "[key]" in error["loc"]
            return Problem(path, problem, expected, at_key=at_key)


def _plain_message(error: dict[str, Any]) -> str:
    text = error["msg"].removeprefix("Value error, ")
    return text[:1].lower() + text[1:]


def _expected(model: type[BaseModel], path: Path, otherwise: str) -> str:
    for length in range(len(path), 0, -1):
        holder = _model_at(model, path[: length - 1])
        if holder is None or path[length - 1] not in holder.model_fields:
            continue
        description = holder.model_fields[path[length - 1]].description
        return description or otherwise
    return otherwise


def _known_keys(model: type[BaseModel], path: Path) -> list[str]:
    holder = _model_at(model, path)
    return sorted(holder.model_fields) if holder else []


def _model_at(model: type[BaseModel], path: Path) -> type[BaseModel] | None:
    kind: Any = model
    for step in path:
        kind = _kind_at(kind, step)
        if kind is None:
            return None
    return _only_model(kind)


def _kind_at(kind: Any, step: str | int) -> Any:
    holder = _only_model(kind)
    if holder is not None:
        field = holder.model_fields.get(step)
        return field.annotation if field else None
    origin, arguments = get_origin(kind), get_args(kind)
    if origin is list:
        return arguments[0]
    if origin is dict:
        return arguments[1]
    for argument in arguments:
        inner = _kind_at(argument, step)
        if inner is not None:
            return inner
    return None


def _only_model(kind: Any) -> type[BaseModel] | None:
    if isinstance(kind, type) and issubclass(kind, BaseModel):
        return kind
    if get_origin(kind) in (list, dict):
        return None
    models = [_only_model(argument) for argument in get_args(kind)]
    found = [model for model in models if model is not None]
    return found[0] if len(found) == 1 else None

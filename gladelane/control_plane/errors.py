"""Errors that operators know by a fixed name, in log lines, status texts and the output of commands."""

from __future__ import annotations

from typing import ClassVar


class LabelledError(Exception):
    """An error whose `label` stays the same when its class is renamed. Each subclass has its own."""

    label: ClassVar[str]


def error_label(error: BaseException) -> str:
    """The name of an error for operators: the label of its class, or the name of a class without one."""
    name = type(error).__name__
    if isinstance(error, LabelledError):
        return str(vars(type(error)).get("label", name))  # an inherited label names another class
    return name

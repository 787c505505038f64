"""Errors that have a fixed name for operators, in log lines, status texts and the output of commands."""

from __future__ import annotations

from typing import ClassVar


class LabelledError(Exception):
    """An error whose `label` stays the same when its class is renamed. Each subclass defines a label."""

    label: ClassVar[str]


def error_label(error: BaseException) -> str:
    """Returns the name of an error for operators: the label of its class, or else the class name."""
    name = type(error).__name__
    if isinstance(error, LabelledError):
        return str(vars(type(error)).get("label", name))  # an inherited label belongs to another class
    return name

"""Checks a changed configuration file against the file in use: it must not lack a key. Pure.

A key whose value is null counts as missing, since the settings are then read with its default.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from typing import Any

from ..deployment.checks import MISSING, BadSetting, read_object

#: Keys that a file may lack, as paths without list indices. GW_OPS may name the admin endpoint instead of
#: `ops`, and a class without `aim_stretch` has a fixed latency objective.
OPTIONAL_PATHS = frozenset({"ops", "settings.classes.aim_stretch"})
#: The key by which objects in a list are recognized, such as classes and tenants.
NAME_KEY = "name"
_INDEX = re.compile(r"\[\d+\]")


def check_no_key_is_missing(new: Any, in_use: Any, path: str = "") -> None:
    """Raises BadSetting for a key of `in_use` that `new` lacks. Both are decoded JSON values at `path`.

    Lists are compared by the names of their objects: an object must have the keys of the one with its name,
    and an object with a new name the keys that all objects in use have. Objects may be absent, because a
    class or tenant may be removed. Lists of other values are not compared.
    """
    if isinstance(in_use, Mapping):
        _check_object(new, in_use, path)
    elif is_list_of_named_objects(in_use):
        _check_list(new, in_use, path)


def is_list_of_named_objects(value: Any) -> bool:
    """Whether a decoded JSON value is a list of at least one object, each of which has a name."""
    if not isinstance(value, list) or not value:
        return False
    return all(isinstance(row, Mapping) and isinstance(row.get(NAME_KEY), str) for row in value)


def _check_object(new: Any, in_use: Mapping[str, Any], path: str) -> None:
    if not isinstance(new, Mapping):
        raise BadSetting(path, new, "an object")
    for key, value in in_use.items():
        key_path = f"{path}.{key}" if path else key
        if value is None or _INDEX.sub("", key_path) in OPTIONAL_PATHS:
            continue
        if new.get(key) is None:
            raise BadSetting(key_path, MISSING, "it as in the file in use")
        check_no_key_is_missing(new[key], value, key_path)


def _check_list(new: Any, in_use: Sequence[Mapping[str, Any]], path: str) -> None:
    if not isinstance(new, list):
        raise BadSetting(path, new, "a list")
    by_name = {row[NAME_KEY]: row for row in in_use}
    common = _common_part(in_use)
    for index, row in enumerate(new):
        row_path = f"{path}[{index}]"
        name = read_object(row, row_path).get(NAME_KEY)
        same_name = by_name.get(name) if isinstance(name, str) else None
        check_no_key_is_missing(row, common if same_name is None else same_name, row_path)


def _common_part(rows: Sequence[Mapping[str, Any]]) -> Mapping[str, Any]:
    """The first object without the keys that another one lacks."""
    return {key: value for key, value in rows[0].items() if all(row.get(key) is not None for row in rows)}

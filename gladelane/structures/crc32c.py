"""CRC-32C checksums (Castagnoli, RFC 3720 appendix B.4), by the extension module of the package crc32c.

The package itself imports importlib.metadata, argparse and email, which take 3 MB that no director needs.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib.machinery import PathFinder
from importlib.util import find_spec, module_from_spec

PACKAGE, EXTENSION = "crc32c", "_crc32c"


def _load() -> Callable[[bytes], int]:
    package = find_spec(PACKAGE)
    locations = package.submodule_search_locations if package is not None else None
    spec = PathFinder.find_spec(EXTENSION, locations) if locations is not None else None
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(f"No module named {PACKAGE}.{EXTENSION}", name=PACKAGE)
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    checksum: Callable[[bytes], int] = module.crc32c
    return checksum


crc32c = _load()

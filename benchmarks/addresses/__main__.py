"""The command line of the benchmark, and its report."""

from __future__ import annotations

import resource
import sys
import tempfile
from dataclasses import asdict
from typing import Any

import uvloop

from benchmarks import conclude
from gladelane.lab.fleet.schedule_run import memory_folder

from .dial_costs import measure_dials, measure_family
from .picks import measure_picks
from .requests import measure_requests

REQUESTS, QUICK_REQUESTS = 20_000, 2_000
FAMILY_SERVERS = 500
MAX_FAMILY_PAID = 5  # servers whose dials may be slowed by a family that is broken as a whole
OTHER_DESCRIPTORS = 500
DESCRIPTORS_PER_SERVER = (
    6  # a listener, the connections that fill its backlog, a working listener, and the dials
)
MUST_BE_ZERO = (
    "doubles",
    "lost",
    "answered_twice",
    "late_repeats",
    "unfinished",
    "sockets_left",
    "dial_sockets_left",
)


def raise_descriptor_limit() -> int:
    """Raises the limit of open files to the maximum that the system allows, and returns it."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    return limit


def main() -> int:
    """Runs the benchmark, prints its results and returns the exit code."""
    quick = "--quick" in sys.argv[1:]
    descriptors = raise_descriptor_limit()
    # Each fault creates and removes socket files, which may block this process on a disk with other writers.
    tempfile.tempdir = memory_folder()
    servers = min(FAMILY_SERVERS, (descriptors - OTHER_DESCRIPTORS) // DESCRIPTORS_PER_SERVER)
    figures: dict[str, Any] = {
        "quick": quick,
        **asdict(uvloop.run(measure_requests(QUICK_REQUESTS if quick else REQUESTS))),
        **asdict(uvloop.run(measure_dials(quick))),
        **asdict(uvloop.run(measure_family(servers))),
        **asdict(measure_picks()),
    }
    broken = [name for name in MUST_BE_ZERO if figures[name]]
    if figures["family_paid"] > MAX_FAMILY_PAID:
        broken.append("family_paid")
    return conclude(figures, broken)


if __name__ == "__main__":
    sys.exit(main())

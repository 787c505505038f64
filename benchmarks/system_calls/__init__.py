"""Makes system calls of a real director fail, for each call site, errno and moment, and checks every rule.

`python -m benchmarks.system_calls [--quick]` runs director processes on loopback with a preload library
(`gladelane.lab.preload`), so that calls inside libuv fail too. In each case one kind of call fails for a
while: under load, when idle, at the start, at the shutdown, or while a new version takes over. The director
then has to recover by itself. A case in which no call was made to fail counts as broken.

`sites` has the calls, `cases` the matrix, `runner` runs one case, `lanes` runs all of them, `tally` sums up
the results, `planted` has directors with a fault in their code, which the checks have to detect, and
`__main__` reports. The long form repeats the matrix with other seeds and lower rates. Exits with 1 if a rule
was broken.
"""

from .cases import Case
from .runner import FRESH_DIRECTOR_RUNNERS, run_on_serving_director
from .sites import SITES, Moment

FAULT_S, FAULT_LONG_S = 0.2, 0.5  # duration of a fault: well under the deadline of a request

__all__ = [
    "FAULT_LONG_S",
    "FAULT_S",
    "FRESH_DIRECTOR_RUNNERS",
    "SITES",
    "Case",
    "Moment",
    "run_on_serving_director",
]

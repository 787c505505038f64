"""System calls of a real director that fail: call site x errno x moment, with every rule watched.

`python -m benchmarks.system_calls [--quick]`: director processes on loopback with a preload library below
them (`gladelane.lab.preload`), so that calls inside libuv fail too. In each case one kind of call fails for a
span: under load, at rest, at the start, at the shutdown, or while a new version takes over. Then the director
has to be back to normal by itself. A case that injected nothing counts as broken.

`sites` has the calls, `cases` the matrix, `runner` plays one case, `lanes` all of them, `tally` sums up,
`planted` has directors with a mend taken out, which the watch has to catch, and `__main__` reports. The long
form repeats the matrix with other seeds and lower rates. Exits with 1 if a rule was broken.
"""

from .cases import Case
from .runner import FRESH, play_running
from .sites import SITES, Moment

FAULT_S, FAULT_LONG_S = 0.2, 0.5  # how long a fault is on: well under the deadline of a request

__all__ = ["FAULT_LONG_S", "FAULT_S", "FRESH", "SITES", "Case", "Moment", "play_running"]

"""Soak test of maintenance under faults.

Operators take servers out and put them back, while callers crowd the admin endpoint, processes are stopped,
signals come in series, system calls fail, discovery is lost, processor time is taken and new versions take
over.

    python -m benchmarks.soak --seeds 50         # 50 runs of some 25 s, five at a time
    python -m benchmarks.soak --first 7 --seeds 1

Checked in each run: every call of an operator is answered within 1 s and in force from its answer, or from
1 s after the call; no new work goes to a server that is out; one that is put back is used within 5 s; each
request gets one final answer, by the earliest kill of the process at the latest.
"""

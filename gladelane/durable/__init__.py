"""State that outlives a process: one write-ahead log with snapshots, for all who keep state.

`files` is the little that the log asks of a disk, `log` the format, its writing and its recovery.
"""

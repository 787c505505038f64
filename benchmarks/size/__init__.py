"""Measures the resources of real director processes with fleets of 200 and of 3,200 fake caches.

`python -m benchmarks.size [--quick]` runs the same day on loopback with fleets of two sizes. The traffic for
each director and the total capacity of the caches are the same in both; there are eight zones, and the
directors that run are in two of them. A director starts with the endpoint list in its file. Then half of the
caches are replaced in steps, each by a drain, a new member and a departure, and the whole list is sent once.
Each fake cache has an address of its own, served by this process.

The last line has a ratio for each row of the operators' table: the resources that the large fleet needed,
less the fixed part that the row allows, as a multiple of those that the small fleet needed. `served_ratio` is
the share of requests served with the large fleet divided by that with the small one. Exits with 1 if a ratio
is over the limit of its row, or if `served_ratio` is under MIN_SERVED_RATIO.

`allowances` has the table, `fake_fleet` the servers, `traffic` the requests, `directors` the processes,
`changes` the changes of the list, `day` runs one size, and `__main__` reports.
"""

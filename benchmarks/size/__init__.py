"""What a director needs as the fleet grows: real processes before 200 and before 3,200 fake caches.

`python -m benchmarks.size [--quick]`. One day in two sizes, on loopback: the same traffic a director, the
capacity of all caches together the same, eight zones, the directors that run in two of them. A day starts
with the list in the file; then half of the caches are replaced in steps, each by a drain, a new member and a
departure, and the whole list is told once. Each fake cache has an address of its own, served by this process.

The last line has for each row of the operators' table what the large fleet needed, less what the row allows
on top, as a multiple of what the small one needed; served_ratio is the share served there by the share here.
Exits with 1 if a ratio is over that of its row.

`allowances` has the table, `fake_fleet` the servers, `traffic` the requests, `directors` the processes,
`changes` what happens to the list, `day` plays one size, and `__main__` reports.
"""

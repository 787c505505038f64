"""Servers with several addresses: what failing addresses cost, and whether anything is ever sent twice.

`python -m benchmarks.addresses [--quick]`, real sockets on loopback, fake servers of this project. Requests
go through a whole director while each fault in turn strikes the first address of every server; dials are
measured alone, against a plain baseline that tries the listed addresses in turn, a full time-out each. Exits
with 1 if a request was doubled or lost, a keyed one came after its window, a family cost more servers than
stated, or a socket was left behind.

`fleet` has the servers and the director, `clients` a client as the protocol has it, `requests` the load under
faults, `dialing` single dials, `dial_costs` what they cost, `picks` the choice of addresses in a large list,
and `__main__` reports.
"""

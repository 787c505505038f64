"""Servers with several addresses: the cost of failing addresses, and whether a request is ever sent twice.

`python -m benchmarks.addresses [--quick]` uses real sockets on loopback and fake servers of this project.
Requests go through a whole director while each fault in turn affects the first address of every server. Dials
are measured separately and compared with a baseline that tries the listed addresses one after the other, each
with a full timeout. Exits with 1 if a request was duplicated or lost, a keyed request was repeated after its
window, a broken address family slowed the dials of more servers than allowed, or a socket was left open.

`fleet` has the servers and the director, `clients` a client that follows the protocol, `requests` the load
under faults, `dialing` single dials, `dial_costs` their cost, `picks` the choice of addresses in a large
list, and `__main__` reports.
"""

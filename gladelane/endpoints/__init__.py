"""Servers with several addresses: which server owns an address, which address to dial first, and how to dial.

A server may be reachable at up to sixteen IPv4, IPv6 and Unix socket addresses. `Endpoints` (in `plan`) holds
what a director knows of them: the `AddressRegistry` of owners, the `Health` observed in past connects, and
the dial plans made from both by RFC 6724 and RFC 8305. `Dialer` executes one plan as a Happy Eyeballs connect
on real sockets. `check_health` dials a failed address again while no request waits for it. All modules except
`connect`, `dialer` and `health_check` are pure: they take time and randomness as arguments and do no I/O.
"""

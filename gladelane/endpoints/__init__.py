"""Servers with several addresses: who owns an address, which to dial first, and how to dial them.

A server may be reachable at up to sixteen IPv4, IPv6 and Unix socket addresses. `Endpoints` (`plan`) holds
what a director knows of them: the `AddressRegistry` of owners, the `Health` learnt from past connects, and
the dial plans made from both by RFC 6724 and RFC 8305. `Dialer` carries out one plan as a Happy Eyeballs
connect on real sockets, and `check_health` tries a failed address again without a request waiting for it. All
modules but `connect`, `dialer` and `health_check` are pure: they take time and randomness as arguments and
open nothing.
"""

"""Clients that leave: how long after it an attempt for one still begins, by the place where it waited.

`python -m benchmarks.leaves [--quick]`: one director process on loopback, clients that close, reset, cancel
(type 18) or shut their write side at random moments while their request waits, and fake servers for caches
and the origin. The director is held up (SIGSTOP) for a fraction of a second again and again, so that a leave
lies unread while timers, dials and late answers fall due. Each place is played with cancels allowed and
without.

An attempt's beginning is when its first byte came to a server's machine, also where the server reads nothing
then. This process looks every few milliseconds: `over` began more than 0.1 s after its client's leave was
sent, even if it came right after the look before; `unclear` only if it came at the look that saw it. None is
passed over, and either breaks the rule. `whole_over`: its last byte came so late, and its first did not.
`unanswered`: who only shut its write side got no answer to what it had open. Exits with 1 if any but
`whole_over` is not 0.

`places` has the places, `client` a client that leaves, `fleet` the servers and the director, `play` plays one
place, `counts` counts, and `__main__` reports.
"""

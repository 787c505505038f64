"""Checks how soon the director stops starting attempts for a request that its client has abandoned.

`python -m benchmarks.leaves [--quick]` runs one director process on loopback, fake servers for the caches and
the origin, and clients that abandon their waiting requests at random times: they close or reset the
connection, cancel the requests (type 18), or shut down their write side. The director is stopped (SIGSTOP)
for a fraction of a second repeatedly, so that a client's message is still unread when timers, dials and late
answers fall due. Each scenario runs with cancellation of attempts enabled and disabled.

An attempt begins when its first byte arrives at the host of a server, even if the server does not read then.
This process checks for arrivals every few milliseconds, so the time of an arrival lies between two checks:

- `over`: attempts that began more than 0.1 s after the request was abandoned, even if they arrived right
  after the check before the one that detected them;
- `unclear`: attempts that began more than 0.1 s after it only if they arrived right at the check that
  detected them;
- `whole_over`: attempts whose last byte arrived more than 0.1 s after it, but whose first byte did not;
- `unanswered`: open requests of clients that only shut down their write side and got no answer.

Exits with 1 if `over`, `unclear` or `unanswered` is not 0.

`scenarios` lists the scenarios, `abandoning_client` is the client, `fleet` has the servers and the director,
`scenario_run` runs one scenario, `abandonments` counts, and `__main__` reports.
"""

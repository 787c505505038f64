"""Fleet-wide purges: whether any answer comes from a copy older than a purge, once the stated delay is over.

`python -m benchmarks.purges [--quick]`: directors and control servers as processes of their own on loopback;
caches, a parent, an origin and discovery as fakes in this process. Purges go to either control server while
directors are restarted, control servers killed and the parent comes back with old copies; every answer's body
is its copy's date. Then both control servers are killed, to see what directors that are cut off ask of the
origin. The same without control servers must show old copies, else the check proves nothing. Exits with 1 if
an answer was stale after the delay, one was lost, or the check proved nothing.

`draws` has objects and random scopes, `fake_site` the fake servers, `director_files` the configuration,
`control_servers`, `directors` and `fleet` the processes, `load` the clients and the operator, `run` one run,
`measures` what its answers came to, `structures` the data structures alone, and `__main__` reports.
"""

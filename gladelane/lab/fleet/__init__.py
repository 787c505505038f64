"""Many real processes of the program on loopback, relays between them, faults by name from one seed and one
line.

`faults` reads the line (pure), `relay` is a link that can be cut, `rules` watches answers and attempts,
`world` has the servers, `fleet` the processes, `load` the clients and operators, `day` plays one line and
gives its figures."""

"""Hot restart: two processes of one director run side by side while a new version replaces an old one.

`handover`, `learned_state`, `messages` and `decoding` are pure: they define the state that is handed over,
its stored form, and the messages. `rendezvous_socket` and `channel` manage the sockets, and `handover_file`
the file. `coordinator` connects them to a running director; the program uses
`coordinator.RestartCoordinator`.
"""

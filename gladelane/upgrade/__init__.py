"""Two processes, one director: what the old version hands to the new one, and what they tell each other while
both run. `channel` has the sockets; the form of what is handed over is pure."""

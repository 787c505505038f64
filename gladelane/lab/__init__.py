"""The laboratory: stand-ins, checkers of rules and experiments. The serving path imports none of it."""

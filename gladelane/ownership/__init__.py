"""One owner at a time for work that is done for the fleet: leases from a majority of keepers, each with a
fencing number that only grows, and fences that refuse lower ones.

`lease` is the holder's side, `keeper` the keepers', `fence` that of whoever takes an effect. All pure: times
are arguments, on clocks that do not step.
"""

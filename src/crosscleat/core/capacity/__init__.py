"""Which machines there are: scaling out and in, the budget, and spot interruptions.

Owns the life of machines from rental to deletion, and the demand that they are rented for.
May import: `model`, `state`, `election`, `scheduling`.
"""

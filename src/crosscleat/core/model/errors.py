"""The base of all errors that this program raises itself.

It stands in the lowest layer, since messages, settings, adapters and the core may all derive
errors from it.
"""


class CrosscleatError(Exception):
    """Something went wrong that this program knows of; the text says what, and with what."""

"""The base class of the errors that this program raises.

It is in the lowest layer because the wire formats, settings, adapters and the core may all derive
errors from it.
"""


class CrosscleatError(Exception):
    """Base class of expected errors; the text says what went wrong, and with which value."""

"""The messages of each interface, in the words of the protocol."""

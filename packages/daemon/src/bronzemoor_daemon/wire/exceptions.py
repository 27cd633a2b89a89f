"""Exceptions of the daemons of the statement protocol."""

from bronzemoor_core.exceptions import BronzemoorError


class ConnectionLost(BronzemoorError):
    """A connection failed, or could not be opened, before the answer was complete."""

    code = "connection_lost"


class NoConnection(BronzemoorError):
    """No connection to a member was available; nothing was sent."""

    code = "busy"


class Refused(NoConnection):
    """The expected wait for a connection is too long.

    The message is the client's hint when to try again; nothing was sent.
    """

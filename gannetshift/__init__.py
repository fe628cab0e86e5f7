"""gannetshift: the decisions of a sender that delivers calls to many outside destinations."""

from gannetshift.brain import Sender

__all__ = ["Sender"]

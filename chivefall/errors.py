"""Exceptions whose messages include a remedy."""

from __future__ import annotations

__all__ = [
    "ChivefallError",
    "ConfigError",
    "DocumentError",
    "MessageError",
    "RegistryError",
]


class ChivefallError(Exception):
    """Base class of all chivefall errors.

    Parameters
    ----------
    problem : str
        What is wrong, including the invalid value.
    remedy : str
        How to fix it.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class ConfigError(ChivefallError):
    """The settings file cannot be used."""


class DocumentError(ChivefallError):
    """The operators' document or a change to it is invalid."""


class MessageError(ChivefallError):
    """A message from a client or a peer cannot be decoded."""


class RegistryError(ChivefallError):
    """A controller is registered twice or not at all."""

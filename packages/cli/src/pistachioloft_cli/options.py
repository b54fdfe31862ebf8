"""Options shared by several commands."""

from __future__ import annotations

import getpass
import os
import secrets
from typing import Annotated

import typer

from pistachioloft_core.util.names import ADDRESS_RULE, is_address, is_name

ADDRESS_VARIABLE = 'PISTACHIOLOFT_AT'
OPERATOR_VARIABLE = 'PISTACHIOLOFT_OPERATOR'


def check_addresses(values: list[str] | None) -> list[str]:
    """Reject addresses that are not IP:PORT and drop repeated ones."""
    for value in values or ():
        if not is_address(value):
            raise typer.BadParameter(f'expected {ADDRESS_RULE}, found {value!r}')
    return list(dict.fromkeys(values or ()))


CallerAt = Annotated[
    list[str],
    typer.Option(
        '--at',
        metavar='IP:PORT',
        envvar=ADDRESS_VARIABLE,
        callback=check_addresses,
        help='Caller address of an instance; may be given several times.',
    ),
]
OperatorAt = Annotated[
    list[str],
    typer.Option(
        '--at',
        metavar='IP:PORT',
        envvar=ADDRESS_VARIABLE,
        callback=check_addresses,
        help='Operator address of an instance; may be given several times.',
    ),
]
Json = Annotated[bool, typer.Option('--json', help='Write one JSON document.')]
Caller = Annotated[str, typer.Option('--caller', help='Name of the caller in the inventory.')]
Operator = Annotated[
    str | None,
    typer.Option(
        '--operator',
        envvar=OPERATOR_VARIABLE,
        help='Name stored in the history; by default the current user of the operating system.',
    ),
]
CommandId = Annotated[
    str | None,
    typer.Option('--command-id', help='Command id of an earlier attempt, to send it again.'),
]


def operator_name(option_value: str | None) -> str:
    """Return the given name of the operator, or the user of the operating system."""
    if option_value:
        return option_value
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        return f'uid-{os.getuid()}'


def new_identifier() -> str:
    """Return a random identifier, unique to one request or command."""
    return secrets.token_hex(12)


def command_identifier(option_value: str | None) -> str:
    """Return the given command id, or a new one; reject one that is not a valid name."""
    if option_value is not None and not is_name(option_value):
        raise typer.BadParameter(
            'expected a command id printed by an earlier attempt', param_hint='--command-id'
        )
    return option_value or new_identifier()

"""Options that several commands share."""

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
    """Refuse addresses that are not IP:PORT."""
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
        help='Name kept in the history; the user of the operating system by default.',
    ),
]
CommandId = Annotated[
    str | None,
    typer.Option('--command-id', help='Command id of an earlier attempt, to send it again.'),
]


def operator_name(option_value: str | None) -> str:
    """Give the name of the operator."""
    if option_value:
        return option_value
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        return f'uid-{os.getuid()}'


def new_identifier() -> str:
    """Make an identifier that no other attempt has."""
    return secrets.token_hex(12)


def command_identifier(option_value: str | None) -> str:
    """Give the command id to use and refuse one that is not a name."""
    if option_value is not None and not is_name(option_value):
        raise typer.BadParameter('expected a command id printed earlier', param_hint='--command-id')
    return option_value or new_identifier()

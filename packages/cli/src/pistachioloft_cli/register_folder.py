"""Read the asset register from a folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioloft_core.util.describe import format_count
from pistachioloft_core.version.configuration import check_configuration
from pistachioloft_core.version.register import REGISTER_FILES, RegisterText, parse_register

from .exits import CommandFailure, ExitCode

if TYPE_CHECKING:
    from pathlib import Path

    from pistachioloft_core.messages.accepted import Configuration


def read_register(folder: Path) -> Configuration:
    """Read and check a register; raise a failure that lists all its mistakes."""
    mistakes: list[str] = []
    texts = []
    for name in REGISTER_FILES:
        try:
            texts.append((folder / name).read_text(encoding='utf-8'))
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, 'strerror', None) or 'not UTF-8'
            mistakes.append(f'{name}: cannot be read: {reason}')
    if not mistakes:
        try:
            configuration = parse_register(RegisterText(*texts))
        except ExceptionGroup as group:
            mistakes.extend(str(error) for error in group.exceptions)
        else:
            mistakes.extend(check_configuration(configuration))
            if not mistakes:
                return configuration
    detail = f'{folder} has {format_count(len(mistakes), "mistake")}; nothing was sent.'
    raise CommandFailure(ExitCode.REFUSED, detail, mistakes=tuple(mistakes))

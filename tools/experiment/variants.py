"""Variants of the source, each with one mechanism replaced by its plain counterpart."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

UNCHANGED = 'unchanged'
VARIANTS_FILE = Path(__file__).parent / 'variants.toml'


@dataclass(frozen=True, slots=True)
class Replacement:
    """Replace a text that occurs exactly once in a file."""

    path: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Variant:
    """Describe a variant; the unchanged one has no replacements."""

    name: str
    replacements: tuple[Replacement, ...] = ()


def load_variants(path: Path = VARIANTS_FILE) -> dict[str, Variant]:
    """Return the variants of a file by name, and the unchanged one."""
    document = tomllib.loads(path.read_text())
    variants = {UNCHANGED: Variant(UNCHANGED)}
    for name, entries in document.items():
        replacements = tuple(
            Replacement(entry['path'], entry['old'], entry['new']) for entry in entries
        )
        variants[name] = Variant(name, replacements)
    return variants


def apply_variant(variant: Variant, folder: Path) -> None:
    """Change the sources in a folder; raise ValueError if a text does not occur once."""
    for replacement in variant.replacements:
        path = folder / replacement.path
        text = path.read_text()
        count = text.count(replacement.old)
        if count != 1:
            raise ValueError(
                f'variant {variant.name}: {replacement.path} has {count} times: {replacement.old}'
            )
        path.write_text(text.replace(replacement.old, replacement.new))

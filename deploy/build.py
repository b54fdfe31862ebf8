"""Install the libraries and the compiled packages below target/, where the platform runs them."""

from __future__ import annotations

import compileall
import hashlib
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TARGET = ROOT / 'target'
REQUIREMENTS = ROOT / 'deploy' / 'requirements.txt'
PACKAGES = ('core', 'daemon')


def main() -> None:
    """Install the libraries if their list changed, and copy the packages."""
    install_libraries()
    copy_packages()


def install_libraries() -> None:
    """Install the libraries if the requirements have changed since the last build."""
    stamp = TARGET / 'libraries.sha256'
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    if stamp.exists() and stamp.read_text() == digest:
        return
    folder = TARGET / 'deps'
    shutil.rmtree(folder, ignore_errors=True)
    command = [sys.executable, '-m', 'pip', 'install', '-q', '--target', str(folder)]
    subprocess.run([*command, '-r', str(REQUIREMENTS)], check=True)
    stamp.write_text(digest)


def copy_packages() -> None:
    """Copy and compile the packages, since an instance cannot write the compiled files."""
    folder = TARGET / 'app'
    shutil.rmtree(folder, ignore_errors=True)
    for package in PACKAGES:
        source = ROOT / 'packages' / package / 'src'
        ignored = shutil.ignore_patterns('__pycache__', '*.egg-info')
        shutil.copytree(source, folder, ignore=ignored, dirs_exist_ok=True)
    if not compileall.compile_dir(folder, quiet=1):
        raise SystemExit('the packages could not be compiled; see the errors above')


if __name__ == '__main__':
    main()

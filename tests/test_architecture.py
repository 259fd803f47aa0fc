"""Tests that the docs and the deploy file name every package, and only files and packages that exist."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
PAGES = ("docs/architecture.md", "docs/glossary.md", "README.md")
PATH_PATTERN = re.compile(r"`((?:heronlug|tests|docs|deploy|scenarios)/[\w./*-]+)`")


def packages() -> set[str]:
    return {f"heronlug/{path.parent.name}/" for path in (ROOT / "heronlug").glob("*/__init__.py")}


def test_paths_named_in_the_docs_exist() -> None:
    """Guards against docs that name a file or package that was renamed or removed."""
    named = {(page, path) for page in PAGES for path in PATH_PATTERN.findall((ROOT / page).read_text())}
    missing = {(page, path) for page, path in named if not list(ROOT.glob(path.rstrip("/")))}
    assert not missing
    assert len(named) > 40


def test_every_package_is_described() -> None:
    """Guards against a new package that the architecture page or the README does not describe."""
    for page in ("docs/architecture.md", "README.md"):
        text = (ROOT / page).read_text()
        assert not {package for package in packages() if package not in text}, page


def test_packages_import_only_from_lower_layers() -> None:
    """Guards against an import from a package that is higher in the table of layers."""
    table = (ROOT / "docs/architecture.md").read_text().split("## The layers")[1].split("## ")[0]
    rows = [re.findall(r"`heronlug/(\w+)/`", line) for line in table.splitlines() if line.startswith("| `")]
    level = {package: number for number, row in enumerate(rows) for package in row}
    upwards = []
    for package, number in level.items():
        for path in (ROOT / "heronlug" / package).rglob("*.py"):
            for imported in re.findall(r"^ *from heronlug\.(\w+)", path.read_text(), re.MULTILINE):
                if level.get(imported, number) < number:
                    upwards.append(f"{path.relative_to(ROOT)} imports {imported}")
    assert not upwards


def test_deploy_file_lists_the_balancer_modules() -> None:
    """Guards against a balancer module that is missing in the deploy file, or a listed file that does not exist."""
    terms = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    balancer = {path.relative_to(ROOT).as_posix() for path in (ROOT / "heronlug/balancer").rglob("*.py")}
    assert set(terms["policy"]) == balancer
    assert not [path for path in terms["node"] if not (ROOT / path).exists()]

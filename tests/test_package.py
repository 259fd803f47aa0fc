"""Tests that an installed wheel contains all packages and that its command runs."""

import subprocess
import sys
import zipfile
from pathlib import Path

ROOT = Path(__file__).parents[1]


def test_an_installed_wheel_runs(tmp_path: Path) -> None:
    """Guards against a wheel with only the top-level package, so that the installed program cannot import the rest."""
    source = tmp_path / "source"
    source.mkdir()
    for name in ("heronlug", "pyproject.toml", "README.md", "requirements.txt"):
        subprocess.run(["cp", "-r", str(ROOT / name), str(source)], check=True)
    pip = [sys.executable, "-m", "pip", "-q", "--disable-pip-version-check"]
    build = [*pip, "wheel", "--no-deps", "--no-build-isolation", "-w", str(tmp_path), str(source)]
    subprocess.run(build, check=True, capture_output=True)
    (wheel,) = tmp_path.glob("heronlug-*.whl")
    target = tmp_path / "installed"
    with zipfile.ZipFile(wheel) as archive:
        archive.extractall(target)
        entry = next(name for name in archive.namelist() if name.endswith("entry_points.txt"))
        assert "heronlug = heronlug.__main__:main" in archive.read(entry).decode()
    installed_files = {path.relative_to(target).as_posix() for path in target.glob("heronlug/**/*.py")}
    assert installed_files == {path.relative_to(ROOT).as_posix() for path in ROOT.glob("heronlug/**/*.py")}
    file = tmp_path / "local.toml"
    file.write_text((ROOT / "deploy" / "local.toml").read_text())
    command = [sys.executable, "-c", "import sys; from heronlug.__main__ import main; sys.exit(main())"]
    for arguments, expected_output in (
        (["--version"], "heronlug, version"),
        (["check", str(file)], "local.toml: good"),
    ):
        completed = subprocess.run([*command, *arguments], cwd=target, capture_output=True, text=True)
        assert completed.returncode == 0, completed.stderr
        assert expected_output in completed.stdout, completed.stderr

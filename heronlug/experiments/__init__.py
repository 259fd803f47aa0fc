"""Experiments on the emulator: sweeps over parameters and seeds, kept in SQLite, compared and reported.

``experiment`` is the file, ``runner`` plays it on all cores, ``store`` keeps what came of it, ``compare`` says which
differences are more than noise, ``report`` writes a page. Needs the libraries of the extra ``lab``.
"""

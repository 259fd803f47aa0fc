"""Runs experiments on the emulator: sweeps over parameters and seeds, stored in SQLite, compared and reported.

``experiment`` reads the experiment file, ``runner`` executes the runs on all cores, ``store`` stores the results,
``compare`` separates differences from noise and ``report`` renders an HTML page. The package requires the libraries of
the extra ``lab``.
"""

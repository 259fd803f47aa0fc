"""A model of all that heronlug balances, in virtual time, around the real core and the real decision module.

``scenario`` is the file, ``world`` one run of it: ``timeline`` holds what is to come, ``draws`` all chance, ``hosts``,
``register``, ``dispatchers`` and ``clients`` the parts, ``troubles`` what befalls them, ``policies`` other ways to
choose a host, ``figures`` what is counted. Nothing here knows a socket; the same seed gives the same run.
"""

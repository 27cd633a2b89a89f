"""Runs the command line of the stand-in."""

import sys

from bronzemoor_standin.command import main

sys.exit(main())

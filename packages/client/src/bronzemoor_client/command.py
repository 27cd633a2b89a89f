"""Entry point of bronzemoorctl."""

from importlib import import_module

from cleo.application import Application

from bronzemoor_client.base import COMMANDS

COMMAND_MODULES = ("status", "template", "changes", "deployment")
VERSION = "0.1.0"


def make_application() -> Application:
    """Returns the application with all registered commands."""
    for module in COMMAND_MODULES:
        import_module(f"bronzemoor_client.{module}")
    application = Application("bronzemoorctl", VERSION)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Runs the command line and exits with a code from ``exitcodes``."""
    make_application().run()

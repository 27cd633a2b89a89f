"""Commands for templates: read, validate, compare, apply and roll back."""

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, ClassVar
from uuid import uuid4

from cleo.helpers import argument, option
from yaml import YAMLError, safe_dump, safe_load

from bronzemoor_client import exitcodes
from bronzemoor_client.base import CHANGE_ID, YES, AdminCommand, register
from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.templates import TEMPLATE_SCHEMA, diff_templates, parse_template

ORGANISATION = argument("organisation", "Name of the organisation")
FILE = argument("file", "Template in YAML")
EXPECT_VERSION = option(
    "expect-version",
    None,
    "Version that the change is based on; by default the current one",
    flag=False,
)


def describe_time(seconds: float | None) -> str:
    """UTC time of a change in ISO 8601, or empty if it is not known."""
    if not seconds:
        return ""
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")


def read_body(path: str) -> dict[str, Any]:
    """Reads a YAML mapping; raises ``InvalidSettings`` with what is wrong."""
    try:
        body = safe_load(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        raise InvalidSettings([f"{path}: {error}"], step="template") from error
    if not isinstance(body, dict):
        raise InvalidSettings([f"{path}: not a mapping"], step="template")
    return body


class TemplateCommand(AdminCommand):
    """A command about one organisation's template."""

    arguments: ClassVar[list[Any]] = [ORGANISATION]

    @property
    def organisation(self) -> str:
        return str(self.argument("organisation"))

    def current(self) -> dict[str, Any]:
        """The current version and body, confirmed by a quorum."""
        return self.query("template.get", organisation=self.organisation)

    def expected_version(self) -> int:
        """The given --expect-version, or the current version.

        A resend expects what its first attempt expected: the version before the one
        that the change made.
        """
        given = self.option("expect-version")
        if given is not None:
            return int(given)
        resent = self.option("change-id")
        if resent:
            history = self.query("template.history", organisation=self.organisation)
            for entry in history.get("history", []):
                if entry.get("change_id") == resent:
                    return int(entry["version"]) - 1
        return int(self.current().get("version", 0))

    def submit(self, question: str, command: str, **arguments: Any) -> int:
        """Confirms and sends a change; shows its id before, for a resend."""
        expected = self.expected_version()
        change_id = str(self.option("change-id") or uuid4())
        if not self.confirmed(f"{question} Its version is {expected}."):
            return exitcodes.REFUSED
        self.line_error(f"change id: {change_id}")
        answer = self.change(
            command,
            organisation=self.organisation,
            expect_version=expected,
            change_id=change_id,
            **arguments,
        )
        return self.finish(answer, self.show_version)

    def show_version(self, answer: dict[str, Any]) -> None:
        self.line(f"{self.organisation}: version {answer.get('version')} accepted")


@register
class TemplateListCommand(AdminCommand):
    name = "template list"
    description = "Lists the organisations and the versions of their templates."

    def execute_command(self) -> int:
        return self.finish(self.query("template.list"), self.show)

    def show(self, answer: dict[str, Any]) -> None:
        rows = [
            [item.get("organisation"), item.get("version")]
            for item in answer.get("templates", [])
        ]
        self.print_table(["organisation", "version"], rows)


@register
class TemplateGetCommand(TemplateCommand):
    name = "template get"
    description = "Prints a template as YAML."
    options: ClassVar[list[Any]] = [
        option("at", None, "An earlier version", flag=False)
    ]

    def execute_command(self) -> int:
        arguments: dict[str, Any] = {"organisation": self.organisation}
        if self.option("at"):
            arguments["version"] = int(self.option("at"))
        return self.finish(self.query("template.get", **arguments), self.show)

    def show(self, answer: dict[str, Any]) -> None:
        self.line(f"# {self.organisation}, version {answer.get('version')}")
        self.line(safe_dump(answer.get("body", {}), sort_keys=False).rstrip())


@register
class TemplateHistoryCommand(TemplateCommand):
    name = "template history"
    description = "Lists the versions of a template and who made them."

    def execute_command(self) -> int:
        answer = self.query("template.history", organisation=self.organisation)
        return self.finish(answer, self.show)

    def show(self, answer: dict[str, Any]) -> None:
        rows = [
            [
                item.get("version"),
                describe_time(item.get("at")),
                item.get("operator", ""),
                item.get("change_id", ""),
            ]
            for item in answer.get("history", [])
        ]
        self.print_table(["version", "at", "operator", "change id"], rows)


@register
class TemplateValidateCommand(AdminCommand):
    name = "template validate"
    description = "Checks a template without a daemon; prints every problem."
    arguments: ClassVar[list[Any]] = [FILE]

    def execute_command(self) -> int:
        try:
            parse_template("check", read_body(self.argument("file")), 0)
        except InvalidSettings as error:
            return self.finish({"code": error.code, "problems": error.problems})
        return self.finish({"code": "ok"}, lambda _answer: self.line("valid"))


@register
class TemplateDiffCommand(TemplateCommand):
    name = "template diff"
    description = "Compares a file with the current template."
    arguments: ClassVar[list[Any]] = [ORGANISATION, FILE]

    def execute_command(self) -> int:
        answer = self.current()
        if answer.get("code", "ok") != "ok":
            return self.finish(answer)
        body = read_body(self.argument("file"))
        lines = diff_templates(answer.get("body", {}), body)
        return self.finish(
            {"code": "ok", "version": answer.get("version"), "changes": lines},
            lambda shown: self.line("\n".join(shown["changes"]) or "no changes"),
        )


@register
class TemplateApplyCommand(TemplateCommand):
    name = "template apply"
    description = "Replaces an organisation's template."
    arguments: ClassVar[list[Any]] = [ORGANISATION, FILE]
    options: ClassVar[list[Any]] = [EXPECT_VERSION, CHANGE_ID, YES]

    def execute_command(self) -> int:
        body = read_body(self.argument("file"))
        question = f"Replace the template of {self.organisation}?"
        return self.submit(question, "template.apply", body=body)


@register
class TemplateRollbackCommand(TemplateCommand):
    name = "template rollback"
    description = "Makes an earlier version current again, as a new version."
    arguments: ClassVar[list[Any]] = [
        ORGANISATION,
        argument("version", "The earlier version"),
    ]
    options: ClassVar[list[Any]] = [EXPECT_VERSION, CHANGE_ID, YES]

    def execute_command(self) -> int:
        version = int(self.argument("version"))
        question = f"Roll {self.organisation} back to version {version}?"
        return self.submit(question, "template.rollback", to_version=version)


@register
class TemplateSchemaCommand(AdminCommand):
    name = "template schema"
    description = "Prints the JSON schema of templates, for editors."

    def execute_command(self) -> int:
        self.line(json.dumps(TEMPLATE_SCHEMA, indent=2, sort_keys=True))
        return exitcodes.OK

"""Commands that read, validate, compare, apply and roll back templates."""

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, ClassVar
from uuid import uuid4

from cleo.helpers import argument, option
from yaml import YAMLError, safe_dump, safe_load

from bronzemoor_client import exitcodes
from bronzemoor_client.base import CHANGE_ID_OPTION, YES_OPTION, AdminCommand, register
from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.templates import TEMPLATE_SCHEMA, diff_templates, parse_template

ORGANISATION_ARGUMENT = argument("organisation", "Name of the organisation")
FILE_ARGUMENT = argument("file", "Template file in YAML")
EXPECT_VERSION_OPTION = option(
    "expect-version",
    None,
    "Version that the change is based on; defaults to the current one",
    flag=False,
)


def format_time(seconds: float | None) -> str:
    """Returns a UTC time in ISO 8601, or an empty text if it is unknown."""
    if not seconds:
        return ""
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")


def read_template(path: str) -> dict[str, Any]:
    """Reads a YAML mapping; raises ``InvalidSettings`` if the file holds none."""
    try:
        body = safe_load(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, YAMLError) as error:
        raise InvalidSettings([f"{path}: {error}"], step="template") from error
    if not isinstance(body, dict):
        raise InvalidSettings([f"{path}: not a mapping"], step="template")
    return body


class TemplateCommand(AdminCommand):
    """Base class of the commands for one organisation's template."""

    arguments: ClassVar[list[Any]] = [ORGANISATION_ARGUMENT]

    @property
    def organisation(self) -> str:
        return str(self.argument("organisation"))

    def current_template(self) -> dict[str, Any]:
        """Returns the current version and body, confirmed by a quorum."""
        return self.send_query("template.get", organisation=self.organisation)

    def expected_version(self) -> int:
        """Returns --expect-version, or else the current version.

        A resend expects the same version as its first attempt: the one before the
        version that the change created.
        """
        given = self.option("expect-version")
        if given is not None:
            return int(given)
        change_id = self.option("change-id")
        if change_id:
            history = self.send_query(
                "template.history", organisation=self.organisation
            )
            for entry in history.get("history", []):
                if entry.get("change_id") == change_id:
                    return int(entry["version"]) - 1
        return int(self.current_template().get("version", 0))

    def submit(self, question: str, command: str, **arguments: Any) -> int:
        """Sends a change if confirmed; prints its id first, for a resend."""
        expected = self.expected_version()
        change_id = str(self.option("change-id") or uuid4())
        if not self.ask_confirmation(f"{question} Its version is {expected}."):
            return exitcodes.REFUSED
        self.line_error(f"change id: {change_id}")
        answer = self.send_change(
            command,
            organisation=self.organisation,
            expect_version=expected,
            change_id=change_id,
            **arguments,
        )
        return self.print_answer(answer, self.show_version)

    def show_version(self, answer: dict[str, Any]) -> None:
        self.line(f"{self.organisation}: version {answer.get('version')} accepted")


@register
class TemplateListCommand(AdminCommand):
    name = "template list"
    description = "Lists the organisations and the versions of their templates."

    def execute_command(self) -> int:
        return self.print_answer(self.send_query("template.list"), self.show)

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
        option("at", None, "Version to print; defaults to the current one", flag=False)
    ]

    def execute_command(self) -> int:
        arguments: dict[str, Any] = {"organisation": self.organisation}
        if self.option("at"):
            arguments["version"] = int(self.option("at"))
        return self.print_answer(
            self.send_query("template.get", **arguments), self.show
        )

    def show(self, answer: dict[str, Any]) -> None:
        self.line(f"# {self.organisation}, version {answer.get('version')}")
        self.line(safe_dump(answer.get("body", {}), sort_keys=False).rstrip())


@register
class TemplateHistoryCommand(TemplateCommand):
    name = "template history"
    description = "Lists the versions of a template and the operators who created them."

    def execute_command(self) -> int:
        answer = self.send_query("template.history", organisation=self.organisation)
        return self.print_answer(answer, self.show)

    def show(self, answer: dict[str, Any]) -> None:
        rows = [
            [
                item.get("version"),
                format_time(item.get("at")),
                item.get("operator", ""),
                item.get("change_id", ""),
            ]
            for item in answer.get("history", [])
        ]
        self.print_table(["version", "at", "operator", "change id"], rows)


@register
class TemplateValidateCommand(AdminCommand):
    name = "template validate"
    description = "Checks a template without a daemon and prints every problem."
    arguments: ClassVar[list[Any]] = [FILE_ARGUMENT]

    def execute_command(self) -> int:
        try:
            parse_template("check", read_template(self.argument("file")), 0)
        except InvalidSettings as error:
            return self.print_answer({"code": error.code, "problems": error.problems})
        return self.print_answer({"code": "ok"}, lambda _answer: self.line("valid"))


@register
class TemplateDiffCommand(TemplateCommand):
    name = "template diff"
    description = "Compares a file with the current template."
    arguments: ClassVar[list[Any]] = [ORGANISATION_ARGUMENT, FILE_ARGUMENT]

    def execute_command(self) -> int:
        answer = self.current_template()
        if answer.get("code", "ok") != "ok":
            return self.print_answer(answer)
        body = read_template(self.argument("file"))
        lines = diff_templates(answer.get("body", {}), body)
        return self.print_answer(
            {"code": "ok", "version": answer.get("version"), "changes": lines},
            lambda shown: self.line("\n".join(shown["changes"]) or "no changes"),
        )


@register
class TemplateApplyCommand(TemplateCommand):
    name = "template apply"
    description = "Replaces an organisation's template."
    arguments: ClassVar[list[Any]] = [ORGANISATION_ARGUMENT, FILE_ARGUMENT]
    options: ClassVar[list[Any]] = [EXPECT_VERSION_OPTION, CHANGE_ID_OPTION, YES_OPTION]

    def execute_command(self) -> int:
        body = read_template(self.argument("file"))
        question = f"Replace the template of {self.organisation}?"
        return self.submit(question, "template.apply", body=body)


@register
class TemplateRollbackCommand(TemplateCommand):
    name = "template rollback"
    description = "Makes an earlier version current again, as a new version."
    arguments: ClassVar[list[Any]] = [
        ORGANISATION_ARGUMENT,
        argument("version", "Version to restore"),
    ]
    options: ClassVar[list[Any]] = [EXPECT_VERSION_OPTION, CHANGE_ID_OPTION, YES_OPTION]

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

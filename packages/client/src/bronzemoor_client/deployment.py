"""Commands for deployment documents of the statement protocol."""

import json
from collections import Counter
from importlib import import_module
from os import environ
from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.outputs.output import Type

from bronzemoor_client import exitcodes
from bronzemoor_client.base import AdminCommand, register
from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.wire.deployment import Deployment, InvalidDeployment
from bronzemoor_core.wire.deploymentcheck import (
    ERROR,
    MAX_DOCUMENT_BYTES,
    WARNING,
    Capacity,
    Finding,
    check_deployment,
    count_severities,
    list_problems,
)
from bronzemoor_core.wire.documentformats import FORMATS, DocumentFormat

FORMAT_VARIABLE = "BRONZEMOOR_DOCUMENT_FORMAT"
# Findings of one kind that are printed as text; JSON has all.
MAX_PRINTED_PER_KIND = 20


def load_format(module: str) -> DocumentFormat:
    """Imports the module of a document format; raises ``InvalidSettings``."""
    if not module:
        problem = f"name the module with --format or {FORMAT_VARIABLE}"
        raise InvalidSettings([problem], step="format")
    try:
        import_module(module)
    except Exception as error:  # The module may raise anything.
        raise InvalidSettings([f"{module}: {error!r}"], step="format") from error
    if module not in FORMATS:
        raise InvalidSettings(
            [f"{module}: registers no document format"], step="format"
        )
    return FORMATS[module]


def read_deployment(
    document_format: DocumentFormat, path: str
) -> tuple[Deployment | None, list[Finding]]:
    """Returns the deployment in a file, or None with the problems found.

    Raises ``InvalidSettings`` if the file cannot be read.
    """
    try:
        with Path(path).open("rb") as file:
            document = file.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        raise InvalidSettings([str(error)], step="deployment") from error
    if len(document) > MAX_DOCUMENT_BYTES:
        allowed = f"at most {MAX_DOCUMENT_BYTES} bytes"
        found = f"more than {MAX_DOCUMENT_BYTES} bytes"
        return None, [Finding(ERROR, "document_too_large", (), found, allowed)]
    try:
        return document_format.read(document), []
    except InvalidDeployment as error:
        return None, list_problems(error)


@register
class DeploymentCheckCommand(AdminCommand):
    name = "deployment check"
    description = "Checks a deployment document without a daemon and writes nothing."
    arguments: ClassVar[list[Any]] = [argument("file", "Deployment document")]
    options: ClassVar[list[Any]] = [
        option("against", None, "Document in force, to compare with", flag=False),
        option(
            "member-connections",
            None,
            "Connections that each member accepts",
            flag=False,
        ),
        option("replica-lag", None, "Seconds that replicas fall behind", flag=False),
        option(
            "format",
            None,
            f"Module that reads the document's format [env: {FORMAT_VARIABLE}]",
            flag=False,
        ),
    ]

    def execute_command(self) -> int:
        module = self.option("format") or environ.get(FORMAT_VARIABLE, "")
        document_format = load_format(str(module))
        capacity = self.read_capacity()
        file, against = str(self.argument("file")), self.option("against")
        deployment, findings = read_deployment(document_format, file)
        results = [(file, finding) for finding in findings]
        in_force = None
        if against:
            in_force, findings = read_deployment(document_format, str(against))
            results += [(str(against), finding) for finding in findings]
        if deployment is not None:
            findings = check_deployment(deployment, in_force, capacity)
            results += [(file, finding) for finding in findings]
        return self.print_findings(document_format, results)

    def read_capacity(self) -> Capacity:
        """Returns the options on members; raises ``InvalidSettings``."""
        connections = self.option("member-connections")
        lag = self.option("replica-lag")
        try:
            return Capacity(
                None if connections is None else int(connections),
                None if lag is None else float(lag),
            )
        except ValueError as error:
            raise InvalidSettings([str(error)], step="options") from error

    def print_findings(
        self, document_format: DocumentFormat, results: list[tuple[str, Finding]]
    ) -> int:
        """Prints the findings, errors first, and returns the exit code."""
        results = sorted(results, key=lambda result: result[1].severity != ERROR)
        counts = count_severities([finding for _, finding in results])
        code = "errors" if counts[ERROR] else "warnings" if counts[WARNING] else "ok"
        entries = [
            {
                "file": file,
                "severity": finding.severity,
                "kind": finding.kind,
                "path": document_format.format_path(finding.path),
                "found": finding.found,
                "allowed": finding.allowed,
                "affects": finding.affects,
            }
            for file, finding in results
        ]
        if self.option("json"):
            answer = {
                "code": code,
                "errors": counts[ERROR],
                "warnings": counts[WARNING],
                "findings": entries,
            }
            self.print_raw(json.dumps(answer, indent=2, sort_keys=True))
        else:
            self.print_entries(entries)
            self.print_raw(f"{counts[ERROR]} errors, {counts[WARNING]} warnings")
        return {
            "ok": exitcodes.OK,
            "warnings": exitcodes.CHECK_WARNINGS,
            "errors": exitcodes.CHECK_ERRORS,
        }[code]

    def print_entries(self, entries: list[dict[str, str]]) -> None:
        printed: Counter[str] = Counter()
        for entry in entries:
            kind = entry["kind"]
            printed[kind] += 1
            if printed[kind] <= MAX_PRINTED_PER_KIND:
                self.print_raw(format_entry(entry))
        for kind, count in printed.items():
            if count > MAX_PRINTED_PER_KIND:
                more = count - MAX_PRINTED_PER_KIND
                self.print_raw(f"{more} more of {kind}; --json lists all")

    def print_raw(self, text: str) -> None:
        """Prints a text without interpreting tags in names."""
        self.io.write_line(text, type=Type.RAW)


def format_entry(entry: dict[str, str]) -> str:
    """Returns a finding on one line, with unprintable characters escaped."""
    where = entry["path"] or entry["file"]
    text = f"{entry['severity']}: {where}: {entry['found']}"
    if entry["allowed"]:
        text += f"; allowed: {entry['allowed']}"
    if entry["affects"]:
        text += f"; affects {entry['affects']}"
    text += f" ({entry['kind']})"
    return "".join(c if c.isprintable() else repr(c)[1:-1] for c in text)

"""Exit codes of bronzemoorctl; documented in docs/OPERATIONS.md."""

OK = 0
REFUSED = 1
USAGE = 2
UNREACHABLE = 3
CONFLICT = 4
UNKNOWN = 5
UNHEALTHY = 6
CHECK_WARNINGS = 7
CHECK_ERRORS = 8

# Exit codes by error code of the administration interface; all others are REFUSED.
BY_ERROR_CODE = {
    "ok": OK,
    "version_conflict": CONFLICT,
    "change_id_reused": CONFLICT,
    "unknown": UNKNOWN,
    "no_leader": UNREACHABLE,
}


def exit_code(error_code: str) -> int:
    """Returns the exit code for an error code of the administration interface."""
    return BY_ERROR_CODE.get(error_code, REFUSED)

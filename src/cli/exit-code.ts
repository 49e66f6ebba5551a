/** Exit codes of the command line, documented in docs/OPERATIONS.md. */
export const exitCode = {
	ok: 0,
	/** The command was valid but failed, for example because of a conflict or a refusal. */
	failed: 1,
	/** Invalid arguments, settings or configuration. */
	invalidInput: 2,
	/** A file cannot be read, or a process cannot be reached or started. */
	unreachable: 3,
} as const;

/** Exit codes of the command line, documented in docs/OPERATIONS.md. */
export const exitCode = {
	ok: 0,
	/** The command was understood but failed, such as a conflict or a refusal. */
	failed: 1,
	/** Faulty arguments, settings or configuration. */
	invalidInput: 2,
	/** A file or process cannot be reached. */
	unreachable: 3,
} as const;

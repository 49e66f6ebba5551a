/** Severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Structured log of this process. Only state changes are logged; frequent events are counted in metrics instead. */
export abstract class Logger {
	abstract log(level: LogLevel, message: string, fields?: Readonly<Record<string, unknown>>): void;
}

/** Logger that discards every line. */
export class NullLogger extends Logger {
	override log(): void {
		// Intentionally empty.
	}
}

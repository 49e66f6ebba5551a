export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Structured log. Lines are written for changes of state; frequent facts are counted instead. */
export abstract class Logger {
	abstract log(level: LogLevel, message: string, fields?: Readonly<Record<string, unknown>>): void;
}

/** Discards every line. */
export class NullLogger extends Logger {
	override log(): void {
		// Nothing to write.
	}
}

import {writeSync} from 'node:fs';
import process from 'node:process';
import {Logger as TsLogger} from 'tslog';
import {Logger} from '../../common/core/log.js';
import type {LogLevel} from '../../common/core/log.js';
import {LineWriter} from './line-writer.js';

/** Writes the remaining log lines to standard output. Errors are ignored, so that a reader that no longer reads cannot keep the process from exiting. */
function writeAtExit(bytes: Uint8Array): void {
	try {
		writeSync(1, bytes);
	} catch {
		// There is nowhere to report that the log itself cannot be written.
	}
}

type LogLine = {readonly message: string; readonly fields: Readonly<Record<string, unknown>>};
type LogLineMetadata = {_meta?: {date: Date; logLevelName: string}};

/** Replacer for `JSON.stringify`, which writes no property of an error. */
function writeErrorAsMessage(_key: string, field: unknown): unknown {
	return field instanceof Error ? field.message : field;
}

/** Logger that writes one JSON object per line to standard output. */
export class JsonLogger extends Logger {
	private readonly _logger: TsLogger<LogLine>;

	/** @param context - fields added to every line; they take precedence over the fields of the line */
	constructor(context: Readonly<Record<string, unknown>>, writer = new LineWriter()) {
		super();
		this._logger = new TsLogger<LogLine>({
			type: 'hidden',
			hideLogPositionForProduction: true,
			attachedTransports: [entry => {
				const {message, fields, _meta: metadata} = entry as LogLine & LogLineMetadata;
				const line = {
					time: metadata?.date.toISOString(), level: metadata?.logLevelName.toLowerCase(), message, ...fields, ...context,
				};
				writer.writeLine(JSON.stringify(line, writeErrorAsMessage));
			}],
		});
		process.once('exit', () => {
			writeAtExit(writer.takeQueuedBytes());
		});
	}

	override log(level: LogLevel, message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this._logger[level]({message, fields});
	}
}

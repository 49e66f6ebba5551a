import {writeSync} from 'node:fs';
import process from 'node:process';
import {Logger as TsLogger} from 'tslog';
import {Logger} from '../../common/core/log.js';
import type {LogLevel} from '../../common/core/log.js';
import {LineWriter} from './line-writer.js';

/** A reader that takes nothing must not keep the process from ending. */
function writeAtExit(bytes: Uint8Array): void {
	try {
		writeSync(1, bytes);
	} catch {
		// Nobody can be told of a failed write of the log itself.
	}
}

type Line = {readonly message: string; readonly fields: Readonly<Record<string, unknown>>};
type LineMetadata = {_meta?: {date: Date; logLevelName: string}};

/** Writes one JSON object per line to standard output. */
export class JsonLogger extends Logger {
	private readonly _logger: TsLogger<Line>;

	/** `context` goes into every line and cannot be overwritten by a line's fields. */
	constructor(context: Readonly<Record<string, unknown>>, writer = new LineWriter()) {
		super();
		this._logger = new TsLogger<Line>({
			type: 'hidden',
			hideLogPositionForProduction: true,
			attachedTransports: [entry => {
				const {message, fields, _meta: metadata} = entry as Line & LineMetadata;
				const line = {
					time: metadata?.date.toISOString(), level: metadata?.logLevelName.toLowerCase(), message, ...fields, ...context,
				};
				writer.writeLine(JSON.stringify(line));
			}],
		});
		process.once('exit', () => {
			writeAtExit(writer.takeWaiting());
		});
	}

	override log(level: LogLevel, message: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this._logger[level]({message, fields});
	}
}

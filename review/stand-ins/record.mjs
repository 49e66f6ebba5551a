import {writeFileSync} from 'node:fs';

/** Collects lines about what was sent, answered and run, and writes them to a file. */
export class Record {
	constructor(file) {
		this._file = file;
		this._startedMs = performance.now();
		this._lines = [];
	}

	/** Time since the start of the script, in milliseconds. */
	get elapsedMs() {
		return performance.now() - this._startedMs;
	}

	add(text) {
		this._lines.push(`${(this.elapsedMs / 1000).toFixed(3).padStart(8)} ${text}`);
	}

	/** Adds a line and prints it. */
	report(text) {
		this.add(text);
		console.log(text);
	}

	save() {
		writeFileSync(this._file, `${this._lines.join('\n')}\n`);
	}
}

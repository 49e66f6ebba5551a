import process from 'node:process';
import {exitCode} from './exit-code.js';
import {describeProblem} from './operator-client.js';
import type {OperatorOptions, OperatorReply} from './operator-client.js';

/** Prints a reply as JSON or as text. If the request was refused, also sets the exit code: 2 for invalid input, 1 for any other reason. */
export function printReply(options: OperatorOptions, reply: OperatorReply, describe: (body: unknown) => string): void {
	const isRefused = reply.status >= 400;
	if (options.json) {
		console.log(JSON.stringify(reply.body));
	} else if (isRefused) {
		console.error(describeProblem(reply));
	} else {
		console.log(describe(reply.body));
	}

	if (isRefused) {
		process.exitCode = reply.status === 422 || reply.status === 400 ? exitCode.invalidInput : exitCode.failed;
	}
}

/** Formats the body of a reply as indented JSON. */
export function describeJson(body: unknown): string {
	return JSON.stringify(body, undefined, 2);
}

import process from 'node:process';
import {exitCode} from './exit-code.js';
import {describeProblem} from './operator-client.js';
import type {OperatorOptions, OperatorReply} from './operator-client.js';

/** Prints a reply as JSON or as text and sets the exit code: 1 for a refusal, 2 for invalid input. */
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

/** Formats a reply that is a small object or list as indented JSON. */
export function describeJson(body: unknown): string {
	return JSON.stringify(body, undefined, 2);
}

import {randomUUID} from 'node:crypto';
import type {Command} from 'commander';
import {request} from 'undici';
import {z} from 'zod';
import {errorContext, JasmineheadError} from '../common/core/errors.js';

/** Options of the subcommands that call the operator listener of a process. */
export type OperatorOptions = {
	readonly operators: string;
	readonly token: string;
	readonly json?: boolean;
	readonly changeId?: string;
};

export type OperatorReply = {readonly status: number; readonly body: unknown};

/** Timeout of a request to the operator API, in milliseconds. Long enough for a leader election, for which the commit of a change may have to wait. */
const requestTimeoutMs = 10_000;
/** Body of an error reply of the operator API. */
const problemSchema = z.looseObject({code: z.string(), detail: z.string().optional()});

/** Adds the options that `callOperatorApi` needs. */
export function withOperatorOptions(command: Command): Command {
	return command
		.requiredOption('--operators <address>', 'operator listener of any process, such as 127.0.0.1:9100')
		.requiredOption('--token <token>', 'operator token of the settings')
		.option('--json', 'print the answer as JSON');
}

/** Adds the option `--change-id`, a random id by default. If a change is sent again under the same id, the reply is the outcome of the first attempt. */
export function withChangeId(command: Command): Command {
	return command.option('--change-id <id>', 'id of this change; reuse it to resend after a lost answer', randomUUID());
}

/** Sends a request to the operator API and returns the status and the parsed body, which is undefined if the reply has none. Throws `JasmineheadError` if the process does not answer. */
export async function callOperatorApi(options: OperatorOptions, method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown): Promise<OperatorReply> {
	try {
		const res = await request(`http://${options.operators}${path}`, {
			method,
			headers: {authorization: `Bearer ${options.token}`, ...(body !== undefined && {'content-type': 'application/json'})},
			body: body === undefined ? undefined : JSON.stringify(body),
			headersTimeout: requestTimeoutMs,
			bodyTimeout: requestTimeoutMs,
		});
		const text = await res.body.text();
		return {status: res.statusCode, body: text === '' ? undefined : JSON.parse(text) as unknown};
	} catch (err) {
		printChangeId(options);
		throw new JasmineheadError(`${options.operators} did not answer`, errorContext({step: `operators ${method} ${path}`, peer: options.operators, cause: err}));
	}
}

/** Prints the id of a change whose reply was lost, so that the operator can send the change again. Prints nothing for a query, which has no change id. */
function printChangeId({changeId}: OperatorOptions): void {
	if (changeId !== undefined) {
		console.error(`to send this change again: --change-id ${changeId}`);
	}
}

/** Describes a refused request in one line of text. */
export function describeProblem(reply: OperatorReply): string {
	const problem = problemSchema.safeParse(reply.body);
	return problem.success ? `${problem.data.code}: ${problem.data.detail ?? ''}` : `status ${reply.status}`;
}

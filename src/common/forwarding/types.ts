import {z} from 'zod';

/** Entry of the platform's server list. */
export const serverRecordSchema = z.strictObject({
	/** Id of this incarnation of the server. A restart usually gets a new id, but may reuse the old one. */
	id: z.string().min(1),
	service: z.string(),
	/** IP address and port. */
	address: z.string(),
	zone: z.string(),
	/** Number of requests that the server runs concurrently. */
	slots: z.int().min(0),
	state: z.enum(['ready', 'leaving']),
	/** Stage that a model engine runs; absent for plain servers. */
	stage: z.enum(['prefill', 'decode']).optional(),
	/** Start time of the server in Unix milliseconds; absent if the server does not report it. */
	bornMs: z.number().optional(),
	/** Remaining warm-up time in milliseconds, during which the server is slow; 0 once it is warm. */
	coldLeftMs: z.number(),
});

export type ServerRecord = z.infer<typeof serverRecordSchema>;
export type EngineStage = NonNullable<ServerRecord['stage']>;

/** Identifies one incarnation of a server: a restart under the same id and address gets another key. */
export type ServerKey = string;

export function serverKey({service, address, id, bornMs}: ServerRecord): ServerKey {
	return `${service} ${address} ${id} ${bornMs ?? ''}`;
}

/** Size of a model request in prompt and output tokens, as read from its headers. */
export type ModelRequestSize = {
	readonly model: string | undefined;
	readonly promptTokens: number;
	/** Upper limit on the output, in tokens. */
	readonly maxOutputTokens: number;
	/** The caller's estimate of the output, in tokens. */
	readonly expectedOutputTokens: number | undefined;
};

/** Why a request is stopped before its response is complete. */
export type StopCause =
	/** The caller closed the connection. */
	| 'caller-gone'
	/** The caller's deadline or the route's timeout has passed. */
	| 'deadline'
	/** The process ends before the request could. */
	| 'shutdown';

/** `Retry-After` of a stopping process, in milliseconds; short, since other processes accept the request at once. */
export const stoppingRetryMs = 50;

/** Failure of one exchange with a server. */
export type SendFailure = {
	/** Whether the server may have run the request; false only if it certainly did not. */
	readonly mayHaveRun: boolean;
	readonly detail: string;
};

/** Final response to a caller that the router itself produces, instead of relaying one from a server. */
export type LocalAnswer = {
	readonly status: number;
	readonly reason: string;
	/** Value of `Retry-After`, in milliseconds; undefined if the response has none. */
	readonly retryAfterMs: number | undefined;
};

import {z} from 'zod';

/** One server of the platform's list. */
export const serverRecordSchema = z.strictObject({
	/** Of this start of the server; a restart mostly has a new one. */
	id: z.string().min(1),
	service: z.string(),
	/** IP address and port. */
	address: z.string(),
	zone: z.string(),
	/** Requests that it runs at once. */
	slots: z.int().min(0),
	state: z.enum(['ready', 'leaving']),
	/** What a model engine does; absent for other servers. */
	stage: z.enum(['prefill', 'decode']).optional(),
	/** Start of the server in Unix milliseconds, where it tells. */
	bornMs: z.number().optional(),
	/** How much longer the server is slow after its start, in milliseconds. */
	coldLeftMs: z.number(),
});

export type ServerRecord = z.infer<typeof serverRecordSchema>;
export type EngineStage = NonNullable<ServerRecord['stage']>;

/** Names one start of a server. */
export type ServerKey = string;

export function serverKey({service, address, id, bornMs}: ServerRecord): ServerKey {
	return `${service} ${address} ${id} ${bornMs ?? ''}`;
}

/** The prompt of a model request as its headers describe it. */
export type PromptFacts = {
	readonly model: string | undefined;
	readonly promptTokens: number;
	/** Bound on the output, in tokens. */
	readonly maxOutputTokens: number;
	/** The caller's estimate of the output, in tokens. */
	readonly expectedOutputTokens: number | undefined;
};

/** Why a request is stopped before its answer is complete. */
export type StopCause =
	| 'caller-gone'
	/** The caller's deadline or the route's timeout has passed. */
	| 'deadline';

/** How one exchange with a server failed. */
export type SendFailure = {
	/** Whether the server may have run the request. */
	readonly mayHaveRun: boolean;
	readonly detail: string;
};

/** A final answer of the system's own. */
export type OwnAnswer = {
	readonly status: number;
	readonly reason: string;
	readonly retryAfterMs: number | undefined;
};

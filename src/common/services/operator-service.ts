import {z} from 'zod';
import {orderSchema} from '../upstreams/engine-api.js';

const changeIdSchema = z.string().min(1).max(128);

/** Replaces the shared configuration. */
export const configApplySchema = z.strictObject({
	changeId: changeIdSchema,
	/** Version of the shared configuration that the change replaces; 0 if there is no configuration yet. The change is refused if the current version differs. */
	expectedVersion: z.int().min(0),
	/** YAML text of the shared configuration. */
	source: z.string().max(4_194_304),
});
/** Issues an API key to a customer. */
export const keyIssueSchema = z.strictObject({changeId: changeIdSchema, tenant: z.string()});
/** Withdraws an API key. */
export const keyWithdrawSchema = z.strictObject({changeId: changeIdSchema, keyId: z.string()});
/** Starts or ends a drain: a drained VM or upstream gets no new work. */
export const drainSetSchema = z.strictObject({
	changeId: changeIdSchema, kind: z.enum(['vm', 'upstream']), name: z.string(), draining: z.boolean(),
});
/** Submits an order for the engine `upstream`. */
export const orderSubmitSchema = z.strictObject({changeId: changeIdSchema, upstream: z.string(), order: orderSchema});

/** Adds or removes a control VM. Only the leader can execute it. */
export const memberChangeSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('add'), vm: z.string(), diskId: z.string()}),
	z.strictObject({kind: z.literal('remove'), vm: z.string()}),
]);

/** Why an operator's request was refused: `status` is the HTTP status, `code` a stable identifier of the reason and `detail` its description. */
export type OperatorProblem = {
	readonly [field: string]: unknown;
	readonly status: number;
	readonly code: string;
	readonly detail: string;
};

export type OperatorResult =
	| {readonly ok: true; readonly body: unknown}
	| {readonly ok: false; readonly problem: OperatorProblem};

/** Operations of the operator API, which every process of the cluster offers. */
export abstract class OperatorService {
	abstract readConfiguration(version?: number): Promise<OperatorResult>;
	abstract readConfigurationHistory(): Promise<OperatorResult>;
	abstract applyConfiguration(change: z.infer<typeof configApplySchema>): Promise<OperatorResult>;
	abstract listKeys(): Promise<OperatorResult>;
	abstract issueKey(change: z.infer<typeof keyIssueSchema>): Promise<OperatorResult>;
	abstract withdrawKey(change: z.infer<typeof keyWithdrawSchema>): Promise<OperatorResult>;
	abstract listDrains(): Promise<OperatorResult>;
	abstract setDrain(change: z.infer<typeof drainSetSchema>): Promise<OperatorResult>;
	abstract listOrders(): Promise<OperatorResult>;
	abstract submitOrder(change: z.infer<typeof orderSubmitSchema>): Promise<OperatorResult>;
	abstract listMembers(): Promise<OperatorResult>;
	abstract changeMembers(change: z.infer<typeof memberChangeSchema>): Promise<OperatorResult>;
}

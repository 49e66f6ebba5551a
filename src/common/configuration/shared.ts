import {z} from 'zod';
import {
	addressSchema, byteRateSchema, durationSchema, sizeSchema, tokenRateSchema,
} from '../core/units.js';
import {findForwardingInconsistency, forwardingSchema} from './forwarding.js';

const nameSchema = z.string().regex(/^[a-z\d](?:[a-z\d-]{0,61}[a-z\d])?$/, 'names have lower-case letters, digits and inner hyphens, at most 63 characters');

/** Limits, priorities and overload behaviour of the services that use this profile. */
export const profileSchema = z.strictObject({
	/** Priority of requests in a queue; 0 is served first, 9 last. */
	priority: z.int().min(0).max(9).default(5),
	/** Whether a request that cannot start at once waits in a queue or is refused. */
	strain: z.enum(['queue', 'refuse']).default('queue'),
	/** Maximum total time that a request waits before it starts, in milliseconds. */
	maxWait: durationSchema.prefault('1s'),
	/** Delay before an idempotent read is also sent to a second upstream, in milliseconds; requests are not hedged if absent. */
	hedgeAfter: durationSchema.optional(),
	/** Maximum number of retries and hedged requests, as a fraction of all requests. */
	retryBudget: z.number().min(0).max(1).default(0.1),
	/** Latency targets: time until the first output token, and mean time between output tokens; both in milliseconds. */
	latency: z.strictObject({
		firstToken: durationSchema.prefault('800ms'),
		betweenTokens: durationSchema.prefault('69ms'),
	}).prefault({}),
	/** Maximum duration of a request after it has started, in milliseconds. */
	timeout: durationSchema.prefault('30s'),
	/** Order of load shedding: under overload, requests of services with a higher number are shed first. */
	shedOrder: z.int().min(0).max(9).default(5),
	/** Maximum number of concurrent requests to one service in each entry process. */
	concurrency: z.int().min(1).max(10_000).default(200),
	/** Maximum number of concurrent requests to one upstream in each entry process. */
	upstreamConcurrency: z.int().min(1).max(10_000).default(50),
	/** Maximum size of a request body, in bytes. */
	bodyLimit: sizeSchema.prefault('256KiB'),
});

/** A customer, with a rate limit that all entry processes enforce together. */
export const customerSchema = z.strictObject({
	/** Refill rate of the customer's token bucket, in rate tokens per second. */
	rate: tokenRateSchema,
	/** Capacity of the customer's token bucket, in rate tokens. */
	burst: z.int().min(1),
	/** Weight of the customer's share of a contended pool, relative to other customers. */
	weight: z.number().positive().default(1),
});

/** One route of a plain service. If several routes match a request, the one with the longest path prefix applies. */
export const routeSchema = z.strictObject({
	methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
	path: z.string().startsWith('/'),
	/** Whether running a request more than once has the same effect as running it once, so that it may be retried. */
	idempotent: z.boolean(),
	/** Whether the route can be called without an API key. */
	open: z.boolean().default(false),
	/** Rate tokens that a request takes from the customer's token bucket. */
	cost: z.int().min(0).default(1),
});

export const serviceSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('model'),
		profile: z.string(),
		/** Model name sent to the engines. */
		model: z.string().min(1),
		/** Maximum output of a request, in output tokens, if the caller sets no limit. */
		maxTokens: z.int().min(1).default(256),
	}),
	z.strictObject({
		kind: z.literal('plain'),
		profile: z.string(),
		routes: z.array(routeSchema).min(1),
	}),
]);

/** A back end. Engines have the roles prefill, decode or both; plain services have the role plain. */
export const upstreamSchema = z.strictObject({
	service: z.string(),
	address: addressSchema,
	zone: nameSchema,
	role: z.enum(['prefill', 'decode', 'both', 'plain']),
	/** Maximum number of requests that the engine decodes concurrently. */
	slots: z.int().min(1).default(20),
	/** Capacity of the engine's KV cache, in blocks. */
	cacheBlocks: z.int().min(1).default(2000),
	/** Bandwidth of the link for KV cache transfers, in bytes per second. */
	linkRate: byteRateSchema.prefault('10GB/s'),
	/** Whether the engine rejects orders with a stale fencing token. */
	checksFencing: z.boolean().default(true),
});

/** Configuration of the whole cluster, which operators change at runtime. */
export const sharedConfigurationSchema = z.strictObject({
	profiles: z.record(nameSchema, profileSchema),
	tenants: z.record(nameSchema, customerSchema),
	services: z.record(nameSchema, serviceSchema),
	upstreams: z.record(nameSchema, upstreamSchema),
	/** Store from which engines load model weights, and its bandwidth in bytes per second, within which model loads are scheduled. */
	weightStore: z.strictObject({address: addressSchema, rate: byteRateSchema}).optional(),
	/** Endpoint of the platform that lists live and leaving VMs, and the interval at which it is polled, in milliseconds. */
	platform: z.strictObject({address: addressSchema, pollEvery: durationSchema.prefault('1s')}).optional(),
	/** Routing by host and path to servers that the platform's server list names. */
	forwarding: forwardingSchema.optional(),
}).superRefine((cfg, context) => {
	const fault = cfg.forwarding && findForwardingInconsistency(cfg.forwarding);
	if (fault !== undefined) {
		context.addIssue({code: 'custom', path: ['forwarding'], message: fault});
	}

	for (const [name, service] of Object.entries(cfg.services)) {
		if (!(service.profile in cfg.profiles)) {
			context.addIssue({code: 'custom', path: ['services', name, 'profile'], message: `profile "${service.profile}" does not exist`});
		}
	}

	for (const [name, upstream] of Object.entries(cfg.upstreams)) {
		const service = cfg.services[upstream.service];
		if (!service) {
			context.addIssue({code: 'custom', path: ['upstreams', name, 'service'], message: `service "${upstream.service}" does not exist`});
		} else if ((service.kind === 'plain') !== (upstream.role === 'plain')) {
			context.addIssue({code: 'custom', path: ['upstreams', name, 'role'], message: `role "${upstream.role}" does not fit a ${service.kind} service`});
		}
	}
});

export type Profile = z.infer<typeof profileSchema>;
export type Customer = z.infer<typeof customerSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type ModelService = Extract<Service, {kind: 'model'}>;
export type PlainService = Extract<Service, {kind: 'plain'}>;
export type Upstream = z.infer<typeof upstreamSchema>;
export type SharedConfiguration = z.infer<typeof sharedConfigurationSchema>;

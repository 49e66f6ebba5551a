import {z} from 'zod';
import {
	addressSchema, byteRateSchema, durationSchema, sizeSchema, tokenRateSchema,
} from '../core/units.js';
import {findForwardingFault, forwardingSchema} from './forwarding.js';

const nameSchema = z.string().regex(/^[a-z\d](?:[a-z\d-]{0,61}[a-z\d])?$/, 'names have lower-case letters, digits and inner hyphens, at most 63 characters');

/** Limits, priorities and behaviour under overload of the services that choose this profile. */
export const profileSchema = z.strictObject({
	/** 0 is served first, 9 last. */
	priority: z.int().min(0).max(9).default(5),
	/** What happens to a request that cannot start at once. */
	strain: z.enum(['queue', 'refuse']).default('queue'),
	/** Bound on all waiting of one request before it starts, in milliseconds. */
	maxWait: durationSchema.prefault('1s'),
	/** Delay before an idempotent lookup is sent to a second upstream, in milliseconds; no hedging when absent. */
	hedgeAfter: durationSchema.optional(),
	/** Retries and hedges as a share of requests. */
	retryBudget: z.number().min(0).max(1).default(0.1),
	/** Latency targets in milliseconds. */
	latency: z.strictObject({
		firstToken: durationSchema.prefault('800ms'),
		betweenTokens: durationSchema.prefault('69ms'),
	}).prefault({}),
	/** Bound on a whole request once it has started, in milliseconds. */
	timeout: durationSchema.prefault('30s'),
	/** Under overload, services with a higher number are shed first. */
	shedOrder: z.int().min(0).max(9).default(5),
	/** Requests of one service that an entry process runs at once. */
	concurrency: z.int().min(1).max(10_000).default(200),
	/** Requests that an entry process runs at once on one upstream. */
	upstreamConcurrency: z.int().min(1).max(10_000).default(50),
	/** Largest request body, in bytes. */
	bodyLimit: sizeSchema.prefault('256KiB'),
});

/** A customer with a fleet-wide limit. */
export const tenantSchema = z.strictObject({
	/** Tokens per second. */
	rate: tokenRateSchema,
	/** Tokens that may be spent at once. */
	burst: z.int().min(1),
	/** Share of a contended pool relative to other tenants. */
	weight: z.number().positive().default(1),
});

/** One route of a plain service; the longest matching path prefix wins. */
export const routeSchema = z.strictObject({
	methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
	path: z.string().startsWith('/'),
	/** Whether a request may be sent more than once. */
	idempotent: z.boolean(),
	/** Whether the route needs no key. */
	open: z.boolean().default(false),
	/** Tokens taken from the tenant's limit. */
	cost: z.int().min(0).default(1),
});

export const serviceSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('model'),
		profile: z.string(),
		/** Model name sent to the engines. */
		model: z.string().min(1),
		/** Output limit when the caller gives none, in tokens. */
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
	/** Requests that the engine decodes at once. */
	slots: z.int().min(1).default(20),
	/** KV cache blocks that the engine holds. */
	cacheBlocks: z.int().min(1).default(2000),
	/** Bytes per second of the link that carries KV transfers. */
	linkRate: byteRateSchema.prefault('10GB/s'),
	/** Whether the engine refuses an order with a stale fencing number. */
	checksFencing: z.boolean().default(true),
});

/** The configuration that operators apply while traffic flows. */
export const sharedConfigurationSchema = z.strictObject({
	profiles: z.record(nameSchema, profileSchema),
	tenants: z.record(nameSchema, tenantSchema),
	services: z.record(nameSchema, serviceSchema),
	upstreams: z.record(nameSchema, upstreamSchema),
	/** Where the weights of the models come from; orders respect its rate. */
	weightStore: z.strictObject({address: addressSchema, rate: byteRateSchema}).optional(),
	/** The platform's list of live and leaving VMs. */
	platform: z.strictObject({address: addressSchema, pollEvery: durationSchema.prefault('1s')}).optional(),
	/** Routes by host and path whose upstreams come from the platform's list. */
	forwarding: forwardingSchema.optional(),
}).superRefine((cfg, context) => {
	const fault = cfg.forwarding && findForwardingFault(cfg.forwarding);
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
export type Tenant = z.infer<typeof tenantSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type ModelService = Extract<Service, {kind: 'model'}>;
export type PlainService = Extract<Service, {kind: 'plain'}>;
export type Upstream = z.infer<typeof upstreamSchema>;
export type SharedConfiguration = z.infer<typeof sharedConfigurationSchema>;

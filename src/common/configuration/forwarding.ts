import {z} from 'zod';

/** Whether a request may be sent again once an upstream may have run it. */
export const repeatSchema = z.enum(['safe', 'unsafe', 'stream']);

/** A route by host and path prefix, over whose services requests are divided. */
export const forwardRouteSchema = z.strictObject({
	name: z.string(),
	host: z.string(),
	/** Begins and ends with a slash. */
	pathPrefix: z.string().startsWith('/'),
	repeat: repeatSchema,
	/** Whether a stream may go on at another upstream behind its last event. */
	isResumable: z.boolean(),
	/** Longest time a caller is kept waiting, in milliseconds. */
	timeoutMs: z.number().positive(),
	/** Latency objective up to the answer or the first event, in milliseconds. */
	targetMs: z.number().nonnegative(),
	/** Longest pause between events that still meets the objective, in milliseconds. */
	targetGapMs: z.number().nonnegative(),
	/** 0 is the most urgent. */
	priority: z.int(),
	/** Upstreams that may run one request. */
	maxAttempts: z.int().min(1),
	/** Whether the route needs no key. */
	isOpen: z.boolean(),
	targets: z.array(z.strictObject({service: z.string(), weight: z.number().nonnegative()})).min(1),
});

/** What the engines of a model service have in common. */
export const forwardEngineSchema = z.strictObject({
	slots: z.int().min(1),
	/** KV cache of one engine, in tokens. */
	cacheTokens: z.number().nonnegative(),
	/** How long a prefill result is kept, in milliseconds. */
	handleTtlMs: z.number().nonnegative(),
	/** Longest reservation, in milliseconds. */
	holdTtlMs: z.number().nonnegative(),
});

export const forwardServiceSchema = z.strictObject({
	name: z.string(),
	healthPath: z.string(),
	/** Connections that one server accepts from all callers together. */
	maxConnections: z.int().min(1),
	engine: forwardEngineSchema.optional(),
});

export const forwardTenantSchema = z.strictObject({
	name: z.string(),
	keys: z.array(z.string()),
	/** Overrides the priority of the route. */
	priority: z.int().optional(),
	/** What the tenant's rate counts. */
	unit: z.enum(['requests', 'tokens']),
	/** Cost of a request that states no token counts, in tokens. */
	defaultCost: z.number().nonnegative(),
});

export const callerLimitsSchema = z.strictObject({
	headerBytes: z.int().positive(),
	bodyBytes: z.int().positive(),
	headersTimeoutMs: z.int().positive(),
	idleTimeoutMs: z.int().positive(),
});

/** Transparent forwarding of callers' requests by host and path. */
export const forwardingSchema = z.strictObject({
	routes: z.array(forwardRouteSchema),
	services: z.array(forwardServiceSchema),
	tenants: z.array(forwardTenantSchema),
	limits: callerLimitsSchema,
});

export type ForwardRoute = z.infer<typeof forwardRouteSchema>;
export type ForwardService = z.infer<typeof forwardServiceSchema>;
export type ForwardTenant = z.infer<typeof forwardTenantSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type Forwarding = z.infer<typeof forwardingSchema>;

/** What makes a section contradict itself, or undefined. */
export function findForwardingFault({routes, services, tenants}: Forwarding): string | undefined {
	const known = new Set(services.map(({name}) => name));
	const places = new Set<string>();
	for (const {name, host, pathPrefix, targets} of routes) {
		const place = `${host.toLowerCase()} ${pathPrefix}`;
		if (places.has(place)) {
			return `route "${name}": another route has the host "${host}" and the prefix "${pathPrefix}"`;
		}

		places.add(place);
		const stranger = targets.find(({service}) => !known.has(service));
		if (stranger) {
			return `route "${name}": service "${stranger.service}" does not exist`;
		}

		if (targets.every(({weight}) => weight === 0)) {
			return `route "${name}": all weights are 0`;
		}
	}

	const owners = new Map<string, string>();
	for (const {name, keys} of tenants) {
		for (const key of keys) {
			if (owners.has(key) && owners.get(key) !== name) {
				return `tenants "${owners.get(key)}" and "${name}" share a key`;
			}

			owners.set(key, name);
		}
	}

	return undefined;
}

import {z} from 'zod';

/** Whether a request may be retried after an upstream may have run it: `safe` requests may, `unsafe` ones may not; a `stream` has its own rules, see `isResumable`. */
export const retrySafetySchema = z.enum(['safe', 'unsafe', 'stream']);

/** A route by host and path prefix. Requests are distributed over its target services by weight. */
export const forwardRouteSchema = z.strictObject({
	name: z.string(),
	host: z.string(),
	/** Path prefix of the requests that the route matches; begins and ends with a slash. */
	pathPrefix: z.string().startsWith('/'),
	repeat: retrySafetySchema,
	/** Whether a stream that breaks off may be resumed at another upstream, after the last event that the caller received. */
	isResumable: z.boolean(),
	/** Maximum time that a caller waits for the response, in milliseconds. */
	timeoutMs: z.number().positive(),
	/** Latency objective for the response or, in a stream, for its first event, in milliseconds. */
	targetMs: z.number().nonnegative(),
	/** Objective for the time between two events of a stream, in milliseconds. */
	targetGapMs: z.number().nonnegative(),
	/** Priority of the route's requests; 0 is the most urgent. */
	priority: z.int(),
	/** Maximum number of times that a request may run at upstreams, counting each attempt that may have run it. */
	maxAttempts: z.int().min(1),
	/** Whether the route can be called without an API key. */
	isOpen: z.boolean(),
	/** Regions whose upstreams may run the route's requests; every region may if absent. */
	allowedRegions: z.array(z.string()).optional(),
	targets: z.array(z.strictObject({service: z.string(), weight: z.number().nonnegative()})).min(1),
});

/** Properties that all engines of a model service have in common. */
export const forwardEngineSchema = z.strictObject({
	/** Maximum number of requests that each engine runs concurrently. */
	slots: z.int().min(1),
	/** KV cache capacity of each engine, in tokens. */
	cacheTokens: z.number().nonnegative(),
	/** Time for which an engine keeps the result of a prefill, in milliseconds. */
	handleTtlMs: z.number().nonnegative(),
	/** Maximum lifetime of a memory reservation at an engine, in milliseconds. */
	holdTtlMs: z.number().nonnegative(),
});

export const forwardServiceSchema = z.strictObject({
	name: z.string(),
	/** Path of the health check at each server. */
	healthPath: z.string(),
	/** Maximum number of connections that each server accepts from all router processes together. */
	maxConnections: z.int().min(1),
	/** Number of requests per second that a server which has just started tolerates from all router processes together; absent if it tolerates any number. */
	coldRequestsPerSecond: z.number().positive().optional(),
	engine: forwardEngineSchema.optional(),
});

export const forwardCustomerSchema = z.strictObject({
	name: z.string(),
	/** API keys of the customer. */
	keys: z.array(z.string()),
	/** Priority of the customer's requests, in place of the priority of the route; the route's priority applies if absent. */
	priority: z.int().optional(),
	/** Regions whose upstreams may run the customer's requests; every region may if absent. If the route names regions too, both apply. */
	allowedRegions: z.array(z.string()).optional(),
	/** What the customer's rate limit counts: requests, or prompt and output tokens. */
	unit: z.enum(['requests', 'tokens']),
	/** Tokens that a request without token counts takes from the rate limit, if the unit is tokens. */
	defaultCost: z.number().nonnegative(),
});

/** Limits on callers' requests and connections: sizes in bytes, timeouts in milliseconds. */
export const callerLimitsSchema = z.strictObject({
	headerBytes: z.int().positive(),
	bodyBytes: z.int().positive(),
	/** Timeout for receiving the headers of a request. */
	headersTimeoutMs: z.int().positive(),
	/** Time after which a connection without a request is closed. */
	idleTimeoutMs: z.int().positive(),
});

/** Section of the shared configuration for forwarding callers' requests by host and path. */
export const forwardingSchema = z.strictObject({
	routes: z.array(forwardRouteSchema),
	services: z.array(forwardServiceSchema),
	tenants: z.array(forwardCustomerSchema),
	limits: callerLimitsSchema,
});

export type ForwardRoute = z.infer<typeof forwardRouteSchema>;
export type ForwardService = z.infer<typeof forwardServiceSchema>;
export type ForwardCustomer = z.infer<typeof forwardCustomerSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type Forwarding = z.infer<typeof forwardingSchema>;

/** Returns a description of the first inconsistency in the section, or undefined if there is none. */
export function findForwardingInconsistency({routes, services, tenants: customers}: Forwarding): string | undefined {
	const serviceNames = new Set(services.map(({name}) => name));
	const routeKeys = new Set<string>();
	for (const {name, host, pathPrefix, targets} of routes) {
		const routeKey = `${host.toLowerCase()} ${pathPrefix}`;
		if (routeKeys.has(routeKey)) {
			return `route "${name}": another route has the host "${host}" and the prefix "${pathPrefix}"`;
		}

		routeKeys.add(routeKey);
		const unknownTarget = targets.find(({service}) => !serviceNames.has(service));
		if (unknownTarget) {
			return `route "${name}": service "${unknownTarget.service}" does not exist`;
		}

		if (targets.every(({weight}) => weight === 0)) {
			return `route "${name}": all weights are 0`;
		}
	}

	const customersByKey = new Map<string, string>();
	for (const {name, keys} of customers) {
		for (const key of keys) {
			if (customersByKey.has(key) && customersByKey.get(key) !== name) {
				return `tenants "${customersByKey.get(key)}" and "${name}" share a key`;
			}

			customersByKey.set(key, name);
		}
	}

	return undefined;
}

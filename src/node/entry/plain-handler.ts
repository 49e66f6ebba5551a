import {createHash} from 'node:crypto';
import type {Profile, Route, SharedConfiguration} from '../../common/configuration/types.js';
import type {BodyMemory} from '../../common/requests/body-memory.js';
import type {RouteResult} from '../../common/requests/route-match.js';
import {matchRoute, parseTarget} from '../../common/requests/route-match.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import {readBody} from './body.js';
import type {Exchange} from './exchange.js';
import type {Gatekeeper} from './gatekeeper.js';
import {openTenant, WaitBudget} from './gatekeeper.js';
import {PlainRun, replayOutcome} from './plain-path.js';
import {ProblemError} from './problems.js';
import type {EntryLimits, EntryServices} from './types.js';

const idempotencyKeyPattern = /^[\u0021-\u007E]{1,255}$/;

type PlainRequest = {
	readonly name: string;
	readonly profile: Profile;
	readonly route: Route;
	/** Path and query for the upstream. */
	readonly rest: string;
	readonly body: Uint8Array;
};

/** Serves `/s/<service>/<path>`. */
export class PlainHandler {
	constructor(
		private readonly _services: EntryServices,
		private readonly _options: {readonly limits: EntryLimits; readonly memory: BodyMemory},
		private readonly _gatekeeper: Gatekeeper,
		private readonly _upstreams: UpstreamRegistry,
	) {}

	async handle(exchange: Exchange): Promise<void> {
		const target = parseTarget(exchange.req.url!);
		if (target.kind === 'ambiguous') {
			throw new ProblemError('ambiguous-path');
		}

		const {service: name, rest} = target;
		const {configuration} = this._gatekeeper.view();
		const matched = match(configuration, name, exchange.req.method!, target.path);
		if (matched?.kind !== 'route' || !matched.route.open) {
			this._gatekeeper.authenticate(exchange);
		}

		const route = routeOf(matched, name);
		exchange.serviceName = name;
		const profile = configuration.profiles[configuration.services[name]!.profile]!;
		const body = await readBody(exchange, {
			bytes: profile.bodyLimit, timeoutMs: this._options.limits.bodyTimeoutMs, memory: this._options.memory, tenant: tenantOf(exchange),
		});
		await this._admit(exchange, {
			name, profile, route, rest, body,
		});
	}

	private async _admit(exchange: Exchange, request: PlainRequest): Promise<void> {
		const {name, profile, route} = request;
		const wait = new WaitBudget(this._services, profile.maxWait);
		const acquisition = await this._gatekeeper.acquire(exchange, route.cost, wait.leftMs);
		let used = 0;
		let leave: (() => void) | undefined;
		try {
			const place = await this._gatekeeper.enter(exchange, name, profile, wait);
			leave = place.leave;
			this._gatekeeper.recheck(exchange);
			const claimId = route.idempotent ? undefined : await this._claim(exchange, request, wait);
			if (!exchange.outcome) {
				const run = new PlainRun(this._services, this._upstreams, {
					exchange, serviceName: name, guards: place.guards, profile, route, target: request.rest, body: request.body, claimId,
				});
				used = await run.run() ? route.cost : 0;
			}
		} finally {
			leave?.();
			this._gatekeeper.settle(acquisition, used);
		}
	}

	/** Claims a request with an idempotency key; answers it here when it must not run. Returns the claim's id. */
	private async _claim(exchange: Exchange, {name, rest, body}: PlainRequest, wait: WaitBudget): Promise<string | undefined> {
		const idempotencyKey = exchange.req.headers['idempotency-key'];
		if (idempotencyKey === undefined) {
			return undefined;
		}

		if (typeof idempotencyKey !== 'string' || !idempotencyKeyPattern.test(idempotencyKey)) {
			throw new ProblemError('invalid-request', {detail: 'Idempotency-Key: use 1 to 255 printable characters'});
		}

		const requestDigest = createHash('sha256').update(`${exchange.req.method} ${rest}\n`).update(body).digest('hex');
		const result = await this._services.claims.open({
			tenant: tenantOf(exchange), service: name, idempotencyKey, requestDigest,
		}, wait.leftMs);
		switch (result.kind) {
			case 'granted': {
				await this._recheckClaimed(exchange, result.claimId);
				return result.claimId;
			}

			case 'recorded': {
				replayOutcome(exchange, result.outcome);
				return undefined;
			}

			case 'unknown': {
				throw new ProblemError('outcome-unknown');
			}

			case 'conflict': {
				throw new ProblemError('idempotency-conflict');
			}

			case 'too-many': {
				throw new ProblemError('too-many-claims', {retryAfterMs: result.retryAfterMs});
			}

			case 'unavailable': {
				throw this._gatekeeper.unreachable();
			}
		}
	}

	/** Gives a claim back when the request may no longer be sent. */
	private async _recheckClaimed(exchange: Exchange, claimId: string): Promise<void> {
		try {
			this._gatekeeper.recheck(exchange);
		} catch (err) {
			await this._services.claims.settle(claimId, {kind: 'not-run'});
			throw err;
		}
	}
}

function tenantOf(exchange: Exchange): string {
	return exchange.identity?.tenant ?? openTenant;
}

/** Undefined if there is no such plain service. */
function match({services}: SharedConfiguration, name: string, method: string, path: string): RouteResult | undefined {
	const service = Object.hasOwn(services, name) ? services[name] : undefined;
	return service?.kind === 'plain' ? matchRoute(service, method, path) : undefined;
}

function routeOf(matched: RouteResult | undefined, name: string): Route {
	if (!matched) {
		throw new ProblemError('unknown-service', {detail: `there is no plain service "${name}"`});
	}

	if (matched.kind === 'no-route') {
		throw new ProblemError('not-found', {detail: 'no route of the service has this path'});
	}

	if (matched.kind === 'method-not-allowed') {
		throw new ProblemError('method-not-allowed', {detail: `the route allows ${matched.allowed.join(', ')}`});
	}

	return matched.route;
}

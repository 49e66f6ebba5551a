import {createHash} from 'node:crypto';
import type {Profile, Route, SharedConfiguration} from '../../common/configuration/types.js';
import type {RouteMatch} from '../../common/requests/route-match.js';
import {matchRoute, parseTarget} from '../../common/requests/route-match.js';
import {normalizeParts} from '../../common/quarantine/parts.js';
import type {PartId} from '../../common/quarantine/types.js';
import {fingerprintOf} from '../quarantine/fingerprint.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {MemoryKeeper} from '../memory/memory-keeper.js';
import {readBody} from './request-body.js';
import type {Exchange} from './exchange.js';
import type {AdmissionController} from './admission-controller.js';
import {openRouteCustomer, WaitBudget} from './admission-controller.js';
import {PlainRequestRunner, sendRecordedOutcome} from './plain-request-runner.js';
import {ProblemError} from './problems.js';
import type {EntryLimits, EntryServices} from './types.js';

const idempotencyKeyPattern = /^[\u0021-\u007E]{1,255}$/;

type RoutedPlainRequest = {
	readonly serviceName: string;
	readonly profile: Profile;
	readonly route: Route;
	/** Path and query to send to the upstream. */
	readonly upstreamTarget: string;
	readonly body: Uint8Array;
	/** Parts by which the quarantine recognizes a request that crashes servers. */
	readonly parts: readonly PartId[];
};

/** Serves `/s/<service>/<path>`. */
export class PlainHandler {
	constructor(
		private readonly _services: EntryServices,
		private readonly _options: {readonly limits: EntryLimits; readonly memory: MemoryKeeper},
		private readonly _admission: AdmissionController,
		private readonly _upstreams: UpstreamRegistry,
	) {}

	async handle(exchange: Exchange): Promise<void> {
		const target = parseTarget(exchange.req.url!);
		if (target.kind === 'ambiguous') {
			throw new ProblemError('ambiguous-path');
		}

		const {service: serviceName, pathAndQuery: upstreamTarget} = target;
		const {configuration} = this._admission.requireView();
		const routeResult = findRoute(configuration, serviceName, exchange.req.method!, target.path);
		if (routeResult?.kind !== 'route' || !routeResult.route.open) {
			this._admission.authenticate(exchange);
		}

		const route = requireRoute(routeResult, serviceName);
		exchange.serviceName = serviceName;
		const profile = configuration.profiles[configuration.services[serviceName]!.profile]!;
		const body = await readBody(exchange, {
			maxBytes: profile.bodyLimit, timeoutMs: this._options.limits.bodyTimeoutMs, memory: this._options.memory, customer: customerOf(exchange),
		});
		const parts = normalizeParts([fingerprintOf({
			method: exchange.req.method!, host: serviceName, target: upstreamTarget, customer: exchange.identity?.tenant, body,
		})]);
		this._refuseBlocked(exchange, parts);
		await this._admitAndRun(exchange, {
			serviceName, profile, route, upstreamTarget, body, parts,
		});
	}

	/** Throws `ProblemError` if servers crash on requests with these parts. */
	private _refuseBlocked(exchange: Exchange, parts: readonly PartId[]): void {
		const {quarantine} = this._services;
		const block = quarantine.findBlock(parts);
		if (block) {
			throw new ProblemError('request-blocked', {run: 'not-run', retryAfterMs: quarantine.recordRefusal(block, exchange.traceIds.requestId)});
		}
	}

	private async _admitAndRun(exchange: Exchange, request: RoutedPlainRequest): Promise<void> {
		const {serviceName, profile, route} = request;
		const waitBudget = new WaitBudget(this._services, profile.maxWait);
		const acquisition = await this._admission.acquireTokens(exchange, route.cost, waitBudget.remainingMs);
		let usedTokens = 0;
		let release: (() => void) | undefined;
		try {
			const slot = await this._admission.acquireSlot(exchange, serviceName, profile, waitBudget);
			release = slot.release;
			this._admission.assertMayStart(exchange);
			const claimId = route.idempotent ? undefined : await this._openClaim(exchange, request, waitBudget);
			if (!exchange.outcome) {
				const runner = new PlainRequestRunner(this._services, this._upstreams, {
					exchange, serviceName, serviceLimits: slot.serviceLimits, profile, route, target: request.upstreamTarget, body: request.body, claimId, parts: request.parts,
				});
				usedTokens = await runner.run() ? route.cost : 0;
			}
		} finally {
			release?.();
			this._admission.settleTokens(acquisition, usedTokens);
		}
	}

	/**
	Opens a claim for a request with an idempotency key and returns the claim's id. Returns undefined if the request has no key
	or if the recorded response of an earlier request was sent; throws if the request must not run.
	*/
	private async _openClaim(exchange: Exchange, {serviceName, upstreamTarget, body}: RoutedPlainRequest, waitBudget: WaitBudget): Promise<string | undefined> {
		const idempotencyKey = exchange.req.headers['idempotency-key'];
		if (idempotencyKey === undefined) {
			return undefined;
		}

		if (typeof idempotencyKey !== 'string' || !idempotencyKeyPattern.test(idempotencyKey)) {
			throw new ProblemError('invalid-request', {detail: 'Idempotency-Key: use 1 to 255 printable characters'});
		}

		const requestDigest = createHash('sha256').update(`${exchange.req.method} ${upstreamTarget}\n`).update(body).digest('hex');
		const result = await this._services.claims.claim({
			tenant: customerOf(exchange), service: serviceName, idempotencyKey, requestDigest,
		}, waitBudget.remainingMs);
		switch (result.kind) {
			case 'granted': {
				await this._recheckOrReleaseClaim(exchange, result.claimId);
				return result.claimId;
			}

			case 'recorded': {
				sendRecordedOutcome(exchange, result.outcome);
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
				throw this._admission.controlUnreachableError();
			}
		}
	}

	/** Checks that the request may still be sent; if not, settles the claim as not run and throws the refusal. */
	private async _recheckOrReleaseClaim(exchange: Exchange, claimId: string): Promise<void> {
		try {
			this._admission.assertMayStart(exchange);
		} catch (err) {
			await this._services.claims.settle(claimId, {kind: 'not-run'});
			throw err;
		}
	}
}

function customerOf(exchange: Exchange): string {
	return exchange.identity?.tenant ?? openRouteCustomer;
}

/** Matches a request against the routes of a plain service; returns undefined if there is no plain service with this name. */
function findRoute({services}: SharedConfiguration, serviceName: string, method: string, path: string): RouteMatch | undefined {
	const service = Object.hasOwn(services, serviceName) ? services[serviceName] : undefined;
	return service?.kind === 'plain' ? matchRoute(service, method, path) : undefined;
}

function requireRoute(routeResult: RouteMatch | undefined, serviceName: string): Route {
	if (!routeResult) {
		throw new ProblemError('unknown-service', {detail: `there is no plain service "${serviceName}"`});
	}

	if (routeResult.kind === 'no-route') {
		throw new ProblemError('not-found', {detail: 'no route of the service has this path'});
	}

	if (routeResult.kind === 'method-not-allowed') {
		throw new ProblemError('method-not-allowed', {detail: `the route allows ${routeResult.allowed.join(', ')}`});
	}

	return routeResult.route;
}

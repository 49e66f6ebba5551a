import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import restana from 'restana';
import type {
	ModelService, PlainService, Profile, Route,
} from '../../common/configuration/types.js';
import type {Disposable} from '../../common/core/disposable.js';
import {SeededRandom} from '../../common/core/random.js';
import type {AllowanceResult, Identity, View} from '../../common/services/access-service.js';
import {estimateTokens} from '../../common/upstreams/prefix.js';
import {matchRoute, parseTarget} from '../../common/requests/route-match.js';
import type {ServiceGuards} from '../upstreams/upstream-registry.js';
import {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import {DocumentSink, StreamSink} from './answer-sink.js';
import {readBody} from './body.js';
import {createCallerServer, listen} from './caller-listener.js';
import type {ChatRequest} from './chat.js';
import {parseChatRequest} from './chat.js';
import {Exchange} from './exchange.js';
import {bearerKeyOf} from './headers.js';
import {ModelRun} from './model-path.js';
import {PlainRun, replayOutcome} from './plain-path.js';
import type {ProblemOptions} from './problems.js';
import {problem, ProblemError} from './problems.js';
import {Sessions} from './sessions.js';
import type {EntryLimits, EntryOptions, EntryServices} from './types.js';
import {defaultEntryLimits} from './types.js';

/** Tenant under which claims of open routes stand; no configured tenant can have this name. */
const openTenant = '(open)';
const idempotencyKeyPattern = /^[\u0021-\u007E]{1,255}$/;

/** Serves callers: authenticates, limits, and runs their requests on upstreams. */
export class EntryServer implements Disposable {
	private readonly _limits: EntryLimits;
	private readonly _server: Server;
	private readonly _upstreams: UpstreamRegistry;
	private readonly _sessions = new Sessions();
	private readonly _unsubscribe: Array<() => void> = [];
	private _answersExpireAtMs = 0;
	private _nextRequest = 1;
	private _drain: Promise<void> | undefined;

	constructor(private readonly _services: EntryServices, private readonly _options: EntryOptions) {
		this._limits = {...defaultEntryLimits, ..._options.limits};
		const {clock, metrics, logger, access} = _services;
		this._upstreams = new UpstreamRegistry({
			zone: _options.zone, random: new SeededRandom(_options.seed), clock, metrics, logger,
		});
		this._server = createCallerServer(this._limits, metrics);
		this._addRoutes();
		this._unsubscribe.push(
			access.events.on('onViewChanged', view => {
				this._update(view);
			}),
			access.events.on('onKeyWithdrawn', keyId => {
				this._sessions.withdraw(keyId);
			}),
		);
		if (access.view) {
			this._update(access.view);
		}
	}

	/** Resolves with the address on which it listens. */
	async start(): Promise<string> {
		return listen(this._server, this._options.host, this._options.port);
	}

	/** Requests that have not ended. */
	get running(): number {
		return this._sessions.running;
	}

	/**
	Begins a graceful shutdown: answers close their connections, and listening ends when no caller can still hold an
	answer that names this process. The caller of this method withdraws the process from entry-point answers first.
	*/
	beginDrain(): void {
		this._drain ??= this._runDrain();
	}

	/** Resolves when the drain is over: no request runs and nothing listens. */
	async drained(): Promise<void> {
		this.beginDrain();
		await this._drain;
	}

	/** Stops at once; requests that still run are interrupted. */
	async dispose(): Promise<void> {
		for (const unsubscribe of this._unsubscribe) {
			unsubscribe();
		}

		const closed = this._close();
		this._server.closeAllConnections();
		await closed;
		this._upstreams.dispose();
	}

	private async _runDrain(): Promise<void> {
		const {clock, entryPoints, logger} = this._services;
		const {validForMs} = entryPoints.answer(undefined, undefined);
		const nowMs = clock.nowMs();
		const expiryMs = Math.max(this._answersExpireAtMs - nowMs, validForMs) + this._limits.drainSpreadMs;
		// An idle connection is closed by its own timeout within this time, so no request can cross with its end.
		const idleMs = this._limits.keepAliveMs + 1000;
		logger.log('info', 'draining', {expiryMs});
		await new Promise(resolve => {
			setTimeout(resolve, Math.max(expiryMs, idleMs));
		});
		const closed = this._close();
		await this._sessions.idle();
		await this._upstreams.settled();
		await closed;
		logger.log('info', 'drained');
	}

	private async _close(): Promise<void> {
		if (this._server.listening) {
			await new Promise<void>(resolve => {
				this._server.close(() => {
					resolve();
				});
			});
		}
	}

	private _update(view: View): void {
		this._upstreams.update(view.configuration, view.drainedUpstreams);
	}

	private _addRoutes(): void {
		const service = restana({
			server: this._server,
			prioRequestsProcessing: false,
			// The cache is keyed by whole paths of up to 16 KiB; a few entries are enough for four routes.
			routerCacheSize: 64,
			defaultRoute: async (req, res) => this._handle(req, res, async () => {
				throw new ProblemError('not-found');
			}),
			errorHandler(_err, _req, res) {
				res.destroy();
			},
		});
		service.get('/healthz', async (req, res) => this._handle(req, res, async exchange => {
			exchange.send(200, {'content-type': 'application/json'}, JSON.stringify({status: this._drain ? 'draining' : 'ok'}));
		}));
		service.get('/v1/entry-points', async (req, res) => this._handle(req, res, async exchange => {
			this._answerEntryPoints(exchange);
		}));
		service.post('/v1/chat/completions', async (req, res) => this._handle(req, res, async exchange => this._chat(exchange)));
		service.all('/s/*', async (req, res) => this._handle(req, res, async exchange => this._plain(exchange)));
	}

	/** Runs a handler; whatever it throws becomes the caller's answer. */
	private async _handle(req: IncomingMessage, res: ServerResponse, handler: (exchange: Exchange) => Promise<void>): Promise<void> {
		const exchange = new Exchange(req, res, {
			nowMs: this._services.clock.nowMs(), isClosing: this._drain !== undefined, slowReaderMs: this._limits.slowReaderMs,
		});
		this._sessions.begin(exchange);
		try {
			await handler(exchange);
		} catch (err) {
			this._refuse(exchange, err);
		} finally {
			if (!res.writableFinished && !res.destroyed) {
				await new Promise(resolve => {
					res.once('close', resolve);
				});
			}

			this._sessions.end(exchange);
			this._count(exchange);
		}
	}

	private _refuse(exchange: Exchange, err: unknown): void {
		if (!(err instanceof ProblemError)) {
			this._services.logger.log('error', 'request failed', {err});
		}

		const document = err instanceof ProblemError ? problem(err.code, err.options) : problem('internal');
		if (exchange.res.headersSent) {
			exchange.cut();
		} else if (exchange.req.readableEnded) {
			exchange.sendProblem(document);
		} else {
			exchange.refuseUpload(document);
		}
	}

	private _count(exchange: Exchange): void {
		const {metrics} = this._services;
		const {status, code} = exchange.outcome ?? {status: 0, code: 'caller-gone'};
		const service = exchange.serviceName ?? '';
		metrics.count('requests_total', {service, status: String(status)});
		if (code !== undefined) {
			metrics.count('refusals_total', {service, code});
		}

		if (exchange.identity) {
			metrics.count('tenant_requests_total', {tenant: exchange.identity.tenant, outcome: code ?? 'answered'});
		}
	}

	private _answerEntryPoints(exchange: Exchange): void {
		const {searchParams} = new URL(exchange.req.url!, 'http://entry');
		const answer = this._services.entryPoints.answer(searchParams.get('tenant') ?? undefined, searchParams.get('zone') ?? undefined);
		this._answersExpireAtMs = Math.max(this._answersExpireAtMs, this._services.clock.nowMs() + answer.validForMs);
		exchange.send(200, {'content-type': 'application/json', 'cache-control': `max-age=${Math.floor(answer.validForMs / 1000)}`}, JSON.stringify(answer));
	}

	/** Throws `ProblemError` unless the key is valid under a view that was confirmed recently. */
	private _authenticate(exchange: Exchange): Identity {
		const key = bearerKeyOf(exchange.req);
		if (key === undefined) {
			throw new ProblemError('missing-key');
		}

		if (!this._services.access.isFresh()) {
			throw this._unreachable();
		}

		const identity = this._services.access.authenticate(key);
		if (!identity) {
			throw new ProblemError('unknown-key');
		}

		exchange.identity = identity;
		this._sessions.identify(exchange);
		return identity;
	}

	private _unreachable(retryAfterMs?: number): ProblemError {
		const {entryPoints} = this._services.entryPoints.answer(undefined, this._options.zone);
		const options: ProblemOptions = {entryPoints, ...(retryAfterMs !== undefined && {retryAfterMs})};
		return new ProblemError('control-unreachable', options);
	}

	private _view(): View {
		const {view} = this._services.access;
		if (!view) {
			throw this._unreachable();
		}

		return view;
	}

	/** Takes a place among the requests of the service; throws `ProblemError` if there is none. */
	private _enter(name: string): {guards: ServiceGuards; leave: () => void} {
		const guards = this._upstreams.guards(name);
		const leave = guards?.concurrency.acquire();
		if (!guards || !leave) {
			throw new ProblemError('overloaded', {run: 'not-run', detail: `the service "${name}" has no room at this entry point`});
		}

		return {guards, leave};
	}

	/** Takes tokens from the tenant's allowance. Throws `ProblemError`, also when the request was stopped meanwhile. */
	private async _acquire(exchange: Exchange, tenant: string, tokens: number, maxWaitMs: number): Promise<void> {
		const result: AllowanceResult = tokens > 0 ? await this._services.access.acquire(tenant, tokens, maxWaitMs) : {ok: true};
		if (!result.ok) {
			const options = result.retryAfterMs === undefined ? {} : {retryAfterMs: result.retryAfterMs};
			throw result.code === 'control-unreachable' ? this._unreachable(result.retryAfterMs) : new ProblemError(result.code, options);
		}

		try {
			this._recheck(exchange);
		} catch (err) {
			this._services.access.settle(tenant, tokens, 0);
			throw err;
		}
	}

	/** Waiting may have outlasted the caller, its key or the freshness of the view. */
	private _recheck(exchange: Exchange): void {
		if (exchange.stopReason === 'key-withdrawn') {
			throw new ProblemError('key-withdrawn', {run: 'not-run'});
		}

		if (exchange.stopReason !== undefined) {
			throw new ProblemError('timeout', {run: 'not-run'});
		}

		if (exchange.identity && !this._services.access.isFresh()) {
			throw this._unreachable();
		}
	}

	private async _chat(exchange: Exchange): Promise<void> {
		const {configuration} = this._view();
		const {tenant} = this._authenticate(exchange);
		const profiles = Object.values(configuration.services).filter(service => service.kind === 'model').map(service => configuration.profiles[service.profile]!);
		const body = await readBody(exchange.req, Math.max(0, ...profiles.map(profile => profile.bodyLimit)), this._limits.bodyTimeoutMs);
		const chat = parseChatRequest(body);
		const service = configuration.services[chat.service];
		if (service?.kind !== 'model') {
			throw new ProblemError('unknown-service', {detail: `there is no model "${chat.service}"`});
		}

		exchange.serviceName = chat.service;
		const profile = configuration.profiles[service.profile]!;
		if (body.length > profile.bodyLimit) {
			throw new ProblemError('body-too-large', {detail: `the body is larger than ${profile.bodyLimit} bytes`});
		}

		const {leave} = this._enter(chat.service);
		try {
			await this._runModel(exchange, tenant, {chat, service, profile});
		} finally {
			leave();
		}
	}

	private async _runModel(exchange: Exchange, tenant: string, {chat, service, profile}: {chat: ChatRequest; service: ModelService; profile: Profile}): Promise<void> {
		const maxTokens = chat.maxTokens ?? service.maxTokens;
		const acquired = estimateTokens(chat.prompt) + maxTokens;
		const waitStartedMs = this._services.clock.nowMs();
		await this._acquire(exchange, tenant, acquired, profile.maxWait);
		const {vm, incarnation} = this._options.identity;
		const engineRequestId = `${vm}-${incarnation}-${this._nextRequest++}`;
		const head = {id: `chatcmpl-${engineRequestId}`, created: Math.floor(Date.now() / 1000), model: chat.service};
		const sink = chat.isStreaming ? new StreamSink(exchange, head, chat.includeUsage) : new DocumentSink(exchange, head);
		const run = new ModelRun(this._services, this._options, this._upstreams, {
			exchange,
			engineRequestId,
			tenant,
			serviceName: chat.service,
			service,
			profile,
			chat,
			maxTokens,
			acquired,
			maxWaitMs: Math.max(0, profile.maxWait - (this._services.clock.nowMs() - waitStartedMs)),
			sink,
		});
		await run.run();
	}

	private async _plain(exchange: Exchange): Promise<void> {
		const target = parseTarget(exchange.req.url!);
		if (target.kind === 'ambiguous') {
			throw new ProblemError('ambiguous-path');
		}

		const {configuration} = this._view();
		const service = configuration.services[target.service];
		const matched = service?.kind === 'plain' ? matchRoute(service, exchange.req.method!, target.path) : undefined;
		const isOpen = matched?.kind === 'route' && matched.route.open;
		if (!isOpen) {
			this._authenticate(exchange);
		}

		if (service?.kind !== 'plain' || !matched) {
			throw new ProblemError('unknown-service', {detail: `there is no plain service "${target.service}"`});
		}

		exchange.serviceName = target.service;
		if (matched.kind === 'no-route') {
			throw new ProblemError('not-found', {detail: 'no route of the service has this path'});
		}

		if (matched.kind === 'method-not-allowed') {
			throw new ProblemError('method-not-allowed', {detail: `the route allows ${matched.allowed.join(', ')}`});
		}

		const {guards, leave} = this._enter(target.service);
		try {
			await this._runPlain(exchange, {
				service, route: matched.route, profile: configuration.profiles[service.profile]!, guards, name: target.service, rest: target.rest,
			});
		} finally {
			leave();
		}
	}

	private async _runPlain(exchange: Exchange, plain: {service: PlainService; route: Route; profile: Profile; guards: ServiceGuards; name: string; rest: string}): Promise<void> {
		const {
			route, profile, guards, name, rest,
		} = plain;
		const body = await readBody(exchange.req, profile.bodyLimit, this._limits.bodyTimeoutMs);
		const tenant = exchange.identity?.tenant;
		const cost = tenant === undefined ? 0 : route.cost;
		const waitStartedMs = this._services.clock.nowMs();
		await this._acquire(exchange, tenant ?? openTenant, cost, profile.maxWait);
		const maxWaitMs = Math.max(0, profile.maxWait - (this._services.clock.nowMs() - waitStartedMs));
		let used = 0;
		try {
			const claimId = route.idempotent ? undefined : await this._claim(exchange, {name, rest, body}, maxWaitMs);
			if (!exchange.outcome) {
				const run = new PlainRun(this._services, this._upstreams, {
					exchange, serviceName: name, profile, guards, route, target: rest, body, claimId,
				});
				used = await run.run() ? cost : 0;
			}
		} finally {
			this._services.access.settle(tenant ?? openTenant, cost, used);
		}
	}

	/** Claims a request with an idempotency key; answers it here when it must not run. Returns the claim's id. */
	private async _claim(exchange: Exchange, {name, rest, body}: {name: string; rest: string; body: Uint8Array}, maxWaitMs: number): Promise<string | undefined> {
		const idempotencyKey = exchange.req.headers['idempotency-key'];
		if (idempotencyKey === undefined) {
			return undefined;
		}

		if (typeof idempotencyKey !== 'string' || !idempotencyKeyPattern.test(idempotencyKey)) {
			throw new ProblemError('invalid-request', {detail: 'Idempotency-Key: use 1 to 255 printable characters'});
		}

		const requestDigest = createHash('sha256').update(`${exchange.req.method} ${rest}\n`).update(body).digest('hex');
		const result = await this._services.claims.open({
			tenant: exchange.identity?.tenant ?? openTenant, service: name, idempotencyKey, requestDigest,
		}, maxWaitMs);
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
				throw this._unreachable();
			}
		}
	}

	/** Gives a claim back when the request may no longer be sent. */
	private async _recheckClaimed(exchange: Exchange, claimId: string): Promise<void> {
		try {
			this._recheck(exchange);
		} catch (err) {
			await this._services.claims.settle(claimId, {kind: 'not-run'});
			throw err;
		}
	}
}

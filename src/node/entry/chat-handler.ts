import type {ModelService, Profile, SharedConfiguration} from '../../common/configuration/types.js';
import type {BodyMemory} from '../../common/requests/body-memory.js';
import {LearnedRatio} from '../../common/scheduler/learned.js';
import {estimateTokens} from '../../common/upstreams/prefix.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import {DocumentSink, StreamSink} from './answer-sink.js';
import {readBody} from './body.js';
import type {ChatRequest} from './chat.js';
import {parseChatRequest} from './chat.js';
import type {Exchange} from './exchange.js';
import type {Gatekeeper} from './gatekeeper.js';
import {WaitBudget} from './gatekeeper.js';
import {ModelRun} from './model-path.js';
import {ProblemError} from './problems.js';
import type {EntryLimits, EntryOptions, EntryServices} from './types.js';

/** Least time that a request waits for its tenant's rate, in milliseconds; the leader's answer takes some tens of them. */
const minRateWaitMs = 250;

type Chat = {
	readonly chat: ChatRequest;
	readonly service: ModelService;
	readonly profile: Profile;
};

/** Serves `POST /v1/chat/completions`. */
export class ChatHandler {
	private _nextRequest = 1;
	/** Milliseconds from the grant of the rate to the first token, by service. */
	private readonly _firstTextMs = new Map<string, LearnedRatio>();

	constructor(
		private readonly _services: EntryServices,
		private readonly _options: EntryOptions & {readonly limits: EntryLimits; readonly memory: BodyMemory},
		private readonly _gatekeeper: Gatekeeper,
		private readonly _upstreams: UpstreamRegistry,
	) {}

	async handle(exchange: Exchange): Promise<void> {
		const {configuration} = this._gatekeeper.view();
		const {tenant} = this._gatekeeper.authenticate(exchange);
		const body = await readBody(exchange, {
			bytes: largestBody(configuration), timeoutMs: this._options.limits.bodyTimeoutMs, memory: this._options.memory, tenant,
		});
		const request = this._route(configuration, body);
		exchange.serviceName = request.chat.service;
		await this._admit(exchange, tenant, request);
	}

	private _route(configuration: SharedConfiguration, body: Uint8Array): Chat {
		const chat = parseChatRequest(body);
		const service = Object.hasOwn(configuration.services, chat.service) ? configuration.services[chat.service] : undefined;
		if (service?.kind !== 'model') {
			throw new ProblemError('unknown-service', {detail: `there is no model "${chat.service}"`});
		}

		const profile = configuration.profiles[service.profile]!;
		if (body.length > profile.bodyLimit) {
			throw new ProblemError('body-too-large', {detail: `the body is larger than ${profile.bodyLimit} bytes`});
		}

		return {chat, service, profile};
	}

	private async _admit(exchange: Exchange, tenant: string, request: Chat): Promise<void> {
		const {chat, service, profile} = request;
		const maxTokens = chat.maxTokens ?? service.maxTokens;
		const wait = new WaitBudget(this._services, profile.maxWait);
		const acquisition = await this._gatekeeper.acquire(exchange, estimateTokens(chat.prompt) + maxTokens, this._rateWaitMs(exchange, request, wait));
		let leave: (() => void) | undefined;
		try {
			({leave} = await this._gatekeeper.enter(exchange, chat.service, profile, wait));
			this._gatekeeper.recheck(exchange);
		} catch (err) {
			leave?.();
			this._gatekeeper.settle(acquisition, 0);
			throw err;
		}

		const engineRequestId = this._newRequestId();
		const run = new ModelRun(this._services, this._options, this._upstreams, {
			exchange,
			engineRequestId,
			tenant,
			...request,
			serviceName: chat.service,
			maxTokens,
			acquisition,
			maxWaitMs: wait.leftMs,
			sink: this._sink(exchange, chat, engineRequestId),
		});
		try {
			await run.run();
		} finally {
			leave();
		}

		if (run.firstTextAfterMs !== undefined) {
			this._firstText(chat.service).observe(run.firstTextAfterMs, 1);
		}
	}

	/** How long the request may wait for its tenant's rate and still meet its target for the first token, in milliseconds. */
	private _rateWaitMs(exchange: Exchange, {chat, profile}: Chat, wait: WaitBudget): number {
		const elapsedMs = this._services.clock.nowMs() - exchange.startedAtMs;
		const usableMs = profile.latency.firstToken - elapsedMs - this._firstText(chat.service).value;
		return Math.min(wait.leftMs, Math.max(minRateWaitMs, usableMs));
	}

	private _firstText(service: string): LearnedRatio {
		let learned = this._firstTextMs.get(service);
		if (!learned) {
			learned = new LearnedRatio({value: 0}, 1);
			this._firstTextMs.set(service, learned);
		}

		return learned;
	}

	/** Unique in the cluster, unlike the ids that callers choose. */
	private _newRequestId(): string {
		const {vm, incarnation} = this._options.identity;
		return `${vm}-${incarnation}-${this._nextRequest++}`;
	}

	private _sink(exchange: Exchange, chat: ChatRequest, id: string): DocumentSink | StreamSink {
		const head = {id: `chatcmpl-${id}`, created: Math.floor(Date.now() / 1000), model: chat.service};
		return chat.isStreaming ? new StreamSink(exchange, head, chat.includeUsage) : new DocumentSink(exchange, head);
	}
}

/** The service is named within the body, so the largest limit of any model service bounds reading. */
function largestBody(configuration: SharedConfiguration): number {
	const services = Object.values(configuration.services).filter(service => service.kind === 'model');
	return Math.max(0, ...services.map(service => configuration.profiles[service.profile]!.bodyLimit));
}

import type {ModelService, Profile, SharedConfiguration} from '../../common/configuration/types.js';
import {LearnedRatio} from '../../common/scheduler/learned-ratio.js';
import {estimateTokens} from '../../common/upstreams/prompt-prefix.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {MemoryKeeper} from '../memory/memory-keeper.js';
import {JsonCompletionWriter, StreamingCompletionWriter} from './completion-writer.js';
import {readBody} from './request-body.js';
import type {ChatRequest} from './chat-completions.js';
import {parseChatRequest} from './chat-completions.js';
import type {Exchange} from './exchange.js';
import type {AdmissionController} from './admission-controller.js';
import {WaitBudget} from './admission-controller.js';
import {ModelRequestRunner} from './model-request-runner.js';
import {ProblemError} from './problems.js';
import type {EntryLimits, EntryOptions, EntryServices} from './types.js';

/** Time, in milliseconds, that a request may wait for its customer's rate limit even if its time-to-first-token target leaves less. It leaves room for a reply from the leader, which takes some tens of milliseconds. */
const minRateWaitMs = 250;

type RoutedChatRequest = {
	readonly chat: ChatRequest;
	readonly service: ModelService;
	readonly profile: Profile;
};

/** Serves `POST /v1/chat/completions`. */
export class ChatHandler {
	private _nextRequestNumber = 1;
	/** Estimates of the time from the start of a run to its first text, in milliseconds, by service. */
	private readonly _firstTextEstimators = new Map<string, LearnedRatio>();

	constructor(
		private readonly _services: EntryServices,
		private readonly _options: EntryOptions & {readonly limits: EntryLimits; readonly memory: MemoryKeeper},
		private readonly _admission: AdmissionController,
		private readonly _upstreams: UpstreamRegistry,
	) {}

	async handle(exchange: Exchange): Promise<void> {
		const {configuration} = this._admission.requireView();
		const {tenant: customer} = this._admission.authenticate(exchange);
		const body = await readBody(exchange, {
			maxBytes: largestBodyLimitBytes(configuration), timeoutMs: this._options.limits.bodyTimeoutMs, memory: this._options.memory, customer,
		});
		const request = this._route(configuration, body);
		exchange.serviceName = request.chat.service;
		const {quarantine} = this._services;
		const block = quarantine.findBlock(request.chat.parts);
		if (block) {
			throw new ProblemError('prompt-blocked', {run: 'not-run', retryAfterMs: quarantine.recordRefusal(block, exchange.traceIds.requestId)});
		}

		await this._admitAndRun(exchange, customer, request);
	}

	private _route(configuration: SharedConfiguration, body: Uint8Array): RoutedChatRequest {
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

	private async _admitAndRun(exchange: Exchange, customer: string, request: RoutedChatRequest): Promise<void> {
		const {chat, service, profile} = request;
		const maxTokens = chat.maxTokens ?? service.maxTokens;
		const waitBudget = new WaitBudget(this._services, profile.maxWait);
		const acquisition = await this._admission.acquireTokens(exchange, estimateTokens(chat.prompt) + maxTokens, this._rateWaitMs(exchange, request, waitBudget));
		let release: (() => void) | undefined;
		try {
			({release} = await this._admission.acquireSlot(exchange, chat.service, profile, waitBudget));
			this._admission.assertMayStart(exchange);
		} catch (err) {
			release?.();
			this._admission.settleTokens(acquisition, 0);
			throw err;
		}

		const engineRequestId = this._createEngineRequestId();
		const runner = new ModelRequestRunner(this._services, this._options, this._upstreams, {
			exchange,
			engineRequestId,
			customer,
			...request,
			serviceName: chat.service,
			maxTokens,
			acquisition,
			maxWaitMs: waitBudget.remainingMs,
			writer: this._createWriter(exchange, chat, engineRequestId),
		});
		try {
			await runner.run();
		} finally {
			release();
		}

		if (runner.timeToFirstTextMs !== undefined) {
			this._firstTextEstimator(chat.service).observe(runner.timeToFirstTextMs, 1);
		}
	}

	/** Returns how long the request may wait for its customer's rate limit and still meet its time-to-first-token target. */
	private _rateWaitMs(exchange: Exchange, {chat, profile}: RoutedChatRequest, waitBudget: WaitBudget): number {
		const elapsedMs = this._services.clock.nowMs() - exchange.startedAtMs;
		const usableMs = profile.latency.firstToken - elapsedMs - this._firstTextEstimator(chat.service).value;
		return Math.min(waitBudget.remainingMs, Math.max(minRateWaitMs, usableMs));
	}

	private _firstTextEstimator(service: string): LearnedRatio {
		let estimator = this._firstTextEstimators.get(service);
		if (!estimator) {
			estimator = new LearnedRatio({value: 0}, 1);
			this._firstTextEstimators.set(service, estimator);
		}

		return estimator;
	}

	/** Creates an id that is unique in the cluster, unlike the request ids that callers choose. */
	private _createEngineRequestId(): string {
		const {vm, incarnation} = this._options.identity;
		return `${vm}-${incarnation}-${this._nextRequestNumber++}`;
	}

	private _createWriter(exchange: Exchange, chat: ChatRequest, id: string): JsonCompletionWriter | StreamingCompletionWriter {
		const metadata = {id: `chatcmpl-${id}`, created: Math.floor(Date.now() / 1000), model: chat.service};
		return chat.isStreaming ? new StreamingCompletionWriter(exchange, metadata, chat.includeUsage) : new JsonCompletionWriter(exchange, metadata);
	}
}

/** Returns the largest body limit of any model service, in bytes. It applies while a body is read, since only the body names the service. */
function largestBodyLimitBytes(configuration: SharedConfiguration): number {
	const services = Object.values(configuration.services).filter(service => service.kind === 'model');
	return Math.max(0, ...services.map(service => configuration.profiles[service.profile]!.bodyLimit));
}
